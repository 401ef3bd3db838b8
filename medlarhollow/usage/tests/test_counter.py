"""Counts of one entry VM by window and account."""

import pytest

from medlarhollow.usage.counter import UsageCounter
from medlarhollow.usage.fleet_clock import FleetClock

from .vms import EPOCH_S
from .vms import FIRST_WINDOW
from .vms import make_fleet_clock


@pytest.fixture
def counter(settings):
    return UsageCounter(settings, "1", make_fleet_clock())


def run(counter, account, now, has_run=True):
    counter.end(counter.start(account, now), has_run)


def collect(counter, now):
    """Return the counts by window from the start, and the complete ones."""
    counts, complete = {}, []
    for sample in counter.list_samples(now):
        window = sample.window - FIRST_WINDOW
        if sample.counts:
            counts[window] = {
                count.account: count.requests for count in sample.counts
            }
        if sample.complete:
            complete.append(window)
    return counts, complete


def test_each_attempt_that_may_have_run_is_counted(counter):
    """Guards against counts without repeated or hedged attempts, or with
    attempts that the server refused or that were not sent."""
    run(counter, "a", 0.1)
    first = counter.start("a", 0.2)
    second = counter.start("a", 0.25)
    counter.end(second, has_run=True)
    counter.end(first, has_run=True)
    run(counter, "a", 0.3, has_run=False)
    run(counter, "b", 0.4, has_run=False)
    run(counter, "b", 0.4)
    assert collect(counter, 0.5)[0] == {0: {"a": 3, "b": 1}}


def test_attempt_is_counted_after_a_second_in_flight(counter):
    """Guards against a long request that is missing from the report of the
    window in which it began."""
    attempt = counter.start("a", 4.8)
    assert collect(counter, 5.7) == ({}, [-1])
    assert collect(counter, 5.8)[0] == {0: {"a": 1}}
    counter.end(attempt, has_run=True)
    assert collect(counter, 6.1) == ({0: {"a": 1}}, [0])
    assert collect(counter, 7.0) == ({}, [])


def test_late_refusal_does_not_reduce_the_count(counter):
    """Guards against totals that decrease, which the maximum on each hop
    would make depend on the path."""
    attempt = counter.start("a", 0.0)
    assert collect(counter, 1.0)[0] == {0: {"a": 1}}
    counter.end(attempt, has_run=False)
    assert collect(counter, 2.0)[0] == {0: {"a": 1}}


def test_attempt_is_counted_in_the_window_in_which_it_was_sent(counter):
    """Guards against a request at the end of a window that is counted in the
    next one because its response came later."""
    last = counter.start("a", 4.999)
    first = counter.start("a", 5.0)
    counter.end(last, has_run=True)
    counter.end(first, has_run=True)
    assert collect(counter, 5.5)[0] == {0: {"a": 1}, 1: {"a": 1}}


def test_window_is_complete_one_second_after_its_end(counter):
    """Guards against a report that misses attempts in flight at the end of
    the window, and against a window that is reported as complete twice."""
    collect(counter, 1.0)
    assert collect(counter, 5.99)[1] == []
    assert collect(counter, 6.0)[1] == [0]
    assert collect(counter, 6.5)[1] == []
    assert collect(counter, 16.0)[1] == [1, 2]


def test_started_vm_reports_earlier_windows_as_complete(counter):
    """Guards against a report that waits until its time limit for a VM that
    was not running in its window."""
    assert collect(counter, 1.0)[1] == [-2, -1]


def test_no_window_is_complete_before_fleet_time_is_known(settings):
    """Guards against a VM that is ahead and reports a window as complete
    before it has ended."""
    fleet_clock = FleetClock(lambda: EPOCH_S + 7.4)
    counter = UsageCounter(settings, "1", fleet_clock)
    run(counter, "a", 5.0)
    assert collect(counter, 5.0) == ({1: {"a": 1}}, [])
    fleet_clock.add_fleet_time(EPOCH_S + 5.5, 0.0, 5.5, 5.5)
    run(counter, "a", 5.5)
    assert collect(counter, 5.5)[0] == {1: {"a": 2}}


@pytest.mark.parametrize("error_s", [-86400.0, 86400.0])
def test_counts_of_a_clock_that_is_far_off_are_not_lost(settings, error_s):
    """Guards against requests that no report contains because the VM did not
    know the time when they were sent."""
    fleet_clock = FleetClock(lambda: EPOCH_S + error_s)
    counter = UsageCounter(settings, "1", fleet_clock)
    run(counter, "a", 0.0)
    fleet_clock.add_fleet_time(EPOCH_S + 0.5, 0.0, 0.5, 0.5)
    assert collect(counter, 0.5)[0] == {0: {"a": 1}}


@pytest.mark.parametrize("step_s", [-2.4, 2.4])
def test_attempts_in_flight_survive_a_step_of_fleet_time(settings, step_s):
    """Guards against attempts that are counted in a window whose totals were
    already reported as final, when a new leader corrects the time."""
    fleet_clock = make_fleet_clock()
    counter = UsageCounter(settings, "1", fleet_clock)
    totals, complete = {}, set()

    def record(now):
        counts, windows = collect(counter, now)
        for window, by_account in counts.items():
            if totals.get(window) != by_account:
                assert window not in complete
            totals[window] = by_account
        complete.update(windows)

    for step in range(200):
        now = 0.1 * step
        attempt = counter.start("a", now)
        record(now)
        if step == 65:
            fleet_clock.add_fleet_time(EPOCH_S + now + step_s, 0.0, now, now)
        counter.end(attempt, has_run=True)
    record(21.0)
    assert sum(counts["a"] for counts in totals.values()) == 200


def test_window_is_not_complete_before_its_attempts_are_counted(settings):
    """Guards against an attempt that is counted in a later window because the
    time was corrected while it was in flight."""
    fleet_clock = make_fleet_clock()
    counter = UsageCounter(settings, "1", fleet_clock)
    collect(counter, 1.0)
    attempt = counter.start("a", 4.5)
    fleet_clock.add_fleet_time(EPOCH_S + 7.0, 0.0, 4.6, 4.6)
    assert collect(counter, 4.6) == ({}, [])
    counter.end(attempt, has_run=True)
    assert collect(counter, 4.7) == ({0: {"a": 1}}, [0])


def test_suspended_vm_closes_the_windows_of_the_suspension(counter):
    """Guards against a VM that resumes and delays each report, or sends its
    windows of the last hour."""
    collect(counter, 1.0)
    attempt = counter.start("a", 4.0)
    run(counter, "a", 4.5)
    counts, complete = collect(counter, 24.0)
    assert counts == {0: {"a": 2}}
    assert complete == [0, 1, 2, 3]
    counter.end(attempt, has_run=True)
    counts, complete = collect(counter, 3600.0)
    assert counts == {}
    assert len(complete) <= 7


def test_withdrawn_account_stays_in_its_window(counter):
    """Guards against a report without the requests of an account that was
    deleted in the window, or that appeared in it."""
    run(counter, "old", 0.5)
    collect(counter, 1.0)
    run(counter, "new", 2.0)
    run(counter, "new", 5.0)
    assert collect(counter, 6.0)[0] == {
        0: {"old": 1, "new": 1},
        1: {"new": 1},
    }


def test_memory_is_bounded(counter):
    """Guards against a VM that keeps its counts for as long as it runs."""
    for step in range(2000):
        now = step / 2
        counter.start(f"account-{step % 10}", now)
        counter.list_samples(now)
    assert len(counter._windows) <= 2
    assert len(counter._in_flight) <= 3


def test_memory_is_bounded_while_the_vm_is_cut_off(counter):
    """Guards against a VM that has no upstream for an hour and keeps the
    counts of all that time."""
    for step in range(3600):
        run(counter, "a", 1.0 * step)
    assert len(counter._windows) <= 8
    counts, _ = collect(counter, 3600.0)
    assert counts[719] == {"a": 5}
