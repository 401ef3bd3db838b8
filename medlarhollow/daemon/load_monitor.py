"""Measure how busy this process is."""

import asyncio
import logging
import time

__all__ = ["LoadMonitor"]

_LOG = logging.getLogger(__name__)
_TICK_S = 0.5
# Time between two log lines.
_LINE_S = 10.0


class LoadMonitor:
    """Measure processor time and how late the event loop is.

    Parameters
    ----------
    telemetry : Telemetry
        Shows the measurements as metrics; its counts name what the time was
        spent on.

    Notes
    -----
    A timer that fires late tells by how much everything else in the process
    is late: callers that were not read yet, leases not renewed, answers of
    peers that look lost.
    """

    def __init__(self, telemetry):
        self._telemetry = telemetry
        self._lag_s = 0.0
        telemetry.register_gauge("processor_time", time.process_time)
        telemetry.register_gauge("loop_lag", lambda: self._lag_s)

    async def run(self):
        """Measure, and write a log line every ten seconds."""
        told_at = time.monotonic()
        while True:
            due_at = time.monotonic() + _TICK_S
            await asyncio.sleep(_TICK_S)
            now = time.monotonic()
            self._lag_s = max(self._lag_s, now - due_at)
            if now - told_at >= _LINE_S:
                told_at = now
                self._tell()
                self._lag_s = 0.0

    def _tell(self):
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
