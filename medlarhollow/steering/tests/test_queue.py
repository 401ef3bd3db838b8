"""Order of the fair queue, compared with a naive model."""

import collections

import hypothesis
from hypothesis import strategies as st
import pytest

from medlarhollow.messages.records import Priority
from medlarhollow.steering.queueing.queue import FairQueue

# Ranks of requests of accounts with the same priority.
URGENT, ORDINARY, PATIENT = (
    (Priority.ORDINARY, Priority.URGENT),
    (Priority.ORDINARY, Priority.ORDINARY),
    (Priority.ORDINARY, Priority.PATIENT),
)


def fill(queue, priority, account, count):
    for number in range(count):
        queue.push((account, number), priority, account)


def drain(queue, count=None):
    items = []
    while len(queue) and len(items) != count:
        items.append(queue.pop(lambda item: True).item)
    return items


class NaiveQueue:
    """Start-time fair queue as a single list with linear search."""

    def __init__(self):
        self.waiting = []
        self.virtual_time = 0.0
        self.finish = {}

    def push(self, item, account):
        start = max(self.virtual_time, self.finish.get(account, 0.0))
        self.finish[account] = start + 1.0
        self.waiting.append((start, account, item))

    def pop(self):
        best = min(self.waiting, key=lambda entry: entry[:2])
        self.waiting.remove(best)
        self.virtual_time = best[0]
        if not self.waiting:
            self.finish.clear()
            self.virtual_time = 0.0
        return best[2]


@hypothesis.given(
    st.lists(st.one_of(st.none(), st.sampled_from("abc")), max_size=80)
)
def test_one_priority_is_served_like_the_naive_model(steps):
    """Compares the order within a priority; None stands for a pop."""
    queue = FairQueue(1000)
    naive = NaiveQueue()
    for number, account in enumerate(steps):
        if account is not None:
            queue.push(number, ORDINARY, account)
            naive.push(number, account)
        elif naive.waiting:
            assert queue.pop(lambda item: True).item == naive.pop()
    while naive.waiting:
        assert queue.pop(lambda item: True).item == naive.pop()
    assert len(queue) == 0


def test_flood_of_one_account_does_not_delay_others():
    """Guards accounts with few requests against one with many."""
    queue = FairQueue(1000)
    fill(queue, ORDINARY, "flood", 500)
    fill(queue, ORDINARY, "crew", 5)
    first = collections.Counter(account for account, _ in drain(queue, 10))
    assert first == {"flood": 5, "crew": 5}


def test_requests_of_an_account_stay_in_order():
    """Guards against later requests that overtake earlier ones."""
    queue = FairQueue(1000)
    fill(queue, ORDINARY, "crew", 20)
    assert drain(queue) == [("crew", number) for number in range(20)]


def test_urgent_requests_go_first_and_patient_ones_do_not_starve():
    """One in ten dequeued requests is of a lower priority."""
    queue = FairQueue(1000)
    fill(queue, PATIENT, "survey", 10)
    fill(queue, ORDINARY, "crew", 100)
    fill(queue, URGENT, "clerk", 100)
    first = collections.Counter(account for account, _ in drain(queue, 50))
    assert first["clerk"] >= 40
    assert first["crew"] >= 4
    assert first["survey"] >= 4


def test_a_blocked_request_does_not_block_other_accounts():
    """Guards against a retry that excludes the only free server."""
    queue = FairQueue(1000)
    fill(queue, ORDINARY, "a", 2)
    fill(queue, ORDINARY, "b", 1)
    ticket = queue.pop(lambda item: item[0] != "a")
    assert ticket.item == ("b", 0)
    assert queue.pop(lambda item: False) is None
    assert drain(queue) == [("a", 0), ("a", 1)]


@pytest.mark.parametrize(
    ("priority", "account", "evicted_item"),
    [
        (URGENT, "crew", ("survey", 1)),
        (ORDINARY, "crew", ("survey", 1)),
        (PATIENT, "crew", ("survey", 1)),
        (PATIENT, "survey", None),
    ],
)
def test_full_queue_evicts_the_lowest_priority(
    priority, account, evicted_item
):
    """Guards urgent requests against a queue full of patient ones."""
    queue = FairQueue(4)
    fill(queue, ORDINARY, "flood", 2)
    fill(queue, PATIENT, "survey", 2)
    ticket, evicted = queue.push("new", priority, account)
    assert (evicted.item if evicted else None) == evicted_item
    assert (ticket is None) is (evicted_item is None)
    assert len(queue) == 4


def test_full_queue_evicts_requests_of_the_account_with_most():
    """Guards accounts with few requests against one that fills the queue."""
    queue = FairQueue(6)
    fill(queue, ORDINARY, "flood", 6)
    for _ in range(3):
        ticket, evicted = queue.push("new", ORDINARY, "crew")
        assert ticket is not None
        assert evicted.account == "flood"
    assert queue.push("new", ORDINARY, "flood") == (None, None)


def test_discarded_requests_are_not_counted():
    """Guards the estimated wait and the maximum length."""
    queue = FairQueue(10)
    ticket, _ = queue.push("x", ORDINARY, "crew")
    fill(queue, ORDINARY, "flood", 5)
    assert queue.count_ahead(ORDINARY, "crew") == 3
    assert queue.count_ahead(PATIENT, "crew") == 6
    queue.discard(ticket)
    queue.discard(ticket)
    assert len(queue) == 5
    assert queue.count_ahead(ORDINARY, "crew") == 1


def test_blocked_request_causes_no_head_of_line_blocking():
    """Requests of one account may wait for different servers."""
    queue = FairQueue(100)
    fill(queue, ORDINARY, "crew", 3)
    ticket = queue.pop(lambda item: item[1] == 1)
    assert ticket.item == ("crew", 1)
    assert drain(queue) == [("crew", 0), ("crew", 2)]


def test_priority_of_the_account_goes_before_that_of_the_route():
    queue = FairQueue(100)
    ranks = [
        (account, route)
        for account in (Priority.PATIENT, Priority.URGENT, Priority.ORDINARY)
        for route in (Priority.ORDINARY, Priority.PATIENT, Priority.URGENT)
    ]
    for rank in ranks:
        queue.push(rank, rank, "crew")
    order = (Priority.URGENT, Priority.ORDINARY, Priority.PATIENT)
    assert drain(queue) == [
        (account, route) for account in order for route in order
    ]
