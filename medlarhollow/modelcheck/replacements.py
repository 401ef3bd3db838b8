"""Model of control replicas that are replaced, cut off or suspended.

Replicas go for good and empty ones come in their data centres, one after
another and as many at a time as a deployment bears. The changes of the replica
set are those of the product. A step of time is one second, and what the leader
can do it has done before time passes, but a loss may come before each of its
changes.
"""

import attrs

from ..agreement.progress import Progress
from ..agreement.replica_set import find_replica
from ..agreement.replica_set import plan_removal
from ..agreement.replica_set import plan_requested_change
from ..agreement.replica_set import plan_succession
from ..agreement.replica_set import plan_vote_change
from ..agreement.replica_set import voters_of
from ..agreement.votes import quorum_size
from ..messages.records import Replica
from ..messages.records import ReplicaSet
from ..messages.records import SetReplicasRequest
from .search import explore

__all__ = ["explore_replacements"]

# Seconds: from a loss to the start of the successor, from a start or a return
# to the request to join, and silence before the two kinds of removal.
_START_S = 1
_JOIN_S = 2
_SUCCESSION_S = 2
_REMOVAL_S = 12


@attrs.frozen
class _Machine:
    """A machine that is there, or still counts as lost.

    Attributes
    ----------
    name : str
        Its replica; the first letter is its data centre.
    is_up : bool
        Whether it runs and reaches the others.
    is_gone : bool
        Whether it never returns.
    silent_s : int
        Time since its last response to the leader in office.
    up_s : int
        Time since its start or return.
    is_lost : bool
        Whether it counts as lost; it does until it was back for long enough,
        or until its successor was there for long enough.
    """

    name: str
    is_up: bool = True
    is_gone: bool = False
    silent_s: int = 0
    up_s: int = 0
    is_lost: bool = False


@attrs.frozen
class _World:
    """State of the model.

    Attributes
    ----------
    replicas : ReplicaSet
        The set in force.
    machines : tuple of _Machine
        The machines.
    leader : str
        Name of the leader; empty without one.
    replacements, outages : int
        Replicas that may still be replaced, or go for a while.
    """

    replicas: object
    machines: tuple
    leader: str
    replacements: int
    outages: int


def explore_replacements(
    size=3,
    tolerance=1,
    catch_up_s=4,
    replacements=2,
    outages=1,
    limit_states=1_000_000,
    removes_replaced=True,
):
    """Explore replacements.

    Parameters
    ----------
    size : int
        Number of control replicas, each in a data centre of its own.
    tolerance : int
        Replicas that may count as lost at a time.
    catch_up_s : int
        Time in seconds for which a replica counts as lost after its start or
        its return.
    replacements, outages : int
        Replicas that are replaced, and that are cut off or suspended.
    limit_states : int
        Number of states after which the search ends incomplete.
    removes_replaced : bool
        False for a model in which only silence ends a vote, which is not
        safe.

    Returns
    -------
    Exploration
        A violation is a set without a majority of voters that run.
    """
    names = "abcdefghi"[:size]
    replicas = ReplicaSet(
        tuple(Replica(name, name, name, True, name) for name in names)
    )
    initial = _World(
        replicas,
        tuple(_Machine(name, up_s=catch_up_s) for name in names),
        names[0],
        replacements,
        outages,
    )

    def list_steps(world):
        changed = _plan_change(world, removes_replaced)
        if changed is not None:
            yield "the leader changes the set", changed
        else:
            yield from _list_ticks(world, catch_up_s)
        yield from _list_losses(world, tolerance)

    return explore(initial, list_steps, _find_violation, limit_states)


def _find_violation(world):
    voters = voters_of(world.replicas)
    up = {machine.name for machine in world.machines if machine.is_up}
    present = sum(voter.name in up for voter in voters)
    return "" if present >= quorum_size(len(voters)) else "no quorum runs"


def _plan_change(world, removes_replaced):
    """Return the world after the next change of the set, or None."""
    if not world.leader:
        return None
    joined = _plan_join(world)
    if joined is not None:
        return attrs.evolve(world, replicas=joined)
    silent_s = {
        machine.name: 0 if machine.is_up else machine.silent_s
        for machine in world.machines
        if machine.name != world.leader
    }
    up = frozenset(machine.name for machine in world.machines if machine.is_up)
    planned = None
    if removes_replaced:
        planned = plan_succession(
            world.replicas, silent_s, up, _SUCCESSION_S - 0.05
        )
    for member in world.replicas.replicas:
        if planned is None and member.name in up:
            progress = Progress(
                member, 1, 0.0, match_index=1, reported_incarnation=member.name
            )
            planned = plan_vote_change(world.replicas, progress, 1)
    if planned is None:
        planned = plan_removal(world.replicas, silent_s, _REMOVAL_S)
    return planned and attrs.evolve(world, replicas=planned)


def _plan_join(world):
    for machine in world.machines:
        name = machine.name
        may_join = machine.is_up and machine.up_s >= _JOIN_S
        if may_join and find_replica(world.replicas, name) is None:
            request = SetReplicasRequest(
                Replica(
                    name,
                    name,
                    name,
                    data_centre=name[0],
                    successor=len(name) > 1,
                )
            )
            return plan_requested_change(world.replicas, request).ok_value
    return None


def _list_ticks(world, catch_up_s):
    """Let a second pass; without a leader, one of the voters is elected."""
    machines = [_advance(machine, catch_up_s) for machine in world.machines]
    found = {machine.name: machine for machine in machines}
    for machine in list(machines):
        if not machine.is_gone or not machine.is_lost:
            continue
        name = _name_successor(machine.name)
        successor = found.get(name)
        if successor is None and machine.silent_s >= _START_S:
            machines.append(_Machine(name, is_lost=True))
        elif successor is not None and not successor.is_lost:
            index = machines.index(machine)
            machines[index] = attrs.evolve(machine, is_lost=False)
    kept = tuple(
        machine
        for machine in machines
        if not machine.is_gone
        or machine.is_lost
        or find_replica(world.replicas, machine.name) is not None
    )
    later = attrs.evolve(world, machines=kept)
    if world.leader:
        yield "a second passes", later
        return
    for machine in kept:
        member = find_replica(world.replicas, machine.name)
        if machine.is_up and member is not None and member.voter:
            yield (
                f"{machine.name} is elected",
                attrs.evolve(
                    later,
                    leader=machine.name,
                    machines=tuple(map(_begin_silence, kept)),
                ),
            )


def _advance(machine, catch_up_s):
    """Return a machine one second later."""
    if not machine.is_up:
        silent_s = min(machine.silent_s + 1, _REMOVAL_S + 1)
        return attrs.evolve(machine, silent_s=silent_s)
    up_s = min(machine.up_s + 1, catch_up_s)
    is_lost = machine.is_lost and up_s < catch_up_s
    return attrs.evolve(machine, up_s=up_s, is_lost=is_lost)


def _begin_silence(machine):
    """Count silence from the election, as a new leader does.

    A successor starts by the clock of the platform, so the time of one that
    is still missing is kept.
    """
    return attrs.evolve(machine, silent_s=min(machine.silent_s, _START_S))


def _name_successor(name):
    return name[0] + str(int(name[1:] or 0) + 1)


def _list_losses(world, tolerance):
    lost = sum(
        machine.is_lost
        for machine in world.machines
        if not _is_successor_of_lost(world, machine)
    )
    for machine in world.machines:
        if machine.is_gone:
            continue
        if not machine.is_up:
            back = attrs.evolve(machine, is_up=True, silent_s=0, up_s=0)
            yield f"{machine.name} returns", _replace(world, machine, back)
        elif not machine.is_lost and lost < tolerance:
            away = attrs.evolve(machine, is_up=False, is_lost=True, silent_s=0)
            if world.outages:
                yield (
                    f"{machine.name} is cut off",
                    attrs.evolve(
                        _replace(world, machine, away),
                        outages=world.outages - 1,
                    ),
                )
            if world.replacements:
                gone = attrs.evolve(away, is_gone=True)
                yield (
                    f"{machine.name} is gone for good",
                    attrs.evolve(
                        _replace(world, machine, gone),
                        replacements=world.replacements - 1,
                    ),
                )


def _is_successor_of_lost(world, machine):
    """Return whether a lost machine is counted with its predecessor."""
    return any(
        other.is_gone
        and other.is_lost
        and _name_successor(other.name) == machine.name
        for other in world.machines
    )


def _replace(world, machine, changed):
    machines = tuple(
        changed if other is machine else other for other in world.machines
    )
    leader = world.leader
    if machine.name == leader and not changed.is_up:
        leader = ""
    return attrs.evolve(world, machines=machines, leader=leader)
