"""State of the model of usage reports."""

import attrs

from ..usage.calls import SendUsage

__all__ = ["START_S", "Vm", "World", "replace_vm"]

# The two windows of the model have ended, and no totals are dropped yet.
START_S = 31.0


@attrs.frozen
class Vm:
    """A control replica.

    Attributes
    ----------
    incarnation : int
        Number of its process.
    memory : tuple
        State of its planner.
    term : int
        Term that it believes to lead; 0 if it follows.
    applied : int
        Number of entries of the log that it has executed.
    proposed : object
        Change that it waits for.
    call : SendUsage or None
        Call whose response it waits for.
    """

    incarnation: int = 1
    memory: tuple = ()
    term: int = 0
    applied: int = 0
    proposed: object = None
    call: SendUsage | None = None


@attrs.frozen
class World:
    """State of the model.

    Attributes
    ----------
    vms : tuple of Vm
        The replicas.
    now : float
        Time in seconds.
    term : int
        Term of the last election.
    log : tuple
        Committed changes.
    appended : tuple
        Changes that the leader has appended and that are not committed.
    sent : tuple of (float, tuple, SendUsage)
        Time, name and incarnation of the sender, and the call.
    late : frozenset of SendUsage
        Calls without a response, which may be executed later.
    token : int
        Highest token that the receiver has seen.
    accepted : frozenset of UsageWindow
        Reports that the receiver has accepted.
    elections, waits, losses, restarts : int
        What may still happen.
    """

    vms: tuple
    now: float = START_S
    term: int = 0
    log: tuple = ()
    appended: tuple = ()
    sent: tuple = ()
    late: frozenset = frozenset()
    token: int = 0
    accepted: frozenset = frozenset()
    elections: int = 0
    waits: int = 0
    losses: int = 0
    restarts: int = 0


def replace_vm(world, number, **changes):
    """Return a world with changes of one VM."""
    vms = list(world.vms)
    vms[number] = attrs.evolve(vms[number], **changes)
    return attrs.evolve(world, vms=tuple(vms))
