"""Voting rules, as a table of cases."""

import attrs
import pytest

from medlarhollow.agreement.progress import committed_index
from medlarhollow.agreement.progress import quorum_ack_time_s
from medlarhollow.agreement.votes import counts_as_vote
from medlarhollow.agreement.votes import decide_vote
from medlarhollow.agreement.votes import VoterState
from medlarhollow.messages.records import HardState
from medlarhollow.messages.records import Replica
from medlarhollow.messages.records import VoteRequest
from medlarhollow.messages.records import VoteResponse

VOTER = VoterState(
    incarnation="v1",
    hard=HardState(term=5),
    last_index=10,
    last_term=4,
    has_leader=False,
)
REQUEST = VoteRequest(
    cluster="c",
    candidate="a",
    candidate_incarnation="a1",
    term=6,
    last_index=10,
    last_term=4,
    voter_incarnation="v1",
)
VOTED = HardState(6, "a", "a1")
CASES = {
    "granted": ({}, {}, True, VOTED),
    "longer log": ({}, {"last_index": 11}, True, VOTED),
    "newer log": ({}, {"last_index": 1, "last_term": 5}, True, VOTED),
    "shorter log": ({}, {"last_index": 9}, False, HardState(6)),
    "older log": ({}, {"last_term": 3, "last_index": 99}, False, HardState(6)),
    "earlier term": ({}, {"term": 4}, False, HardState(5)),
    "same term, not voted": ({}, {"term": 5}, True, HardState(5, "a", "a1")),
    "voted for it": ({"hard": VOTED}, {}, True, VOTED),
    "voted for another": (
        {"hard": HardState(6, "b", "b1")},
        {},
        False,
        HardState(6, "b", "b1"),
    ),
    "voted for its lost disk": (
        {"hard": HardState(6, "a", "a0")},
        {},
        False,
        HardState(6, "a", "a0"),
    ),
    "voter's disk was lost": (
        {},
        {"voter_incarnation": "v0"},
        False,
        HardState(6),
    ),
    "has a leader": ({"has_leader": True}, {"term": 9}, False, HardState(5)),
    "pre-vote": ({}, {"pre_vote": True}, True, HardState(5)),
    "pre-vote of this term": (
        {},
        {"pre_vote": True, "term": 5},
        False,
        HardState(5),
    ),
    "pre-vote, shorter log": (
        {},
        {"pre_vote": True, "last_index": 9},
        False,
        HardState(5),
    ),
    "pre-vote, has a leader": (
        {"has_leader": True},
        {"pre_vote": True},
        False,
        HardState(5),
    ),
}


@pytest.mark.parametrize("case", CASES)
def test_vote(case):
    """Guards against votes that elect two leaders in one term, or a leader
    that lacks committed entries."""
    voter, request, granted, hard = CASES[case]
    decided, response = decide_vote(
        attrs.evolve(VOTER, **voter), attrs.evolve(REQUEST, **request)
    )
    assert (response.granted, decided) == (granted, hard)
    assert (response.term, response.incarnation) == (hard.term, "v1")


@pytest.mark.parametrize(
    ("granted", "incarnation", "counts"),
    [(True, "v1", True), (False, "v1", False), (True, "v2", False)],
)
def test_vote_counts_only_for_its_incarnation(granted, incarnation, counts):
    """Guards against counting a vote of a replica that lost its disk."""
    response = VoteResponse(5, granted, incarnation)
    assert counts_as_vote(response, Replica("v", "", "v1", True)) is counts


@pytest.mark.parametrize(
    ("values", "expected"),
    [
        ([4], 4),
        ([4, 9], 4),
        ([4, 9, 1], 4),
        ([4, 9, 1, 7], 4),
        ([4, 9, 1, 7, 8], 7),
    ],
)
def test_majority(values, expected):
    """Guards against a commit or confirmed leadership by half the voters."""
    assert committed_index(values) == expected
    assert quorum_ack_time_s([float(value) for value in values]) == expected
