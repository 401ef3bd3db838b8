"""Idempotent orders through real processes and three replicas."""

import asyncio
import signal

from medlarhollow import clock
from medlarhollow.entry.tests.fakes import make_idempotency_key
from medlarhollow.entry.tests.fakes import respond

from .fleets import run_fleet
from .test_end_to_end import eventually

# Longer than the leases of VMs, allocators and batches of tokens.
FREEZE_S = 5.0


async def test_order_runs_once_when_a_replica_is_killed(tmp_path):
    """Guards invariant 10 end to end: an order that is resent repeatedly
    through another VM after a control replica was killed must run once, and
    new orders must be served."""
    behaviour = respond(b"order 7", "201 Created")
    async with run_fleet(tmp_path, behaviour, replicas=3) as fleet:

        def received_orders():
            return [
                request
                for request in fleet.backend.requests
                if request.head.startswith(b"POST /orders")
            ]

        key = make_idempotency_key()

        async def is_ordered():
            status, headers, body = await fleet.send_order("north-a-1", key)
            return (status, body) == (201, b"order 7")

        await eventually(is_ordered)
        fleet.local_fleet.processes["control-1"].kill()

        async def is_replayed():
            status, headers, body = await fleet.send_order("north-a-2", key)
            return (status, body) == (201, b"order 7") and (
                headers["x-medlarhollow-replay"] == "complete"
            )

        for _ in range(3):
            await eventually(is_replayed)
        assert len(received_orders()) == 1
        await asyncio.gather(
            *(
                eventually(make_order_check(fleet, name))
                for name in ("north-a-1", "north-a-2")
            )
        )
        assert len(received_orders()) == 3


async def test_order_runs_once_when_its_entry_vm_is_frozen(tmp_path):
    """Guards invariant 10 when an entry VM is frozen between its claim and
    the response for longer than every lease: a retry through another VM must
    not run the order again, during the freeze or later."""
    fast = respond(b"order 7", "201 Created")
    slow = respond(b"order 8", "201 Created", delay_s=FREEZE_S + 1.5)
    current_behaviour = [fast]

    async def behaviour(request, reader, writer):
        return await current_behaviour[0](request, reader, writer)

    async with run_fleet(tmp_path, behaviour, replicas=3) as fleet:

        def count_orders():
            heads = [request.head for request in fleet.backend.requests]
            return sum(head.startswith(b"POST /orders") for head in heads)

        await eventually(make_order_check(fleet, "north-a-1"))
        await eventually(make_order_check(fleet, "north-a-2"))
        current_behaviour[0] = slow
        before = count_orders()
        key = make_idempotency_key()
        first = asyncio.create_task(fleet.send_order("north-a-1", key))
        async with asyncio.timeout(FREEZE_S):
            while count_orders() == before:
                await asyncio.sleep(0.01)
        process = fleet.local_fleet.processes["north-a-1"]
        process.send_signal(signal.SIGSTOP)
        end = clock.monotonic() + FREEZE_S
        while clock.monotonic() < end:
            status, headers, _ = await fleet.send_order("north-a-2", key)
            assert status != 201
            assert headers["x-medlarhollow-outcome"] in ("unknown", "not-run")
            await asyncio.sleep(0.2)
        process.send_signal(signal.SIGCONT)

        async def is_replayed():
            status, headers, body = await fleet.send_order("north-a-2", key)
            return (status, body) == (201, b"order 8") and (
                headers["x-medlarhollow-replay"] == "complete"
            )

        await eventually(is_replayed)
        await asyncio.wait({first})
        assert count_orders() == before + 1


def make_order_check(fleet, name):
    """Return a check that sends a new order, under one key."""
    key = make_idempotency_key()

    async def check():
        return (await fleet.send_order(name, key))[0] == 201

    return check
