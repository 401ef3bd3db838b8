"""Tests of when a VM issues tokens as allocator of its data centre."""

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
    state_cache = FakeStateCache(state, proof_at=now)
    allocator = ShareAllocator(make_settings("a"), state_cache, "a#1", now)
    allocator.share_epoch(now)
    return allocator, state_cache


def make_successor(predecessor_may_run, started_at=100.0):
    """Return an allocator appointed at 100 s, after another process."""
    allocator, state_cache = make_allocator(vm="b", now=started_at)
    state_cache.state.allocators["north-a"] = Allocator(
        "north-a",
        "a",
        "a#1",
        2,
        has_predecessor=True,
        predecessor_may_run=predecessor_may_run,
    )
    state_cache.state.revision += 1
    allocator.share_epoch(100.0)
    return allocator, state_cache


def acquire(allocator, state_cache, now, tokens=5.0, **fields):
    state_cache.proof_at = now
    return allocator.acquire(TokenRequest("crew", tokens, **fields), now)


def commit_changes(state_cache, **changes):
    """Commit changes of the allocator record or of the share of north-a."""
    state = state_cache.state
    state.revision += 1
    appointment = state.allocators["north-a"]
    share = state.shares[("crew", "north-a")]
    for name, value in changes.items():
        if name in ("vm", "incarnation"):
            appointment = attrs.evolve(
                appointment,
                epoch=appointment.epoch + 1,
                has_predecessor=True,
                predecessor_may_run=name == "vm" and value != appointment.vm,
                **{name: value},
            )
        else:
            share = attrs.evolve(share, epoch=state.revision, **{name: value})
    state.allocators["north-a"] = appointment
    state.shares[("crew", "north-a")] = share


def test_the_first_epoch_starts_without_tokens():
    """Guards against a restart that allows a second burst."""
    allocator, state_cache = make_allocator()
    assert acquire(allocator, state_cache, 0.0).tokens == 0
    assert acquire(allocator, state_cache, 0.2, 1.0).tokens == pytest.approx(
        1.0
    )


@pytest.mark.parametrize(
    ("changes", "kind"),
    [
        ({"vm": "b"}, ErrorKind.NOT_LEADER),
        ({"incarnation": "a#2"}, ErrorKind.NOT_LEADER),
    ],
)
def test_allocator_stops_when_another_is_appointed(changes, kind):
    """Guards against two allocators of one data centre; another incarnation
    of the same VM counts as another allocator."""
    allocator, state_cache = make_allocator()
    assert acquire(allocator, state_cache, 1.0).tokens == 5
    commit_changes(state_cache, **changes)
    response = acquire(allocator, state_cache, 1.1)
    assert response.tokens == 0
    assert response.failure.kind is kind


@pytest.mark.parametrize("age_s", [3.0, 10.0])
def test_allocator_stops_when_partitioned_or_frozen(age_s):
    """Guards against an allocator that cannot learn of its successor."""
    allocator, state_cache = make_allocator()
    state_cache.proof_at = 5.0
    request = TokenRequest("crew", 5.0)
    assert allocator.acquire(request, 5.0 + 2.9).tokens == 5
    response = allocator.acquire(request, 5.0 + age_s)
    assert response.tokens == 0
    assert response.failure.kind is ErrorKind.STALE_AUTHORITY


def test_a_successor_waits_for_earlier_leases():
    """Guards against double issue: a partitioned predecessor may still issue
    tokens, and its last batches may still be spent."""
    allocator, state_cache = make_successor(predecessor_may_run=True)
    for now in (100.0, 102.0, 100.0 + LEASES_S):
        response = acquire(allocator, state_cache, now)
        assert response.tokens == 0
        assert response.wait_s > 0
    assert acquire(allocator, state_cache, 100.1 + LEASES_S, 0.5).tokens == 0.5


def test_a_successor_of_an_ended_process_waits_for_its_batches():
    """Guards the rate of an account: batches issued before the process ended
    can still be spent. Its allocator lease ended with the process."""
    allocator, state_cache = make_successor(predecessor_may_run=False)
    assert acquire(allocator, state_cache, 100.0 + BATCH_S).tokens == 0
    assert allocator.share_epoch(100.0 + BATCH_S) == 0
    assert acquire(allocator, state_cache, 100.1 + BATCH_S, 0.5).tokens == 0.5


def test_the_wait_after_an_ended_process_starts_with_its_successor():
    """Guards against a needless wait after a restart: the earlier process had
    ended when this one started, so its batches may already have expired."""
    allocator, state_cache = make_successor(
        predecessor_may_run=False, started_at=100.0 - BATCH_S
    )
    assert acquire(allocator, state_cache, 100.1, 0.0).wait_s == 0
    assert acquire(allocator, state_cache, 100.3, 1.0).tokens == 1.0


def test_batches_of_an_earlier_epoch_delay_the_next_epoch():
    """Guards against a process that treats its own batches as expired."""
    allocator, state_cache = make_successor(
        predecessor_may_run=False, started_at=0.0
    )
    assert acquire(allocator, state_cache, 100.5, 1.0).tokens == 1.0
    appointment = state_cache.state.allocators["north-a"]
    state_cache.state.allocators["north-a"] = attrs.evolve(
        appointment, epoch=3
    )
    state_cache.state.revision += 1
    assert acquire(allocator, state_cache, 100.5 + BATCH_S, 0.5).tokens == 0
    assert acquire(allocator, state_cache, 100.7 + BATCH_S, 0.5).tokens == 0.5


def test_a_waiting_successor_does_not_acknowledge_shares():
    """Guards against control transferring a share that the predecessor can
    still issue."""
    allocator, state_cache = make_successor(predecessor_may_run=True)
    assert allocator.share_epoch(100.0 + LEASES_S) == 0
    assert allocator.share_epoch(100.1 + LEASES_S) == 1


def test_a_new_epoch_starts_without_tokens():
    """Guards against tokens kept from an earlier epoch."""
    allocator, state_cache = make_allocator()
    assert acquire(allocator, state_cache, 10.0, 0.0).tokens == 0
    commit_changes(state_cache, vm="b")
    commit_changes(state_cache, vm="a")
    response = acquire(allocator, state_cache, 11.0)
    assert response.tokens == 0
    response = acquire(allocator, state_cache, 11.1 + LEASES_S, 5.0)
    assert response.tokens < 1.0


def test_a_decrease_is_acknowledged_once_batches_fit():
    """Guards the first step of a transfer of share between data centres."""
    allocator, state_cache = make_allocator()
    batch = acquire(allocator, state_cache, 10.0, 10.0)
    assert batch.tokens == 10
    commit_changes(state_cache, rate_per_s=1.0, burst=2.0)
    changed = state_cache.state.shares[("crew", "north-a")].epoch
    assert acquire(allocator, state_cache, 10.1).tokens == 0
    assert allocator.share_epoch(10.1) < changed
    reports = (BatchReport(batch.batch_id, spent=9.0),)
    acquire(allocator, state_cache, 10.2, 0.0, epoch=1, batches=reports)
    assert allocator.share_epoch(10.2) == changed


def test_reports_for_another_epoch_are_ignored():
    """Guards against batch identifiers of an earlier allocator."""
    allocator, state_cache = make_allocator()
    batch = acquire(allocator, state_cache, 10.0, 10.0)
    reports = (BatchReport(batch.batch_id, spent=0.0, closed=True),)
    response = acquire(
        allocator, state_cache, 10.0, 5.0, epoch=7, batches=reports
    )
    assert response.tokens == 0
    response = acquire(
        allocator, state_cache, 10.0, 5.0, epoch=1, batches=reports
    )
    assert response.tokens == 5


def test_without_a_share_nothing_is_issued():
    """Guards against tokens before control has set shares."""
    allocator, state_cache = make_allocator()
    state_cache.state.shares.clear()
    state_cache.state.revision += 1
    response = acquire(allocator, state_cache, 20.0)
    assert response.tokens == 0
    assert response.failure is None


def test_a_restored_share_counts_outstanding_batches():
    """Guards against double issue for a share removed and restored."""
    allocator, state_cache = make_allocator()
    assert acquire(allocator, state_cache, 10.0, 10.0).tokens == 10
    state_cache.state.shares.clear()
    state_cache.state.revision += 1
    acquire(allocator, state_cache, 10.1)
    state_cache.state.shares[("crew", "north-a")] = Share(
        "crew", "north-a", 10.0, 10.0, 9
    )
    state_cache.state.revision += 1
    assert acquire(allocator, state_cache, 10.2).tokens == 0
    assert acquire(allocator, state_cache, 10.95).tokens == 0


def test_sources_are_ordered_by_distance():
    """Guards the order in which allocators are called."""
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
    sources = list_sources(state, make_settings("a").vm)
    assert [source.vm for source in sources] == ["a", "b", "z"]


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
    """Guards partitioned data centres: routes with stale_keys_s need tokens
    for that long, and no longer."""
    allocator, state_cache = make_allocator()
    state_cache.state.longest_stale_keys_s = stale_keys_s
    state_cache.proof_at = 0.0
    response = allocator.acquire(
        TokenRequest(account="crew", tokens=1.0), age_s
    )
    assert (response.tokens > 0) == serves


@pytest.mark.parametrize(
    ("predecessor_may_run", "wait_s"),
    [(False, BATCH_S), (True, LEASES_S + STALE_KEYS_S)],
)
def test_a_successor_waits_for_a_process_on_another_vm(
    predecessor_may_run, wait_s
):
    """Guards the rate of an account while a partitioned allocator on another
    VM continues to serve its stale routes."""
    allocator, state_cache = make_allocator(epoch=1, now=10.0)
    state_cache.state.longest_stale_keys_s = STALE_KEYS_S
    appointment = state_cache.state.allocators["north-a"]
    state_cache.state.allocators["north-a"] = attrs.evolve(
        appointment,
        epoch=5,
        has_predecessor=True,
        predecessor_may_run=predecessor_may_run,
    )
    state_cache.state.revision += 1
    state_cache.proof_at = float("inf")
    assert allocator.share_epoch(10.0) == 0
    assert allocator.share_epoch(10.0 + wait_s * 0.99) == 0
    assert allocator.share_epoch(10.0 + wait_s * 1.02) > 0


# Extension of the lease for accounts with one bucket.
UNDIVIDED_S = 2.0


@pytest.mark.parametrize(
    ("is_divided", "wait_s"),
    [
        (False, LEASES_S + UNDIVIDED_S),
        (True, LEASES_S + STALE_KEYS_S),
    ],
)
def test_account_with_one_bucket_has_tokens_soon_after_a_loss(
    is_divided, wait_s
):
    """Guards a small account, which has no tokens elsewhere, against the
    whole lease of an allocator that may be partitioned."""
    allocator, state_cache = make_successor(True, started_at=50.0)
    state = state_cache.state
    state.longest_stale_keys_s = STALE_KEYS_S
    appointment = state.allocators["north-a"]
    state.allocators["north-a"] = attrs.evolve(appointment, epoch=3)
    state.divided_accounts.update(["crew"][:is_divided])
    state.revision += 1
    assert acquire(allocator, state_cache, 100.0).tokens == 0
    assert acquire(allocator, state_cache, 100.0 + 0.99 * wait_s).tokens == 0
    response = acquire(allocator, state_cache, 100.1 + 1.02 * wait_s, 1.0)
    assert response.tokens == 1


@pytest.mark.parametrize("is_divided", [False, True])
@pytest.mark.parametrize("becomes_divided", [False, True])
def test_predecessor_stops_before_its_successor_starts(
    is_divided, becomes_divided
):
    """Guards the rate of an account whose burst is changed while its
    allocator is partitioned, so that both use different states."""
    predecessor, old = make_allocator(now=100.0)
    old.state.longest_stale_keys_s = STALE_KEYS_S
    old.state.divided_accounts.update(["crew"][:is_divided])
    successor, new = make_successor(True, started_at=50.0)
    new.state.longest_stale_keys_s = STALE_KEYS_S
    new.state.divided_accounts |= old.state.divided_accounts
    new.state.divided_accounts.update(["crew"][:becomes_divided])
    appointment = new.state.allocators["north-a"]
    new.state.allocators["north-a"] = attrs.evolve(appointment, epoch=3)
    new.state.revision += 1
    successor.share_epoch(100.0)
    # The last proof of the predecessor is from before the appointment.
    old.proof_at = 100.0
    issued_at, started_at = 100.0, None
    for step in range(1, 800):
        now = 100.0 + step / 10
        if predecessor.acquire(TokenRequest("crew", 1.0), now).tokens:
            issued_at = now
        if acquire(successor, new, now, 0.1).tokens and started_at is None:
            started_at = now
    assert issued_at > 100.0
    assert started_at >= issued_at + BATCH_S


@pytest.mark.parametrize("is_divided", [False, True])
@pytest.mark.parametrize("confirmed_at", [100.5, 103.0])
def test_confirmed_successor_issues_tokens_at_once(is_divided, confirmed_at):
    """Guards accounts against a wait for an allocator that is frozen, ended
    or cut off alone."""
    allocator, state_cache = make_successor(True, started_at=50.0)
    state = state_cache.state
    state.longest_stale_keys_s = STALE_KEYS_S
    state.divided_accounts.update(["crew"][:is_divided])
    appointment = attrs.evolve(state.allocators["north-a"], epoch=3)
    state.allocators["north-a"] = appointment
    state.revision += 1
    assert acquire(allocator, state_cache, 100.0).tokens == 0
    state.allocators["north-a"] = attrs.evolve(appointment, is_confirmed=True)
    state.revision += 1
    # The buckets start empty, so that both allocators together comply.
    assert acquire(allocator, state_cache, confirmed_at).tokens == 0
    response = acquire(allocator, state_cache, confirmed_at + 0.3, 1.0)
    assert response.tokens == 1
