"""Selection of a server by load, and ejection of outliers."""

import collections
import random

import pytest

from medlarhollow.limits.tests.support import make_settings
from medlarhollow.membership.directory import ServerView
from medlarhollow.messages.records import BackendServer
from medlarhollow.steering import AttemptResult
from medlarhollow.steering.placement.server_selection import choose_server
from medlarhollow.steering.placement.server_selection import effective_slots
from medlarhollow.steering.placement.server_selection import make_candidate
from medlarhollow.steering.placement.server_selection import score_candidate
from medlarhollow.steering.servers.outlier_detection import OutlierDetector

NOW = 1000.0


def make_view(name, slots=8, age_s=100.0, peers=0, in_demand=False, load=-1.0):
    server = BackendServer(
        server_id=name, service="plots", slots=slots, load=load
    )
    return ServerView(server, NOW - age_s, NOW, peers, in_demand)


def make_candidates(views, local=None, vms=2):
    slots = effective_slots(views, lambda view: view.first_seen_at, NOW, 20.0)
    return [
        make_candidate(
            view, effective, (local or {}).get(view.server.server_id, 0), vms
        )
        for view, effective in zip(views, slots, strict=True)
    ]


def simulate(choose, servers=20, slots=100, requests=4000):
    """Keep 400 requests in flight; return the maximum at one server."""
    generator = random.Random(7)
    in_flight = collections.Counter()
    running = []
    highest = 0
    views = [make_view(f"s{number}", slots) for number in range(servers)]
    for _ in range(requests):
        if len(running) >= 400:
            done = running.pop(generator.randrange(len(running)))
            in_flight[done] -= 1
        name = choose(views, in_flight, generator)
        in_flight[name] += 1
        running.append(name)
        highest = max(highest, in_flight[name])
    return highest


def test_two_choices_spread_better_than_a_random_choice():
    """At 20 requests per server on average, a random choice would load the
    fullest server far above that."""

    def two_choices(views, in_flight, generator):
        candidate = choose_server(
            make_candidates(views, in_flight), frozenset(), generator, NOW
        )
        return candidate.view.server.server_id

    def random_choice(views, in_flight, generator):
        return generator.choice(views).server.server_id

    assert simulate(two_choices) <= 24
    assert simulate(random_choice) >= 30


@pytest.mark.parametrize(
    ("local", "peers", "in_demand", "free"),
    [
        (0, 0, False, 8),
        (3, 4, False, 1),
        (3, 5, False, 0),
        (3, 9, False, 0),
        (3, 0, True, 1),
        (6, 0, True, 0),
    ],
)
def test_slots_count_the_requests_of_all_vms(local, peers, in_demand, free):
    """A VM must not exceed the slots of a server, nor its own share of them
    while another VM waits for the server."""
    view = make_view("s", peers=peers, in_demand=in_demand)
    [candidate] = make_candidates([view], {"s": local})
    assert max(0, candidate.free_slots) == free


def test_new_server_starts_with_few_slots():
    """A pool of only new servers is exempt and serves all requests."""
    warm, cold = make_view("w"), make_view("c", age_s=0.0)
    assert [
        candidate.free_slots for candidate in make_candidates([warm, cold])
    ] == [
        8,
        1,
    ]
    half = make_view("h", age_s=10.0)
    assert [
        candidate.free_slots for candidate in make_candidates([warm, half])
    ] == [
        8,
        4,
    ]
    both = [make_view("c", age_s=0.0), make_view("d", age_s=0.0)]
    assert [candidate.free_slots for candidate in make_candidates(both)] == [
        8,
        8,
    ]


@pytest.mark.parametrize("reported_load", [0.0, 1.0, 50.0])
def test_wrong_load_report_is_outweighed_by_requests(reported_load):
    """Guards against a server that reports a wrong load and therefore
    receives all requests or none."""
    generator = random.Random(3)
    in_flight = collections.Counter()
    views = [make_view("misreporting", load=reported_load)]
    views += [make_view(f"s{number}", load=0.5) for number in range(3)]
    for _ in range(20):
        candidate = choose_server(
            make_candidates(views, in_flight), frozenset(), generator, NOW
        )
        in_flight[candidate.view.server.server_id] += 1
    assert 2 <= in_flight["misreporting"] <= 8


def test_old_load_reports_are_ignored():
    """Guards against decisions on outdated load."""
    old = ServerView(
        BackendServer(server_id="a", slots=8, load=1.0), 0.0, NOW - 10
    )
    new = ServerView(BackendServer(server_id="b", slots=8, load=1.0), 0.0, NOW)
    scores = [
        score_candidate(candidate, NOW)
        for candidate in make_candidates([old, new])
    ]
    assert scores[0] < scores[1]


def make_pool(count):
    return [make_view(f"s{number}") for number in range(count)]


def record_failures(detector, view, views, count, now=NOW):
    return [
        detector.record(view, views, AttemptResult.ERROR, now)
        for _ in range(count)
    ]


@pytest.mark.parametrize("size", [1, 2, 3, 5, 8])
def test_never_more_than_half_of_a_pool_is_ejected(size):
    """Guards against a failure of all servers that would leave none."""
    detector = OutlierDetector(make_settings("a"))
    views = make_pool(size)
    ejected = sum(
        any(record_failures(detector, view, views, 50)) for view in views
    )
    assert ejected == size // 2
    assert len(detector.list_usable(views, NOW)) == size - size // 2
    smaller = views[: max(1, size // 2)]
    assert len(detector.list_usable(smaller, NOW)) * 2 >= len(smaller)


def test_outlier_is_ejected_for_longer_each_time_and_returns():
    """Ejection times double and the server returns after each."""
    detector = OutlierDetector(make_settings("a"))
    views = make_pool(4)
    assert record_failures(detector, views[0], views, 5)[-1]
    assert views[0] not in detector.list_usable(views, NOW + 4.9)
    assert views[0] in detector.list_usable(views, NOW + 5.1)
    record_failures(detector, views[0], views, 5, NOW + 6)
    assert views[0] not in detector.list_usable(views, NOW + 15)
    assert views[0] in detector.list_usable(views, NOW + 16.1)


def test_high_error_rate_ejects_without_consecutive_failures():
    """Guards against a server that fails two of three requests."""
    detector = OutlierDetector(make_settings("a"))
    views = make_pool(4)
    results = [AttemptResult.ERROR, AttemptResult.ERROR, AttemptResult.OK]
    ejected = [
        detector.record(views[0], views, results[number % 3], NOW)
        for number in range(60)
    ]
    assert any(ejected)


def test_pool_that_fails_equally_ejects_no_server():
    """Guards the capacity of a pool in which all servers fail a fraction of
    their requests; a server that fails nearly all is still ejected."""
    generator = random.Random(5)
    detector = OutlierDetector(make_settings("a"))
    views = make_pool(8)
    ejected = set()
    for _ in range(400):
        for view in views:
            rate = 0.97 if view is views[0] else 0.45
            result = AttemptResult.OK
            if generator.random() < rate:
                result = AttemptResult.ERROR
            if detector.record(view, views, result, NOW):
                ejected.add(view.server.server_id)
    assert ejected == {"s0"}


def test_cancelled_attempts_and_restarts_do_not_eject():
    """Guards servers against callers that disconnect, and a restarted server
    against the record of its previous process."""
    detector = OutlierDetector(make_settings("a"))
    views = make_pool(4)
    for _ in range(50):
        detector.record(views[0], views, AttemptResult.CANCELLED, NOW)
    assert len(detector.list_usable(views, NOW)) == 4
    record_failures(detector, views[0], views, 5)
    views[0] = ServerView(views[0].server, NOW, NOW)
    assert len(detector.list_usable(views, NOW)) == 4


def test_unreachable_server_is_ejected_after_two_attempts():
    """Guards latency against servers that disappear without notice."""
    views = [make_view(name) for name in "abcd"]
    detector = OutlierDetector(make_settings("a"))
    assert not detector.record(views[0], views, AttemptResult.NOT_SENT, NOW)
    assert not detector.record(views[0], views, AttemptResult.OK, NOW)
    assert not detector.record(views[0], views, AttemptResult.NOT_SENT, NOW)
    assert detector.record(views[0], views, AttemptResult.NOT_SENT, NOW)
    assert views[0] not in detector.list_usable(views, NOW)


def test_needed_server_has_slots_before_its_ejection_ends():
    """If most of a pool is ejected, servers are used before the end of their
    ejections. Their negative age must not raise an error, also without a
    slow start."""
    slots = effective_slots([make_view("a")], lambda view: NOW + 5.0, NOW, 0.0)
    assert slots == [8]
