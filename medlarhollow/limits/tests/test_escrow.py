"""Tests of the escrow bucket and of the total spending under faults."""

import random

import attrs
import hypothesis
from hypothesis import strategies as st
import pytest

from medlarhollow.limits.allocator import ShareAllocator
from medlarhollow.limits.escrow import EscrowBucket
from medlarhollow.limits.leased_tokens import LeasedTokens
from medlarhollow.messages.records import Allocator
from medlarhollow.messages.records import Share
from medlarhollow.messages.records import TokenRequest
from medlarhollow.messages.records import TokenResponse

from .support import FakeStateCache
from .support import make_settings
from .support import make_state

RATE_PER_S = 8.0
BURST = 12.0
DATA_CENTRES = ("east", "west")


class CentralBucket:
    """Reference model: one bucket that sees every spent token."""

    def __init__(self):
        self._level = BURST
        self._refilled_at = 0.0

    def consume(self, now):
        refill = RATE_PER_S * (now - self._refilled_at)
        self._level = min(BURST, self._level + refill)
        self._refilled_at = now
        self._level -= 1
        return self._level >= -1e-6


class AllocatorVm:
    """VM that may become allocator, with its own cached state."""

    def __init__(self, name, data_centre, number, now):
        self.name = name
        self.data_centre = data_centre
        self.incarnation = f"{name}#{number}"
        self.state_cache = FakeStateCache(make_state())
        self.epoch = 0
        self.allocator = ShareAllocator(
            make_settings(name, data_centre=data_centre),
            self.state_cache,
            self.incarnation,
            now,
        )

    def respond(self, request, now):
        response = self.allocator.acquire(request, now)
        self.epoch = response.epoch or self.epoch
        return response


class Simulation:
    """Randomized fleet of allocator VMs and entry VMs that spend tokens.

    Each of two data centres has two VMs that may be allocators. Entry VMs
    (holders) keep tokens as long as they can and then spend them in a burst.
    Requests and responses are delayed or lost, VMs restart or are
    partitioned, and control appoints allocators without waiting and transfers
    shares between the data centres.
    """

    def __init__(self, seed, faults):
        self.random = random.Random(seed)
        self.faults = faults
        self.now = 0.0
        self.central = CentralBucket()
        self.state = make_state()
        self.vms = {}
        self.partitioned = set()
        self.requests = []
        self.responses = []
        self.holders = [LeasedTokens(0.0) for _ in range(3)]
        self.transfer = None
        for data_centre in DATA_CENTRES:
            self.set_share(data_centre, RATE_PER_S / 2, BURST / 2)
            for name in (f"{data_centre}-1", f"{data_centre}-2"):
                self.vms[name] = AllocatorVm(name, data_centre, 0, 0.0)
            self.appoint_allocator(f"{data_centre}-1")
        self.advance(4.0)

    def run(self, steps):
        actions = {
            self.advance_randomly: 6,
            self.acquire_everywhere: 5,
            self.spend: 2,
            self.send_request: 2,
            self.deliver: 4,
            self.fault: self.faults,
        }
        for _ in range(steps):
            [action] = self.random.choices(
                list(actions), list(actions.values())
            )
            action()

    def fault(self):
        name = self.random.choice(list(self.vms))
        self.random.choice(
            [
                lambda: self.partitioned.symmetric_difference_update({name}),
                lambda: self.restart_allocator(name),
                lambda: self.appoint_allocator(name),
                self.restart_holder,
                self.transfer_share,
                self.transfer_share,
            ]
        )()

    def set_share(self, data_centre, rate_per_s, burst):
        self.state.revision += 1
        self.state.shares[("crew", data_centre)] = Share(
            "crew", data_centre, rate_per_s, burst, self.state.revision
        )
        return self.state.revision

    def advance_randomly(self):
        self.advance(self.random.choice([0.05, 0.3, 0.6, 0.95, 1.0, 2.0]))

    def advance(self, seconds):
        for _ in range(2):
            self.now += seconds / 2
            for name, vm in self.vms.items():
                if name not in self.partitioned:
                    vm.state_cache.state = attrs.evolve(
                        self.state,
                        shares=dict(self.state.shares),
                        allocators=dict(self.state.allocators),
                    )
                    vm.state_cache.proof_at = self.now
                vm.allocator.share_epoch(self.now)

    def restart_allocator(self, name):
        number = self.random.getrandbits(60)
        self.vms[name] = AllocatorVm(
            name, self.vms[name].data_centre, number, self.now
        )

    def appoint_allocator(self, name):
        vm = self.vms[name]
        current = self.state.allocators.get(vm.data_centre)
        self.state.revision += 1
        self.state.allocators[vm.data_centre] = Allocator(
            vm.data_centre,
            name,
            vm.incarnation,
            current.epoch + 1 if current else 1,
            has_predecessor=current is not None,
            predecessor_may_run=_may_run(current, name),
        )

    def request(self, vm, leased_tokens, tokens, close_within_s):
        reports = leased_tokens.collect_reports(
            vm.data_centre, vm.epoch, self.now, close_within_s
        )
        return TokenRequest("crew", tokens, epoch=vm.epoch, batches=reports)

    def acquire_everywhere(self):
        leased_tokens = self.random.choice(self.holders)
        for vm in self.vms.values():
            request = self.request(vm, leased_tokens, 20.0, 0.0)
            response = vm.respond(request, self.now)
            if response.failure is None:
                leased_tokens.add(vm.data_centre, response, self.now)

    def send_request(self):
        holder = self.random.randrange(len(self.holders))
        vm = self.random.choice(list(self.vms.values()))
        request = self.request(
            vm,
            self.holders[holder],
            self.random.choice([0.0, 2.0, 20.0]),
            self.random.choice([0.0, 2.0]),
        )
        self.requests.append((holder, vm.name, request, self.now))

    def deliver(self):
        if self.requests and self.random.random() < 0.5:
            index = self.random.randrange(len(self.requests))
            holder, name, request, requested_at = self.requests[index]
            if self.random.random() < 0.7:
                del self.requests[index]
            vm = self.vms[name]
            response = vm.respond(request, self.now)
            self.responses.append(
                (holder, vm.data_centre, response, requested_at)
            )
        elif self.responses:
            index = self.random.randrange(len(self.responses))
            holder, data_centre, response, requested_at = self.responses.pop(
                index
            )
            if response.failure is None and self.random.random() < 0.8:
                self.holders[holder].add(data_centre, response, requested_at)

    def spend(self):
        limit = self.random.choice([2, 100, 100])
        for leased_tokens in self.holders:
            for _ in range(limit):
                if not leased_tokens.spend(self.now):
                    break
                assert self.central.consume(self.now), (
                    "more was spent than rate and burst allow"
                )

    def restart_holder(self):
        holder = self.random.randrange(len(self.holders))
        self.holders[holder] = LeasedTokens(self.now)

    def transfer_share(self):
        if self.transfer is None:
            donor = self.random.choice(DATA_CENTRES)
            fraction = self.random.choice([0.3, 0.95])
            share = self.state.shares[("crew", donor)]
            moved = (share.rate_per_s * fraction, share.burst * fraction)
            epoch = self.set_share(
                donor, share.rate_per_s - moved[0], share.burst - moved[1]
            )
            self.transfer = (donor, moved, epoch, self.now)
            return
        donor, moved, epoch, started_at = self.transfer
        if (
            not self.is_acknowledged(donor, epoch)
            and self.now - started_at < 4.05
        ):
            return
        recipient = DATA_CENTRES[1 - DATA_CENTRES.index(donor)]
        share = self.state.shares[("crew", recipient)]
        self.set_share(
            recipient, share.rate_per_s + moved[0], share.burst + moved[1]
        )
        self.transfer = None

    def is_acknowledged(self, data_centre, epoch):
        appointment = self.state.allocators[data_centre]
        vm = self.vms[appointment.vm]
        return (
            vm.incarnation == appointment.incarnation
            and vm.allocator.share_epoch(self.now) >= epoch
        )


@pytest.mark.parametrize("faults", [0, 1, 4])
@hypothesis.given(seed=st.integers(0, 2**32))
@hypothesis.settings(max_examples=40, deadline=None)
def test_spending_stays_within_rate_and_burst_in_every_interval(faults, seed):
    """Guards invariant 6 under any order of faults: a central bucket that
    sees every spent token must never be overdrawn."""
    Simulation(seed, faults).run(steps=400)


@hypothesis.given(
    st.lists(
        st.tuples(
            st.sampled_from([0.0, 0.05, 0.3, 1.0, 2.0]),
            st.sampled_from(["issue", "spend", "close", "share"]),
            st.floats(0.0, 20.0),
        ),
        max_size=60,
    )
)
@hypothesis.settings(deadline=None)
def test_level_and_outstanding_never_exceed_the_burst(steps):
    """Guards the bucket invariant, from which the spending bound follows."""
    bucket = EscrowBucket(4.0, 10.0, 0.0)
    now = 0.0
    spent = {}
    for number, (seconds, action, amount) in enumerate(steps, 1):
        now += seconds
        if action == "issue":
            bucket.issue(number, amount, 1.0, now)
        elif action == "share":
            bucket.set_share(amount, 10.0 + amount, now)
        else:
            batch = number // 2
            spent[batch] = max(spent.get(batch, 0.0), amount)
            closed = action == "close"
            bucket.settle(batch, spent[batch], closed, now)
        assert bucket.level >= 0
        assert bucket.outstanding >= 0
        total = bucket.level + bucket.outstanding
        assert bucket.level <= 1e-9 or total <= bucket.share[1] + 1e-9


def test_unspent_tokens_limit_the_refill_until_their_lease_expires():
    """Guards against a refill for the time in which tokens were outstanding,
    which would allow a second burst right after the first."""
    bucket = EscrowBucket(10.0, 10.0, 0.0)
    assert bucket.issue(1, 10.0, 1.0, 5.0) == pytest.approx(10.0)
    bucket.refill(6.0)
    assert bucket.level == pytest.approx(0.0)
    bucket.refill(6.5)
    assert bucket.level == pytest.approx(5.0)


def test_a_repeated_report_counts_once():
    """Guards against reports that are resent after a lost response."""
    bucket = EscrowBucket(0.0, 10.0, 0.0)
    bucket.set_share(1.0, 10.0, 0.0)
    bucket.issue(1, 10.0, 100.0, 10.0)
    for _ in range(3):
        bucket.settle(1, 4.0, False, 10.0)
    assert bucket.outstanding == pytest.approx(6.0)
    for _ in range(3):
        bucket.settle(1, 4.0, True, 10.0)
    assert bucket.outstanding == pytest.approx(0.0)
    assert bucket.level == pytest.approx(6.0)


def test_returned_tokens_never_exceed_a_reduced_burst():
    """Guards a decrease of the share while batches are outstanding."""
    bucket = EscrowBucket(10.0, 10.0, 0.0)
    bucket.issue(1, 8.0, 100.0, 1.0)
    bucket.set_share(1.0, 3.0, 1.0)
    assert not bucket.is_within_burst
    assert bucket.issue(2, 1.0, 1.0, 1.0) == 0
    bucket.settle(1, 2.0, True, 1.0)
    assert bucket.is_within_burst
    assert bucket.level == pytest.approx(3.0)


def test_the_lease_starts_at_the_request():
    """Guards against spending tokens of a response so late that the batch
    has already expired at the allocator."""
    allocator = EscrowBucket(10.0, 10.0, 0.0)
    leased_tokens = LeasedTokens(0.0)
    response = _response(allocator.issue(1, 5.0, 1.0, 2.0))
    leased_tokens.add("east", response, 2.0)
    assert leased_tokens.spend(2.98)
    assert not leased_tokens.spend(2.995)
    late = LeasedTokens(0.0)
    late.add("east", response, 2.0 - 1.0)
    assert not late.spend(2.0)


def _may_run(current, name):
    """Return predecessor_may_run as control commits it."""
    if current is None:
        return False
    return current.vm != name or current.predecessor_may_run


def _response(tokens):
    return TokenResponse(tokens=tokens, lease_s=1.0, epoch=1, batch_id=1)


def test_tokens_issued_as_spent_do_not_limit_the_refill():
    """Guards small accounts within their limits: a token that counts as
    outstanding until its lease ends blocks the refill of a small bucket."""
    bucket = EscrowBucket(2.0, 2.0, 0.0)
    bucket.refill(1.0)
    assert bucket.issue_spent(1.0, 1.0) == 1.0
    assert bucket.outstanding == 0.0
    assert bucket.issue_spent(2.0, 1.5) == 2.0
    assert bucket.issue_spent(1.0, 1.6) == 0.0
    assert bucket.issue(1, 1.0, 0.6, 2.0) == 1.0
    assert bucket.outstanding == 1.0


@hypothesis.given(
    st.lists(
        st.tuples(st.floats(0.0, 0.5), st.integers(1, 4), st.booleans()),
        max_size=60,
    )
)
def test_tokens_issued_as_spent_stay_within_rate_and_burst(steps):
    """Compares both ways to issue with a central bucket, at the time of the
    issue and, for batches, at the latest time at which they are spent."""
    bucket = EscrowBucket(RATE_PER_S, BURST, -10.0)
    now = 0.0
    spending = []
    for number, (pause_s, tokens, is_spent) in enumerate(steps):
        now += pause_s
        if is_spent:
            spending.append((now, bucket.issue_spent(float(tokens), now)))
        else:
            issued = bucket.issue(number, float(tokens), 0.6, now)
            spending.append((now + 0.6, issued))
    level, filled_at = BURST, 0.0
    for spent_at, amount in sorted(spending):
        refill = RATE_PER_S * (spent_at - filled_at)
        level = min(BURST, level + refill) - amount
        filled_at = spent_at
        assert level >= -1e-6
