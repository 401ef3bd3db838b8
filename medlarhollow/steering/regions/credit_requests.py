"""Tasks that request credit for queued requests."""

import asyncio
import logging
import math

from ... import clock

__all__ = ["CreditRequests"]

_LOG = logging.getLogger(__name__)


class CreditRequests:
    """Run at most one round of credit requests for each service.

    Parameters
    ----------
    spill : SpillCoordinator
        Requests and holds the credit.
    may_spill : callable
        Returns whether credit from other data centres can be used.
    dispatch : callable
        Assigns the slots and the credit of a pool to its queued requests,
        given the monotonic time.
    """

    def __init__(self, spill, may_spill, dispatch):
        self._spill = spill
        self._may_spill = may_spill
        self._dispatch = dispatch
        self._tasks = {}

    def start(self, pool, now):
        """Request credit if requests wait or the preset shifts traffic."""
        needed = len(pool.queue)
        if pool.remote_fraction:
            needed += math.ceil(pool.in_flight * pool.remote_fraction) + 1
        needed += self._spill.remote_credit.in_flight(pool.service)
        is_requesting = pool.service in self._tasks
        if not needed or is_requesting or not self._may_spill():
            return

        def dispatch():
            self._dispatch(pool, clock.monotonic())

        coro = self._spill.request_credit(pool.service, needed, now, dispatch)
        task = asyncio.create_task(coro)
        self._tasks[pool.service] = task
        task.add_done_callback(lambda task: self._finish(pool, task))

    def cancel(self):
        """Cancel all rounds."""
        for task in self._tasks.values():
            task.cancel()

    def _finish(self, pool, task):
        self._tasks.pop(pool.service, None)
        if not task.cancelled() and task.exception() is not None:
            _LOG.error("steering: credit request failed: %r", task.exception())
        else:
            self._dispatch(pool, clock.monotonic())
