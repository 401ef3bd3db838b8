"""Decide votes.

The rules are those of Raft (Ongaro and Ousterhout 2014, section 5.2 and
5.4.1) with the pre-vote of Ongaro's dissertation (2014, section 9.6). A vote
is bound to the incarnation of the voter: a replica that lost its disk has
forgotten its votes, so the votes of its new incarnation do not count until
the replica set names that incarnation.
"""

import attrs

from ..messages.records import HardState
from ..messages.records import VoteResponse

__all__ = [
    "VoterView",
    "counts_as_vote",
    "decide_vote",
    "quorum_of",
    "with_term",
]


@attrs.frozen
class VoterView:
    """What a replica knows when it is asked for its vote.

    Attributes
    ----------
    incarnation : str
        Its own.
    hard : HardState
        Its term and vote.
    last_index, last_term : int
        Of its last log entry.
    has_leader : bool
        Whether it heard from a leader, or leads with a quorum, within the
        election timeout.
    """

    incarnation: str
    hard: HardState
    last_index: int
    last_term: int
    has_leader: bool


def decide_vote(view, request):
    """Decide a request for a vote or a pre-vote.

    Parameters
    ----------
    view : VoterView
        The replica that is asked.
    request : VoteRequest
        From the candidate.

    Returns
    -------
    tuple of (HardState, VoteResponse)
        The state to sync before the response is sent.
    """
    hard = view.hard
    if view.has_leader or request.term < hard.term:
        return hard, _respond(view, hard, granted=False)
    named = request.voter_incarnation in ("", view.incarnation)
    fresh = (request.last_term, request.last_index) >= (
        view.last_term,
        view.last_index,
    )
    if request.pre_vote:
        granted = named and fresh and request.term > hard.term
        return hard, _respond(view, hard, granted)
    if request.term > hard.term:
        hard = HardState(term=request.term)
    candidate = (request.candidate, request.candidate_incarnation)
    voted = (hard.voted_for, hard.voted_incarnation)
    granted = named and fresh and voted in (("", ""), candidate)
    if granted:
        hard = HardState(hard.term, *candidate)
    return hard, _respond(view, hard, granted)


def counts_as_vote(response, voter):
    """Return whether a response is the vote of a voter of the replica set.

    Parameters
    ----------
    response : VoteResponse
        What came from the voter's address.
    voter : Replica
        As the candidate's replica set names it.
    """
    return response.granted and response.incarnation == voter.incarnation


def quorum_of(count):
    """Return the size of a majority of `count` voters.

    Examples
    --------
    >>> [quorum_of(count) for count in (1, 2, 3, 4, 5)]
    [1, 2, 2, 3, 3]
    """
    return count // 2 + 1


def _respond(view, hard, granted):
    return VoteResponse(
        term=hard.term, granted=granted, incarnation=view.incarnation
    )


def with_term(hard, term):
    """Return the state of a replica that learned of a term."""
    return hard if term <= hard.term else HardState(term=term)
