"""Event loop time of each activity of a process."""

import asyncio
import collections.abc
import contextvars
import time

__all__ = ["ActivityTimer", "set_activity"]

_OTHER = "other"
_activity = contextvars.ContextVar("activity", default=_OTHER)


def set_activity(name):
    """Set the activity of the current task and of tasks it creates.

    Parameters
    ----------
    name : str
        Activity under which the time is counted, such as ``requests``. It
        applies until set again, and is inherited by tasks and connections
        created afterwards.
    """
    _activity.set(name)


class ActivityTimer:
    """Measure the running time of tasks by activity.

    Parameters
    ----------
    metrics : MetricStore
        Accumulates the time in seconds.

    Notes
    -----
    Each step of a task, from one await to the next, is measured on the
    monotonic clock. Connection callbacks, such as frame parsing, run outside
    of tasks and are not measured; they account for the difference to the
    processor time of the process.
    """

    def __init__(self, metrics):
        self._metrics = metrics

    def create_task(self, loop, coroutine, **options):
        """Create a task whose steps are measured; a task factory for `loop`.

        Parameters
        ----------
        loop : asyncio.AbstractEventLoop
            Runs the task.
        coroutine : coroutine
            Coroutine to run.
        **options
            Passed to :class:`asyncio.Task`.

        Returns
        -------
        asyncio.Task
            The new task.
        """
        timed = _TimedCoroutine(coroutine, self._metrics)
        return asyncio.Task(timed, loop=loop, **options)


class _TimedCoroutine(collections.abc.Coroutine):
    """Coroutine that measures the steps of a wrapped coroutine."""

    def __init__(self, coroutine, metrics):
        self._coroutine = coroutine
        self._metrics = metrics

    def __await__(self):
        """Await the wrapped coroutine."""
        return self._coroutine.__await__()

    def send(self, value):
        """Run one step."""
        return self._step(self._coroutine.send, value)

    def throw(self, *error):
        """Run one step that starts with an exception."""
        return self._step(self._coroutine.throw, *error)

    def close(self):
        """Close the wrapped coroutine."""
        self._coroutine.close()

    def _step(self, run, *arguments):
        started_at = time.perf_counter()
        try:
            return run(*arguments)
        finally:
            self._metrics.increment(
                "loop_busy",
                (_activity.get(),),
                time.perf_counter() - started_at,
            )
