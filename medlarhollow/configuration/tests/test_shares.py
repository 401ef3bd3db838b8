"""Rules of shares, allocators, blocks, links and authors."""

import math

import pytest

from medlarhollow.configuration import check_author
from medlarhollow.configuration.shares import group_shares
from medlarhollow.messages.records import Account
from medlarhollow.messages.records import Allocator
from medlarhollow.messages.records import Change
from medlarhollow.messages.records import ClientBlock
from medlarhollow.messages.records import ErrorKind
from medlarhollow.messages.records import FinishMove
from medlarhollow.messages.records import Link
from medlarhollow.messages.records import PutAccount
from medlarhollow.messages.records import PutClientBlocks
from medlarhollow.messages.records import PutLink
from medlarhollow.messages.records import RollBackMove
from medlarhollow.messages.records import SetAllocator
from medlarhollow.messages.records import SetShares
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
    ("record", "kind", "words"),
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
def test_a_faulty_share_is_rejected(record, kind, words):
    """Guards the limit of an account, counted over all data centres."""
    assert_rejected(make_state(), shares(record), kind, words)


def test_an_increase_needs_an_earlier_decrease():
    """In one change, the data centre that gains could learn of it before
    the one that loses, and both would spend the same rate."""
    state = make_state()
    assert_accepted(state, shares(share("a", 60.0), share("b", 40.0)))
    both = shares(share("a", 30.0), share("b", 70.0))
    assert_rejected(state, both, ErrorKind.CONFLICT, "lower the others first")
    assert_accepted(state, shares(share("a", 30.0)))
    assert_accepted(state, shares(share("b", 70.0)))


def test_a_share_is_given_once_in_a_change():
    """The second of two would be counted and the first be lost."""
    twice = shares(share("a", 1.0), share("a", 2.0))
    assert_rejected(make_state(), twice, ErrorKind.BAD_REQUEST, "two shares")


def test_an_empty_share_is_removed_and_epochs_are_revisions():
    """Allocators report the epoch up to which they took shares over."""
    state = make_state()
    assert_accepted(state, shares(share("a", 60.0), share("b", 40.0)))
    assert {s.epoch for s in state.shares.values()} == {state.revision}
    assert_accepted(state, shares(share("a", 0.0, 0.0)))
    empty = group_shares(state)["crew"]["a"]
    assert (empty.rate_per_s, empty.epoch) == (0.0, state.revision)
    assert_accepted(state, shares(share("a", 0.0, 0.0)))
    assert set(group_shares(state)["crew"]) == {"b"}
    assert group_shares(state)["crew"]["b"].epoch == state.revision - 2


def test_a_lower_rate_brings_shares_down():
    """Data centres would go on spending the rate that was taken away."""
    state = make_state()
    assert_accepted(
        state, shares(share("a", 60.0, 30.0), share("b", 40.0, 20.0))
    )
    assert_accepted(state, PutAccount(Account("crew", 50.0, 50.0)))
    found = group_shares(state)["crew"]
    assert math.fsum(s.rate_per_s for s in found.values()) <= 50.0
    assert found["a"].rate_per_s == pytest.approx(30.0)
    assert found["a"].burst == 30.0
    assert found["a"].epoch == state.revision
    assert_accepted(state, PutAccount(Account("crew", 500.0, 25.0)))
    found = group_shares(state)["crew"]
    assert found["a"].rate_per_s == pytest.approx(30.0)
    assert found["b"].burst == pytest.approx(10.0)


@pytest.mark.parametrize(
    "allocator",
    [
        Allocator("dc-a", "none", "i1"),
        Allocator("dc-a", "a1", "i0"),
        Allocator("dc-b", "a1", "i1"),
        Allocator("dc-a", "a2", "i1"),
    ],
)
def test_an_allocator_serves_in_its_data_centre(allocator):
    """A name that is out of date would leave tokens to a dead process."""
    state = make_state()
    assert_accepted(
        state, SetVm(Vm("a2", "i1", "n", "dc-a", state=VmState.DRAINING))
    )
    body = SetAllocator(allocator)
    assert_rejected(state, body, ErrorKind.CONFLICT, "does not serve in")


def test_an_allocator_is_named():
    """The epoch tells a new lease from the one before."""
    state = make_state()
    assert_accepted(state, SetAllocator(Allocator("dc-a", "a1", "i1", 7)))
    assert state.allocators["dc-a"].epoch == state.revision


def test_client_blocks_are_set_and_removed():
    """Blocks are kept in one spelling, so that none is stored twice."""
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
    ("blocks", "words"),
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
def test_faulty_blocks_are_rejected_together(blocks, words):
    """A change must not be taken over in part."""
    good = (ClientBlock("192.0.2.0/24", "n"),) if blocks else ()
    body = PutClientBlocks(good + blocks)
    assert_rejected(make_state(), body, ErrorKind.BAD_REQUEST, words)


def test_a_block_that_is_not_there_is_not_removed():
    """A removal with a spelling fault would pass for done."""
    body = PutClientBlocks((ClientBlock("10.0.0.0/8", ""),))
    assert_rejected(make_state(), body, ErrorKind.NOT_FOUND, "no client block")


@pytest.mark.parametrize(
    ("link", "words"),
    [
        (None, "a link is needed"),
        (Link("n", "n", 1.0), "two regions"),
        (Link("", "s", 1.0), "region name"),
        (Link("n", "s", 0.0), "mbit_per_s"),
        (Link("n", "s", float("nan")), "mbit_per_s"),
    ],
)
def test_a_faulty_link_is_rejected(link, words):
    """Guards the budget of links between regions."""
    assert_rejected(make_state(), PutLink(link), ErrorKind.BAD_REQUEST, words)


def test_a_link_is_set():
    """The budget of a link holds in its own direction only."""
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
    ],
)
def test_operators_do_not_make_changes_of_the_leader(body):
    """An operator's step would pass over the judge of the version."""
    refused = check_author(Change(author="ada", body=body))
    assert refused.err_value.kind is ErrorKind.FORBIDDEN
    assert check_author(Change(body=body)).is_ok()


def test_operators_roll_back():
    """Rolling back is open to both operators and the leader."""
    body = RollBackMove("m1", "")
    assert check_author(Change(author="ada", body=body)).is_ok()
