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

from .fakes import copy_ledger
from .world import FIRST
from .world import kill
from .world import kill_at
from .world import LEASE_S
from .world import World


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
    world.elect("c2")
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


async def test_late_counts_are_logged(world, caplog):
    """Guards against requests that no report contains, unnoticed."""
    world.elect("c1")
    await world.run(10)
    world.totals.windows[FIRST]["crew"] += 3
    await world.run(19)
    assert "after it was settled" not in caplog.text
    await world.run(10)
    message = f"usage: 3 requests of window {FIRST} arrived after it was"
    assert caplog.text.count("after it was settled") == 1
    assert message in caplog.text


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
