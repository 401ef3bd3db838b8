"""Rules for changes of the replica set, one replica at a time.

Single-server changes (Ongaro 2014, section 4.1): two successive sets differ
by one voter, so that their majorities overlap. A replica is added as a
non-voter and becomes a voter when it has caught up. A replica that returns
with an empty disk, and so with a new incarnation, loses its vote in one change
and regains it in another.
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
    "plan_requested_change",
    "plan_vote_change",
    "replace_replica",
    "voters_of",
]


# With fewer voters, the loss of one leaves no quorum.
_MIN_VOTERS = 3


def find_replica(replicas, name):
    """Return the replica with a name, or None."""
    return next(
        (replica for replica in replicas.replicas if replica.name == name),
        None,
    )


def voters_of(replicas):
    """Return the replicas that have a vote."""
    return tuple(replica for replica in replicas.replicas if replica.voter)


def replace_replica(replicas, replica):
    """Return the set with a replica added or replaced by name."""
    others = [
        other for other in replicas.replicas if other.name != replica.name
    ]
    ordered = sorted([*others, replica], key=lambda member: member.name)
    return ReplicaSet(replicas=tuple(ordered))


def plan_requested_change(replicas, request):
    """Return the set after a change requested by an operator or replica.

    Parameters
    ----------
    replicas : ReplicaSet
        The set in force.
    request : SetReplicasRequest
        Adds or removes one replica, or changes its address.

    Returns
    -------
    result.Result
        ``Ok`` with the new `ReplicaSet`, or the failure.
    """
    requested = request.replica or Replica()
    if not requested.name:
        return fail(ErrorKind.BAD_REQUEST, "a replica needs a name")
    current = find_replica(replicas, requested.name)
    if request.remove:
        return _remove(replicas, requested, current)
    if not requested.address:
        return fail(ErrorKind.BAD_REQUEST, "a replica needs an address")
    address_owners = [
        other.name
        for other in replicas.replicas
        if other.address == requested.address and other.name != requested.name
    ]
    if address_owners:
        return fail(
            ErrorKind.BAD_REQUEST,
            f"replica '{address_owners[0]}' already has the address "
            f"{requested.address}",
        )
    if current is not None:
        return Ok(
            replace_replica(
                replicas, attrs.evolve(current, address=requested.address)
            )
        )
    new = Replica(
        requested.name, requested.address, requested.incarnation, voter=False
    )
    return Ok(replace_replica(replicas, new))


def plan_vote_change(replicas, progress, commit_index):
    """Return the set with a vote withdrawn or granted, as progress requires.

    Parameters
    ----------
    replicas : ReplicaSet
        The set in force; its entry is committed.
    progress : Progress
        Progress of one follower.
    commit_index : int
        Commit index of the leader.

    Returns
    -------
    ReplicaSet or None
        Without the vote of a replica whose incarnation is new; with a vote
        for one that has caught up; None if no change is required.
    """
    current = find_replica(replicas, progress.replica.name)
    incarnation = progress.reported_incarnation
    if current is None or not incarnation:
        return None
    if current.incarnation != incarnation:
        return replace_replica(
            replicas,
            attrs.evolve(current, incarnation=incarnation, voter=False),
        )
    if not current.voter and progress.match_index >= commit_index > 0:
        return replace_replica(replicas, attrs.evolve(current, voter=True))
    return None


def plan_removal(replicas, silent_s, limit_s):
    """Return the set without one replica that is lost for good.

    Parameters
    ----------
    replicas : ReplicaSet
        The set in force; its entry is committed.
    silent_s : dict of str to float
        For each follower, the time in seconds since its last response.
    limit_s : float
        Time in seconds after which an unresponsive replica is removed.

    Returns
    -------
    ReplicaSet or None
        None if no removal is due or safe. One replica is removed at a time,
        and a voter only if at least three voters remain and more than half
        of the voters respond, so that the minority side of a partition
        removes none.
    """
    lost = [
        member
        for member in replicas.replicas
        if silent_s.get(member.name, 0.0) > limit_s
    ]
    if not lost:
        return None
    # Non-voters first: their removal does not affect the quorum.
    first = min(lost, key=lambda replica: (replica.voter, replica.name))
    voters = len(voters_of(replicas))
    responding = voters - sum(replica.voter for replica in lost)
    if first.voter and (voters <= _MIN_VOTERS or responding * 2 <= voters):
        return None
    return ReplicaSet(
        replicas=tuple(
            replica for replica in replicas.replicas if replica is not first
        )
    )


def _remove(replicas, requested, current):
    if current is None:
        return fail(
            ErrorKind.NOT_FOUND, f"there is no replica '{requested.name}'"
        )
    remaining = ReplicaSet(
        replicas=tuple(
            other
            for other in replicas.replicas
            if other.name != requested.name
        )
    )
    if not voters_of(remaining):
        return fail(
            ErrorKind.CONFLICT,
            f"'{requested.name}' is the last voter",
        )
    return Ok(remaining)
