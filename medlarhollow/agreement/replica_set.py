"""Decide changes of the replica set, one replica at a time.

Single-server changes (Ongaro 2014, section 4.1): two successive sets differ
by one voter, so that their majorities overlap. A replica is added without a
vote and gets it when it has caught up. A replica that returns with an empty
disk, and so with a new incarnation, loses its vote in one change and gets it
back in another.
"""

import attrs
from result import Ok

from ..errors import fail
from ..messages.records import ErrorKind
from ..messages.records import Replica
from ..messages.records import ReplicaSet

__all__ = [
    "find_replica",
    "plan_removal",
    "plan_upkeep",
    "replace_replica",
    "set_replicas",
    "voters_of",
]


# Fewer voters do not survive the loss of one.
_LEAST_VOTERS = 3


def find_replica(replicas, name):
    """Return the replica of a name, or None."""
    return next(
        (known for known in replicas.replicas if known.name == name), None
    )


def voters_of(replicas):
    """Return the replicas that vote."""
    return tuple(known for known in replicas.replicas if known.voter)


def replace_replica(replicas, replica):
    """Return the set with a replica added or replaced by name."""
    others = [
        known for known in replicas.replicas if known.name != replica.name
    ]
    ordered = sorted([*others, replica], key=lambda known: known.name)
    return ReplicaSet(replicas=tuple(ordered))


def set_replicas(replicas, request):
    """Decide an operator's order.

    Parameters
    ----------
    replicas : ReplicaSet
        The set in force.
    request : SetReplicasRequest
        Adds, moves to another address, or removes one replica.

    Returns
    -------
    result.Result
        ``Ok`` with the new `ReplicaSet`, or the failure.
    """
    wanted = request.replica or Replica()
    if not wanted.name:
        return fail(ErrorKind.BAD_REQUEST, "a replica needs a name")
    known = find_replica(replicas, wanted.name)
    if request.remove:
        return _remove(replicas, wanted, known)
    if not wanted.address:
        return fail(ErrorKind.BAD_REQUEST, "a replica needs an address")
    taken = [
        other.name
        for other in replicas.replicas
        if other.address == wanted.address and other.name != wanted.name
    ]
    if taken:
        return fail(
            ErrorKind.BAD_REQUEST,
            f"replica '{taken[0]}' has the address {wanted.address}",
        )
    if known is not None:
        return Ok(
            replace_replica(
                replicas, attrs.evolve(known, address=wanted.address)
            )
        )
    new = Replica(wanted.name, wanted.address, wanted.incarnation, voter=False)
    return Ok(replace_replica(replicas, new))


def plan_upkeep(replicas, progress, commit_index):
    """Return the change of the set that a replica's progress calls for.

    Parameters
    ----------
    replicas : ReplicaSet
        The set in force; its entry is committed.
    progress : Progress
        Of one other replica.
    commit_index : int
        Of the leader.

    Returns
    -------
    ReplicaSet or None
        Without a vote for a replica whose incarnation is new; with a vote
        for one that has caught up; None if nothing is to be done.
    """
    known = find_replica(replicas, progress.replica.name)
    seen = progress.seen_incarnation
    if known is None or not seen:
        return None
    if known.incarnation != seen:
        return replace_replica(
            replicas, attrs.evolve(known, incarnation=seen, voter=False)
        )
    if not known.voter and progress.match_index >= commit_index > 0:
        return replace_replica(replicas, attrs.evolve(known, voter=True))
    return None


def plan_removal(replicas, silent_s, limit_s):
    """Return the set without a replica that is gone for good.

    Parameters
    ----------
    replicas : ReplicaSet
        The set in force; its entry is committed.
    silent_s : dict of str to float
        For each other replica, the time in seconds since it last answered.
    limit_s : float
        Time after which a silent replica is removed.

    Returns
    -------
    ReplicaSet or None
        None if nothing is to be done. Only one is removed at a time, and
        only while more than half of the others answer, so that the voters
        left are not the ones that were cut off.
    """
    gone = [
        known
        for known in replicas.replicas
        if silent_s.get(known.name, 0.0) > limit_s
    ]
    if not gone:
        return None
    # Those without a vote first: they cost nothing to lose.
    first = min(gone, key=lambda one: (one.voter, one.name))
    voters = len(voters_of(replicas))
    answering = voters - sum(one.voter for one in gone)
    if first.voter and (voters <= _LEAST_VOTERS or answering * 2 <= voters):
        return None
    return ReplicaSet(
        replicas=tuple(one for one in replicas.replicas if one is not first)
    )


def _remove(replicas, wanted, known):
    if known is None:
        return fail(ErrorKind.NOT_FOUND, f"no replica '{wanted.name}'")
    left = ReplicaSet(
        replicas=tuple(
            other for other in replicas.replicas if other.name != wanted.name
        )
    )
    if not voters_of(left):
        return fail(
            ErrorKind.CONFLICT,
            f"'{wanted.name}' is the last replica with a vote",
        )
    return Ok(left)
