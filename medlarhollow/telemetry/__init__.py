"""Logs, metrics and traces."""

from .activity import set_activity
from .logs import configure_logging
from .rate_limiter import LogRateLimiter
from .telemetry import Telemetry

__all__ = ["LogRateLimiter", "Telemetry", "configure_logging", "set_activity"]
