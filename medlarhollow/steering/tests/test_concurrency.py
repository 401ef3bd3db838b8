"""Load of many VMs on the same servers, played in virtual time.

Each VM has the real queue, pool, order and limit; the servers are queues of
a fixed length that serve in order of arrival and refuse when they are full.
"""

import collections
import heapq
import itertools
import math
import random

import attrs
import pytest

from medlarhollow.messages.records import Priority
from medlarhollow.messages.records import Route
from medlarhollow.steering import ServerLoad
from medlarhollow.steering import SlotRequest
from medlarhollow.steering.queueing.concurrency import ConcurrencyLimit
from medlarhollow.steering.queueing.concurrency import make_limit
from medlarhollow.steering.queueing.concurrency import Unlimited
from medlarhollow.steering.queueing.order import ByArrival
from medlarhollow.steering.queueing.order import ByObjective
from medlarhollow.steering.queueing.pool import Pool
from medlarhollow.steering.queueing.pool import WaitingRequest

SLOTS = 4
SERVER_QUEUE = 12
RUN_S = 0.1
OBJECTIVE_S = 0.3
DEADLINE_S = 1.5
URGENT = Priority.URGENT
PATIENT = Priority.PATIENT


@attrs.define
class Server:
    running: int = 0
    waiting: collections.deque = attrs.field(factory=collections.deque)

    @property
    def load(self):
        return ServerLoad(self.running, len(self.waiting), SLOTS)


class Fleet:
    """VMs that send to random servers, which they do not know the load of."""

    def __init__(self, order, vms=16, servers=8):
        self.generator = random.Random(5)
        self.pools = [Pool("plots", "1", 1000, order) for _ in range(vms)]
        self.servers = [Server() for _ in range(servers)]
        self.events = []
        self.numbers = itertools.count()
        self.outcomes = collections.Counter()
        self.longest_queues = []

    def at(self, time_s, action, *arguments):
        event = (time_s, next(self.numbers), action, arguments)
        heapq.heappush(self.events, event)

    def play(self, share, length_s=8.0, patient=0.5):
        rate = share * len(self.servers) * SLOTS / RUN_S
        now = 0.0
        while (now := now + self.generator.expovariate(rate)) < length_s:
            is_patient = self.generator.random() < patient
            route = Route(
                service="plots",
                path_prefix="/plots",
                priority=PATIENT if is_patient else URGENT,
            )
            request = SlotRequest(
                route,
                "crew",
                now + DEADLINE_S,
                0.0,
                objective_at=now + OBJECTIVE_S,
            )
            self.at(
                now, self.arrive, self.generator.choice(self.pools), request
            )
        while self.events:
            now, _, action, arguments = heapq.heappop(self.events)
            action(now, *arguments)
        return self

    def arrive(self, now, pool, request):
        ticket, _ = pool.push(WaitingRequest(request, None, now, ()), now)
        self.at(request.deadline_at, self.expire, pool, ticket)
        self.send(now, pool)

    def expire(self, now, pool, ticket):
        if ticket.item.future is None:
            pool.remove(ticket)
            self.count(ticket.item.request, "rejected")

    def send(self, now, pool):
        while pool.concurrency.permits(pool.in_flight):
            ticket = pool.queue.pop(lambda item: True, now)
            if ticket is None:
                return
            pool.remove(ticket)
            ticket.item.future = "sent"
            pool.in_flight += 1
            self.deliver(now, pool, ticket.item.request)

    def deliver(self, now, pool, request):
        server = self.generator.choice(self.servers)
        if server.running < SLOTS:
            server.running += 1
            self.at(now + RUN_S, self.end, pool, request, server)
        elif len(server.waiting) < SERVER_QUEUE:
            server.waiting.append((pool, request))
            self.longest_queues.append((now, len(server.waiting)))
        else:
            pool.concurrency.record_refusal(pool.in_flight)
            pool.in_flight -= 1
            self.count(request, "refused")

    def end(self, now, pool, request, server):
        if now <= request.objective_at:
            self.count(request, "in time")
        else:
            self.count(request, "late")
        server.running -= 1
        if server.waiting:
            server.running += 1
            self.at(now + RUN_S, self.end, *server.waiting.popleft(), server)
        pool.concurrency.record_load(server.load, pool.in_flight)
        pool.in_flight -= 1
        self.send(now, pool)

    def count(self, request, outcome):
        self.outcomes[request.route.priority, outcome] += 1

    def total(self, outcome):
        return sum(self.outcomes[kind, outcome] for kind in (URGENT, PATIENT))


def test_queues_of_servers_stay_short_in_an_overload():
    """Guards callers against queues that serve in order of arrival."""
    for order, is_short in ((ByArrival(), False), (ByObjective(), True)):
        fleet = Fleet(order).play(2.0)
        lengths = [length for at, length in fleet.longest_queues if at > 2.0]
        mean = sum(lengths) / len(lengths)
        assert (mean < SERVER_QUEUE / 2) is is_short


@pytest.mark.parametrize("share", [1.2, 1.6, 2.0])
def test_more_requests_are_in_time_in_an_overload(share):
    """Guards callers, urgent ones above all: at the servers they wait behind
    all others."""
    unlimited = Fleet(ByArrival()).play(share)
    limited = Fleet(ByObjective()).play(share)
    assert limited.total("in time") > 1.2 * unlimited.total("in time")
    urgent, patient = (
        limited.outcomes[kind, "in time"] for kind in (URGENT, PATIENT)
    )
    assert urgent > 1.5 * unlimited.outcomes[URGENT, "in time"]
    assert urgent > 1.5 * patient > 0


def test_rejections_are_not_left_to_servers():
    """Guards servers against requests that they have no room for."""
    unlimited = Fleet(ByArrival()).play(2.0)
    limited = Fleet(ByObjective()).play(2.0)
    assert limited.total("refused") < 0.1 * unlimited.total("refused")


@pytest.mark.parametrize("vms", [4, 16, 64])
def test_slots_are_used_whatever_the_number_of_vms(vms):
    """Guards against limits that leave slots empty in an overload."""
    fleet = Fleet(ByObjective(), vms).play(2.0)
    served = fleet.total("in time") + fleet.total("late")
    capacity = len(fleet.servers) * SLOTS / RUN_S * 8.0
    assert served > 0.85 * capacity


def test_concurrency_limits_nothing_while_there_is_room():
    """Guards ordinary load: no request waits for the limit."""
    fleet = Fleet(ByObjective()).play(0.6)
    assert fleet.total("rejected") == fleet.total("refused") == 0
    assert fleet.total("in time") > 0.97 * sum(fleet.outcomes.values())


def test_request_that_cannot_be_in_time_is_told_so_at_once():
    """Guards callers who would wait behind the limit and then be rejected."""
    pool = Pool("plots", "1", 1000, ByObjective())
    pool.record_latency(RUN_S)
    pool.concurrency.limit = 2.0
    pool.in_flight = 2
    route = Route(service="plots", path_prefix="/plots")
    request = SlotRequest(
        route, "crew", DEADLINE_S, 0.0, objective_at=OBJECTIVE_S
    )
    for number in range(12):
        other = attrs.evolve(request, account=f"a{number}")
        pool.push(WaitingRequest(other, None, 0.0, (f"s{number}",)), 0.0)
    # Nobody waits for the server of its object, but twelve for the limit.
    assert pool.expected_wait_s(request, {"s-99": 0}, 0.0) > 0.5
    for number in range(40):
        late = attrs.evolve(
            request, account=f"b{number}", objective_at=0.0, deadline_at=9.0
        )
        pool.push(WaitingRequest(late, None, 0.0, (f"t{number}",)), 0.0)
    late = attrs.evolve(request, objective_at=0.0)
    wait_s = pool.expected_wait_s(late, {"s-99": 0}, 0.0)
    assert wait_s > DEADLINE_S
    pool.in_flight = 1
    assert pool.expected_wait_s(late, {"s-99": 0}, 0.0) == 0.0


def test_limit_rises_again_after_an_overload():
    """Guards callers after a burst, and a VM whose servers were replaced."""
    limit = ConcurrencyLimit()
    for _ in range(100):
        limit.record_refusal(6)
    assert limit.limit == 1.0
    for _ in range(200):
        limit.record_load(ServerLoad(1, 0, 4), math.ceil(limit.limit))
    assert limit.limit > 10
    assert make_limit(ByArrival()) == Unlimited()
    assert Unlimited().permits(10**6)
