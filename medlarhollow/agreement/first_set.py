"""Choice of the first replica set by the seeds of a new cluster.

A single-decree agreement (Lamport, "Paxos Made Simple", 2001): the seeds are
the acceptors, and a set that a majority of them accepted is the first one for
good, whichever seeds are lost, late or restarted meanwhile. A seed whose disk
was lost is not an acceptor any more, since its votes are gone.
"""

import attrs

from ..messages.records import Ballot
from ..messages.records import BootstrapVote
from ..messages.records import ReplicaSet
from .votes import quorum_size

__all__ = ["choose_replicas", "decide_proposal", "next_ballot", "seed_quorum"]


def seed_quorum(control):
    """Return how many seeds must agree on the first replica set.

    Parameters
    ----------
    control : ControlSettings
        Without `join`, seeds that are left out would never be added, so all
        are needed.
    """
    seeds = len(control.replicas)
    return quorum_size(seeds) if control.join else seeds


def next_ballot(votes, address):
    """Return a ballot above all that were seen.

    Parameters
    ----------
    votes : iterable of BootstrapVote
        Votes of this seed and in responses to it.
    address : str
        Address of this seed.
    """
    highest = max((_order(vote.promised) for vote in votes), default=(0, ""))
    return Ballot(highest[0] + 1, address)


def decide_proposal(vote, request):
    """Decide a request of a proposer.

    Parameters
    ----------
    vote : BootstrapVote
        Vote of this seed so far.
    request : BootstrapRequest
        Asks to promise a ballot or to accept a set.

    Returns
    -------
    tuple of (BootstrapVote, bool)
        The vote to sync before the response is sent, and whether the request
        is granted.
    """
    if request.ballot is None:
        return vote, False
    ballot, promised = _order(request.ballot), _order(vote.promised)
    if request.replicas is None:
        if ballot <= promised:
            return vote, False
        return attrs.evolve(vote, promised=request.ballot), True
    if ballot < promised:
        return vote, False
    return BootstrapVote(
        request.ballot, request.ballot, request.replicas
    ), True


def choose_replicas(promises):
    """Return the set to propose after a quorum of promises.

    Parameters
    ----------
    promises : list of BootstrapResponse
        Granted promises for one ballot.

    Returns
    -------
    ReplicaSet or None
        The set accepted under the highest ballot, which may have been chosen;
        else the seeds that promised. None if two of them share a name.
    """
    accepted = [
        promise.vote
        for promise in promises
        if promise.vote.replicas is not None
    ]
    if accepted:
        return max(accepted, key=lambda vote: _order(vote.accepted)).replicas
    replicas = sorted(
        (promise.replica for promise in promises),
        key=lambda replica: replica.name,
    )
    if len({replica.name for replica in replicas}) < len(replicas):
        return None
    return ReplicaSet(replicas=tuple(replicas))


def _order(ballot):
    return (0, "") if ballot is None else (ballot.round, ballot.address)
