"""Tests of when the new version is proven enough for the next step."""

import attrs

from medlarhollow.messages.records import Move
from medlarhollow.messages.records import VersionSample
from medlarhollow.moves.monitor import MoveMonitor
from medlarhollow.moves.planner import EXCESSES

NOW = 1000.0
MOVE = Move("m1", "plots", "1", "2", cap=0.25, step_s=10.0, fraction=0.01)
PATIENT, HURRIED, FIRST = EXCESSES


def sample(version, requests, errors=0, service="plots"):
    return VersionSample(service, version, "/plots", "n", requests, errors)


def outcomes_needed(excess):
    """Return how many consecutive good outcomes are enough."""
    monitor = MoveMonitor(MOVE, NOW)
    for number in range(1, 100):
        monitor.update(MOVE, [sample("2", 1)], NOW + 2)
        if monitor.has_ruled_out(excess, NOW + 2):
            return number
    return None


def test_few_outcomes_are_not_enough():
    """Guards against a step after very few good outcomes."""
    assert [outcomes_needed(excess) for excess in EXCESSES] == [17, 8, 4]


def test_outcomes_before_a_step_do_not_count_for_the_next():
    """Guards against faults that appear only under the load of the step."""
    monitor = MoveMonitor(MOVE, NOW)
    monitor.update(MOVE, [sample("2", 50)], NOW + 2)
    assert monitor.has_ruled_out(PATIENT, NOW + 2)
    stepped = attrs.evolve(MOVE, fraction=0.26)
    monitor.update(stepped, [sample("2", 50)], NOW + 3)
    assert not monitor.has_ruled_out(FIRST, NOW + 3)
    monitor.update(stepped, [sample("2", 50)], NOW + 5)
    assert monitor.has_ruled_out(PATIENT, NOW + 5)


def test_outcomes_of_other_versions_and_services_do_not_count():
    """Guards against evidence from the wrong version or service."""
    monitor = MoveMonitor(MOVE, NOW)
    others = [sample("1", 50), sample("2", 50, service="survey")]
    monitor.update(MOVE, [*others, sample("3", 50)], NOW + 2)
    assert not monitor.has_ruled_out(FIRST, NOW + 2)


def test_old_measurements_expire():
    """Guards against a new version that failed after its measurements."""
    monitor = MoveMonitor(MOVE, NOW)
    for second in range(2, 12):
        monitor.update(MOVE, [sample("2", 5)], NOW + second)
    assert monitor.has_ruled_out(PATIENT, NOW + 15)
    assert not monitor.has_ruled_out(PATIENT, NOW + 17)


def test_bad_outcomes_outweigh_good_ones():
    """Guards against a proof from mostly bad outcomes."""
    monitor = MoveMonitor(MOVE, NOW)
    for _ in range(20):
        monitor.update(MOVE, [sample("2", 5, errors=3)], NOW + 2)
    assert not monitor.has_ruled_out(FIRST, NOW + 2)


def test_partial_evidence_delays_the_next_step():
    """Guards against a step shortly before a roll-back."""
    monitor = MoveMonitor(MOVE, NOW)
    monitor.update(MOVE, [sample("2", 50), sample("1", 50)], NOW + 2)
    assert monitor.has_ruled_out(FIRST, NOW + 2)
    bad = sample("2", 60, errors=8)
    monitor.update(MOVE, [bad, sample("1", 100)], NOW + 2)
    assert not monitor.finding
    assert not monitor.has_ruled_out(FIRST, NOW + 2)
