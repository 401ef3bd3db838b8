"""Load on the queue of one VM, played in virtual time on its real decisions.

The slots of one server serve requests of several accounts and priorities;
each is in time if it is answered within its objective.
"""

import collections
import heapq
import itertools
import random

import attrs
import pytest

from medlarhollow.limits.tests.support import make_settings
from medlarhollow.messages.records import BackendServer
from medlarhollow.messages.records import Priority
from medlarhollow.messages.records import Route
from medlarhollow.steering import Assignment
from medlarhollow.steering import SlotRequest
from medlarhollow.steering.queueing.order import ByArrival
from medlarhollow.steering.queueing.order import ByObjective
from medlarhollow.steering.queueing.order import find_late_at
from medlarhollow.steering.queueing.order import make_order
from medlarhollow.steering.queueing.pool import Pool
from medlarhollow.steering.queueing.pool import WaitingRequest
from medlarhollow.steering.queueing.refusals import Refusals
from medlarhollow.steering.servers.answer_times import AnswerTimes

SERVER = "s1"
SLOTS = 8
RUN_S = 0.1
OBJECTIVE_S = 0.25
DEADLINE_S = 1.5
BURST_S = 6.0
ACCOUNTS = ("crew", "office", "nursery")


def run(path_prefix="/plots", reason=""):
    """Return the assignment of a run, the first of its object or not."""
    server = BackendServer(server_id=SERVER, service="plots")
    return Assignment(server, "1", reason=reason, path_prefix=path_prefix)


@attrs.define
class Arrival:
    """A request of the load and how it ended."""

    at: float
    request: SlotRequest
    outcome: str = ""
    retry_after_s: float = 0.0


class Load:
    """One VM with one server, fed from a list of arrivals."""

    def __init__(self, order, arrivals):
        self.arrivals = arrivals
        self.times = AnswerTimes()
        self.pool = Pool("plots", "1", 1000, order, self.times)
        self.refusals = Refusals(self)
        self.running = 0
        self.events = []
        self.numbers = itertools.count()
        self.tickets = {}

    def local_in_flight(self, server_id):
        return self.running

    def at(self, time_s, action, *arguments):
        heapq.heappush(
            self.events, (time_s, next(self.numbers), action, arguments)
        )

    def run(self):
        for arrival in self.arrivals:
            self.at(arrival.at, self.arrive, arrival)
        while self.events:
            now, _, action, arguments = heapq.heappop(self.events)
            action(now, *arguments)
        assert all(arrival.outcome for arrival in self.arrivals)
        return self

    def arrive(self, now, arrival):
        if self.running < SLOTS and not self.pool.must_wait(
            arrival.request, (SERVER,), now
        ):
            self.start(now, arrival)
            return
        if self.refuse(now, arrival):
            return
        ticket, _ = self.pool.push(
            WaitingRequest(arrival.request, arrival, now, (SERVER,)), now
        )
        self.tickets[id(arrival)] = ticket
        self.at(
            self.pool.latest_start_at(arrival.request, now),
            self.expire,
            arrival,
        )
        if ticket.late_at < arrival.request.deadline_at:
            self.at(max(now, ticket.late_at), self.recheck, arrival)

    def refuse(self, now, arrival):
        refused = self.refusals.refuse_hopeless(
            self.pool, arrival.request, (SERVER,), now
        )
        if refused is not None:
            arrival.outcome = "rejected"
            arrival.retry_after_s = refused.err_value.retry_after_s
        return refused is not None

    def recheck(self, now, arrival):
        if not arrival.outcome and self.refuse(now, arrival):
            self.pool.remove(self.tickets[id(arrival)])

    def expire(self, now, arrival):
        if not arrival.outcome:
            arrival.outcome = "rejected"
            self.pool.remove(self.tickets[id(arrival)])

    def start(self, now, arrival):
        arrival.outcome = "running"
        self.running += 1
        self.at(now + RUN_S, self.end, arrival, now)

    def end(self, now, arrival, started_at):
        self.running -= 1
        in_time = now <= arrival.request.objective_at
        arrival.outcome = "in time" if in_time else "late"
        self.pool.record_latency(RUN_S)
        self.times.record(run(), True, now - started_at, now)
        while self.running < SLOTS:
            ticket = self.pool.queue.pop(lambda item: True, now)
            if ticket is None:
                return
            self.pool.remove(ticket)
            self.start(now, ticket.item.future)

    def count(self, **selected):
        """Count the outcomes of the arrivals with some attributes."""
        return collections.Counter(
            arrival.outcome
            for arrival in self.arrivals
            if all(
                getattr(arrival.request, name) == value
                for name, value in selected.items()
            )
        )


def make_arrivals(share, weights=(1, 1, 1), priorities=(Priority.ORDINARY,)):
    """Return the arrivals of a burst with a share of what the slots serve."""
    generator = random.Random(7)
    rate = share * SLOTS / RUN_S
    now, arrivals = 0.0, []
    while (now := now + generator.expovariate(rate)) < BURST_S:
        route = Route(
            service="plots",
            path_prefix="/plots",
            priority=generator.choice(priorities),
        )
        request = SlotRequest(
            route,
            generator.choices(ACCOUNTS, weights)[0],
            now + DEADLINE_S,
            0.0,
            objective_at=now + OBJECTIVE_S,
        )
        arrivals.append(Arrival(now, request))
    return arrivals


def play(order, share, **options):
    return Load(order, make_arrivals(share, **options)).run()


@pytest.mark.parametrize("order", [ByArrival(), ByObjective()])
def test_all_are_in_time_while_there_is_room(order):
    """Guards ordinary load."""
    outcomes = play(order, 0.5).count()
    assert outcomes["in time"] == outcomes.total()


def test_order_by_objective_costs_nothing_near_the_capacity():
    """Guards against rejections and delays before the slots are full; random
    arrivals already queue for a moment at 90 % of the capacity."""
    by_arrival = play(ByArrival(), 0.9).count()
    by_objective = play(ByObjective(), 0.9).count()
    assert by_objective["rejected"] == 0
    assert by_objective["in time"] >= by_arrival["in time"]


@pytest.mark.parametrize("share", [1.5, 2.6])
def test_slots_serve_requests_that_can_be_in_time(share):
    """Guards a burst: by arrival nearly every request is answered late."""
    capacity = SLOTS / RUN_S * BURST_S
    by_arrival = play(ByArrival(), share).count()
    by_objective = play(ByObjective(), share).count()
    assert by_arrival["in time"] < 0.2 * capacity
    # One start in ten is of a late request.
    assert by_objective["in time"] >= 0.85 * capacity


@pytest.mark.parametrize("share", [1.5, 2.6])
def test_late_requests_keep_a_share(share):
    """Guards late requests, which callers still need, against starvation."""
    capacity = SLOTS / RUN_S * BURST_S
    assert play(ByObjective(), share).count()["late"] >= 0.05 * capacity


@pytest.mark.parametrize("share", [1.5, 2.6])
def test_hopeless_requests_are_rejected_early_with_a_time(share):
    """Guards callers against a long wait that ends in a rejection."""
    load = play(ByObjective(), share)
    rejected = [
        arrival
        for arrival in load.arrivals
        if arrival.outcome == "rejected" and arrival.retry_after_s
    ]
    total = load.count()["rejected"]
    assert total > 0.2 * len(load.arrivals)
    assert len(rejected) >= 0.9 * total


def test_flooding_account_takes_nothing_from_others():
    """Guards accounts within their share against one that sends many times
    its usual."""
    load = play(ByObjective(), 2.6, weights=(20, 1, 1))
    for account in ("office", "nursery"):
        outcomes = load.count(account=account)
        assert outcomes["in time"] >= 0.9 * outcomes.total()


def test_urgent_requests_are_served_first_and_others_go_on():
    """Guards the ranks: the order by objective holds within each."""
    load = play(
        ByObjective(),
        1.5,
        priorities=(Priority.URGENT, Priority.ORDINARY),
    )
    urgent = load.count(rank=(Priority.ORDINARY, Priority.URGENT))
    ordinary = load.count(rank=(Priority.ORDINARY, Priority.ORDINARY))
    assert urgent["in time"] >= 0.85 * urgent.total()
    assert ordinary["in time"] + ordinary["late"] > 0.1 * ordinary.total()


def test_settings_select_the_order():
    assert make_order(make_settings("a")) == ByArrival()
    settings = make_settings("a", backends__queue_order="objective")
    assert make_order(settings) == ByObjective()
    request = SlotRequest(Route(), "crew", 9.0, 0.0, objective_at=2.0)
    assert find_late_at(ByObjective(), request, 0.5) == 1.5


def test_times_of_first_and_repeated_runs_are_kept_apart():
    """Guards the estimate against first runs, which take three times as
    long, and against figures that are no longer true."""
    times = AnswerTimes()
    assert times.typical_s("plots", "/plots", 0.0) == 0.0
    for number in range(8):
        times.record(run(reason="first"), True, 0.35, number / 10)
    assert times.fastest_kind_s("plots", "/plots", 1.0) == 0.35
    for number in range(8):
        times.record(run(), True, 0.1 + number / 1000, 1.0)
    fastest_s = times.fastest_kind_s("plots", "/plots", 1.5)
    assert fastest_s == pytest.approx(0.1035)
    assert 0.107 < times.typical_s("plots", "/plots", 1.5) < 0.35
    tail_s = times.quantile("plots", "/plots", True, 0.95, 1.5)
    assert tail_s == pytest.approx(0.107)
    assert times.typical_s("plots", "/plots", 30.0) == 0.0
    times.retain_services({})
    assert times.typical_s("plots", "/plots", 1.5) == 0.0


def test_runs_that_were_stopped_at_their_deadline_count():
    """Guards slots against requests that cannot complete: without the runs
    that were stopped, a route whose runs take too long looks fast."""
    times = AnswerTimes()
    for number in range(40):
        now = 1.0 + number / 10
        is_complete = number % 4 == 0
        times.record(run(), is_complete, 0.4 if is_complete else 1.5, now)
        times.record(run(), False, 0.001, now)
    assert times.typical_s("plots", "/plots", 5.0) == 1.5
    pool = Pool("plots", "1", 10, ByObjective(), times)
    pool.record_latency(0.4)
    route = Route(service="plots", path_prefix="/plots")
    request = SlotRequest(route, "crew", 3.0, 0.0)
    assert pool.latest_start_at(request, 5.0) == 1.5
