"""When the next step of a move has enough good answers behind it."""

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


def answers_needed(excess):
    """Return how many good answers one after another are enough."""
    watch = MoveMonitor(MOVE, NOW)
    for number in range(1, 100):
        watch.update(MOVE, [sample("2", 1)], NOW + 2)
        if watch.has_ruled_out(excess, NOW + 2):
            return number
    return None


def test_few_answers_are_not_enough():
    """A single good answer says next to nothing."""
    assert [answers_needed(excess) for excess in EXCESSES] == [17, 8, 4]


def test_answers_before_a_step_do_not_count_for_the_next():
    """A fault that needs load does not show before the step."""
    watch = MoveMonitor(MOVE, NOW)
    watch.update(MOVE, [sample("2", 50)], NOW + 2)
    assert watch.has_ruled_out(PATIENT, NOW + 2)
    stepped = attrs.evolve(MOVE, fraction=0.26)
    watch.update(stepped, [sample("2", 50)], NOW + 3)
    assert not watch.has_ruled_out(FIRST, NOW + 3)
    watch.update(stepped, [sample("2", 50)], NOW + 5)
    assert watch.has_ruled_out(PATIENT, NOW + 5)


def test_answers_of_others_do_not_count():
    """Neither the old version nor another service proves the new one."""
    watch = MoveMonitor(MOVE, NOW)
    others = [sample("1", 50), sample("2", 50, service="survey")]
    watch.update(MOVE, [*others, sample("3", 50)], NOW + 2)
    assert not watch.has_ruled_out(FIRST, NOW + 2)


def test_measurements_that_stop_prove_nothing_any_more():
    """The new version may have failed since."""
    watch = MoveMonitor(MOVE, NOW)
    for second in range(2, 12):
        watch.update(MOVE, [sample("2", 5)], NOW + second)
    assert watch.has_ruled_out(PATIENT, NOW + 15)
    assert not watch.has_ruled_out(PATIENT, NOW + 17)


def test_bad_answers_outweigh_good_ones():
    """Answers that are mostly bad must not add up to a proof."""
    watch = MoveMonitor(MOVE, NOW)
    for _ in range(20):
        watch.update(MOVE, [sample("2", 5, errors=3)], NOW + 2)
    assert not watch.has_ruled_out(FIRST, NOW + 2)


def test_a_doubt_holds_the_next_step():
    """Evidence that is nearly enough to roll back is no ground to go on."""
    watch = MoveMonitor(MOVE, NOW)
    watch.update(MOVE, [sample("2", 50), sample("1", 50)], NOW + 2)
    assert watch.has_ruled_out(FIRST, NOW + 2)
    bad = sample("2", 60, errors=8)
    watch.update(MOVE, [bad, sample("1", 100)], NOW + 2)
    assert not watch.finding
    assert not watch.has_ruled_out(FIRST, NOW + 2)
