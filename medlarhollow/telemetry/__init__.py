"""Logs, metrics and traces."""

from .logs import set_up_logs
from .telemetry import Telemetry

__all__ = ["Telemetry", "set_up_logs"]
