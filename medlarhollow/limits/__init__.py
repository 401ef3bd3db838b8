"""Shares of the rate and burst of client accounts."""

from .limiter import Limiter

__all__ = ["Limiter"]
