"""Logs, metrics and traces."""

from .logs import set_up_logs

__all__ = ["set_up_logs"]
