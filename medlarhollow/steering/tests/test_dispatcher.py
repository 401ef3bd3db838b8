"""Assignment of slots and queueing by the dispatcher."""

import asyncio
import collections
import time

import pytest

from medlarhollow import clock
from medlarhollow.messages.records import BackendServer
from medlarhollow.messages.records import ErrorKind
from medlarhollow.messages.records import ExchangeUpdate
from medlarhollow.messages.records import Move
from medlarhollow.messages.records import Priority
from medlarhollow.messages.records import Vm
from medlarhollow.steering import AttemptResult

from .conftest import state_of


async def test_requests_in_flight_never_exceed_slots(entry_vms):
    """Invariant 2 within a data centre."""
    near, _ = entry_vms
    near.announce("a", "b", slots=3)
    in_flight = collections.Counter()
    highest = collections.Counter()

    async def request():
        result = await near.acquire(5.0, local_only=True)
        name = result.ok_value.server.server_id
        in_flight[name] += 1
        highest[name] = max(highest[name], in_flight[name])
        await asyncio.sleep(0.01)
        in_flight[name] -= 1
        near.release(result.ok_value)

    await asyncio.gather(*(request() for _ in range(40)))
    assert highest == {"a": 3, "b": 3}
    assert near.dispatcher.local_load(clock.monotonic()).in_flight == {}


async def test_slots_used_by_other_vms_are_not_assigned(entry_vms):
    """Guards servers against VMs that count only their own requests."""
    near, _ = entry_vms
    near.announce("a", slots=4)
    update = ExchangeUpdate(
        vm=Vm(name="mate", incarnation="1"),
        sequence=1,
        servers=(BackendServer(server_id="a", in_flight=3),),
    )
    near.directory.merge(update, clock.monotonic())
    assert (await near.acquire(local_only=True)).is_ok()
    failure = (await near.acquire(local_only=True)).err_value
    assert failure.kind is ErrorKind.DEADLINE_EXCEEDED


async def test_released_slot_is_assigned_to_a_waiting_request(entry_vms):
    """Guards waiting requests against a slot that stays unused."""
    near, _ = entry_vms
    near.announce("a", slots=1)
    first = (await near.acquire()).ok_value
    waiting = asyncio.create_task(near.acquire(5.0, local_only=True))
    await asyncio.sleep(0.05)
    near.release(first)
    assert (await waiting).is_ok()


@pytest.mark.parametrize(
    "cancelled_when", ["waiting", "before_release", "after_release"]
)
async def test_cancelled_request_holds_no_slot(entry_vms, cancelled_when):
    """Guards against leaking the slot of a caller that disconnects, also at
    the moment when the slot is assigned."""
    near, _ = entry_vms
    near.announce("a", slots=1)
    first = (await near.acquire()).ok_value
    waiting = asyncio.create_task(near.acquire(5.0, local_only=True))
    await asyncio.sleep(0.05)
    if cancelled_when == "after_release":
        near.release(first)
        waiting.cancel()
    elif cancelled_when == "before_release":
        waiting.cancel()
        near.release(first)
    else:
        waiting.cancel()
        await asyncio.sleep(0.01)
        near.release(first)
    await asyncio.gather(waiting, return_exceptions=True)
    assert near.dispatcher.local_load(clock.monotonic()).in_flight == {}
    assert (await near.acquire()).is_ok()


async def test_requests_that_cannot_meet_their_deadline_are_shed(entry_vms):
    """Guards against a queue in which all requests miss their deadlines."""
    near, _ = entry_vms
    near.announce("a", slots=1)
    for _ in range(3):
        assignment = (await near.acquire()).ok_value
        near.release(assignment, latency_s=0.4)
    await near.acquire()
    waiting = [
        asyncio.create_task(near.acquire(5.0, local_only=True))
        for _ in range(3)
    ]
    await asyncio.sleep(0.02)
    started_at = clock.monotonic()
    failure = (await near.acquire(1.0, local_only=True)).err_value
    assert failure.kind is ErrorKind.OVERLOADED
    assert clock.monotonic() - started_at < 0.2
    for task in waiting:
        task.cancel()
    await asyncio.gather(*waiting, return_exceptions=True)


async def test_slots_go_to_urgent_requests_and_fairly_to_accounts(entry_vms):
    """Guards accounts against one that floods the queue."""
    near, _ = entry_vms
    near.announce("a", slots=1)
    first = (await near.acquire()).ok_value
    order = []

    async def request(account, priority=Priority.ORDINARY):
        result = await near.acquire(
            5.0, priority=priority, account=account, local_only=True
        )
        order.append(account)
        near.release(result.ok_value, latency_s=0.001)

    tasks = [asyncio.create_task(request("flood")) for _ in range(6)]
    await asyncio.sleep(0.02)
    tasks.append(asyncio.create_task(request("crew")))
    tasks.append(asyncio.create_task(request("clerk", Priority.URGENT)))
    await asyncio.sleep(0.02)
    near.release(first)
    await asyncio.gather(*tasks)
    assert order[0] == "clerk"
    assert "crew" in order[1:3]


@pytest.mark.parametrize("excluded", [True, False])
async def test_request_without_a_server_fails_immediately(entry_vms, excluded):
    """Guards retries that exclude all servers against a useless wait."""
    near, _ = entry_vms
    if excluded:
        near.announce("a")
    started_at = clock.monotonic()
    failure = (
        await near.acquire(5.0, excluded=frozenset({"a"}), local_only=True)
    ).err_value
    assert failure.kind is ErrorKind.NO_BACKEND
    assert clock.monotonic() - started_at < 0.2


async def test_leaving_server_gets_no_new_requests(entry_vms):
    """Invariant 11, for requests that are already queued."""
    near, _ = entry_vms
    near.announce("a", "b", slots=1)
    assignments = [(await near.acquire()).ok_value for _ in range(2)]
    near.announce("a", slots=1, leaving=True)
    waiting = asyncio.create_task(near.acquire(1.0, local_only=True))
    for assignment in assignments:
        if assignment.server.server_id == "a":
            near.release(assignment)
    await asyncio.sleep(0.1)
    assert not waiting.done()
    waiting.cancel()


async def test_new_version_without_servers_falls_back(entry_vms):
    """Guards requests during a move when the new servers are lost."""
    near, _ = entry_vms
    near.announce("a")
    state_of(near).moves["m"] = Move(
        move_id="m",
        service="plots",
        from_version="1",
        to_version="2",
        fraction=1.0,
        deadline_s=time.time() + 3600,
    )
    state_of(near).revision += 1
    near.dispatcher._state_cache.proof_at = clock.monotonic()
    assert (await near.acquire()).ok_value.version == "1"
    near.announce("n", version="2")
    assert (await near.acquire()).ok_value.version == "2"


async def test_failing_server_is_ejected(entry_vms):
    """Guards callers against a server that fails immediately and therefore
    always has free slots."""
    near, _ = entry_vms
    near.announce("bad", "a", "b", "c", slots=8)
    for _ in range(60):
        assignment = (await near.acquire()).ok_value
        is_bad = assignment.server.server_id == "bad"
        result = AttemptResult.ERROR if is_bad else AttemptResult.OK
        near.release(assignment, result)
    later = [(await near.acquire()).ok_value for _ in range(12)]
    assert all(item.server.server_id != "bad" for item in later)
