"""Test committed divisions of objects between regions."""

import pytest

from medlarhollow.configuration import check_author
from medlarhollow.configuration import FleetState
from medlarhollow.configuration.division_steps import DIVISION_STEPS
from medlarhollow.configuration.divisions import effective_steps
from medlarhollow.configuration.divisions import list_versions_in_use
from medlarhollow.messages.codec import decode
from medlarhollow.messages.codec import encode
from medlarhollow.messages.records import Change
from medlarhollow.messages.records import Division
from medlarhollow.messages.records import ErrorKind
from medlarhollow.messages.records import RegionSteps
from medlarhollow.messages.records import SetDivision
from medlarhollow.messages.records import StartMove
from medlarhollow.messages.records import StateSnapshot

from .samples import assert_accepted
from .samples import assert_rejected
from .samples import make_state
from .samples import move

KEY = ("east", "plots", "1")


def make_division(*rows, key=KEY):
    return Division(*key, tuple(RegionSteps(*row) for row in rows))


HALVES = make_division(("east", 10, 36), ("north", 10, 180))


def test_division_replaces_the_one_of_its_pool_and_region():
    """Guards against divisions that add up or mix regions of callers."""
    state = make_state()
    other = make_division(("north", 20, 180), key=("west", "plots", "1"))
    later = make_division(("east", 9, 36), ("north", 11, 180))
    for division in (HALVES, other, later):
        assert_accepted(state, SetDivision(division))
    assert state.divisions == {KEY: later, ("west", "plots", "1"): other}
    assert_accepted(state, SetDivision(make_division()))
    assert list(state.divisions) == [("west", "plots", "1")]


def test_division_is_restored_from_a_snapshot():
    """Guards VMs that join, and restarted replicas, against the initial
    division."""
    state = make_state()
    assert_accepted(state, SetDivision(HALVES))
    data = encode(state.snapshot())
    restored = FleetState.from_snapshot(decode(StateSnapshot, data))
    assert restored == state
    assert restored.divisions[KEY] == HALVES


@pytest.mark.parametrize(
    ("division", "kind", "expected_detail"),
    [
        (None, ErrorKind.BAD_REQUEST, "a division is needed"),
        (
            make_division(("east", 20, 36), key=("", "plots", "1")),
            ErrorKind.BAD_REQUEST,
            "needs a caller region",
        ),
        (
            make_division(("east", 20, 36), key=("east", "x", "1")),
            ErrorKind.NOT_FOUND,
            "no service",
        ),
        (
            make_division(("east", 10, 36), ("east", 10, 36)),
            ErrorKind.BAD_REQUEST,
            "each region once",
        ),
        (
            make_division(("east", 10, 36), ("", 10, 36)),
            ErrorKind.BAD_REQUEST,
            "each region once",
        ),
        (
            make_division(("east", 21, 36)),
            ErrorKind.BAD_REQUEST,
            f"has {DIVISION_STEPS} steps",
        ),
    ],
)
def test_an_invalid_division_is_rejected(division, kind, expected_detail):
    """Guards VMs against weights that they cannot use."""
    assert_rejected(make_state(), SetDivision(division), kind, expected_detail)


def test_operators_cannot_set_a_division():
    """Guards the rate of changes, which only the leader keeps."""
    change = Change(author="ana", body=SetDivision(HALVES))
    assert check_author(change).is_err()


@pytest.mark.parametrize(
    ("slots", "expected"),
    [
        ({"east": 36, "north": 180}, {"east": 10, "north": 10}),
        ({"east": 18, "north": 180}, {"east": 7, "north": 13}),
        ({"north": 180}, {"north": 20}),
        # New servers have no objects cached.
        ({"east": 36, "north": 180, "west": 90}, {"east": 10, "north": 10}),
        # No region with a share is left, so the initial division is used.
        ({"west": 90}, {"east": 0, "west": 20}),
        ({}, {}),
    ],
)
def test_steps_follow_the_slots_of_a_vm(slots, expected):
    """Guards remaining servers against VMs that rescale differently."""
    assert effective_steps(HALVES, "east", slots) == expected


def test_versions_of_a_move_are_in_use():
    """Guards the division of a new version while traffic moves to it."""
    state = make_state()
    before = {("plots", "1"), ("survey", "1")}
    assert list_versions_in_use(state) == before
    assert_accepted(state, StartMove(move()))
    assert list_versions_in_use(state) == before | {("plots", "2")}
