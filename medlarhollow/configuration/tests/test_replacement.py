"""Test the replacement of the configuration with one document."""

import hashlib

import attrs
import pytest

from medlarhollow.configuration import authenticate_key
from medlarhollow.configuration import choose_destination
from medlarhollow.configuration import FleetState
from medlarhollow.configuration import make_key_record
from medlarhollow.messages.records import Account
from medlarhollow.messages.records import Configuration
from medlarhollow.messages.records import Destination
from medlarhollow.messages.records import EndEvacuation
from medlarhollow.messages.records import ErrorKind
from medlarhollow.messages.records import Move
from medlarhollow.messages.records import PutConfiguration
from medlarhollow.messages.records import Route
from medlarhollow.messages.records import Service
from medlarhollow.messages.records import SetServiceVersion
from medlarhollow.messages.records import Share
from medlarhollow.messages.records import StartEvacuation
from medlarhollow.messages.records import StartMove

from .samples import assert_accepted
from .samples import assert_rejected
from .samples import NOW

ROUTE = Route(
    path_prefix="/plots/", service="plots", timeout_s=1.0, attempts=2
)


def put_configuration(version, base, text=b"", **fields):
    """Return a change; `text` distinguishes documents of one version."""
    document = b"document %d %b" % (version, text)
    records = {
        "accounts": (Account("crew", 10.0, 10.0),),
        "keys": (make_key_record("crew", "willow"),),
        "services": (Service("plots"),),
        "routes": (ROUTE,),
        **fields,
    }
    return PutConfiguration(
        Configuration(
            version=version,
            document=document,
            document_sha256=hashlib.sha256(document).digest(),
            **records,
        ),
        base,
    )


@pytest.fixture
def state():
    state = FleetState(cluster="x")
    assert_accepted(state, put_configuration(3, 0))
    return state


def test_document_is_stored_unmodified(state):
    assert state.document == b"document 3 "
    assert state.configuration_version == 3
    assert FleetState.from_snapshot(state.snapshot()) == state


def test_only_one_change_based_on_a_version_is_accepted(state):
    """Guards invariant 13 against concurrent changes by two operators."""
    assert_accepted(state, put_configuration(5, 3, b"of ana"))
    assert_rejected(
        state,
        put_configuration(5, 3, b"of bia"),
        ErrorKind.CONFLICT,
        "based on version 3, in force is 5",
    )
    assert_rejected(
        state,
        put_configuration(7, 3),
        ErrorKind.CONFLICT,
        "based on version 3",
    )


def test_retried_change_is_accepted_again(state):
    """Guards retries after a lost response, also after later changes."""
    first = put_configuration(5, 3)
    assert_accepted(state, first)
    assert_accepted(state, first)
    assert_accepted(state, put_configuration(6, 5))
    assert_accepted(state, first)
    assert state.configuration_version == 6
    assert state.document == b"document 6 "


@pytest.mark.parametrize(
    ("fields", "expected_detail"),
    [
        ({"services": ()}, "unknown service 'plots'"),
        ({"routes": (attrs.evolve(ROUTE, timeout_s=0.0),)}, "timeout"),
        ({"routes": (attrs.evolve(ROUTE, timeout_s=601.0),)}, "timeout"),
        ({"routes": (attrs.evolve(ROUTE, attempts=0),)}, "no attempt"),
        ({"routes": (ROUTE, ROUTE)}, "two records"),
        (
            {
                "routes": (
                    attrs.evolve(ROUTE, split=(Destination("gone", 1.0),)),
                )
            },
            "unknown service 'gone'",
        ),
        (
            {
                "accounts": (Account("crew"), Account("nursery")),
                "keys": (
                    make_key_record("crew", "willow"),
                    make_key_record("nursery", "willow"),
                ),
            },
            "share a key",
        ),
        ({"keys": (make_key_record("nobody", "alder"),)}, "unknown account"),
    ],
)
def test_invalid_document_changes_nothing(state, fields, expected_detail):
    assert_rejected(
        state,
        put_configuration(5, 3, **fields),
        ErrorKind.BAD_REQUEST,
        expected_detail,
    )


def test_version_must_rise(state):
    assert_rejected(
        state,
        put_configuration(3, 3, b"other"),
        ErrorKind.BAD_REQUEST,
        "version 3 does not follow 3",
    )


def test_records_missing_in_the_new_document_are_removed(state):
    """Guards invariant 5: keys and accounts left out lose their effect."""
    assert authenticate_key(state, "willow").ok_value == "crew"
    state.shares[("crew", "a")] = Share("crew", "a", 1.0, 1.0)
    assert_accepted(state, put_configuration(5, 3, accounts=(), keys=()))
    assert authenticate_key(state, "willow").is_err()
    assert not state.shares
    assert not state.accounts


def test_lower_rate_scales_shares_down(state):
    """Guards invariant 6 while allocators still use the old shares."""
    state.shares[("crew", "a")] = Share("crew", "a", 10.0, 10.0)
    assert_accepted(
        state, put_configuration(5, 3, accounts=(Account("crew", 5.0, 5.0),))
    )
    assert state.shares[("crew", "a")].rate_per_s == 5.0


class CountedShares(dict):
    """Dict that counts iterations over all shares."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.scans = 0

    def items(self):
        self.scans += 1
        return super().items()


@pytest.mark.parametrize("accounts", [10, 100])
def test_number_of_scans_of_shares_does_not_depend_on_accounts(
    state, accounts
):
    """A scan of all shares per account takes quadratic time on every VM."""
    records = tuple(
        Account(f"account-{number}", 10.0, 10.0) for number in range(accounts)
    )
    assert_accepted(state, put_configuration(5, 3, accounts=records, keys=()))
    state.shares = CountedShares(
        (
            (account.name, data_centre),
            Share(account.name, data_centre, 1.0, 1.0),
        )
        for account in records
        for data_centre in "abc"
    )
    assert_accepted(state, put_configuration(7, 5, accounts=records, keys=()))
    assert state.shares.scans <= 2


def test_service_keeps_its_version(state):
    """The next document must not revert the version set by a move."""
    assert_accepted(state, SetServiceVersion("plots", "v1"))
    assert_accepted(state, put_configuration(5, 3))
    assert state.services["plots"].version == "v1"
    assert_rejected(
        state,
        SetServiceVersion("plots", "v2"),
        ErrorKind.CONFLICT,
        "at version 'v1'",
    )


def test_retried_move_without_identifier_starts_once(state):
    """Guards retries of a move after a lost response."""
    assert_accepted(state, SetServiceVersion("plots", "v1"))
    order = StartMove(
        Move(service="plots", to_version="v2", deadline_s=NOW + 30)
    )
    assert_accepted(state, order)
    assert_accepted(state, order, NOW + 2)
    assert [move.to_version for move in state.moves.values()] == ["v2"]


def test_evacuation_is_idempotent(state):
    for _ in range(2):
        assert_accepted(state, StartEvacuation("north-a"))
        assert list(state.evacuations) == ["north-a"]
    for _ in range(2):
        assert_accepted(state, EndEvacuation("north-a"))
        assert not state.evacuations


def test_split_follows_its_weights():
    route = attrs.evolve(
        ROUTE, split=(Destination("a", 90.0), Destination("b", 10.0))
    )
    points = [number / 1000 for number in range(1000)]
    chosen = [choose_destination(route, point) for point in points]
    assert chosen.count("b") == 100
    assert choose_destination(route, 0.9999999999999999) == "b"
