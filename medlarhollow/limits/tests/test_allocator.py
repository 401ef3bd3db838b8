"""When a VM hands out tokens as the allocator of its data centre."""

import attrs
import pytest

from medlarhollow.limits import ShareAllocator
from medlarhollow.limits.sources import list_sources
from medlarhollow.messages.records import Allocator
from medlarhollow.messages.records import BatchReport
from medlarhollow.messages.records import ErrorKind
from medlarhollow.messages.records import Share
from medlarhollow.messages.records import TokenRequest

from .support import FakeStateCache
from .support import make_settings
from .support import make_state

LEASE_S = 3.0
BATCH_S = 1.0
LEASES_S = LEASE_S + BATCH_S


def make_allocator(epoch=1, vm="a", rate_per_s=10.0, burst=10.0, now=0.0):
    state = make_state(
        shares=[("north-a", rate_per_s, burst)],
        allocators=[("north-a", vm, epoch)],
    )
    copy = FakeStateCache(state, proof_at=now)
    allocator = ShareAllocator(make_settings("a"), copy, "a#1", now)
    allocator.share_epoch(now)
    return allocator, copy


def make_successor(may_run, began_at=100.0):
    """Return an allocator named at 100 s, after another process."""
    allocator, copy = make_allocator(vm="b", now=began_at)
    copy.state.allocators["north-a"] = Allocator(
        "north-a",
        "a",
        "a#1",
        2,
        has_predecessor=True,
        predecessor_may_run=may_run,
    )
    copy.state.revision += 1
    allocator.share_epoch(100.0)
    return allocator, copy


def ask(allocator, copy, now, tokens=5.0, **more):
    copy.proof_at = now
    return allocator.acquire(TokenRequest("crew", tokens, **more), now)


def replace(copy, **changes):
    """Commit changes of the naming or of the share of north-a."""
    state = copy.state
    state.revision += 1
    named = state.allocators["north-a"]
    share = state.shares[("crew", "north-a")]
    for name, value in changes.items():
        if name in ("vm", "incarnation"):
            named = attrs.evolve(
                named,
                epoch=named.epoch + 1,
                has_predecessor=True,
                predecessor_may_run=name == "vm" and value != named.vm,
                **{name: value},
            )
        else:
            share = attrs.evolve(share, epoch=state.revision, **{name: value})
    state.allocators["north-a"] = named
    state.shares[("crew", "north-a")] = share


def test_it_begins_without_tokens():
    """Guards against a restart that grants a second burst."""
    allocator, copy = make_allocator()
    assert ask(allocator, copy, 0.0).tokens == 0
    assert ask(allocator, copy, 0.2, 1.0).tokens == pytest.approx(1.0)


@pytest.mark.parametrize(
    ("changes", "kind"),
    [
        ({"vm": "b"}, ErrorKind.NOT_LEADER),
        ({"incarnation": "a#2"}, ErrorKind.NOT_LEADER),
    ],
)
def test_it_stops_when_another_is_named(changes, kind):
    """Guards against two allocators of one data centre; an earlier process
    of the same VM is another one."""
    allocator, copy = make_allocator()
    assert ask(allocator, copy, 1.0).tokens == 5
    replace(copy, **changes)
    response = ask(allocator, copy, 1.1)
    assert response.tokens == 0
    assert response.failure.kind is kind


@pytest.mark.parametrize("age_s", [3.0, 10.0])
def test_it_stops_when_cut_off_or_frozen(age_s):
    """Guards against an allocator that cannot hear of its successor."""
    allocator, copy = make_allocator()
    copy.proof_at = 5.0
    request = TokenRequest("crew", 5.0)
    assert allocator.acquire(request, 5.0 + 2.9).tokens == 5
    response = allocator.acquire(request, 5.0 + age_s)
    assert response.tokens == 0
    assert response.failure.kind is ErrorKind.STALE_AUTHORITY


def test_a_successor_waits_for_the_leases_before_it():
    """Guards against a predecessor that is cut off and still hands out, and
    against its last batches."""
    allocator, copy = make_successor(may_run=True)
    for moment in (100.0, 102.0, 100.0 + LEASES_S):
        response = ask(allocator, copy, moment)
        assert response.tokens == 0
        assert response.wait_s > 0
    assert ask(allocator, copy, 100.1 + LEASES_S, 0.5).tokens == 0.5


def test_a_successor_of_an_ended_process_waits_for_its_batches():
    """Guards the rate of an account: what the process handed out before its
    end is still spent. Its own lease ended with it."""
    allocator, copy = make_successor(may_run=False)
    assert ask(allocator, copy, 100.0 + BATCH_S).tokens == 0
    assert allocator.share_epoch(100.0 + BATCH_S) == 0
    assert ask(allocator, copy, 100.1 + BATCH_S, 0.5).tokens == 0.5


def test_a_successor_of_an_ended_process_counts_from_its_own_start():
    """Guards the requests after a restart: the process before it ended when
    this one began, so its batches may have ended before the naming."""
    allocator, copy = make_successor(may_run=False, began_at=100.0 - BATCH_S)
    assert ask(allocator, copy, 100.1, 0.0).wait_s == 0
    assert ask(allocator, copy, 100.3, 1.0).tokens == 1.0


def test_named_again_its_own_batches_count():
    """Guards against a process that takes its own batches for ended."""
    allocator, copy = make_successor(may_run=False, began_at=0.0)
    assert ask(allocator, copy, 100.5, 1.0).tokens == 1.0
    named = copy.state.allocators["north-a"]
    copy.state.allocators["north-a"] = attrs.evolve(named, epoch=3)
    copy.state.revision += 1
    assert ask(allocator, copy, 100.5 + BATCH_S, 0.5).tokens == 0
    assert ask(allocator, copy, 100.7 + BATCH_S, 0.5).tokens == 0.5


def test_a_waiting_successor_does_not_acknowledge_shares():
    """Guards against control moving a share on while the predecessor can
    still hand it out."""
    allocator, copy = make_successor(may_run=True)
    assert allocator.share_epoch(100.0 + LEASES_S) == 0
    assert allocator.share_epoch(100.1 + LEASES_S) == 1


def test_named_again_it_begins_without_tokens():
    """Guards against tokens kept from before another VM was allocator."""
    allocator, copy = make_allocator()
    assert ask(allocator, copy, 10.0, 0.0).tokens == 0
    replace(copy, vm="b")
    replace(copy, vm="a")
    response = ask(allocator, copy, 11.0)
    assert response.tokens == 0
    response = ask(allocator, copy, 11.1 + LEASES_S, 5.0)
    assert response.tokens < 1.0


def test_a_decrease_is_acknowledged_once_batches_fit_it():
    """Guards the first step of a move of share between data centres."""
    allocator, copy = make_allocator()
    batch = ask(allocator, copy, 10.0, 10.0)
    assert batch.tokens == 10
    replace(copy, rate_per_s=1.0, burst=2.0)
    changed = copy.state.shares[("crew", "north-a")].epoch
    assert ask(allocator, copy, 10.1).tokens == 0
    assert allocator.share_epoch(10.1) < changed
    reports = (BatchReport(batch.batch_id, spent=9.0),)
    ask(allocator, copy, 10.2, 0.0, epoch=1, batches=reports)
    assert allocator.share_epoch(10.2) == changed


def test_reports_for_another_epoch_are_ignored():
    """Guards against identifiers that an earlier allocator gave out."""
    allocator, copy = make_allocator()
    batch = ask(allocator, copy, 10.0, 10.0)
    reports = (BatchReport(batch.batch_id, spent=0.0, closed=True),)
    response = ask(allocator, copy, 10.0, 5.0, epoch=7, batches=reports)
    assert response.tokens == 0
    response = ask(allocator, copy, 10.0, 5.0, epoch=1, batches=reports)
    assert response.tokens == 5


def test_without_a_share_nothing_is_given_out():
    """Guards against tokens before control has set shares."""
    allocator, copy = make_allocator()
    copy.state.shares.clear()
    copy.state.revision += 1
    response = ask(allocator, copy, 20.0)
    assert response.tokens == 0
    assert response.failure is None


def test_a_share_that_comes_back_counts_what_is_still_out():
    """Guards against a share removed and set again within a lease."""
    allocator, copy = make_allocator()
    assert ask(allocator, copy, 10.0, 10.0).tokens == 10
    copy.state.shares.clear()
    copy.state.revision += 1
    ask(allocator, copy, 10.1)
    copy.state.shares[("crew", "north-a")] = Share(
        "crew", "north-a", 10.0, 10.0, 9
    )
    copy.state.revision += 1
    assert ask(allocator, copy, 10.2).tokens == 0
    assert ask(allocator, copy, 10.95).tokens == 0


def test_sources_are_ordered_by_distance():
    """Guards the order in which tokens are looked for."""
    state = make_state(
        vms=[
            ("a", "north", "north-a", "1"),
            ("b", "north", "north-b", "2"),
            ("z", "south", "east-a", "3"),
        ],
        allocators=[
            ("east-a", "z", 1),
            ("north-b", "b", 1),
            ("north-a", "a", 1),
        ],
    )
    state.allocators["lost"] = Allocator("lost", "unknown", "", 1)
    found = list_sources(state, make_settings("a").vm)
    assert [source.vm for source in found] == ["a", "b", "z"]


STALE_KEYS_S = 60.0


@pytest.mark.parametrize(
    ("stale_keys_s", "age_s", "serves"),
    [
        (0.0, LEASE_S + 0.1, False),
        (STALE_KEYS_S, LEASE_S + 0.1, True),
        (STALE_KEYS_S, LEASE_S + STALE_KEYS_S + 0.1, False),
    ],
)
def test_stale_routes_extend_the_lease(stale_keys_s, age_s, serves):
    """Guards a data centre that is cut off: its routes with stale_keys_s
    need tokens for as long, and no longer."""
    allocator, copy = make_allocator()
    copy.state.longest_stale_keys_s = stale_keys_s
    copy.proof_at = 0.0
    response = allocator.acquire(
        TokenRequest(account="crew", tokens=1.0), age_s
    )
    assert (response.tokens > 0) == serves


@pytest.mark.parametrize(
    ("may_run", "wait_s"),
    [(False, BATCH_S), (True, LEASES_S + STALE_KEYS_S)],
)
def test_a_successor_waits_for_a_process_on_another_vm(may_run, wait_s):
    """Guards the rate of an account when a lost allocator on another VM goes
    on for its stale routes, cut off from control."""
    allocator, copy = make_allocator(epoch=1, now=10.0)
    copy.state.longest_stale_keys_s = STALE_KEYS_S
    named = copy.state.allocators["north-a"]
    copy.state.allocators["north-a"] = attrs.evolve(
        named, epoch=5, has_predecessor=True, predecessor_may_run=may_run
    )
    copy.state.revision += 1
    copy.proof_at = float("inf")
    assert allocator.share_epoch(10.0) == 0
    assert allocator.share_epoch(10.0 + wait_s * 0.99) == 0
    assert allocator.share_epoch(10.0 + wait_s * 1.02) > 0
