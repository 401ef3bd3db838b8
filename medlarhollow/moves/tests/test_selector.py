"""What one entry VM does about a bad version without the leader."""

import random

import attrs
import pytest

from medlarhollow.configuration import FleetState
from medlarhollow.messages.records import Move
from medlarhollow.messages.records import MoveState
from medlarhollow.messages.records import Service
from medlarhollow.moves import choose_version
from medlarhollow.moves import VersionSelector
from medlarhollow.settings.generated import LimitsSettings
from medlarhollow.settings.generated import VmSettings

DEADLINE_S = 5000.0
OFFSET_S = 4000.0  # Unix time minus monotonic time
MOVE = Move(
    "m1", "plots", "1", "2", deadline_s=DEADLINE_S, cap=0.25, fraction=0.26
)


class Settings:
    """The sections that the selector reads."""

    vm = VmSettings(name="a1", cluster="test", region="n", data_centre="dc-a")
    limits = LimitsSettings(key_freshness_limit_s=4.0)


class FakeStateCache:
    """The agreed state, with a proof of authority at a time of choice."""

    def __init__(self, *moves):
        self.state = FleetState(revision=7, time_s=OFFSET_S)
        self.state.services["plots"] = Service("plots", bytes(32), "1")
        self.state.moves = {move.move_id: move for move in moves}
        self.proof_at = 0.0

    def freshness_age_s(self, now):
        return now - self.proof_at

    def put(self, move):
        self.state.moves[move.move_id] = move
        self.state.revision += 1


def make_selector(state_cache):
    return VersionSelector(Settings, state_cache, OFFSET_S)


def serve(selector, requests, new_rate, old_rate=0.01, seed=1, kind="error"):
    """Serve requests; return how many of them reached the new version."""
    rng = random.Random(seed)
    reached = 0
    for _ in range(requests):
        version = selector.choose("plots", rng.random(), 0.0)
        bad = rng.random() < (new_rate if version == "2" else old_rate)
        how = {"error": False, "slow": False, "unanswered": False, kind: bad}
        selector.record_attempt("plots", version, "/plots", **how)
        reached += version == "2"
    return reached


@pytest.mark.parametrize("point", [0.0, 0.2599, 0.26, 0.9])
@pytest.mark.parametrize("state", list(MoveState))
def test_without_a_finding_the_agreed_fraction_holds(point, state):
    """All VMs must split traffic alike, or the cap would not hold."""
    state_cache = FakeStateCache(attrs.evolve(MOVE, state=state))
    expected = choose_version(state_cache.state, "plots", point)
    assert make_selector(state_cache).choose("plots", point, 1.0) == expected


@pytest.mark.parametrize("kind", ["error", "slow", "unanswered"])
def test_a_bad_version_is_cut_off_before_the_leader_agrees(kind):
    """The leader hears of it a second later, or never if it is away."""
    selector = make_selector(FakeStateCache(MOVE))
    assert serve(selector, 2000, 0.6, kind=kind) <= 40
    assert selector.choose("plots", 0.0, 0.0) == "1"


def test_good_versions_are_not_cut_off():
    """Every VM runs a test of its own, so false alarms add up."""
    for seed in range(100):
        selector = make_selector(FakeStateCache(MOVE))
        serve(selector, 200, 0.05, 0.05, seed)
        assert selector.choose("plots", 0.0, 0.0) == "2"


def test_a_cut_lasts_while_the_move_goes_on_and_ends_with_it():
    """A step that the leader makes meanwhile must not undo the cut, and a
    later move must not suffer from it."""
    state_cache = FakeStateCache(MOVE)
    selector = make_selector(state_cache)
    serve(selector, 500, 1.0)
    state_cache.put(attrs.evolve(MOVE, fraction=0.51))
    assert selector.choose("plots", 0.0, 0.0) == "1"
    state_cache.put(
        attrs.evolve(MOVE, state=MoveState.ROLLED_BACK, fraction=0.0)
    )
    assert selector.choose("plots", 0.0, 0.0) == "1"
    state_cache.put(attrs.evolve(MOVE, move_id="m2", to_version="3"))
    assert selector.choose("plots", 0.0, 0.0) == "3"


def test_a_vm_that_is_cut_off_rolls_back_at_the_deadline():
    """Nobody can tell it how the move ended."""
    state_cache = FakeStateCache(MOVE)
    selector = make_selector(state_cache)
    before, after = DEADLINE_S - OFFSET_S - 1, DEADLINE_S - OFFSET_S
    assert selector.choose("plots", 0.0, before) == "2"
    assert selector.choose("plots", 0.0, after) == "1"


def test_a_vm_that_is_not_cut_off_leaves_the_deadline_to_the_leader():
    """Its clock may be ahead; a move that is on time must not be undone."""
    state_cache = FakeStateCache(MOVE)
    after = DEADLINE_S - OFFSET_S + 60
    state_cache.proof_at = after - 1
    assert make_selector(state_cache).choose("plots", 0.0, after) == "2"


def test_a_clock_that_is_behind_does_not_put_the_deadline_off():
    """The agreed time plus the age of the proof has passed in any case."""
    state_cache = FakeStateCache(MOVE)
    selector = VersionSelector(Settings, state_cache, OFFSET_S - 600)
    after = DEADLINE_S - OFFSET_S
    assert selector.choose("plots", 0.0, after) == "1"


def test_counts_are_passed_on():
    """The leader needs the figures of all VMs, those cut off included."""
    selector = make_selector(FakeStateCache(MOVE))
    serve(selector, 100, 0.0, 0.0)
    counts = selector.pop_samples()
    assert sum(sample.requests for sample in counts) == 100
    assert {sample.region for sample in counts} == {"n"}
    assert selector.pop_samples() == ()
