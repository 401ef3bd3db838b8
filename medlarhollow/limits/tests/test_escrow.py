"""The sum of what is spent, under faults, against one central bucket."""

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
SITES = ("east", "west")


class CentralBucket:
    """The naive version: one bucket that sees every spent token."""

    def __init__(self):
        self._level = BURST
        self._at = 0.0

    def take(self, now):
        refill = RATE_PER_S * (now - self._at)
        self._level = min(BURST, self._level + refill)
        self._at = now
        self._level -= 1
        return self._level >= -1e-6


class AllocatorVm:
    """A VM that may be named allocator, with its own copy of the state."""

    def __init__(self, name, site, number, now):
        self.name = name
        self.site = site
        self.incarnation = f"{name}#{number}"
        self.copy = FakeStateCache(make_state())
        self.epoch = 0
        self.allocator = ShareAllocator(
            make_settings(name, data_centre=site),
            self.copy,
            self.incarnation,
            now,
        )

    def answer(self, request, now):
        response = self.allocator.acquire(request, now)
        self.epoch = response.epoch or self.epoch
        return response


class Simulation:
    """Two data centres with two VMs each that may be allocators, and holders
    that keep all tokens as long as they can and then spend them at once.

    Requests and answers are late or lost, VMs restart or are cut off,
    control names allocators without any wait and moves share between the
    data centres.
    """

    def __init__(self, seed, faults):
        self.random = random.Random(seed)
        self.faults = faults
        self.now = 0.0
        self.central = CentralBucket()
        self.state = make_state()
        self.vms = {}
        self.cut_off = set()
        self.requests = []
        self.answers = []
        self.holders = [LeasedTokens(0.0) for _ in range(3)]
        self.transfer = None
        for site in SITES:
            self.set_share(site, RATE_PER_S / 2, BURST / 2)
            for name in (f"{site}-1", f"{site}-2"):
                self.vms[name] = AllocatorVm(name, site, 0, 0.0)
            self.name_allocator(f"{site}-1")
        self.wait(4.0)

    def run(self, steps):
        actions = {
            self.wait_some: 6,
            self.draw_everywhere: 5,
            self.spend: 2,
            self.ask: 2,
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
                lambda: self.cut_off.symmetric_difference_update({name}),
                lambda: self.restart_allocator(name),
                lambda: self.name_allocator(name),
                self.restart_holder,
                self.move_share,
                self.move_share,
            ]
        )()

    def set_share(self, site, rate_per_s, burst):
        self.state.revision += 1
        self.state.shares[("crew", site)] = Share(
            "crew", site, rate_per_s, burst, self.state.revision
        )
        return self.state.revision

    def wait_some(self):
        self.wait(self.random.choice([0.05, 0.3, 0.6, 0.95, 1.0, 2.0]))

    def wait(self, seconds):
        for _ in range(2):
            self.now += seconds / 2
            for name, vm in self.vms.items():
                if name not in self.cut_off:
                    vm.copy.state = attrs.evolve(
                        self.state,
                        shares=dict(self.state.shares),
                        allocators=dict(self.state.allocators),
                    )
                    vm.copy.proof_at = self.now
                vm.allocator.share_epoch(self.now)

    def restart_allocator(self, name):
        number = self.random.getrandbits(60)
        self.vms[name] = AllocatorVm(
            name, self.vms[name].site, number, self.now
        )

    def name_allocator(self, name):
        vm = self.vms[name]
        known = self.state.allocators.get(vm.site)
        self.state.revision += 1
        self.state.allocators[vm.site] = Allocator(
            vm.site,
            name,
            vm.incarnation,
            known.epoch + 1 if known else 1,
            has_predecessor=known is not None,
            predecessor_may_run=_may_run(known, name),
        )

    def request(self, vm, held_tokens, tokens, close_within_s):
        reports = held_tokens.reports(
            vm.site, vm.epoch, self.now, close_within_s
        )
        return TokenRequest("crew", tokens, epoch=vm.epoch, batches=reports)

    def draw_everywhere(self):
        held_tokens = self.random.choice(self.holders)
        for vm in self.vms.values():
            request = self.request(vm, held_tokens, 20.0, 0.0)
            response = vm.answer(request, self.now)
            if response.failure is None:
                held_tokens.add(vm.site, response, self.now)

    def ask(self):
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
            place = self.random.randrange(len(self.requests))
            holder, name, request, at = self.requests[place]
            if self.random.random() < 0.7:
                del self.requests[place]
            vm = self.vms[name]
            response = vm.answer(request, self.now)
            self.answers.append((holder, vm.site, response, at))
        elif self.answers:
            place = self.random.randrange(len(self.answers))
            holder, site, response, at = self.answers.pop(place)
            if response.failure is None and self.random.random() < 0.8:
                self.holders[holder].add(site, response, at)

    def spend(self):
        limit = self.random.choice([2, 100, 100])
        for held_tokens in self.holders:
            for _ in range(limit):
                if not held_tokens.spend(self.now):
                    break
                assert self.central.take(self.now), "above rate and burst"

    def restart_holder(self):
        holder = self.random.randrange(len(self.holders))
        self.holders[holder] = LeasedTokens(self.now)

    def move_share(self):
        if self.transfer is None:
            source = self.random.choice(SITES)
            part = self.random.choice([0.3, 0.95])
            share = self.state.shares[("crew", source)]
            moved = (share.rate_per_s * part, share.burst * part)
            epoch = self.set_share(
                source, share.rate_per_s - moved[0], share.burst - moved[1]
            )
            self.transfer = (source, moved, epoch, self.now)
            return
        source, moved, epoch, at = self.transfer
        if not self.is_acknowledged(source, epoch) and self.now - at < 4.05:
            return
        target = SITES[1 - SITES.index(source)]
        share = self.state.shares[("crew", target)]
        self.set_share(
            target, share.rate_per_s + moved[0], share.burst + moved[1]
        )
        self.transfer = None

    def is_acknowledged(self, site, epoch):
        named = self.state.allocators[site]
        vm = self.vms[named.vm]
        return (
            vm.incarnation == named.incarnation
            and vm.allocator.share_epoch(self.now) >= epoch
        )


@pytest.mark.parametrize("faults", [0, 1, 4])
@hypothesis.given(seed=st.integers(0, 2**32))
@hypothesis.settings(max_examples=40, deadline=None)
def test_no_interval_sees_more_than_rate_and_burst(faults, seed):
    """Guards invariant 6 against any order of faults: a central bucket that
    sees every spent token must be able to afford it."""
    Simulation(seed, faults).run(steps=400)


@hypothesis.given(
    st.lists(
        st.tuples(
            st.sampled_from([0.0, 0.05, 0.3, 1.0, 2.0]),
            st.sampled_from(["take", "spend", "close", "share"]),
            st.floats(0.0, 20.0),
        ),
        max_size=60,
    )
)
@hypothesis.settings(deadline=None)
def test_level_and_outstanding_never_exceed_the_burst(steps):
    """Guards the invariant of the bucket, from which the bound follows."""
    bucket = EscrowBucket(4.0, 10.0, 0.0)
    now = 0.0
    spent = {}
    for number, (seconds, action, amount) in enumerate(steps, 1):
        now += seconds
        if action == "take":
            bucket.hand_out(number, amount, 1.0, now)
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


def test_unspent_tokens_of_an_ended_batch_hold_back_the_refill():
    """Guards against a refill for the time in which tokens were out: it
    would allow a second burst right after the first."""
    bucket = EscrowBucket(10.0, 10.0, 0.0)
    assert bucket.hand_out(1, 10.0, 1.0, 5.0) == pytest.approx(10.0)
    bucket.refill(6.0)
    assert bucket.level == pytest.approx(0.0)
    bucket.refill(6.5)
    assert bucket.level == pytest.approx(5.0)


def test_a_report_that_arrives_twice_counts_once():
    """Guards against reports that are sent again after a lost answer."""
    bucket = EscrowBucket(0.0, 10.0, 0.0)
    bucket.set_share(1.0, 10.0, 0.0)
    bucket.hand_out(1, 10.0, 100.0, 10.0)
    for _ in range(3):
        bucket.settle(1, 4.0, False, 10.0)
    assert bucket.outstanding == pytest.approx(6.0)
    for _ in range(3):
        bucket.settle(1, 4.0, True, 10.0)
    assert bucket.outstanding == pytest.approx(0.0)
    assert bucket.level == pytest.approx(6.0)


def test_tokens_that_come_back_never_exceed_a_reduced_burst():
    """Guards a decrease of the share while batches are out."""
    bucket = EscrowBucket(10.0, 10.0, 0.0)
    bucket.hand_out(1, 8.0, 100.0, 1.0)
    bucket.set_share(1.0, 3.0, 1.0)
    assert not bucket.is_settled
    assert bucket.hand_out(2, 1.0, 1.0, 1.0) == 0
    bucket.settle(1, 2.0, True, 1.0)
    assert bucket.is_settled
    assert bucket.level == pytest.approx(3.0)


def test_the_lease_counts_from_the_request():
    """Guards against an answer that arrives so late that the allocator
    has counted the batch as ended."""
    allocator = EscrowBucket(10.0, 10.0, 0.0)
    held_tokens = LeasedTokens(0.0)
    response = _response(allocator.hand_out(1, 5.0, 1.0, 2.0))
    held_tokens.add("east", response, 2.0)
    assert held_tokens.spend(2.98)
    assert not held_tokens.spend(2.995)
    late = LeasedTokens(0.0)
    late.add("east", response, 2.0 - 1.0)
    assert not late.spend(2.0)


def _may_run(known, name):
    """Return what control agrees on with a naming."""
    if known is None:
        return False
    return known.vm != name or known.predecessor_may_run


def _response(tokens):
    return TokenResponse(tokens=tokens, lease_s=1.0, epoch=1, batch_id=1)
