"""What a leader knows of the other replicas."""

import asyncio

import attrs

from .votes import quorum_of

__all__ = ["Progress", "committed_index", "proof_time_s"]


@attrs.define
class Progress:
    """Progress of one other replica, as its leader knows it.

    Attributes
    ----------
    replica : Replica
        As the replica set names it.
    next_index : int
        Next entry to send.
    match_index : int
        Last entry that this incarnation is known to have synced.
    acked_at : float
        Monotonic time in seconds when the last message was sent that this
        incarnation acknowledged in the leader's term.
    answered_at : float
        The same for any incarnation.
    seen_incarnation : str
        What the replica last said.
    wake : asyncio.Event
        Set when there is something to send.
    """

    replica: object
    next_index: int
    match_index: int = 0
    acked_at: float = float("-inf")
    answered_at: float = float("-inf")
    seen_incarnation: str = ""
    wake: asyncio.Event = attrs.field(factory=asyncio.Event)


def committed_index(synced_indices):
    """Return the index that a majority of the voters has synced.

    Parameters
    ----------
    synced_indices : list of int
        One for each voter.

    Examples
    --------
    >>> committed_index([7, 3, 5])
    5
    >>> committed_index([7, 3])
    3
    """
    ordered = sorted(synced_indices, reverse=True)
    return ordered[quorum_of(len(ordered)) - 1]


def proof_time_s(acked_times):
    """Return since when a majority of the voters is known to follow.

    Parameters
    ----------
    acked_times : list of float
        For each voter, when the last message was sent that it acknowledged;
        infinite for the leader itself.

    Returns
    -------
    float
        Infinite for a leader that is a majority alone.
    """
    ordered = sorted(acked_times, reverse=True)
    return ordered[quorum_of(len(ordered)) - 1]
