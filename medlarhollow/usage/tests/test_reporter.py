"""Usage reports under faults of holders, links and the receiver.

Two control replicas run in virtual time with the real ledger, planner and
reporter against a stand-in of the receiver.
"""

import asyncio

import pytest

from medlarhollow import clock
from medlarhollow.messages.records import AcquireUsageHolder
from medlarhollow.messages.records import ConfirmUsage
from medlarhollow.messages.records import SettleUsage
from medlarhollow.usage import reporter as reporter_module
from medlarhollow.usage.calls import UsageResponse
from medlarhollow.usage.reporter import UsageReporter

from .fakes import copy_ledger
from .fakes import FakeFleetClock
from .fakes import FakeReplica
from .fakes import FakeReports
from .fakes import FakeTelemetry
from .fakes import FakeTotals
from .fakes import make_settings
from .fakes import Quorum
from .fakes import Receiver

FIRST = 1000
WINDOW_S = 5.0
LEASE_S = 3.0
DUE_S = 10.0
TICK_S = 0.1


class KilledError(Exception):
    """The process was killed at this point."""


def kill_at(kind):
    """Return a function that kills the process at one kind of change."""

    def kill(body):
        if isinstance(body, kind):
            raise KilledError

    return kill


def kill(call):
    raise KilledError


class World:
    """Two replicas, an entry VM and the receiver in virtual time."""

    def __init__(self):
        self.now = FIRST * WINDOW_S
        self.quorum = Quorum()
        self.receiver = Receiver()
        self.totals = FakeTotals()
        self.telemetry = FakeTelemetry()
        self.replicas = {}
        self.reporters = {}
        self.paused = set()
        for name in ("c1", "c2"):
            self.start(name)

    def start(self, name, incarnation="i1"):
        """Start a process, as a follower."""
        self.replicas[name] = replica = FakeReplica(self.quorum, ["a1"])
        self.reporters[name] = UsageReporter(
            make_settings(name),
            replica,
            FakeReports("a1"),
            self.totals,
            FakeFleetClock(),
            self.receiver,
            incarnation,
            self.telemetry,
        )

    def elect(self, name, is_noticed=True):
        """Elect a leader; the earlier one notices it or not."""
        earlier = self.quorum.leader
        self.quorum.elect(self.replicas[name])
        if earlier is not None and earlier is not self.replicas[name]:
            earlier.is_leader = not is_noticed

    async def run(self, duration_s):
        """Let time pass; return the names of processes that were killed."""
        killed = []
        end_at = self.now + duration_s
        while self.now < end_at - TICK_S / 2:
            self.now = round(self.now + TICK_S, 3)
            self.receiver.now = self.now
            self._count()
            for name in set(self.reporters) - self.paused:
                try:
                    while await self.reporters[name].step(self.now):
                        pass
                except KilledError:
                    del self.reporters[name]
                    killed.append(name)
        return killed

    def _count(self):
        """Let the entry VM send 7 requests in each window."""
        window = int((self.now - 1.0) // WINDOW_S) - 1
        if window >= FIRST:
            self.totals.windows.setdefault(window, {"crew": 7})
            self.totals.complete.add((window, "a1", "i1"))

    def reported(self):
        """Return the windows in the order in which they were accepted."""
        return list(dict.fromkeys(call[3] for call in self.receiver.accepted))

    def calls_by(self, holder):
        return [call for call in self.receiver.calls if call[1] == holder]

    def check(self):
        """Check what must hold in every run."""
        counts, owners = {}, {}
        for _, holder, token, window, sent in self.receiver.calls:
            assert counts.setdefault(window, sent) == sent
            assert owners.setdefault(token, holder) == holder
        accepted = self.receiver.accepted
        for first, second, third in zip(
            accepted, accepted[1:], accepted[2:], strict=False
        ):
            if first[1] == third[1] != second[1]:
                assert third[0] - first[0] > LEASE_S

    def check_due(self, until):
        """Check that windows up to one were accepted in time, in order."""
        assert self.reported()[: until - FIRST] == list(range(FIRST, until))
        for accepted_at, _, _, window, _ in self.first_accepted():
            assert accepted_at <= (window + 1) * WINDOW_S + DUE_S

    def first_accepted(self):
        seen = {}
        for call in self.receiver.accepted:
            seen.setdefault(call[3], call)
        return list(seen.values())


@pytest.fixture
def world(monkeypatch):
    world = World()
    monkeypatch.setattr(clock, "monotonic", lambda: world.now)
    yield world
    world.check()


async def test_each_window_costs_one_call(world):
    """Guards against repeated calls, each of which has a price."""
    world.elect("c1")
    await world.run(30)
    assert [call[3] for call in world.receiver.calls] == [
        FIRST,
        FIRST + 1,
        FIRST + 2,
        FIRST + 3,
        FIRST + 4,
    ]
    world.check_due(FIRST + 5)
    assert world.quorum.ledger.windows == ()
    assert world.telemetry.calls == ["accepted"] * 5


async def test_follower_does_nothing(world):
    """Guards against reports by every control replica."""
    world.elect("c1")
    await world.run(12)
    assert not world.calls_by("c2")


KILLS = {
    "before the settled entry": ("before_commit", SettleUsage),
    "after the settled entry": ("after_commit", SettleUsage),
    "before the send": ("before_call", None),
    "after the receiver has accepted": ("after_call", None),
    "before the confirmed entry": ("before_commit", ConfirmUsage),
    "after the confirmed entry": ("after_commit", ConfirmUsage),
    "before the token": ("before_commit", AcquireUsageHolder),
    "after the token": ("after_commit", AcquireUsageHolder),
}


@pytest.mark.parametrize("point", KILLS)
async def test_holder_is_killed(world, point):
    """Guards against a window that is lost, late or sent with other counts
    when the holder is killed at any point."""
    hook, kind = KILLS[point]
    if kind is None:
        setattr(world.receiver, hook, kill)
    else:
        setattr(world.replicas["c1"], hook, kill_at(kind))
    world.elect("c1")
    assert await world.run(8) == ["c1"]
    world.receiver.before_call = world.receiver.after_call = lambda call: None
    for counts in world.totals.windows.values():
        counts["crew"] += 1
    world.elect("c2")
    elected_at = world.now
    await world.run(24)
    world.check_due(FIRST + 4)
    assert world.calls_by("c2")[0][0] >= elected_at + LEASE_S


async def test_loss_of_all_power_keeps_the_settled_counts(world):
    """Guards against other counts after all replicas restarted."""
    world.replicas["c1"].after_commit = kill_at(SettleUsage)
    world.elect("c1")
    assert await world.run(8) == ["c1"]
    world.totals.windows[FIRST] = {"crew": 1}
    world.quorum.ledger = copy_ledger(world.quorum.ledger)
    world.quorum.leader = None
    world.start("c1", "i2")
    world.elect("c1")
    await world.run(8)
    (call, *_) = world.receiver.calls
    assert (call[3], call[4][0].requests) == (FIRST, 7)
    assert call[2] == 2


async def test_frozen_holder_stops_after_one_call(world):
    """Guards against calls with a rejected token by a holder that was frozen
    over the end of its leadership."""
    world.elect("c1")
    await world.run(8)
    world.receiver.responses = [UsageResponse.FAILED]
    await world.run(3.2)
    world.paused.add("c1")
    world.elect("c2", is_noticed=False)
    await world.run(4.3)
    sent = len(world.calls_by("c1"))
    world.paused.clear()
    await world.run(10)
    assert len(world.calls_by("c1")) == sent + 1
    assert "fenced" in world.telemetry.calls
    world.check_due(FIRST + 3)


async def test_frozen_holder_does_not_send_without_a_quorum(world):
    """Guards against a call before a frozen leader has noticed that no
    quorum acknowledges it any more."""
    world.elect("c1")
    await world.run(8)
    world.receiver.responses = [UsageResponse.FAILED]
    await world.run(3.2)
    world.paused.add("c1")
    world.elect("c2", is_noticed=False)
    await world.run(4.3)
    sent = len(world.calls_by("c1"))
    world.replicas["c1"].age_s = 4.3
    world.paused.clear()
    await world.run(10)
    assert len(world.calls_by("c1")) == sent
    world.check_due(FIRST + 3)


async def test_two_replicas_believe_they_lead(world):
    """Guards against two counts for a window, and against more calls of the
    deposed leader than the one that shows that it is deposed."""
    world.elect("c1")
    await world.run(9)
    world.receiver.responses = [UsageResponse.FAILED] * 2
    await world.run(2.5)
    world.elect("c2", is_noticed=False)
    elected_at = world.now
    await world.run(30)
    late = [
        call
        for call in world.calls_by("c1")
        if call[0] > elected_at + 2 * LEASE_S
    ]
    assert len(late) <= 1
    world.check_due(FIRST + 5)


async def test_holder_cut_off_from_control_stops(world):
    """Guards against a holder that reaches the receiver but no quorum."""
    world.elect("c1")
    await world.run(8)
    world.receiver.responses = [UsageResponse.FAILED]
    await world.run(3.2)
    world.elect("c2", is_noticed=False)
    world.replicas["c1"].age_s = 1.5
    cut_at = world.now
    await world.run(30)
    assert all(call[0] <= cut_at for call in world.calls_by("c1"))
    world.check_due(FIRST + 6)


async def test_receiver_down_for_three_windows(world):
    """Guards against calls without a delay, windows that are not settled
    meanwhile, and reports out of order afterwards."""
    world.elect("c1")
    world.receiver.responses = [UsageResponse.FAILED] * 7
    await world.run(28)
    calls = [call[0] for call in world.receiver.calls[:8]]
    delays = [
        round(later - earlier, 1)
        for earlier, later in zip(calls, calls[1:], strict=False)
    ]
    assert delays == [0.5, 1.0, 2.0, 4.0, 4.0, 4.0, 4.0]
    assert world.reported()[:4] == list(range(FIRST, FIRST + 4))
    accepted_at = [call[0] for call in world.receiver.accepted[:4]]
    assert accepted_at[0] == pytest.approx(calls[0] + 19.5)
    assert accepted_at[3] - accepted_at[0] < 1.0


async def test_throttled_call_is_repeated_after_a_delay(world):
    """Guards against calls above the receiver's rate."""
    world.elect("c1")
    world.receiver.responses = [UsageResponse.THROTTLED]
    await world.run(12)
    first, second = world.receiver.calls[:2]
    assert first[1:] == second[1:]
    assert second[0] - first[0] >= 0.5
    world.check_due(FIRST + 1)


async def test_rejected_token_is_not_used_again(world):
    """Guards against further calls with a token that was rejected."""
    world.elect("c1")
    world.receiver.responses = [UsageResponse.FENCED] * 2
    await world.run(12)
    assert [call[2] for call in world.receiver.calls[:3]] == [1, 2, 3]
    world.check_due(FIRST + 1)


async def test_call_that_hangs_ends(world, monkeypatch):
    """Guards against a receiver that does not respond and keeps the next
    windows from being settled, and a call that is executed after newer
    ones."""
    monkeypatch.setattr(reporter_module, "CALL_TIMEOUT_S", 0.01)
    world.elect("c1")
    respond = world.receiver.send
    late = []

    async def hang(*call):
        late.append((world.now, *call))
        await asyncio.Event().wait()

    world.receiver.send = hang
    await world.run(8)
    assert late
    world.receiver.send = respond
    world.reporters["c1"]._client = world.receiver
    world.elect("c2")
    world.reporters["c2"]._client = world.receiver
    await world.run(8)
    world.receiver.calls += late
    accepted = list(world.receiver.accepted)
    assert {world.receiver.execute(call) for call in late} == {
        UsageResponse.FENCED
    }
    assert world.receiver.accepted == accepted
    assert world.quorum.ledger.settled >= FIRST + 1


async def test_late_call_of_the_same_holder_is_an_exact_repeat(world):
    """Guards against other counts in a call that is executed after it was
    repeated."""
    world.elect("c1")
    late = []

    def lose(call):
        late.append(call)
        raise TimeoutError

    world.receiver.before_call = lose
    await world.run(6.5)
    world.receiver.before_call = lambda call: None
    for counts in world.totals.windows.values():
        counts["crew"] += 5
    await world.run(5)
    world.receiver.execute(late[0])
    sent = {call[4] for call in world.receiver.accepted if call[3] == FIRST}
    assert len(sent) == 1


async def test_new_holder_waits_for_the_lease(world):
    """Guards against holders that act by turns within the lease."""
    world.elect("c1")
    await world.run(7)
    for name in ("c2", "c1", "c2"):
        world.elect(name)
        elected_at = world.now
        settled = world.quorum.ledger.settled
        await world.run(LEASE_S - 0.2)
        assert world.quorum.ledger.settled == settled
        await world.run(7)
        calls = [call for call in world.calls_by(name) if call[0] > elected_at]
        assert calls[0][0] >= elected_at + LEASE_S


async def test_holder_that_is_elected_again_does_not_wait(world):
    """Guards against a late report after an election that changed nothing."""
    world.elect("c1")
    await world.run(10.5)
    world.elect("c1")
    await world.run(1)
    assert world.receiver.calls[-1][2:4] == (2, FIRST + 1)


async def test_restarted_process_waits(world):
    """Guards against another VM under the same name that acts at once."""
    world.elect("c1")
    await world.run(10.5)
    world.start("c1", "i2")
    world.elect("c1")
    restarted_at = world.now
    await world.run(6)
    assert world.receiver.calls[-1][0] >= restarted_at + LEASE_S


async def test_unused_token_does_not_end_the_wait(world):
    """Guards against a holder that loses its leadership while it waits,
    is elected again and acts at once after another holder."""
    world.elect("c1")
    await world.run(9)
    world.elect("c2")
    await world.run(1)
    world.elect("c2")
    elected_at = world.now
    await world.run(6)
    assert world.calls_by("c2")[0][0] >= elected_at + LEASE_S
