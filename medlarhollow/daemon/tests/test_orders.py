"""Orders through real processes: claims committed by three replicas."""

import asyncio
import signal
import time

from medlarhollow.entry.tests.fakes import make_idempotency_key
from medlarhollow.entry.tests.fakes import respond

from .fleets import run_fleet
from .test_whole_path import eventually

# Longer than the leases of VMs, allocators and batches.
FROZEN_S = 5.0


async def test_order_runs_once_while_a_replica_dies(tmp_path):
    """Guards invariant 10 over the whole path: an order is resent through
    another VM after a control replica was killed, and again and again, and
    must run once; new orders must go on."""
    behave = respond(b"order 7", "201 Created")
    async with run_fleet(tmp_path, behave, replicas=3) as fleet:

        def orders():
            return [
                request
                for request in fleet.backend.requests
                if request.head.startswith(b"POST /orders")
            ]

        key = make_idempotency_key()

        async def ordered():
            status, headers, body = await fleet.order("north-a-1", key)
            return (status, body) == (201, b"order 7")

        await eventually(ordered)
        fleet.fleet.processes["control-1"].kill()

        async def resent():
            status, headers, body = await fleet.order("north-a-2", key)
            return (status, body) == (201, b"order 7") and (
                headers["x-medlarhollow-replay"] == "complete"
            )

        for _ in range(3):
            await eventually(resent)
        assert len(orders()) == 1
        await asyncio.gather(
            *(
                eventually(make_order(fleet, name))
                for name in ("north-a-1", "north-a-2")
            )
        )
        assert len(orders()) == 3


async def test_order_runs_once_while_its_entry_vm_is_frozen(tmp_path):
    """Guards invariant 10 against an entry VM that is frozen, for longer
    than every lease, between its claim and the answer: a resend through
    another VM must not run the order again, then or later."""
    quick = respond(b"order 7", "201 Created")
    slow = respond(b"order 8", "201 Created", delay_s=FROZEN_S + 1.5)
    chosen = [quick]

    async def behave(request, reader, writer):
        return await chosen[0](request, reader, writer)

    async with run_fleet(tmp_path, behave, replicas=3) as fleet:

        def count():
            heads = [request.head for request in fleet.backend.requests]
            return sum(head.startswith(b"POST /orders") for head in heads)

        await eventually(make_order(fleet, "north-a-1"))
        await eventually(make_order(fleet, "north-a-2"))
        chosen[0] = slow
        before = count()
        key = make_idempotency_key()
        first = asyncio.create_task(fleet.order("north-a-1", key))
        async with asyncio.timeout(FROZEN_S):
            while count() == before:
                await asyncio.sleep(0.01)
        process = fleet.fleet.processes["north-a-1"]
        process.send_signal(signal.SIGSTOP)
        end = time.monotonic() + FROZEN_S
        while time.monotonic() < end:
            status, headers, _ = await fleet.order("north-a-2", key)
            assert status != 201
            assert headers["x-medlarhollow-outcome"] in ("unknown", "not-run")
            await asyncio.sleep(0.2)
        process.send_signal(signal.SIGCONT)

        async def resent():
            status, headers, body = await fleet.order("north-a-2", key)
            return (status, body) == (201, b"order 8") and (
                headers["x-medlarhollow-replay"] == "complete"
            )

        await eventually(resent)
        await asyncio.wait({first})
        assert count() == before + 1


def make_order(fleet, name):
    """Return a check that sends one more order under one key."""
    key = make_idempotency_key()

    async def check():
        return (await fleet.order(name, key))[0] == 201

    return check
