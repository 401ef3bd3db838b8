"""Replication progress of the followers, as tracked by the leader."""

import asyncio

import attrs

from .votes import quorum_size

__all__ = ["Progress", "committed_index", "quorum_ack_time_s"]


@attrs.define
class Progress:
    """Replication progress of one follower.

    Attributes
    ----------
    replica : Replica
        Its record in the replica set.
    next_index : int
        Index of the next entry to send.
    started_at : float
        Monotonic time in seconds at which the leader began to send to it.
    match_index : int
        Index of the last entry that this incarnation is known to have
        synced.
    acked_at : float
        Send time, in monotonic seconds, of the last message that this
        incarnation acknowledged in the leader's term.
    responded_at : float
        Send time of the last message that any incarnation responded to.
    reported_incarnation : str
        Incarnation in the last response.
    wake : asyncio.Event
        Set when there is a message to send.
    """

    replica: object
    next_index: int
    started_at: float
    match_index: int = 0
    acked_at: float = float("-inf")
    responded_at: float = float("-inf")
    reported_incarnation: str = ""
    wake: asyncio.Event = attrs.field(factory=asyncio.Event)

    def silent_s(self, now):
        """Return the time in seconds for which it could have responded.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        float
            Time since its last response, or since the leader began to send
            to it if that is later.
        """
        return now - max(self.responded_at, self.started_at)


def committed_index(synced_indices):
    """Return the highest index that a majority of the voters has synced.

    Parameters
    ----------
    synced_indices : list of int
        Last synced index of each voter.

    Examples
    --------
    >>> committed_index([7, 3, 5])
    5
    >>> committed_index([7, 3])
    3
    """
    ordered = sorted(synced_indices, reverse=True)
    return ordered[quorum_size(len(ordered)) - 1]


def quorum_ack_time_s(acked_times):
    """Return the latest time at which a majority is known to have followed.

    Parameters
    ----------
    acked_times : list of float
        For each voter, the send time of the last message that it
        acknowledged; infinite for the leader itself.

    Returns
    -------
    float
        Infinite for a leader that is a majority by itself.
    """
    ordered = sorted(acked_times, reverse=True)
    return ordered[quorum_size(len(ordered)) - 1]
