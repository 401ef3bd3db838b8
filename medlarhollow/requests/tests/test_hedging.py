"""Decisions on second attempts, and a load with a slow tail.

The load is played in virtual time on the real decisions, budget and answer
times of one VM.
"""

import heapq
import itertools
import random

import attrs
import pytest
from result import Err
from result import Ok

from medlarhollow.limits.tests.support import make_settings
from medlarhollow.requests import Answered
from medlarhollow.requests import FirstAttempt
from medlarhollow.requests import HedgeVerdict
from medlarhollow.requests import Hedging
from medlarhollow.requests import NotSent
from medlarhollow.requests import Refused
from medlarhollow.requests import RetryBudget
from medlarhollow.requests import Unanswered
from medlarhollow.requests.hedging import MIN_SAMPLES
from medlarhollow.requests.hedging import SLOW_FRACTION
from medlarhollow.steering.servers.answer_times import AnswerTimes

FIRST = FirstAttempt("plots", "1", sent_at=10.0, due_at=11.0)
SLOW_S = 0.2


def make_hedging(limit=0.5, fraction=0.1, burst=50.0):
    settings = make_settings(
        "a",
        entry__hedge_limit=limit,
        entry__retry_budget=fraction,
        entry__retry_burst=burst,
    )
    budget = RetryBudget(settings)
    return Hedging(settings, budget), budget


def count_requests(hedging, budget, count, service="plots"):
    for _ in range(count):
        budget.count_request(service)
        hedging.count_request(service)


@pytest.fixture
def hedging():
    """Return decisions with tokens of both kinds."""
    hedging, budget = make_hedging()
    count_requests(hedging, budget, 200)
    return hedging


def test_slow_attempt_is_followed_by_a_second(hedging):
    assert hedging.plan(FIRST, SLOW_S) == Ok(10.0 + SLOW_S)
    assert hedging.check(FIRST, 0, 10.2) is HedgeVerdict.HEDGED
    assert hedging.try_start(FIRST, 0.1, 10.2) is HedgeVerdict.HEDGED


@pytest.mark.parametrize(
    ("change", "slow_s", "verdict"),
    [
        ({"is_idempotent": False}, SLOW_S, HedgeVerdict.NOT_IDEMPOTENT),
        ({"is_claimed": True}, SLOW_S, HedgeVerdict.CLAIMED),
        ({"is_on_credit": True}, SLOW_S, HedgeVerdict.ON_CREDIT),
        ({"is_retried": True}, SLOW_S, HedgeVerdict.RETRIED),
        ({}, None, HedgeVerdict.FEW_SAMPLES),
        ({}, 1.0, HedgeVerdict.NO_TIME),
    ],
)
def test_requests_that_are_never_hedged(hedging, change, slow_s, verdict):
    """Guards invariant 10, credit, and objectives that cannot be met."""
    first = attrs.evolve(FIRST, **change)
    assert hedging.plan(first, slow_s) == Err(verdict)


@pytest.mark.parametrize(
    ("change", "queued", "verdict"),
    [
        ({"is_retried": True}, 0, HedgeVerdict.RETRIED),
        ({"is_buffered": False}, 0, HedgeVerdict.BODY_NOT_KEPT),
        ({"may_send_again": False}, 0, HedgeVerdict.NO_ATTEMPT_LEFT),
        ({}, 1, HedgeVerdict.QUEUED),
    ],
)
def test_state_of_the_request_is_checked_again(
    hedging, change, queued, verdict
):
    """Guards the attempts of a route, and servers that are full."""
    first = attrs.evolve(FIRST, **change)
    assert hedging.check(first, queued, 10.2) is verdict


@pytest.mark.parametrize(
    ("outcome", "verdict"),
    [
        (Refused("full"), HedgeVerdict.REJECTIONS),
        (Answered(503), HedgeVerdict.REJECTIONS),
        (Answered(200), HedgeVerdict.HEDGED),
        (Answered(500), HedgeVerdict.HEDGED),
        (NotSent("gone"), HedgeVerdict.HEDGED),
        (Unanswered("silent"), HedgeVerdict.HEDGED),
    ],
)
def test_rejections_stop_hedging_of_their_pool(hedging, outcome, verdict):
    """Guards servers that are full against more work, for a second."""
    hedging.record_outcome("plots", "1", outcome, 9.5)
    assert hedging.check(FIRST, 0, 10.2) is verdict
    assert hedging.check(FIRST, 0, 10.51) is HedgeVerdict.HEDGED
    other = attrs.evolve(FIRST, version="2")
    assert hedging.check(other, 0, 10.2) is HedgeVerdict.HEDGED


@pytest.mark.parametrize(
    ("answer_s", "verdict"),
    [
        (None, HedgeVerdict.FEW_SAMPLES),
        (0.81, HedgeVerdict.NO_TIME),
        (0.79, HedgeVerdict.HEDGED),
    ],
)
def test_second_attempt_must_be_in_time(hedging, answer_s, verdict):
    """Guards servers against work that comes too late, and the tokens against
    second attempts that are not sent."""
    before = hedging.tokens_of("plots")
    assert hedging.try_start(FIRST, answer_s, 10.2) is verdict
    spent = verdict is HedgeVerdict.HEDGED
    assert hedging.tokens_of("plots") == pytest.approx(before - spent)


def test_waits_for_slots_stop_hedging_of_their_pool(hedging):
    """Guards servers near their capacity: the queue is empty for moments."""
    hedging.record_start("plots", "1", 0.01)
    assert hedging.check(FIRST, 0, 10.2) is HedgeVerdict.HEDGED
    for _ in range(9):
        hedging.record_start("plots", "1", 0.01)
    assert hedging.check(FIRST, 0, 10.2) is HedgeVerdict.QUEUED
    for _ in range(32):
        hedging.record_start("plots", "1", 0.0)
    assert hedging.check(FIRST, 0, 10.2) is HedgeVerdict.HEDGED


def hedge_all(hedging):
    """Start second attempts while they are allowed; return their number."""
    count = 0
    while hedging.check(FIRST, 0, 10.2) is HedgeVerdict.HEDGED:
        hedging.try_start(FIRST, 0.1, 10.2)
        count += 1
    return count


@pytest.mark.parametrize("limit", [0.01, 0.02, 0.05, 1.0])
@pytest.mark.parametrize("burst", [0.0, 0.8, 4.5, 50.0])
def test_limit_holds_from_the_first_request(limit, burst):
    """Guards servers against more second attempts than the operators
    permit, also right after a start."""
    hedging, budget = make_hedging(limit, burst=burst)
    hedged = 0
    for number in range(1, 2001):
        count_requests(hedging, budget, 1)
        hedged += hedge_all(hedging)
        assert hedged <= number * min(limit, 0.05) + 1e-6
    assert hedged >= 2000 * min(limit, 0.05) - 1


@pytest.mark.parametrize("burst", [2.0, 4.5, 50.0])
def test_half_of_the_retry_budget_is_left_to_retries(burst):
    """Guards retries when a server fails: second attempts leave them half of
    the tokens, however many are slow."""
    hedging, budget = make_hedging(1.0, burst=burst)
    for _ in range(500):
        count_requests(hedging, budget, 1)
        hedge_all(hedging)
        assert budget.level("plots") >= burst / 2 - 1e-6
    while budget.try_consume("plots"):
        pass
    assert hedging.check(FIRST, 0, 10.2) is not HedgeVerdict.HEDGED


def test_retries_keep_half_of_a_budget_of_one_token():
    """Guards retries in fleets of many VMs, whose budgets hold one token."""
    # In steps that are exact in binary.
    hedging, budget = make_hedging(1.0, fraction=0.125, burst=0.5)
    retries = hedged = 0
    for _ in range(1000):
        count_requests(hedging, budget, 1)
        hedged += hedge_all(hedging)
        retries += budget.try_consume("plots")
    assert hedged <= 62.5
    assert retries >= 62


def test_retries_stop_hedging():
    """Guards against second attempts while retries use up the budget."""
    hedging, budget = make_hedging(1.0, burst=10.0)
    count_requests(hedging, budget, 100)
    for _ in range(5):
        assert budget.try_consume("plots")
    assert hedging.check(FIRST, 0, 10.2) is HedgeVerdict.RETRY_BUDGET


@pytest.mark.parametrize(("limit", "fraction"), [(0.0, 0.1), (0.5, 0.0)])
def test_no_limit_or_no_retry_budget_means_no_hedging(limit, fraction):
    hedging, budget = make_hedging(limit, fraction)
    count_requests(hedging, budget, 1000)
    assert hedging.is_enabled == (limit > 0)
    assert hedging.check(FIRST, 0, 10.2) is HedgeVerdict.HEDGE_LIMIT


def test_services_have_separate_limits():
    """Guards a service against the slow responses of another one."""
    hedging, budget = make_hedging(1.0)
    count_requests(hedging, budget, 40)
    count_requests(hedging, budget, 40, "alerts")
    assert hedge_all(hedging) == 2
    alerts = attrs.evolve(FIRST, service="alerts")
    assert hedging.check(alerts, 0, 10.2) is HedgeVerdict.HEDGED
    assert hedging.tokens == pytest.approx({"plots": 0.0, "alerts": 2.0})


SERVERS = 2
SLOTS = 8
RUN_S = 0.1
TAIL_PART = 0.03
TAIL_FACTOR = 7
MEAN_RUN_S = RUN_S * (1 + TAIL_PART * (TAIL_FACTOR - 1))
PLAY_S = 120.0
OBJECTIVE_S = 1.0


@attrs.define(eq=False)
class Call:
    """A request of the load."""

    at: float
    server: int
    started_at: float = 0.0
    answered_at: float = 0.0


class TailedLoad:
    """One VM with the two servers of all objects.

    A server does not notice that an attempt was closed: it goes on with it,
    so that the extra work is the most that there can be.
    """

    def __init__(self, share, limit):
        self.hedging, self.budget = make_hedging(limit)
        self.times = AnswerTimes()
        self.random = random.Random(11)
        self.running = [0] * SERVERS
        self.queue = []
        self.calls = []
        self.events = []
        self.numbers = itertools.count()
        self.hedged = 0
        self.first_work_s = self.second_work_s = 0.0
        rate = share * SERVERS * SLOTS / MEAN_RUN_S
        now = 0.0
        while (now := now + self.random.expovariate(rate)) < PLAY_S:
            call = Call(now, self.random.randrange(SERVERS))
            self.calls.append(call)
            self.at(now, self.arrive, call)
        while self.events:
            now, _, action, arguments = heapq.heappop(self.events)
            action(now, *arguments)

    def at(self, time_s, action, *arguments):
        heapq.heappush(
            self.events, (time_s, next(self.numbers), action, arguments)
        )

    def run_s(self):
        tailed = self.random.random() < TAIL_PART
        factor = TAIL_FACTOR if tailed else 1
        return RUN_S * self.random.uniform(0.8, 1.2) * factor

    def arrive(self, now, call):
        self.budget.count_request("plots")
        self.hedging.count_request("plots")
        self.queue.append(call)
        self.start_queued(now)

    def start_queued(self, now):
        while self.queue and min(self.running) < SLOTS:
            call = self.queue.pop(0)
            if self.running[call.server] == SLOTS:
                call.server = 1 - call.server
            self.start(now, call)

    def start(self, now, call):
        call.started_at = now
        self.hedging.record_start("plots", "1", now - call.at)
        run_s = self.run_s()
        self.first_work_s += run_s
        self.running[call.server] += 1
        self.at(now + run_s, self.end, call, call.server, now)
        slow_s = self.times.quantile(
            "plots", "/", True, SLOW_FRACTION, now, MIN_SAMPLES
        )
        planned = self.hedging.plan(self.describe(call), slow_s)
        if planned.is_ok():
            self.at(planned.ok_value, self.hedge, call)

    def describe(self, call):
        return FirstAttempt(
            "plots", "1", call.started_at, call.at + OBJECTIVE_S
        )

    def hedge(self, now, call):
        first = self.describe(call)
        other = 1 - call.server
        typical_s = self.times.quantile("plots", "/", True, 0.5, now)
        if (
            call.answered_at
            or self.hedging.check(first, len(self.queue), now)
            is not HedgeVerdict.HEDGED
            or self.running[other] == SLOTS
            or self.hedging.try_start(first, typical_s, now)
            is not HedgeVerdict.HEDGED
        ):
            return
        run_s = self.run_s()
        self.hedged += 1
        self.second_work_s += run_s
        self.running[other] += 1
        self.at(now + run_s, self.end, call, other, now)

    def end(self, now, call, server, sent_at):
        self.running[server] -= 1
        if not call.answered_at:
            call.answered_at = now
            self.times.add("plots", "/", True, now - sent_at, now)
            if server != call.server:
                # The first attempt is superseded.
                elapsed_s = now - call.started_at
                self.times.add("plots", "/", True, elapsed_s, now)
        self.start_queued(now)

    @property
    def hedged_part(self):
        return self.hedged / len(self.calls)

    @property
    def extra_work(self):
        return self.second_work_s / self.first_work_s

    def percentile(self, fraction):
        times = sorted(call.answered_at - call.at for call in self.calls)
        return times[int(fraction * len(times))]


@pytest.mark.parametrize("share", [0.3, 0.5])
def test_hedging_cuts_the_tail_at_ordinary_load(share):
    """Guards the purpose: the slowest responses become faster, the usual ones
    stay as they are, within the permitted extra work."""
    plain, hedged = TailedLoad(share, 0.0), TailedLoad(share, 0.05)
    assert plain.percentile(0.99) > 6 * RUN_S
    assert hedged.percentile(0.99) < 4 * RUN_S
    assert hedged.percentile(0.5) < 1.05 * plain.percentile(0.5)
    assert 0.02 < hedged.hedged_part <= 0.05
    assert hedged.extra_work <= 0.055


def test_limit_bounds_the_extra_work_of_a_load():
    """Guards the limit that operators set."""
    load = TailedLoad(0.5, 0.01)
    assert 0.005 < load.hedged_part <= 0.01
    assert load.percentile(0.5) < 1.3 * RUN_S


@pytest.mark.parametrize(
    ("share", "hedged_part"), [(0.9, 0.001), (1.5, 0.0001)]
)
def test_hedging_stops_by_itself_under_heavy_load(share, hedged_part):
    """Guards full servers: second attempts would delay all requests."""
    plain, hedged = TailedLoad(share, 0.0), TailedLoad(share, 0.05)
    assert hedged.hedged_part < hedged_part
    for fraction in (0.5, 0.99):
        limit_s = 1.05 * plain.percentile(fraction)
        assert hedged.percentile(fraction) < limit_s
