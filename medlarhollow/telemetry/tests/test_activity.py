"""Time of the event loop by activity."""

import asyncio
import gc
import itertools

import pytest

from medlarhollow.telemetry import set_activity
from medlarhollow.telemetry.activity import ActivityTimer
from medlarhollow.telemetry.metrics import MetricStore


@pytest.fixture
async def metrics():
    """MetricStore of the tasks that the running loop creates."""
    found = MetricStore()
    loop = asyncio.get_running_loop()
    loop.set_task_factory(ActivityTimer(found).create_task)
    yield found
    loop.set_task_factory(None)


def busy(metrics):
    return {
        activity: seconds
        for (activity,), seconds in metrics.counters["loop_busy"].items()
    }


async def test_tasks_are_counted_by_the_activity_of_their_creator(metrics):
    """Guards against work whose processor time has no name."""

    async def work(activity):
        set_activity(activity)
        return await asyncio.create_task(compute())

    async def compute():
        await asyncio.sleep(0)
        return sum(range(1000))

    results = await asyncio.gather(work("sync"), work("exchange"))
    assert results == [499500, 499500]
    assert set(busy(metrics)) >= {"sync", "exchange"}
    assert all(seconds > 0 for seconds in busy(metrics).values())


async def test_waiting_is_not_counted(metrics, monkeypatch):
    """Guards against a wait that looks like processor time."""
    readings = itertools.count()
    monkeypatch.setattr("time.perf_counter", lambda: float(next(readings)))

    async def wait():
        set_activity("sync")
        await asyncio.sleep(0.05)
        await asyncio.sleep(0.05)

    await asyncio.create_task(wait())
    # Each step takes one unit of the clock, and there are three.
    assert busy(metrics)["sync"] == 3


async def test_errors_and_cancellation_pass_through(metrics):
    """Guards against a counted task that swallows what ends it."""

    async def fail():
        await asyncio.sleep(0)
        raise ValueError("broken")

    async def recover():
        try:
            await asyncio.sleep(60)
        except asyncio.CancelledError:
            await asyncio.sleep(0)
            return "recovered"

    with pytest.raises(ValueError, match="broken"):
        await asyncio.create_task(fail())
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
    async def work():
        await asyncio.sleep(60)

    task = asyncio.create_task(work())
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    del task
    gc.collect()
    assert not recwarn.list
