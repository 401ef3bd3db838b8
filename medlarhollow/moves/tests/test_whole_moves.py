"""Tests of whole moves, planned and applied by the replicated rules."""

from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from medlarhollow.messages.records import MoveState

from .simulation import MoveSimulation
from .simulation import NOW
from .simulation import TICK_S


def test_a_good_version_takes_over_in_time():
    """Guards against delaying or rolling back a good version."""
    simulation = MoveSimulation()
    assert simulation.run() is MoveState.FINISHED
    assert simulation.fractions == [0.0, 0.01, 0.26, 0.51, 0.76, 0.95, 1.0]
    assert simulation.state.services["plots"].version == "2"


def test_a_good_version_with_little_traffic_takes_over_in_time():
    """Guards the deadline: 4 outcomes at 1% of 2 requests/s take minutes."""
    simulation = MoveSimulation(rate_per_s=2.0, deadline_s=NOW + 1200)
    assert simulation.run() is MoveState.FINISHED


@pytest.mark.parametrize("kind", ["errors", "slow", "unanswered"])
def test_a_bad_version_gets_little_traffic(kind):
    """Guards against much traffic to a version that fails every other request.

    It must seldom get past the first step of 1%, and must be detected within
    1 or 2 s if it does. At 40 requests/s the first step sees about a dozen
    requests, so a run of good outcomes cannot be ruled out.
    """
    simulations = [MoveSimulation(seed=seed) for seed in range(20)]
    for simulation in simulations:
        state = simulation.run(lambda fraction, after_s: {kind: 0.5})
        assert state is MoveState.ROLLED_BACK
        assert kind in simulation.move.reason
        assert simulation.new_requests <= 50
    past_first_step = [
        simulation
        for simulation in simulations
        if max(simulation.fractions) > 0.01
    ]
    assert len(past_first_step) <= 3
    assert max(max(simulation.fractions) for simulation in simulations) <= 0.26


def test_a_version_that_is_bad_under_load_is_rolled_back():
    """Guards against faults that appear only under load."""
    simulation = MoveSimulation()
    state = simulation.run(
        lambda fraction, after_s: {"slow": 0.4 if fraction > 0.3 else 0.0}
    )
    assert state is MoveState.ROLLED_BACK
    assert max(simulation.fractions) == 0.51


def test_a_version_with_a_late_fault_is_rolled_back_soon():
    """Guards against a late fault that earlier good outcomes hide."""
    simulation = MoveSimulation(
        rate_per_s=20.0, step_s=600.0, cap=0.25, deadline_s=NOW + 4000
    )
    state = simulation.run(
        lambda fraction, after_s: {"errors": 0.3 if after_s > 2000 else 0.01}
    )
    assert state is MoveState.ROLLED_BACK
    assert "errors" in simulation.move.reason
    assert simulation.ended_at - NOW < 2030


def test_without_measurements_no_step_is_made():
    """Guards against treating missing measurements as success."""
    simulation = MoveSimulation()
    state = simulation.run(measured=lambda after_s: False)
    assert state is MoveState.ROLLED_BACK
    assert max(simulation.fractions) == 0.01
    assert (
        "measurements" in simulation.move.reason
        or "time" in simulation.move.reason
    )


def test_outcomes_before_measurements_stopped_allow_no_step():
    """Guards against a step on outdated evidence late in a long step."""
    simulation = MoveSimulation(step_s=30.0, deadline_s=NOW + 300)
    state = simulation.run(measured=lambda after_s: after_s < 15)
    assert state is MoveState.ROLLED_BACK
    assert max(simulation.fractions) == 0.01


def test_late_loss_of_measurements_steps_back_within_the_cap():
    """Guards the cap on the way back where there is time for it."""
    simulation = MoveSimulation(rate_per_s=400.0, deadline_s=NOW + 300)
    state = simulation.run(measured=lambda after_s: after_s < 45)
    assert state is MoveState.ROLLED_BACK
    assert max(simulation.fractions) > 0.5
    steps = list(
        zip(simulation.fractions, simulation.fractions[1:], strict=False)
    )
    assert all(after >= before - 0.25 - 1e-9 for before, after in steps)
    assert simulation.ended_at <= NOW + 299


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
    """Guards against moves left open by leader changes, missing measurements
    or faults, and against planned changes that the rules reject."""
    steps = 1 + round(1 / cap)
    deadline_s = NOW + steps * step_s + spare_s
    simulation = MoveSimulation(
        cap=cap, step_s=step_s, deadline_s=deadline_s, seed=seed
    )
    leaders = {number * TICK_S for number in changes}

    def measured(after_s):
        if after_s in leaders:
            simulation.change_leader()
        return not silent[0] <= after_s < silent[1]

    def faults(fraction, after_s):
        return {"errors": 0.5 if after_s >= bad_after_s else 0.01}

    simulation.run(faults, measured)
    assert simulation.ended_at <= deadline_s - 1
