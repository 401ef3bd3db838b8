"""Slots and the queue, as requests see them."""

import asyncio
import collections
import time

import pytest

from medlarhollow.messages.records import BackendServer
from medlarhollow.messages.records import ErrorKind
from medlarhollow.messages.records import ExchangeUpdate
from medlarhollow.messages.records import Move
from medlarhollow.messages.records import Priority
from medlarhollow.messages.records import Vm
from medlarhollow.steering import AttemptResult

from .conftest import state_of


async def test_never_more_in_flight_than_slots(sites):
    """Guards invariant 2 within the data centre."""
    near, _ = sites
    near.announce("a", "b", slots=3)
    in_flight = collections.Counter()
    worst = collections.Counter()

    async def request():
        result = await near.acquire(5.0, local_only=True)
        name = result.ok_value.server.server_id
        in_flight[name] += 1
        worst[name] = max(worst[name], in_flight[name])
        await asyncio.sleep(0.01)
        in_flight[name] -= 1
        near.release(result.ok_value)

    await asyncio.gather(*(request() for _ in range(40)))
    assert worst == {"a": 3, "b": 3}
    assert near.dispatcher.local_load(time.monotonic()).in_flight == {}


async def test_slots_in_use_by_other_vms_are_not_given(sites):
    """Guards servers against VMs that each count only their own."""
    near, _ = sites
    near.announce("a", slots=4)
    update = ExchangeUpdate(
        vm=Vm(name="mate", incarnation="1"),
        sequence=1,
        servers=(BackendServer(server_id="a", in_flight=3),),
    )
    near.directory.merge(update, time.monotonic())
    assert (await near.acquire(local_only=True)).is_ok()
    failure = (await near.acquire(local_only=True)).err_value
    assert failure.kind is ErrorKind.DEADLINE_EXCEEDED


async def test_a_waiting_request_gets_the_slot_that_is_released(sites):
    """Guards the queue: the next slot goes to the request that waits."""
    near, _ = sites
    near.announce("a", slots=1)
    first = (await near.acquire()).ok_value
    waiting = asyncio.create_task(near.acquire(5.0, local_only=True))
    await asyncio.sleep(0.05)
    near.release(first)
    assert (await waiting).is_ok()


@pytest.mark.parametrize("moment", ["waiting", "leaving", "granted"])
async def test_a_cancelled_request_keeps_no_slot(sites, moment):
    """Guards slots against callers that go away, also in the moment in
    which the slot is given."""
    near, _ = sites
    near.announce("a", slots=1)
    first = (await near.acquire()).ok_value
    waiting = asyncio.create_task(near.acquire(5.0, local_only=True))
    await asyncio.sleep(0.05)
    if moment == "granted":
        near.release(first)
        waiting.cancel()
    elif moment == "leaving":
        waiting.cancel()
        near.release(first)
    else:
        waiting.cancel()
        await asyncio.sleep(0.01)
        near.release(first)
    await asyncio.gather(waiting, return_exceptions=True)
    assert near.dispatcher.local_load(time.monotonic()).in_flight == {}
    assert (await near.acquire()).is_ok()


async def test_requests_that_cannot_meet_their_deadline_are_shed(sites):
    """Guards against a queue of requests that all come too late."""
    near, _ = sites
    near.announce("a", slots=1)
    for _ in range(3):
        held = (await near.acquire()).ok_value
        near.release(held, latency_s=0.4)
    await near.acquire()
    waiting = [
        asyncio.create_task(near.acquire(5.0, local_only=True))
        for _ in range(3)
    ]
    await asyncio.sleep(0.02)
    started_at = time.monotonic()
    failure = (await near.acquire(1.0, local_only=True)).err_value
    assert failure.kind is ErrorKind.OVERLOADED
    assert time.monotonic() - started_at < 0.2
    for task in waiting:
        task.cancel()
    await asyncio.gather(*waiting, return_exceptions=True)


async def test_urgent_requests_pass_and_accounts_take_turns(sites):
    """Guards the order in which slots are given."""
    near, _ = sites
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
async def test_without_a_server_the_answer_is_no_backend(sites, excluded):
    """Guards retries: a request for which nothing is left does not wait."""
    near, _ = sites
    if excluded:
        near.announce("a")
    started_at = time.monotonic()
    failure = (
        await near.acquire(5.0, excluded=frozenset({"a"}), local_only=True)
    ).err_value
    assert failure.kind is ErrorKind.NO_BACKEND
    assert time.monotonic() - started_at < 0.2


async def test_a_leaving_server_gets_no_new_work(sites):
    """Guards invariant 11 for requests that wait already."""
    near, _ = sites
    near.announce("a", "b", slots=1)
    held = [(await near.acquire()).ok_value for _ in range(2)]
    near.announce("a", slots=1, leaving=True)
    waiting = asyncio.create_task(near.acquire(1.0, local_only=True))
    for one in held:
        if one.server.server_id == "a":
            near.release(one)
    await asyncio.sleep(0.1)
    assert not waiting.done()
    waiting.cancel()


async def test_a_new_version_without_servers_gives_way(sites):
    """Guards requests in a move whose new servers are gone."""
    near, _ = sites
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
    near.dispatcher._copy.proof_at = time.monotonic()
    assert (await near.acquire()).ok_value.version == "1"
    near.announce("n", version="2")
    assert (await near.acquire()).ok_value.version == "2"


async def test_a_failing_server_is_ejected(sites):
    """Guards callers against a server that answers with errors at once and
    so always has free slots."""
    near, _ = sites
    near.announce("bad", "a", "b", "c", slots=8)
    for _ in range(60):
        held = (await near.acquire()).ok_value
        is_bad = held.server.server_id == "bad"
        result = AttemptResult.ERROR if is_bad else AttemptResult.OK
        near.release(held, result)
    later = [(await near.acquire()).ok_value for _ in range(12)]
    assert all(one.server.server_id != "bad" for one in later)
