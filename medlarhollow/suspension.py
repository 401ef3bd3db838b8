"""Detection of times in which this process did not run."""

import asyncio
import logging

from . import clock

__all__ = ["SuspensionMonitor"]

_LOG = logging.getLogger(__name__)
_TICK_S = 0.05
# A busy event loop is late by less.
_SUSPENDED_S = 0.5


class SuspensionMonitor:
    """Record when this process last resumed after it had not run.

    A process that was stopped, or whose machine was, finds messages of unknown
    age in its sockets.
    """

    def __init__(self):
        self._resumed_at = float("-inf")

    @property
    def resumed_at(self):
        """Monotonic time of the last resumption in seconds; -inf for none."""
        return self._resumed_at

    async def run(self):
        """Compare the clock with a timer until cancelled."""
        while True:
            due_at = clock.monotonic() + _TICK_S
            await asyncio.sleep(_TICK_S)
            self.record_tick(due_at, clock.monotonic())

    def record_tick(self, due_at, now):
        """Record a timer that was due at a time and fired now."""
        if now - due_at > _SUSPENDED_S:
            _LOG.warning(
                "daemon: this process did not run for %.1f s", now - due_at
            )
            self._resumed_at = now
