"""Slots and samples of second attempts."""

import asyncio

import pytest

from medlarhollow import clock
from medlarhollow.steering import AttemptResult
from medlarhollow.steering.placement.object_history import ObjectHistory
from medlarhollow.steering.servers.answer_times import AnswerTimes

from .conftest import make_slot_request
from .test_placement import server_candidate

SERVERS = ("s1", "s2", "s3", "s4")
AFFINITY = "/plots/ 7"


async def acquire_first(vm, **options):
    first = (await vm.acquire(**options)).ok_value
    excluded = frozenset([first.server.server_id])
    return first, make_slot_request(excluded=excluded, **options)


def try_acquire(vm, request):
    return vm.dispatcher.try_acquire(request, clock.monotonic())


async def test_second_attempt_goes_to_the_other_server_of_the_object(lone_vm):
    """Guards caches: a third server does not have the object."""
    lone_vm.announce(*SERVERS, slots=1)
    first, request = await acquire_first(lone_vm, affinity=AFFINITY)
    second = try_acquire(lone_vm, request)
    assert second.server.server_id not in ("", first.server.server_id)
    assert not second.remote
    # The second server is full now, and others are free.
    assert try_acquire(lone_vm, request) is None
    lone_vm.dispatcher.release(
        second, AttemptResult.CANCELLED, 0.1, clock.monotonic()
    )
    again = try_acquire(lone_vm, request)
    assert again.server == second.server


async def test_request_without_an_object_may_use_any_other_server(lone_vm):
    lone_vm.announce(*SERVERS, slots=1)
    first, request = await acquire_first(lone_vm)
    servers = {first.server.server_id}
    for _ in range(3):
        servers.add(try_acquire(lone_vm, request).server.server_id)
    assert servers == set(SERVERS)
    assert try_acquire(lone_vm, request) is None


async def test_second_attempt_passes_no_queued_request(lone_vm):
    """Guards queued requests: the pool is short of slots for them, although
    servers are free that do not have their objects."""
    lone_vm.announce(*SERVERS, slots=1)
    _, request = await acquire_first(lone_vm, affinity=AFFINITY)
    assert (await lone_vm.acquire(affinity=AFFINITY)).is_ok()
    waiting = asyncio.create_task(
        lone_vm.acquire(wait_s=5.0, affinity=AFFINITY)
    )
    await asyncio.sleep(0.02)
    assert lone_vm.dispatcher.count_queued("plots", "1") == 1
    request = make_slot_request(excluded=request.excluded)
    assert try_acquire(lone_vm, request) is None
    waiting.cancel()
    await asyncio.wait({waiting})
    assert lone_vm.dispatcher.count_queued("plots", "1") == 0
    assert try_acquire(lone_vm, request) is not None


async def test_second_attempt_goes_to_no_paused_or_leaving_server(lone_vm):
    """Guards servers that want no requests."""
    lone_vm.announce("s1", "s2")
    first, request = await acquire_first(lone_vm)
    second = try_acquire(lone_vm, request)
    now = clock.monotonic()
    lone_vm.dispatcher.record_pause(second, 5.0, now)
    assert try_acquire(lone_vm, request) is None
    lone_vm.announce("s3")
    third = try_acquire(lone_vm, request)
    assert third.server.server_id == "s3"
    lone_vm.directory.mark_left(third.server, now)
    assert try_acquire(lone_vm, request) is None
    assert first.server != second.server


@pytest.mark.parametrize("service", ["none", "plots"])
async def test_no_slot_without_a_service_or_after_a_stop(lone_vm, service):
    lone_vm.announce("s1", "s2")
    request = make_slot_request()
    route = type(request.route)(service=service)
    if service == "plots":
        lone_vm.dispatcher.stop()
    assert try_acquire(lone_vm, make_slot_request(route=route)) is None
    assert lone_vm.dispatcher.count_queued(service, "1") == 0


def test_first_server_of_an_object_stays_the_usual_one():
    """Guards the kinds of runs: after a second attempt elsewhere, the next
    request to the first server is still a repeated run."""
    history = ObjectHistory()
    first, second = server_candidate("a"), server_candidate("b")
    request = make_slot_request(affinity=AFFINITY)
    assert history.record(first, None, request)
    assert history.record_second(second, request)
    assert history.record(first, None, request) == ""
    assert history.record_second(second, request) == ""
    assert history.record_second(second, make_slot_request()) == ""


async def test_time_of_a_superseded_attempt_is_a_sample(lone_vm):
    """Guards the percentile: without the slowest runs, more and more attempts
    would count as slow."""
    lone_vm.announce("s1", "s2", slots=30)
    for result, count in (
        (AttemptResult.OK, 18),
        (AttemptResult.SUPERSEDED, 2),
        (AttemptResult.CANCELLED, 2),
    ):
        for _ in range(count):
            acquired = await lone_vm.acquire()
            lone_vm.release(
                acquired.ok_value,
                result,
                0.1 if result is AttemptResult.OK else 0.5,
            )
    times = lone_vm.dispatcher.answer_times
    now = clock.monotonic()
    assert times.quantile("plots", "", True, 0.95, now, 20) == 0.5
    assert times.quantile("plots", "", True, 0.5, now) == 0.1
    assert times.quantile("plots", "", True, 0.95, now, 21) is None


def test_required_number_of_samples_is_that_of_the_caller():
    """Guards a percentile of few runs, and the cache of the quantiles."""
    times = AnswerTimes()
    for number in range(19):
        times.add("plots", "/", True, 0.1 + number / 100, 1.0)
    assert times.quantile("plots", "/", True, 0.95, 1.0) == pytest.approx(0.28)
    assert times.quantile("plots", "/", True, 0.95, 1.0, 20) is None
    times.add("plots", "/", True, 0.3, 1.0)
    assert times.quantile("plots", "/", True, 0.95, 1.2, 20) == 0.3
