"""Moves from their start to their end, with the rules that are agreed on."""

from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from medlarhollow.messages.records import MoveState

from .simulation import NOW
from .simulation import TICK_S
from .simulation import World


def test_a_good_version_takes_over_in_time():
    """A good version must not be held up or rolled back."""
    world = World()
    assert world.run() is MoveState.FINISHED
    assert world.fractions == [0.0, 0.01, 0.26, 0.51, 0.76, 0.95, 1.0]
    assert world.state.services["plots"].version == "2"


def test_a_good_version_with_little_traffic_takes_over_in_time():
    """Four answers at 1% of 2 requests a second take minutes."""
    world = World(rate_per_s=2.0, deadline_s=NOW + 1200)
    assert world.run() is MoveState.FINISHED


@pytest.mark.parametrize("kind", ["errors", "slow", "unanswered"])
def test_a_bad_version_gets_little_traffic(kind):
    """A version that fails every other request must seldom leave 1%, and be
    found within a second or two if it does. At 40 requests a second the first
    step sees about a dozen, so a lucky streak cannot be ruled out."""
    worlds = [World(seed=seed) for seed in range(20)]
    for world in worlds:
        state = world.run(lambda fraction, after_s: {kind: 0.5})
        assert state is MoveState.ROLLED_BACK
        assert kind in world.move.reason
        assert world.new_requests <= 50
    lucky = [world for world in worlds if max(world.fractions) > 0.01]
    assert len(lucky) <= 3
    assert max(max(world.fractions) for world in worlds) <= 0.26


def test_a_version_that_is_bad_under_load_is_rolled_back():
    """The first step says nothing of a fault that needs load."""
    world = World()
    state = world.run(
        lambda fraction, after_s: {"slow": 0.4 if fraction > 0.3 else 0.0}
    )
    assert state is MoveState.ROLLED_BACK
    assert max(world.fractions) == 0.51


def test_a_version_that_turns_bad_late_is_rolled_back_soon():
    """Good answers of an hour must not hide a fault that comes then."""
    world = World(
        rate_per_s=20.0, step_s=600.0, cap=0.25, deadline_s=NOW + 4000
    )
    state = world.run(
        lambda fraction, after_s: {"errors": 0.3 if after_s > 2000 else 0.01}
    )
    assert state is MoveState.ROLLED_BACK
    assert "errors" in world.move.reason
    assert world.ended_at - NOW < 2030


def test_without_measurements_no_step_is_made():
    """Silence is not a good answer."""
    world = World()
    state = world.run(measured=lambda after_s: False)
    assert state is MoveState.ROLLED_BACK
    assert max(world.fractions) == 0.01
    assert "measurements" in world.move.reason or "time" in world.move.reason


def test_answers_before_measurements_stopped_are_no_ground_for_a_step():
    """Enough good answers come early in a long step; what follows counts."""
    world = World(step_s=30.0, deadline_s=NOW + 300)
    state = world.run(measured=lambda after_s: after_s < 15)
    assert state is MoveState.ROLLED_BACK
    assert max(world.fractions) == 0.01


def test_measurements_that_stop_late_lead_back_in_capped_steps():
    """The way back must keep the cap where there is time for it."""
    world = World(rate_per_s=400.0, deadline_s=NOW + 300)
    state = world.run(measured=lambda after_s: after_s < 45)
    assert state is MoveState.ROLLED_BACK
    assert max(world.fractions) > 0.5
    down = list(zip(world.fractions, world.fractions[1:], strict=False))
    assert all(after >= before - 0.25 - 1e-9 for before, after in down)
    assert world.ended_at <= NOW + 299


@settings(max_examples=200, deadline=None)
@given(
    cap=st.sampled_from([0.1, 0.25, 0.5, 1.0]),
    step_s=st.sampled_from([1.0, 5.0, 20.0]),
    spare_s=st.sampled_from([3.0, 20.0, 200.0]),
    changes=st.lists(st.integers(1, 200), max_size=4),
    silent=st.tuples(st.integers(0, 150), st.integers(0, 150)),
    bad_after_s=st.sampled_from([0, 20, 60, 10000]),
    seed=st.integers(0, 3),
)
@example(0.25, 20.0, 3.0, [], (0, 0), 10000, 0)
def test_every_move_ends_by_its_deadline(
    cap, step_s, spare_s, changes, silent, bad_after_s, seed
):
    """Leader changes, silence and faults at any time must not leave a move
    open, and the leader must not plan what the rules reject."""
    steps = 1 + round(1 / cap)
    deadline_s = NOW + steps * step_s + spare_s
    world = World(cap=cap, step_s=step_s, deadline_s=deadline_s, seed=seed)
    leaders = {number * TICK_S for number in changes}

    def measured(after_s):
        if after_s in leaders:
            world.change_leader()
        return not silent[0] <= after_s < silent[1]

    def faults(fraction, after_s):
        return {"errors": 0.5 if after_s >= bad_after_s else 0.01}

    world.run(faults, measured)
    assert world.ended_at <= deadline_s - 1
