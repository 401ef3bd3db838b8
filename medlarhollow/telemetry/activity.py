"""Time that the event loop spends on each activity of a process."""

import asyncio
import collections.abc
import contextvars
import time

__all__ = ["ActivityTimer", "set_activity"]

_OTHER = "other"
_activity = contextvars.ContextVar("activity", default=_OTHER)


def set_activity(name):
    """Count the time of the current task, and of those it creates.

    Parameters
    ----------
    name : str
        Activity, such as ``requests``. It holds until it is set again, and
        passes to tasks and connections that the task creates afterwards.
    """
    _activity.set(name)


class ActivityTimer:
    """Count the time for which tasks ran, by activity.

    Parameters
    ----------
    counts : MetricStore
        Takes the seconds.

    Notes
    -----
    Time is counted for each step of a task, from one await to the next, on
    the monotonic clock. Callbacks of connections, such as the parsing of
    frames, run outside of tasks and are not counted; they are the difference
    to the processor time of the process.
    """

    def __init__(self, metrics):
        self._metrics = metrics

    def create_task(self, loop, coroutine, **options):
        """Create a task whose steps are counted; a task factory for `loop`.

        Parameters
        ----------
        loop : asyncio.AbstractEventLoop
            Runs the task.
        coroutine : coroutine
            The work.
        **options
            For :class:`asyncio.Task`.

        Returns
        -------
        asyncio.Task
            The task.
        """
        counted = _Counted(coroutine, self._metrics)
        return asyncio.Task(counted, loop=loop, **options)


class _Counted(collections.abc.Coroutine):
    """Coroutine that counts the time of the steps of another one."""

    def __init__(self, coroutine, metrics):
        self._coroutine = coroutine
        self._metrics = metrics

    def __await__(self):
        """Run it within another coroutine."""
        return self._coroutine.__await__()

    def send(self, value):
        """Run one step."""
        return self._step(self._coroutine.send, value)

    def throw(self, *error):
        """Run one step, which begins with an exception."""
        return self._step(self._coroutine.throw, *error)

    def close(self):
        """End the coroutine."""
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
