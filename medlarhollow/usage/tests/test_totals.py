"""Totals merged on each hop, over paths that fail, repeat and reorder."""

import collections
import random

from hypothesis import given
from hypothesis import settings as settings_of_hypothesis
from hypothesis import strategies as st
import pytest

from medlarhollow.messages import encode
from medlarhollow.messages.records import SyncRequest
from medlarhollow.messages.records import UsageCount
from medlarhollow.messages.records import UsageSample
from medlarhollow.usage import totals as totals_module
from medlarhollow.usage.totals import UsagePosition
from medlarhollow.usage.totals import UsageTotals

from .vms import EPOCH_S
from .vms import FIRST_WINDOW
from .vms import make_fleet_clock
from .vms import SimulatedVm
from .vms import sync

STEPS = st.tuples(
    st.sampled_from(
        ["run", "send", "move", "lose", "lose response", "relay", "restart"]
    ),
    st.integers(0, 2),
    st.integers(0, 1),
)


def make_sample(
    vm="vm-1", incarnation="1", window=0, complete=False, **counts
):
    return UsageSample(
        vm=vm,
        incarnation=incarnation,
        window=FIRST_WINDOW + window,
        counts=tuple(UsageCount(*count) for count in counts.items()),
        complete=complete,
    )


@pytest.fixture
def totals(settings):
    return UsageTotals(settings, make_fleet_clock())


def make_synchronized(*names):
    """Return VMs that know the fleet time."""
    vms = [SimulatedVm(name) for name in names]
    for vm in vms:
        vm.clock.add_fleet_time(EPOCH_S, 0.0, 0.0, 0.0)
    return vms


def test_repeated_and_reordered_samples_are_counted_once(totals):
    """Guards against totals that depend on the order or number of arrivals,
    as sums of differences do."""
    samples = [make_sample(a=n, b=2 * n) for n in range(1, 6)]
    samples.append(make_sample(a=5, b=10, complete=True))
    generator = random.Random(1)
    for _ in range(20):
        generator.shuffle(samples)
        totals.add(samples + samples[:3], 1.0)
        assert totals.counts(FIRST_WINDOW) == {"a": 5, "b": 10}
        assert totals.is_complete(FIRST_WINDOW, [("vm-1", "1")])


def test_both_incarnations_of_a_restarted_vm_count(totals):
    """Guards against a VM that is restarted in the middle of a window and
    whose new totals disappear below the earlier ones."""
    totals.add([make_sample(incarnation="1", a=7)], 1.0)
    totals.add([make_sample(incarnation="2", a=3, complete=True)], 2.0)
    assert totals.counts(FIRST_WINDOW) == {"a": 10}
    assert totals.is_complete(FIRST_WINDOW, [("vm-1", "2")])
    assert not totals.is_complete(FIRST_WINDOW, [("vm-1", "1")])


def test_incomplete_vms_are_named(totals):
    totals.add([make_sample("a", x=1), make_sample("b", complete=True)], 1.0)
    vms = iter([("a", "1"), ("b", "1"), ("c", "1")])
    assert totals.list_incomplete(FIRST_WINDOW, vms) == ["a", "c"]
    assert totals.is_complete(FIRST_WINDOW, [])


def test_only_changes_are_sent_to_the_same_upstream(totals):
    """Guards against bytes that grow with the number of accounts although
    few of them have requests."""
    totals.add([make_sample(a=1, b=1)], 1.0)
    samples, position = totals.list_changes(1.0, UsagePosition())
    assert samples == (make_sample(a=1, b=1),)
    totals.add([make_sample(a=1, b=2)], 1.5)
    samples, position = totals.list_changes(1.5, position)
    assert samples == (make_sample(b=2),)
    totals.add([make_sample(a=1, b=2, complete=True)], 2.0)
    samples, position = totals.list_changes(2.0, position)
    assert samples == (make_sample(complete=True),)
    totals.add([make_sample(a=1, b=2, complete=True)], 2.5)
    assert totals.list_changes(2.5, position)[0] == ()
    assert totals.list_samples(2.5) == (make_sample(a=1, b=2, complete=True),)
    samples, _ = totals.list_changes(2.5, UsagePosition())
    assert samples == totals.list_samples(2.5)


@given(st.data())
@settings_of_hypothesis(max_examples=200, deadline=None)
def test_maximum_agrees_with_a_naive_count(data):
    """Guards against totals that depend on the path: VMs and relays change
    their upstreams at random, lose messages and restart."""
    vms = make_synchronized("vm-0", "vm-1", "vm-2")
    relays = make_synchronized("relay-0", "relay-1")
    (leader,) = make_synchronized("control-1")
    truth = collections.Counter()
    steps = data.draw(st.lists(STEPS, max_size=40))
    for number, (kind, source, target) in enumerate(steps):
        now = 0.1 * number
        vm, relay = vms[source], relays[target]
        if kind == "run":
            vm.run(f"account-{target}", now)
            truth[f"account-{target}"] += 1
        elif kind == "send":
            sync(vm, relay, now)
        elif kind == "move":
            vm.leave_upstream()
            sync(vm, relay, now)
        elif kind == "lose":
            sync(vm, relay, now, is_request_lost=True)
        elif kind == "lose response":
            sync(vm, relay, now, is_lost=True)
        elif kind == "relay":
            sync(relay, leader, now)
        elif kind == "restart":
            # A VM that stops has sent its counts.
            vm.leave_upstream()
            sync(vm, relay, now)
            incarnation = f"{vm.incarnation}+"
            vms[source] = SimulatedVm(vm.name, incarnation)
            vms[source].follow_clock(leader, now)
    for vm in vms:
        vm.leave_upstream()
        sync(vm, relays[0], 5.0)
    for relay in relays:
        relay.leave_upstream()
        sync(relay, leader, 5.0)
    assert leader.totals.counts(FIRST_WINDOW) == truth


def test_long_list_is_sent_in_parts(totals, settings, monkeypatch):
    """Guards against a request that holds up a slow link, and against totals
    that change between two parts and are never sent."""
    monkeypatch.setattr(totals_module, "_MAX_COUNTS", 6)
    generator = random.Random(3)
    upstream = UsageTotals(settings, make_fleet_clock())
    position = UsagePosition()
    counts = dict.fromkeys(range(10), 0)

    def count(vm):
        counts[vm] += 1
        changed = f"account-{generator.randrange(4)}"
        totals.add([make_sample(f"vm-{vm}", **{changed: counts[vm]})], 1.0)

    for vm in [*counts, *counts, *counts]:
        count(vm)
    for _ in range(40):
        samples, position = totals.list_changes(1.0, position)
        assert sum(len(sample.counts) for sample in samples) <= 6
        upstream.add(samples, 1.0)
        count(generator.randrange(10))
    for _ in range(20):
        samples, position = totals.list_changes(1.0, position)
        upstream.add(samples, 1.0)
    assert position.sent == position.complete
    assert upstream.counts(FIRST_WINDOW) == totals.counts(FIRST_WINDOW)
    assert totals.list_changes(1.0, position)[0] == ()


def test_samples_pass_over_two_relays_and_two_paths():
    """Guards against requests that count twice because two relays pass them
    on."""
    vm, inner, left, right, leader = make_synchronized(
        "vm-1", "a-1", "b-1", "b-2", "control-1"
    )
    vm.run("a", 1.0)
    sync(vm, inner, 1.0)
    sync(inner, left, 1.5)
    inner.leave_upstream()
    sync(inner, right, 2.0)
    for relay in (right, left, right):
        relay.leave_upstream()
        sync(relay, leader, 2.5)
    assert leader.totals.counts(FIRST_WINDOW) == {"a": 1}


def test_late_sample_of_a_window_is_merged():
    """Guards against a window whose late totals are dropped before the time
    at which it is settled."""
    vm, leader = make_synchronized("vm-1", "control-1")
    vm.run("a", 4.0)
    sync(vm, leader, 10.9)
    assert leader.totals.counts(FIRST_WINDOW) == {"a": 1}
    assert leader.totals.is_complete(FIRST_WINDOW, [vm.key])


def test_killed_relay_loses_no_total():
    """Guards against totals that only the relay had: each VM keeps its own
    and sends them to the next upstream."""
    first, second, relay, leader = make_synchronized(
        "vm-1", "vm-2", "a-1", "control-1"
    )
    for now in (1.0, 1.5, 2.0):
        first.run("a", now)
        second.run("b", now)
        sync(first, relay, now)
        sync(second, relay, now)
    # The relay is killed before its next request.
    first.leave_upstream()
    second.leave_upstream()
    sync(second, first, 4.0)
    sync(first, leader, 4.0)
    assert leader.totals.counts(FIRST_WINDOW) == {"a": 3, "b": 3}


def test_new_leader_receives_all_totals():
    """Guards against a new leader that reports only what changed since its
    election."""
    vm, relay, old, new = make_synchronized(
        "vm-1", "a-1", "control-1", "control-2"
    )
    for now in (1.0, 6.0, 11.0):
        vm.run("a", now)
        sync(vm, relay, now + 0.5)
        sync(relay, old, now + 0.5)
    relay.leave_upstream()
    sync(relay, new, 12.0)
    for window in range(3):
        counts = new.totals.counts(FIRST_WINDOW + window)
        assert counts == {"a": 1}
        assert counts == old.totals.counts(FIRST_WINDOW + window)
    assert new.totals.is_complete(FIRST_WINDOW, [vm.key])
    assert new.totals.is_complete(FIRST_WINDOW + 1, [vm.key])
    assert not new.totals.is_complete(FIRST_WINDOW + 2, [vm.key])


def test_memory_is_bounded(totals):
    """Guards against a leader that keeps the totals of each window and of
    each incarnation of a VM that restarts again and again."""
    for step in range(400):
        totals.add([make_sample(incarnation=str(step), window=step, a=1)], 0.0)
        totals.add([make_sample(window=step, a=1)], 5.0 * step)
        totals.list_changes(5.0 * step, UsagePosition())
    assert len(totals._windows) <= 8
    assert len(totals._entries) <= 16
    totals.add([], 10_000.0)
    assert not totals._windows
    assert not totals._entries


@pytest.mark.parametrize("window", [-100, 100])
def test_window_far_from_the_present_is_dropped(totals, window, caplog):
    """Guards against a VM whose clock is wrong by hours and whose windows
    would be kept for that long, and against a loss that no log shows."""
    caplog.set_level("INFO")
    totals.add([make_sample(window=window, a=1)], 0.0)
    assert totals.list_samples(0.0) == ()
    assert f"window {FIRST_WINDOW + window} of vm-1" in caplog.text


def test_size_of_the_samples_of_a_window():
    """Guards the limit of 3 KB/s for control traffic of an entry VM with 85
    accounts and 15 requests a second."""
    (vm,) = make_synchronized("entry-vm-0017")
    vm.incarnation = "0" * 32
    vm.counter._incarnation = vm.incarnation
    generator = random.Random(2)
    sizes = []
    for step in range(200):
        now = 0.1 * step
        for _ in range(2 if step % 2 else 1):
            vm.run(f"kaje{generator.randrange(85)}", now)
        if step % 5 == 0:
            vm.collect(now)
            samples, vm.position = vm.totals.list_changes(now, vm.position)
            sizes.append(len(encode(SyncRequest(usage=samples))))
    assert sum(sizes) / 20.0 < 600
