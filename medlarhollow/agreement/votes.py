"""Voting rules.

The rules are those of Raft (Ongaro and Ousterhout 2014, section 5.2 and
5.4.1) with the pre-vote of Ongaro's dissertation (2014, section 9.6). A vote
is bound to the incarnation of the voter: a replica that lost its disk has
lost the record of its votes, so the votes of its new incarnation do not count
until the replica set names that incarnation.
"""

import attrs

from ..messages.records import HardState
from ..messages.records import VoteResponse

__all__ = [
    "VoterState",
    "advance_term",
    "counts_as_vote",
    "decide_vote",
    "quorum_size",
]


@attrs.frozen
class VoterState:
    """State on which a replica decides a vote request.

    Attributes
    ----------
    incarnation : str
        Incarnation of the replica.
    hard : HardState
        Its term and vote.
    last_index, last_term : int
        Index and term of its last log entry.
    has_leader : bool
        Whether it received a message of a leader, or led with a quorum,
        within the election timeout.
    """

    incarnation: str
    hard: HardState
    last_index: int
    last_term: int
    has_leader: bool


def decide_vote(voter, request):
    """Decide a request for a vote or a pre-vote.

    Parameters
    ----------
    voter : VoterState
        State of the replica that votes.
    request : VoteRequest
        Request of the candidate.

    Returns
    -------
    tuple of (HardState, VoteResponse)
        The state to sync before the response is sent, and the response.
    """
    hard = voter.hard
    if voter.has_leader or request.term < hard.term:
        return hard, _respond(voter, hard, granted=False)
    incarnation_matches = request.voter_incarnation in ("", voter.incarnation)
    log_up_to_date = (request.last_term, request.last_index) >= (
        voter.last_term,
        voter.last_index,
    )
    if request.pre_vote:
        granted = (
            incarnation_matches and log_up_to_date and request.term > hard.term
        )
        return hard, _respond(voter, hard, granted)
    if request.term > hard.term:
        hard = HardState(term=request.term)
    candidate = (request.candidate, request.candidate_incarnation)
    voted = (hard.voted_for, hard.voted_incarnation)
    granted = (
        incarnation_matches
        and log_up_to_date
        and voted in (("", ""), candidate)
    )
    if granted:
        hard = HardState(hard.term, *candidate)
    return hard, _respond(voter, hard, granted)


def counts_as_vote(response, voter):
    """Return whether a response is the vote of a voter of the replica set.

    Parameters
    ----------
    response : VoteResponse
        Response from the voter's address.
    voter : Replica
        Its record in the candidate's replica set.
    """
    return response.granted and response.incarnation == voter.incarnation


def quorum_size(count):
    """Return the size of a majority of `count` voters.

    Examples
    --------
    >>> [quorum_size(count) for count in (1, 2, 3, 4, 5)]
    [1, 2, 2, 3, 3]
    """
    return count // 2 + 1


def _respond(voter, hard, granted):
    return VoteResponse(
        term=hard.term, granted=granted, incarnation=voter.incarnation
    )


def advance_term(hard, term):
    """Return the hard state after a term was seen in a message."""
    return hard if term <= hard.term else HardState(term=term)
