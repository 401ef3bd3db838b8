"""Slots and load reports of two attempts, with the real dispatcher."""

import asyncio
import contextlib

import attrs
import pytest

from medlarhollow import clock
from medlarhollow.requests import Hedging

from .fakes import close_after_head
from .fakes import eventually
from .fakes import FakeBackend
from .fakes import never_respond
from .fakes import respond
from .hedging_support import fill_budgets
from .hedging_support import SEAL
from .hedging_support import TYPICAL_S
from .test_notices import announce
from .test_notices import call
from .test_notices import DIALECT
from .test_notices import run_entry


def one_slow(slow, usual):
    """Return two servers, of which that with the first request is slow."""
    order = []

    async def behaviour(request, reader, writer):
        order.append(request)
        serve = slow if order[0] is request else usual
        return await serve(request, reader, writer)

    return FakeBackend(behaviour), FakeBackend(behaviour)


@contextlib.asynccontextmanager
async def run_hedging(*backends, **dialect):
    # Servers announce themselves only once here.
    async with run_entry(*backends, lease_s=60.0) as entry:
        entry.vm.dialect = attrs.evolve(DIALECT, **dialect)
        settings = attrs.evolve(
            entry.settings,
            entry=attrs.evolve(entry.settings.entry, hedge_limit=1.0),
        )
        entry.vm.hedging = Hedging(settings, entry.vm.retry_budget)
        for _ in range(10):
            fill_budgets(entry)
        for _ in range(30):
            entry.vm.dispatcher.answer_times.add(
                "plots", "/open", True, TYPICAL_S, clock.monotonic()
            )
        yield entry


def count_in_flight(entry):
    return sum(entry.vm.dispatcher._slots.in_flight.values())


@pytest.mark.parametrize(
    "slow",
    [
        never_respond,
        respond(b"slow", headers=SEAL, delay_s=0.3),
        respond(status="503 Full", headers=SEAL, delay_s=0.3),
    ],
)
@pytest.mark.parametrize(
    "usual",
    [
        respond(b"fast", headers=SEAL),
        respond(b"late", headers=SEAL, delay_s=0.4),
    ],
)
async def test_both_slots_are_released(slow, usual):
    """Guards capacity: a slot that is not released is lost for good."""
    backends = one_slow(slow, usual)
    async with run_hedging(*backends) as entry:
        assert (await call(entry))[0] == 200
        assert all(backend.requests for backend in backends)
        await eventually(lambda: not count_in_flight(entry))


async def test_both_slots_are_released_when_the_caller_leaves():
    backends = one_slow(never_respond, never_respond)
    async with run_hedging(*backends) as entry:
        _, writer = await entry.connect(
            b"GET /open HTTP/1.1\r\nHost: x\r\n\r\n"
        )
        await eventually(lambda: all(b.requests for b in backends))
        assert count_in_flight(entry) == 2
        writer.close()
        await eventually(lambda: not count_in_flight(entry))


async def test_full_second_server_gets_nothing():
    """Guards the slots of servers: a second attempt takes a free one only."""
    backends = one_slow(
        respond(b"slow", headers=SEAL, delay_s=0.5),
        respond(b"busy", headers=SEAL, delay_s=0.5),
    )
    async with run_hedging(*backends) as entry:
        for sequence, backend in enumerate(backends, 10):
            announce(entry, backend, sequence=sequence, slots=1)
        results = await asyncio.gather(call(entry), call(entry))
        assert [status for status, _, _ in results] == [200, 200]
    assert [len(backend.requests) for backend in backends] == [1, 1]


async def test_load_report_of_the_loser_counts():
    """Guards the view of the servers: the failed attempt of the two is not
    used, but its report is as recent as any."""
    rejection = respond(
        status="503 Full", headers=SEAL + "X-Load: 4,2,4\r\n", delay_s=0.25
    )
    usual = respond(b"other", headers=SEAL, delay_s=0.4)
    async with run_hedging(
        *one_slow(rejection, usual), load="x-load"
    ) as entry:
        loads = []
        record_load = entry.vm.dispatcher.record_load

        def record(assignment, load, now):
            loads.append((load.running, load.waiting))
            record_load(assignment, load, now)

        entry.vm.dispatcher.record_load = record
        assert (await call(entry))[::2] == (200, b"other")
        assert loads == [(4, 2)]


async def test_failures_of_hedged_attempts_eject_their_server():
    """Guards callers against a server whose failures stay unseen, since the
    other server always answers in its place."""

    async def fail_late(request, reader, writer):
        await asyncio.sleep(1.5 * TYPICAL_S)
        return await close_after_head(request, reader, writer)

    faulty = FakeBackend(fail_late)
    sound = FakeBackend(respond(headers=SEAL, delay_s=2 * TYPICAL_S))
    async with run_hedging(faulty, sound) as entry:
        for _ in range(60):
            assert (await call(entry))[0] == 200
            usable = entry.vm.dispatcher._slots.candidates(
                "plots", "1", clock.monotonic()
            )
            if len(usable) == 1:
                break
        assert usable[0].view.server.server_id == sound.address
