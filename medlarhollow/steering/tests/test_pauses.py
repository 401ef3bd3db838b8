"""Pauses that overloaded servers ask for."""

import asyncio

import attrs

from medlarhollow import clock
from medlarhollow.messages.records import BackendServer
from medlarhollow.messages.records import ErrorKind
from medlarhollow.steering import AttemptResult
from medlarhollow.steering.servers.pauses import ServerPauses

SERVER = BackendServer("s1", service="plots", started_at_ms=1)


def test_vms_do_not_return_at_the_same_moment():
    ends = []
    for spread in (0.0, 0.5, 1.0):
        pauses = ServerPauses()
        pauses.record(SERVER, 2.0, spread, 10.0)
        ends.append(pauses.paused_until(SERVER, 10.0))
    assert ends == [12.0, 12.5, 13.0]


def test_shorter_pause_does_not_end_a_longer_one():
    pauses = ServerPauses()
    pauses.record(SERVER, 5.0, 0.0, 10.0)
    pauses.record(SERVER, 1.0, 0.0, 10.5)
    assert pauses.paused_until(SERVER, 11.0) == 15.0


def test_pause_ends_with_the_process_that_asked_for_it():
    pauses = ServerPauses()
    pauses.record(SERVER, 5.0, 0.0, 10.0)
    restarted = attrs.evolve(SERVER, started_at_ms=2)
    assert pauses.paused_until(restarted, 11.0) < 11.0
    assert not pauses.is_on_trial(restarted, 15.1)


def test_one_request_tries_a_server_after_its_pause():
    pauses = ServerPauses()
    pauses.record(SERVER, 1.0, 0.0, 10.0)
    assert pauses.limit_trial(SERVER, 5, 0, 11.1) == 1
    assert pauses.limit_trial(SERVER, 5, 1, 11.1) == 0
    pauses.record_answered(SERVER, 11.2)
    assert pauses.limit_trial(SERVER, 5, 1, 11.3) == 5


async def test_pool_of_paused_servers_rejects_at_once(lone_vm):
    """Guards callers from waiting until their deadline for servers that are
    known not to take them."""
    vm = lone_vm
    vm.announce("s1", "s2", slots=1)
    held = [(await vm.acquire()).ok_value for _ in range(2)]
    waiting = asyncio.create_task(vm.acquire(30.0))
    await asyncio.sleep(0.05)
    started_at = clock.monotonic()
    for assignment in held:
        vm.dispatcher.record_pause(assignment, 5.0, clock.monotonic())
    rejected = (await waiting).err_value
    later = (await vm.acquire(30.0)).err_value
    assert clock.monotonic() < started_at + 2.0
    for failure in (rejected, later):
        assert failure.kind is ErrorKind.OVERLOADED
        assert 4.0 < failure.retry_after_s <= 5.0 * 1.5 * 1.5
    for assignment in held:
        vm.release(assignment, AttemptResult.REFUSED)


async def test_requests_go_to_the_servers_that_are_not_paused(lone_vm):
    vm = lone_vm
    vm.announce("s1", "s2", slots=8)
    first = (await vm.acquire()).ok_value
    vm.dispatcher.record_pause(first, 5.0, clock.monotonic())
    for _ in range(6):
        other = (await vm.acquire()).ok_value
        assert other.server.server_id != first.server.server_id


async def test_pause_is_no_failure_of_the_server(lone_vm):
    """Guards capacity: a server that sheds by saying when to return is not
    ejected as an outlier for longer than that."""
    vm = lone_vm
    vm.announce("s1", "s2", "s3", slots=8)
    for _ in range(30):
        assignment = (await vm.acquire()).ok_value
        now = clock.monotonic()
        vm.dispatcher.record_pause(assignment, 0.01, now)
        vm.release(assignment, AttemptResult.REFUSED)
        await asyncio.sleep(0.02)
    assert (await vm.acquire()).is_ok()
