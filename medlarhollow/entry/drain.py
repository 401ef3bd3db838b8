"""Graceful drain of an entry VM."""

import asyncio
import logging

from .. import clock

__all__ = ["Drain"]

_LOG = logging.getLogger(__name__)


class Drain:
    """Track the drain state and the tasks that a planned stop waits for."""

    def __init__(self):
        self._draining = False
        self._closing = False
        self._requests = set()
        self._tasks = set()

    @property
    def draining(self):
        """Whether look-ups no longer list this VM."""
        return self._draining

    @property
    def closing(self):
        """Whether new requests are refused."""
        return self._closing

    def begin(self):
        """Start to drain: responses now close their connections."""
        self._draining = True

    def close(self):
        """Refuse new requests."""
        self._draining = self._closing = True

    def start_request(self, coroutine):
        """Run a request in a task that survives a disconnect of its caller.

        Parameters
        ----------
        coroutine : coroutine
            Serves the request.

        Returns
        -------
        asyncio.Task
            The running task.
        """
        task = self.start_task(coroutine)
        self._requests.add(task)
        return task

    def start_task(self, coroutine):
        """Run a coroutine in a task that a planned stop waits for.

        Parameters
        ----------
        coroutine : coroutine
            For example the completion of a claim.

        Returns
        -------
        asyncio.Task
            The running task.
        """
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._finish)
        return task

    async def wait(self, limit_s):
        """Wait for the tasks and cancel those left after `limit_s` seconds.

        Returns
        -------
        int
            Number of requests that were cancelled.
        """
        deadline = clock.monotonic() + limit_s
        while self._tasks and clock.monotonic() < deadline:
            # A request that ends may start another task, the completion of
            # its claim.
            await asyncio.wait(
                set(self._tasks), timeout=deadline - clock.monotonic()
            )
        cancelled_requests = len(self._requests)
        unfinished = set(self._tasks)
        for task in unfinished:
            task.cancel()
        if unfinished:
            await asyncio.wait(unfinished)
        return cancelled_requests

    def _finish(self, task):
        self._tasks.discard(task)
        self._requests.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _LOG.debug("entry: background task failed: %r", task.exception())
