"""Measurement of event loop time by activity."""

import asyncio
import gc
import itertools

import pytest

from medlarhollow.telemetry import set_activity
from medlarhollow.telemetry.activity import ActivityTimer
from medlarhollow.telemetry.metrics import MetricStore


@pytest.fixture
async def metrics():
    """Metrics of the tasks that the running loop creates."""
    store = MetricStore()
    loop = asyncio.get_running_loop()
    loop.set_task_factory(ActivityTimer(store).create_task)
    yield store
    loop.set_task_factory(None)


def busy_s(metrics):
    return {
        activity: seconds
        for (activity,), seconds in metrics.counters["loop_busy"].items()
    }


async def test_tasks_are_counted_by_the_activity_of_their_creator(metrics):
    """Processor time must be attributed to an activity."""

    async def run_activity(activity):
        set_activity(activity)
        return await asyncio.create_task(compute())

    async def compute():
        await asyncio.sleep(0)
        return sum(range(1000))

    results = await asyncio.gather(
        run_activity("sync"), run_activity("exchange")
    )
    assert results == [499500, 499500]
    assert set(busy_s(metrics)) >= {"sync", "exchange"}
    assert all(seconds > 0 for seconds in busy_s(metrics).values())


async def test_waiting_is_not_counted(metrics, monkeypatch):
    """Waiting time must not appear as processor time."""
    clock = itertools.count()
    monkeypatch.setattr("time.perf_counter", lambda: float(next(clock)))

    async def sleep_twice():
        set_activity("sync")
        await asyncio.sleep(0.05)
        await asyncio.sleep(0.05)

    await asyncio.create_task(sleep_twice())
    # Each of the three steps takes one unit of the fake clock.
    assert busy_s(metrics)["sync"] == 3


async def test_errors_and_cancellation_pass_through(metrics):
    """A timed task must not suppress exceptions or its cancellation."""

    async def raise_error():
        await asyncio.sleep(0)
        raise ValueError("broken")

    async def recover():
        try:
            await asyncio.sleep(60)
        except asyncio.CancelledError:
            await asyncio.sleep(0)
            return "recovered"

    with pytest.raises(ValueError, match="broken"):
        await asyncio.create_task(raise_error())
    task = asyncio.create_task(recover())
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    task.cancel()
    assert await task == "recovered"
    stopped = asyncio.create_task(asyncio.sleep(60))
    await asyncio.sleep(0)
    stopped.cancel()
    with pytest.raises(asyncio.CancelledError):
        await stopped


async def test_task_cancelled_before_its_first_step_leaves_no_warning(
    metrics, recwarn
):
    async def run_activity():
        await asyncio.sleep(60)

    task = asyncio.create_task(run_activity())
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    del task
    gc.collect()
    assert not recwarn.list
