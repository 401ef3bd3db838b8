"""Attempts that an entry VM counts for the usage reports."""

import asyncio
import contextlib

import aiohttp
import pytest

from medlarhollow import clock
from medlarhollow.entry.dialect import Dialect
from medlarhollow.entry.slot import Slot
from medlarhollow.messages.records import BackendServer
from medlarhollow.messages.records import Route
from medlarhollow.requests import Answered
from medlarhollow.requests import NotSent
from medlarhollow.requests import Refused
from medlarhollow.requests import Unanswered
from medlarhollow.steering import Assignment
from medlarhollow.steering import SlotRequest
from medlarhollow.usage.counter import UsageCounter
from medlarhollow.usage.fleet_clock import FleetClock

from .fakes import close_after_head
from .fakes import EntryHarness
from .fakes import eventually
from .fakes import FakeBackend
from .fakes import make_settings
from .fakes import never_respond
from .fakes import respond
from .fakes import truncate_body


class SlotVm:
    """The components that a slot uses."""

    def __init__(self, counter):
        self.usage_counter = counter
        self.dispatcher = self
        self.version_selector = self
        self.settings = make_settings()
        self.hedging = self

    def record_outcome(self, *arguments):
        pass

    def release(self, *arguments):
        pass

    def record_attempt(self, *arguments):
        pass


@pytest.fixture
def counter():
    return UsageCounter(make_settings(), "1", FleetClock())


def count(counter, age_s=0.0):
    """Return the counts by account over all windows."""
    counts = {}
    for sample in counter.list_samples(clock.monotonic() + age_s):
        for item in sample.counts:
            counts[item.account] = counts.get(item.account, 0) + item.requests
    return counts


def make_slot(counter, remote=False, account="crew"):
    server = BackendServer(server_id="s-1", address="192.0.2.1:80")
    request = SlotRequest(Route(service="plots"), account, 1e9, 0.0)
    assignment = Assignment(server, "1", remote=remote)
    return Slot(SlotVm(counter), request, assignment)


@pytest.mark.parametrize(
    ("outcome", "expected"),
    [
        (Answered(200), {"crew": 1}),
        (Answered(503), {"crew": 1}),
        (Unanswered("no response"), {"crew": 1}),
        (Refused("not run"), {}),
        (NotSent("no connection"), {}),
        (None, {"crew": 1}),
    ],
)
def test_outcome_determines_whether_an_attempt_is_counted(
    counter, outcome, expected
):
    """Guards against refused attempts in the reports, and against cancelled
    or unanswered ones that are missing although the server ran them."""
    slot = make_slot(counter)
    slot.start_timer()
    if outcome is not None:
        slot.record_outcome(outcome)
    slot.release()
    assert count(counter) == expected


def test_slot_that_is_released_unused_counts_nothing(counter):
    """Guards against a reserved slot that counts as an attempt."""
    make_slot(counter).release()
    assert count(counter) == {}


def test_both_attempts_of_a_hedged_request_are_counted(counter):
    """Guards against the count of the caller's requests instead of those that
    servers began to run."""
    slots = [make_slot(counter), make_slot(counter)]
    for slot in slots:
        slot.start_timer()
    slots[1].record_outcome(Answered(200))
    for slot in slots:
        slot.release()
    assert count(counter) == {"crew": 2}


def test_attempt_in_flight_for_long_is_counted_once(counter):
    """Guards against a long request that is counted late, or again at its
    end."""
    slot = make_slot(counter)
    slot.start_timer()
    assert count(counter) == {}
    assert count(counter, age_s=1.0) == {"crew": 1}
    slot.record_outcome(Answered(200))
    slot.release()
    assert count(counter) == {"crew": 1}


@pytest.mark.parametrize(("remote", "account"), [(True, "crew"), (False, "")])
def test_forwarded_and_anonymous_attempts_are_not_counted(
    counter, remote, account
):
    """Guards against a request that both the forwarding VM and the one that
    sends it to a server count, and against an account without a name."""
    slot = make_slot(counter, remote, account)
    slot.start_timer()
    slot.record_outcome(Answered(200))
    slot.release()
    assert count(counter) == {}


REFUSE = respond(status="503 Service Unavailable", headers="X-Not-Run: 1\r\n")


@pytest.mark.parametrize(
    ("behaviours", "expected"),
    [
        ([respond()], 1),
        ([respond(status="500 Internal Server Error")], 1),
        ([close_after_head, respond()], 2),
        ([truncate_body], 1),
        ([REFUSE], 0),
        ([REFUSE, respond()], 1),
        (["127.0.0.1:1"], 0),
        (["127.0.0.1:1", respond()], 1),
    ],
)
async def test_requests_of_callers_are_counted(counter, behaviours, expected):
    """Guards against attempts that the path of a request does not count, or
    counts although no server received them."""
    harness = EntryHarness()
    backends = [
        behaviour if isinstance(behaviour, str) else FakeBackend(behaviour)
        for behaviour in behaviours
    ]
    async with harness.run(*backends):
        harness.vm.usage_counter = counter
        harness.vm.dialect = Dialect(not_run="x-not-run")
        for options in ({}, {"path": "/open", "key": False}):
            with contextlib.suppress(aiohttp.ClientError):
                await harness.call(**options)
    counts = count(counter)
    assert counts.get("crew", 0) == expected
    assert set(counts) <= {"crew"}


async def test_request_of_a_caller_that_leaves_is_counted(counter):
    """Guards against a request that runs on a server, but is not reported
    because its caller did not wait."""
    harness = EntryHarness()
    async with harness.run(FakeBackend(never_respond)) as vm:
        vm.vm.usage_counter = counter
        head = (
            f"GET /plots/7 HTTP/1.1\r\nHost: x\r\n"
            f"X-Medlarhollow-Key: {harness.key}\r\n\r\n"
        )
        _, writer = await harness.connect(head.encode())
        await eventually(lambda: counter._in_flight)
        await asyncio.sleep(0.1)
        writer.close()
        await eventually(lambda: count(counter) == {"crew": 1})
