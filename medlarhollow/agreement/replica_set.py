"""Rules for changes of the replica set, one replica at a time.

Single-server changes (Ongaro 2014, section 4.1): two successive sets differ
by one voter, so that their majorities overlap. A replica is added as a
non-voter and becomes a voter when it has caught up. A replica that returns
with an empty disk, and so with a new incarnation, loses its vote in one change
and regains it in another. A replica that is gone for good loses its place when
its successor has caught up, so that the set does not grow by each replacement.
"""

import attrs
from result import Ok

from ..errors import fail
from ..messages.records import ErrorKind
from ..messages.records import Replica
from ..messages.records import ReplicaSet
from .votes import quorum_size

__all__ = [
    "find_replica",
    "plan_removal",
    "plan_requested_change",
    "plan_succession",
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
        changed = attrs.evolve(
            current,
            address=requested.address,
            data_centre=requested.data_centre or current.data_centre,
        )
        return Ok(replace_replica(replicas, changed))
    new = attrs.evolve(requested, voter=False)
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


def plan_succession(replicas, silent_s, caught_up, limit_s):
    """Return the set without one replica that has a successor.

    Parameters
    ----------
    replicas : ReplicaSet
        The set in force; its entry is committed.
    silent_s : dict of str to float
        For each follower, the time in seconds since its last response.
    caught_up : frozenset of str
        Replicas that hold all committed entries.
    limit_s : float
        Time in seconds after which a replica that has a successor is removed.

    Returns
    -------
    ReplicaSet or None
        None if no replica is replaced, or if the remaining voters that respond
        are no majority.

    Notes
    -----
    A successor is a replica in the same data centre that was created after
    the first start of the fleet. Each replaces one replica at most. A replica
    that is only cut off or suspended has none, and keeps its place.

    The successor gets its vote by :func:`plan_vote_change`, before or after
    the removal. Between the two changes the set can lose as many replicas as
    with the opposite order, for each number of voters.
    """
    lost = [
        member
        for member in replicas.replicas
        if silent_s.get(member.name, 0.0) > limit_s
    ]
    responding = [member for member in replicas.replicas if member not in lost]
    # Successors first, whose own predecessor is left to their successor.
    lost.sort(
        key=lambda member: (
            not member.successor,
            not member.voter,
            -silent_s[member.name],
        )
    )
    for member in lost:
        successor = _find_successor(responding, member, caught_up)
        if successor is None:
            continue
        heir = attrs.evolve(successor, successor=member.successor)
        remaining = replace_replica(_without(replicas, member), heir)
        if _has_quorum(remaining, responding):
            return remaining
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
    return _without(replicas, first)


def _find_successor(responding, lost, caught_up):
    """Return the replica that replaces a lost one, or None."""
    return next(
        (
            member
            for member in responding
            if member.successor
            and member.data_centre
            and member.data_centre == lost.data_centre
            and member.name in caught_up
        ),
        None,
    )


def _has_quorum(replicas, responding):
    """Return whether the voters of a set that respond are a majority."""
    names = {replica.name for replica in responding}
    voters = voters_of(replicas)
    present = sum(voter.name in names for voter in voters)
    return present >= quorum_size(len(voters))


def _without(replicas, replica):
    return ReplicaSet(
        replicas=tuple(
            other for other in replicas.replicas if other.name != replica.name
        )
    )


def _remove(replicas, requested, current):
    if current is None:
        return fail(
            ErrorKind.NOT_FOUND, f"there is no replica '{requested.name}'"
        )
    remaining = _without(replicas, requested)
    if not voters_of(remaining):
        return fail(
            ErrorKind.CONFLICT,
            f"'{requested.name}' is the last voter",
        )
    return Ok(remaining)
