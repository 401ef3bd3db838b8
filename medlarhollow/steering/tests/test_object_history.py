"""Reasons for which an object is requested from another server."""

import attrs
import pytest

from medlarhollow.steering.placement import object_history
from medlarhollow.steering.placement.object_history import ObjectHistory
from medlarhollow.steering.placement.placement import list_object_servers

from .test_placement import make_pool
from .test_placement import make_slot_request
from .test_placement import server_candidate

KEY = "/plots/ 7"


def rank(candidates):
    """Return the two servers of the object, the preferred one first."""
    listed = list_object_servers(make_pool(candidates), make_slot_request(KEY))
    return [candidate.view.server.server_id for candidate in listed]


def choose(history, candidates, server_id, **fields):
    pool = make_pool(candidates)
    chosen = next(
        candidate
        for candidate in candidates
        if candidate.view.server.server_id == server_id
    )
    return history.record(chosen, pool, make_slot_request(KEY, **fields))


def change(candidates, server_id, **fields):
    return [
        attrs.evolve(candidate, **fields)
        if candidate.view.server.server_id == server_id
        else candidate
        for candidate in candidates
    ]


def test_reason_for_another_server_is_given():
    """Guards the question why an uncached server got a request: the line of
    an attempt named the server only."""
    candidates = [server_candidate(name) for name in ("a", "b", "c", "d")]
    first, second = rank(candidates)
    history = ObjectHistory()
    reason = choose(history, candidates, first)
    assert reason == "first request for the object"
    assert choose(history, candidates, first) == ""
    full = change(candidates, first, free_slots=0)
    assert choose(history, full, second) == f"not {first}, which is full"
    assert choose(history, full, second) == ""
    reason = choose(history, candidates, first)
    assert reason == f"not {second}, which ranks lower"
    cold = change(candidates, first, free_slots=0, is_cold=True)
    assert choose(history, cold, second) == f"not {first}, which is cold"
    choose(history, candidates, first)
    reason = choose(history, candidates, second, excluded=frozenset([first]))
    assert reason == f"not {first}, which was tried before"
    choose(history, candidates, first)
    left = [
        candidate
        for candidate in candidates
        if candidate.view.server.server_id != first
    ]
    reason = choose(history, left, second)
    assert reason == f"not {first}, which left the pool"


def test_server_that_is_no_longer_ranked_is_named():
    names = [f"s{number}" for number in range(8)]
    history = ObjectHistory()
    candidates = [server_candidate(name) for name in names]
    ranked = rank(candidates)
    other = next(name for name in names if name not in ranked)
    choose(history, candidates, other)
    reason = choose(history, candidates, ranked[0])
    assert reason == f"not {other}, which is no longer ranked for it"


def test_request_without_an_object_has_no_reason():
    history = ObjectHistory()
    candidate = server_candidate("a")
    request = make_slot_request("")
    assert history.record(candidate, make_pool([candidate]), request) == ""


@pytest.mark.parametrize("limit", [1, 3])
def test_history_is_bounded(limit, monkeypatch):
    """Guards memory against callers that request ever new objects."""
    monkeypatch.setattr(object_history, "_MAX_OBJECTS", limit)
    history = ObjectHistory()
    candidate = server_candidate("a")
    pool = make_pool([candidate])
    for number in range(10):
        history.record(candidate, pool, make_slot_request(f"/{number}"))
    assert len(history._servers) == limit
