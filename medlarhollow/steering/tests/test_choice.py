"""Choice of a server and ejection of outliers."""

import collections
import random

import pytest

from medlarhollow.limits.tests.support import make_settings
from medlarhollow.membership.directory import ServerView
from medlarhollow.messages.records import BackendServer
from medlarhollow.steering import AttemptResult
from medlarhollow.steering.choice import choose_server
from medlarhollow.steering.choice import effective_slots
from medlarhollow.steering.choice import make_candidate
from medlarhollow.steering.choice import score_candidate
from medlarhollow.steering.health import OutlierDetector

NOW = 1000.0


def make_view(name, slots=8, age_s=100.0, peers=0, wanted=False, load=-1.0):
    server = BackendServer(
        server_id=name, service="plots", slots=slots, load=load
    )
    return ServerView(server, NOW - age_s, NOW, peers, wanted)


def candidates(views, own=None, vms=2):
    slots = effective_slots(views, lambda view: view.first_seen_at, NOW, 20.0)
    return [
        make_candidate(
            view, part, (own or {}).get(view.server.server_id, 0), vms
        )
        for view, part in zip(views, slots, strict=True)
    ]


def simulate(choose, servers=20, slots=100, requests=4000):
    """Keep 400 requests in flight; return the greatest number at a server."""
    generator = random.Random(7)
    in_flight = collections.Counter()
    running = []
    worst = 0
    views = [make_view(f"s{number}", slots) for number in range(servers)]
    for _ in range(requests):
        if len(running) >= 400:
            done = running.pop(generator.randrange(len(running)))
            in_flight[done] -= 1
        name = choose(views, in_flight, generator)
        in_flight[name] += 1
        running.append(name)
        worst = max(worst, in_flight[name])
    return worst


def test_two_choices_spread_better_than_a_random_choice():
    """Guards the choice: 20 requests a server on average, the naive random
    choice lets the fullest one have many more."""

    def two_choices(views, in_flight, generator):
        found = choose_server(
            candidates(views, in_flight), frozenset(), generator, NOW
        )
        return found.view.server.server_id

    def naive(views, in_flight, generator):
        return generator.choice(views).server.server_id

    assert simulate(two_choices) <= 24
    assert simulate(naive) >= 30


@pytest.mark.parametrize(
    ("own", "peers", "wanted", "free"),
    [
        (0, 0, False, 8),
        (3, 4, False, 1),
        (3, 5, False, 0),
        (3, 9, False, 0),
        (3, 0, True, 1),
        (6, 0, True, 0),
    ],
)
def test_slots_count_the_requests_of_all_vms(own, peers, wanted, free):
    """Guards slots: never more than they are, and no more than its part
    while another VM waits."""
    view = make_view("s", peers=peers, wanted=wanted)
    [found] = candidates([view], {"s": own})
    assert max(0, found.free) == free


def test_a_new_server_starts_with_a_small_share():
    """Guards cold servers; a pool that is all new must serve everything."""
    warm, cold = make_view("w"), make_view("c", age_s=0.0)
    assert [found.free for found in candidates([warm, cold])] == [8, 1]
    half = make_view("h", age_s=10.0)
    assert [found.free for found in candidates([warm, half])] == [8, 4]
    both = [make_view("c", age_s=0.0), make_view("d", age_s=0.0)]
    assert [found.free for found in candidates(both)] == [8, 8]


@pytest.mark.parametrize("lie", [0.0, 1.0, 50.0])
def test_a_lying_load_report_is_outweighed_by_requests(lie):
    """Guards against a server that reports no load, or too much, and so
    gets all requests or none."""
    generator = random.Random(3)
    in_flight = collections.Counter()
    views = [make_view("liar", load=lie)]
    views += [make_view(f"s{number}", load=0.5) for number in range(3)]
    for _ in range(20):
        found = choose_server(
            candidates(views, in_flight), frozenset(), generator, NOW
        )
        in_flight[found.view.server.server_id] += 1
    assert 2 <= in_flight["liar"] <= 8


def test_old_load_reports_do_not_count():
    """Guards against a load that was measured long ago."""
    old = ServerView(
        BackendServer(server_id="a", slots=8, load=1.0), 0.0, NOW - 10
    )
    new = ServerView(BackendServer(server_id="b", slots=8, load=1.0), 0.0, NOW)
    scores = [score_candidate(found, NOW) for found in candidates([old, new])]
    assert scores[0] < scores[1]


def make_pool(count):
    return [make_view(f"s{number}") for number in range(count)]


def fail_times(detector, view, views, count, now=NOW):
    return [
        detector.note(view, views, AttemptResult.ERROR, now)
        for _ in range(count)
    ]


@pytest.mark.parametrize("size", [1, 2, 3, 5, 8])
def test_never_more_than_half_of_a_pool_is_ejected(size):
    """Guards against a fault of all servers that would leave none."""
    detector = OutlierDetector(make_settings("a"))
    views = make_pool(size)
    ejected = sum(any(fail_times(detector, view, views, 50)) for view in views)
    assert ejected == size // 2
    assert len(detector.usable(views, NOW)) == size - size // 2
    smaller = views[: max(1, size // 2)]
    assert len(detector.usable(smaller, NOW)) * 2 >= len(smaller)


def test_an_outlier_is_ejected_for_longer_each_time_and_returns():
    """Guards callers against a server that fails, and its return."""
    detector = OutlierDetector(make_settings("a"))
    views = make_pool(4)
    assert fail_times(detector, views[0], views, 5)[-1]
    assert views[0] not in detector.usable(views, NOW + 4.9)
    assert views[0] in detector.usable(views, NOW + 5.1)
    fail_times(detector, views[0], views, 5, NOW + 6)
    assert views[0] not in detector.usable(views, NOW + 15)
    assert views[0] in detector.usable(views, NOW + 16.1)


def test_a_high_error_rate_ejects_without_consecutive_failures():
    """Guards against a server that fails two of three requests."""
    detector = OutlierDetector(make_settings("a"))
    views = make_pool(4)
    results = [AttemptResult.ERROR, AttemptResult.ERROR, AttemptResult.OK]
    ejected = [
        detector.note(views[0], views, results[number % 3], NOW)
        for number in range(60)
    ]
    assert any(ejected)


def test_pool_that_fails_alike_loses_no_server():
    """Guards the room that is left when all servers fail part of their
    requests; one that fails nearly all is still found."""
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
            if detector.note(view, views, result, NOW):
                ejected.add(view.server.server_id)
    assert ejected == {"s0"}


def test_cancelled_attempts_and_restarts_do_not_eject():
    """Guards servers against callers that go away, and a restarted server
    against the record of the process before it."""
    detector = OutlierDetector(make_settings("a"))
    views = make_pool(4)
    for _ in range(50):
        detector.note(views[0], views, AttemptResult.CANCELLED, NOW)
    assert len(detector.usable(views, NOW)) == 4
    fail_times(detector, views[0], views, 5)
    views[0] = ServerView(views[0].server, NOW, NOW)
    assert len(detector.usable(views, NOW)) == 4


def test_server_that_takes_no_connection_is_ejected_soon():
    """Guards latency against servers that vanish without a word."""
    views = [make_view(name) for name in "abcd"]
    detector = OutlierDetector(make_settings("a"))
    assert not detector.note(views[0], views, AttemptResult.NOT_SENT, NOW)
    assert not detector.note(views[0], views, AttemptResult.OK, NOW)
    assert not detector.note(views[0], views, AttemptResult.NOT_SENT, NOW)
    assert detector.note(views[0], views, AttemptResult.NOT_SENT, NOW)
    assert views[0] not in detector.usable(views, NOW)


def test_no_slow_start_for_an_ejected_server_that_is_needed():
    """Guards the process: with most of a pool ejected, servers are used
    before their ejection ends, also where there is no slow start."""
    found = effective_slots([make_view("a")], lambda view: NOW + 5.0, NOW, 0.0)
    assert found == [8]
