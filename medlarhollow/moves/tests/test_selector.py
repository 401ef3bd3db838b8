"""Tests of the reaction of one entry VM to a bad version."""

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
    """Replicated state with a freshness proof at a time set by the test."""

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
    """Return how many of the requests reached the new version."""
    rng = random.Random(seed)
    reached = 0
    for _ in range(requests):
        version = selector.choose("plots", rng.random(), 0.0)
        bad = rng.random() < (new_rate if version == "2" else old_rate)
        outcome = {
            "error": False,
            "slow": False,
            "unanswered": False,
            kind: bad,
        }
        selector.record_attempt("plots", version, "/plots", **outcome)
        reached += version == "2"
    return reached


@pytest.mark.parametrize("point", [0.0, 0.2599, 0.26, 0.9])
@pytest.mark.parametrize("state", list(MoveState))
def test_without_a_regression_the_replicated_fraction_applies(point, state):
    """Guards the cap, which requires that all VMs split traffic alike."""
    state_cache = FakeStateCache(attrs.evolve(MOVE, state=state))
    expected = choose_version(state_cache.state, "plots", point)
    assert make_selector(state_cache).choose("plots", point, 1.0) == expected


@pytest.mark.parametrize("kind", ["error", "slow", "unanswered"])
def test_a_bad_version_loses_traffic_before_the_leader_decides(kind):
    """Guards against the delay until the leader reacts, about 1 s, and against
    an unreachable leader."""
    selector = make_selector(FakeStateCache(MOVE))
    assert serve(selector, 2000, 0.6, kind=kind) <= 40
    assert selector.choose("plots", 0.0, 0.0) == "1"


def test_good_versions_keep_their_traffic():
    """Guards against false alarms, which add up over the VMs."""
    for seed in range(100):
        selector = make_selector(FakeStateCache(MOVE))
        serve(selector, 200, 0.05, 0.05, seed)
        assert selector.choose("plots", 0.0, 0.0) == "2"


def test_the_breaker_stays_open_until_the_move_ends():
    """Guards against a step of the leader that resets the breaker, and
    against a breaker that affects a later move."""
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


def test_a_partitioned_vm_rolls_back_at_the_deadline():
    """Guards against traffic to a new version after an unknown result."""
    state_cache = FakeStateCache(MOVE)
    selector = make_selector(state_cache)
    before, after = DEADLINE_S - OFFSET_S - 1, DEADLINE_S - OFFSET_S
    assert selector.choose("plots", 0.0, before) == "2"
    assert selector.choose("plots", 0.0, after) == "1"


def test_a_connected_vm_leaves_the_deadline_to_the_leader():
    """Guards a move that is on time against a VM whose clock is fast."""
    state_cache = FakeStateCache(MOVE)
    after = DEADLINE_S - OFFSET_S + 60
    state_cache.proof_at = after - 1
    assert make_selector(state_cache).choose("plots", 0.0, after) == "2"


def test_a_slow_clock_does_not_postpone_the_deadline():
    """Guards the lower bound of the time: replicated time plus proof age."""
    state_cache = FakeStateCache(MOVE)
    selector = VersionSelector(Settings, state_cache, OFFSET_S - 600)
    after = DEADLINE_S - OFFSET_S
    assert selector.choose("plots", 0.0, after) == "1"


def test_counts_are_reported():
    """Guards the counts that the leader needs from all VMs."""
    selector = make_selector(FakeStateCache(MOVE))
    serve(selector, 100, 0.0, 0.0)
    counts = selector.pop_samples()
    assert sum(sample.requests for sample in counts) == 100
    assert {sample.region for sample in counts} == {"n"}
    assert selector.pop_samples() == ()
