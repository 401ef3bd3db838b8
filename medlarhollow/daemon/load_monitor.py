"""Monitor the processor time and event loop lag of a process."""

import asyncio
import logging
import time

from .. import clock

__all__ = ["LoadMonitor"]

_LOG = logging.getLogger(__name__)
_SAMPLE_INTERVAL_S = 0.5
_LOG_INTERVAL_S = 10.0


class LoadMonitor:
    """Measure processor time and event loop lag.

    Parameters
    ----------
    telemetry : Telemetry
        Exports the measurements as metrics; its counters hold the time by
        activity.

    Notes
    -----
    The lateness of a timer shows by how much everything else in the process
    is delayed: reading from callers, renewing leases, and responses of peers,
    which then seem lost.
    """

    def __init__(self, telemetry):
        self._telemetry = telemetry
        self._lag_s = 0.0
        telemetry.register_gauge("processor_time", time.process_time)
        telemetry.register_gauge("loop_lag", lambda: self._lag_s)

    async def run(self):
        """Measure continuously and log the load every ten seconds."""
        logged_at = clock.monotonic()
        while True:
            due_at = clock.monotonic() + _SAMPLE_INTERVAL_S
            await asyncio.sleep(_SAMPLE_INTERVAL_S)
            now = clock.monotonic()
            self._lag_s = max(self._lag_s, now - due_at)
            if now - logged_at >= _LOG_INTERVAL_S:
                logged_at = now
                self._log_load()
                self._lag_s = 0.0

    def _log_load(self):
        busy = self._telemetry.metrics.counters["loop_busy"]
        _LOG.info(
            "daemon: load",
            extra={
                "processor_s": round(time.process_time(), 3),
                "loop_lag_ms": round(self._lag_s * 1000, 1),
                "busy_ms": {
                    activity: round(seconds * 1000)
                    for (activity,), seconds in sorted(busy.items())
                },
            },
        )
