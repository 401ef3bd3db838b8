"""Orders through real processes: claims committed by three replicas."""

import asyncio

from medlarhollow.entry.tests.stand_ins import answer
from medlarhollow.entry.tests.stand_ins import make_idempotency_key

from .fleets import run_fleet
from .test_whole_path import eventually


async def test_order_runs_once_while_a_replica_dies(tmp_path):
    """Guards invariant 10 over the whole path: an order is resent through
    another VM after a control replica was killed, and again and again, and
    must run once; new orders must go on."""
    behave = answer(b"order 7", "201 Created")
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


def make_order(fleet, name):
    """Return a check that sends one more order under one key."""
    key = make_idempotency_key()

    async def check():
        return (await fleet.order(name, key))[0] == 201

    return check
