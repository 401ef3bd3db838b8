"""Test shares, allocators, client blocks, links and authors of changes."""

import math

import pytest

from medlarhollow.configuration import check_author
from medlarhollow.configuration import FleetState
from medlarhollow.configuration.shares import group_shares
from medlarhollow.messages.records import Account
from medlarhollow.messages.records import AcquireUsageHolder
from medlarhollow.messages.records import Allocator
from medlarhollow.messages.records import Change
from medlarhollow.messages.records import ClientBlock
from medlarhollow.messages.records import ConfirmUsage
from medlarhollow.messages.records import DeleteAccount
from medlarhollow.messages.records import ErrorKind
from medlarhollow.messages.records import FinishMove
from medlarhollow.messages.records import Link
from medlarhollow.messages.records import PutAccount
from medlarhollow.messages.records import PutClientBlocks
from medlarhollow.messages.records import PutLink
from medlarhollow.messages.records import RollBackMove
from medlarhollow.messages.records import SetAllocator
from medlarhollow.messages.records import SetShares
from medlarhollow.messages.records import SettleUsage
from medlarhollow.messages.records import SetVm
from medlarhollow.messages.records import Share
from medlarhollow.messages.records import StepMove
from medlarhollow.messages.records import StepShift
from medlarhollow.messages.records import Vm
from medlarhollow.messages.records import VmState

from .samples import assert_accepted
from .samples import assert_rejected
from .samples import make_state


def share(data_centre, rate, burst=10.0, account="crew"):
    return Share(account, data_centre, rate, burst)


def shares(*records):
    return SetShares(records)


@pytest.mark.parametrize(
    ("record", "kind", "expected_detail"),
    [
        (share("a", 1.0, account="x"), ErrorKind.NOT_FOUND, "no account"),
        (share("", 1.0), ErrorKind.BAD_REQUEST, "data centre name"),
        (share("a", -1.0), ErrorKind.BAD_REQUEST, "from 0 to 1e+12"),
        (share("a", float("nan")), ErrorKind.BAD_REQUEST, "from 0 to 1e+12"),
        (
            share("a", 1.0, float("inf")),
            ErrorKind.BAD_REQUEST,
            "from 0 to 1e+12",
        ),
        (share("a", 100.1), ErrorKind.CONFLICT, "rate_per_s 100.1 of 100"),
        (share("a", 1.0, 50.1), ErrorKind.CONFLICT, "burst 50.1 of 50"),
    ],
)
def test_an_invalid_share_is_rejected(record, kind, expected_detail):
    """Guards the limit of an account, summed over all data centres."""
    assert_rejected(make_state(), shares(record), kind, expected_detail)


def test_an_increase_needs_an_earlier_decrease():
    """In one change, the data centre with the increase could apply it before
    the other one applies its decrease, and both would spend the same rate."""
    state = make_state()
    assert_accepted(state, shares(share("a", 60.0), share("b", 40.0)))
    transfer = shares(share("a", 30.0), share("b", 70.0))
    assert_rejected(
        state, transfer, ErrorKind.CONFLICT, "lower the others first"
    )
    assert_accepted(state, shares(share("a", 30.0)))
    assert_accepted(state, shares(share("b", 70.0)))


def test_two_shares_for_one_data_centre_are_rejected():
    """The second share would silently replace the first."""
    duplicates = shares(share("a", 1.0), share("a", 2.0))
    assert_rejected(
        make_state(), duplicates, ErrorKind.BAD_REQUEST, "two shares"
    )


def test_an_empty_share_is_removed_and_epochs_are_revisions():
    """Allocators report the epoch up to which they have applied shares."""
    state = make_state()
    assert_accepted(state, shares(share("a", 60.0), share("b", 40.0)))
    assert {s.epoch for s in state.shares.values()} == {state.revision}
    assert_accepted(state, shares(share("a", 0.0, 0.0)))
    empty = group_shares(state)["crew"]["a"]
    assert (empty.rate_per_s, empty.epoch) == (0.0, state.revision)
    assert_accepted(state, shares(share("a", 0.0, 0.0)))
    assert set(group_shares(state)["crew"]) == {"b"}
    assert group_shares(state)["crew"]["b"].epoch == state.revision - 2


def test_a_lower_rate_scales_shares_down():
    """Otherwise data centres would continue to spend the former rate."""
    state = make_state()
    assert_accepted(
        state, shares(share("a", 60.0, 30.0), share("b", 40.0, 20.0))
    )
    assert_accepted(state, PutAccount(Account("crew", 50.0, 50.0)))
    current_shares = group_shares(state)["crew"]
    assert math.fsum(s.rate_per_s for s in current_shares.values()) <= 50.0
    assert current_shares["a"].rate_per_s == pytest.approx(30.0)
    assert current_shares["a"].burst == 30.0
    assert current_shares["a"].epoch == state.revision
    assert_accepted(state, PutAccount(Account("crew", 500.0, 25.0)))
    current_shares = group_shares(state)["crew"]
    assert current_shares["a"].rate_per_s == pytest.approx(30.0)
    assert current_shares["b"].burst == pytest.approx(10.0)


@pytest.mark.parametrize(
    "allocator",
    [
        Allocator("dc-a", "none", "i1"),
        Allocator("dc-a", "a1", "i0"),
        Allocator("dc-b", "a1", "i1"),
        Allocator("dc-a", "a2", "i1"),
    ],
)
def test_an_allocator_must_serve_in_its_data_centre(allocator):
    """Outdated data would assign the tokens to a process that has ended."""
    state = make_state()
    assert_accepted(
        state, SetVm(Vm("a2", "i1", "n", "dc-a", state=VmState.DRAINING))
    )
    body = SetAllocator(allocator)
    assert_rejected(state, body, ErrorKind.CONFLICT, "does not serve in")


def test_setting_an_allocator_starts_a_new_epoch():
    """The epoch distinguishes a new lease from the previous one."""
    state = make_state()
    assert_accepted(state, SetAllocator(Allocator("dc-a", "a1", "i1", 7)))
    assert state.allocators["dc-a"].epoch == state.revision


def test_client_blocks_are_set_and_removed():
    """Prefixes are normalized, so that no block is stored twice."""
    state = make_state()
    blocks = (
        ClientBlock("10.0.0.0/8", "n"),
        ClientBlock("2001:DB8::/32", "s"),
    )
    assert_accepted(state, PutClientBlocks(blocks))
    assert set(state.client_blocks) == {"10.0.0.0/8", "2001:db8::/32"}
    assert_accepted(state, PutClientBlocks((ClientBlock("10.0.0.0/8", ""),)))
    assert set(state.client_blocks) == {"2001:db8::/32"}


@pytest.mark.parametrize(
    ("blocks", "expected_detail"),
    [
        ((), "at least one"),
        ((ClientBlock("10.0.0.1/8", "n"),), "host bits"),
        ((ClientBlock("north", "n"),), "'north'"),
        ((ClientBlock("10.0.0.0/8", "no good"),), "region name"),
        (
            (ClientBlock("::/8", "n"), ClientBlock("0::/8", "s")),
            "occurs twice",
        ),
    ],
)
def test_one_invalid_block_rejects_the_whole_change(blocks, expected_detail):
    """A change must not be applied partially."""
    valid = (ClientBlock("192.0.2.0/24", "n"),) if blocks else ()
    body = PutClientBlocks(valid + blocks)
    assert_rejected(make_state(), body, ErrorKind.BAD_REQUEST, expected_detail)


def test_removal_of_an_unknown_block_is_rejected():
    """Otherwise the removal of a misspelt block would appear successful."""
    body = PutClientBlocks((ClientBlock("10.0.0.0/8", ""),))
    assert_rejected(make_state(), body, ErrorKind.NOT_FOUND, "no client block")


@pytest.mark.parametrize(
    ("link", "expected_detail"),
    [
        (None, "a link is needed"),
        (Link("n", "n", 1.0), "two regions"),
        (Link("", "s", 1.0), "region name"),
        (Link("n", "s", 0.0), "mbit_per_s"),
        (Link("n", "s", float("nan")), "mbit_per_s"),
    ],
)
def test_an_invalid_link_is_rejected(link, expected_detail):
    """Guards the bandwidth budget of links between regions."""
    assert_rejected(
        make_state(), PutLink(link), ErrorKind.BAD_REQUEST, expected_detail
    )


def test_a_link_is_set():
    """The budget of a link applies to one direction only."""
    state = make_state()
    assert_accepted(state, PutLink(Link("n", "s", 4000.0)))
    assert set(state.links) == {("n", "s")}


@pytest.mark.parametrize(
    "body",
    [
        StepShift(0.1),
        StepMove("m1", 0.1),
        FinishMove("m1"),
        SetShares(()),
        SetAllocator(None),
        SetVm(None),
        AcquireUsageHolder("c1", "i1"),
        SettleUsage(None, 1),
        ConfirmUsage(1, 1),
    ],
)
def test_changes_reserved_to_the_leader_are_forbidden_to_operators(body):
    """A step by an operator would bypass the evaluation of the version."""
    rejected = check_author(Change(author="ada", body=body))
    assert rejected.err_value.kind is ErrorKind.FORBIDDEN
    assert check_author(Change(body=body)).is_ok()


def test_operators_may_roll_back():
    """Operators as well as the leader may roll moves back."""
    body = RollBackMove("m1", "")
    assert check_author(Change(author="ada", body=body)).is_ok()


def test_account_counts_as_divided_for_good():
    """Guards against two allocators with different leases for an account
    whose burst was lowered while one of them was partitioned."""
    state = make_state()
    for name, burst in (("big", 100.0), ("small", 31.0), ("big", 2.0)):
        assert_accepted(state, PutAccount(Account(name, 1.0, burst)))
    assert_accepted(state, DeleteAccount("big"))
    assert "big" in state.divided_accounts
    assert "small" not in state.divided_accounts
    restored = FleetState.from_snapshot(state.snapshot())
    assert restored.divided_accounts == state.divided_accounts
