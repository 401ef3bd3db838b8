"""State of the model of late orders."""

import attrs

__all__ = [
    "Copy",
    "Vm",
    "World",
    "is_close_pending",
    "may_time_pass",
    "replace_copy",
    "replace_vm",
]


@attrs.frozen
class Copy:
    """One copy of an order.

    Attributes
    ----------
    order, vm : int
        Index of the order and of the VM.
    stage : str
        ``sent``, ``arrived``, ``read``, ``bound``, ``proposed`` or ``done``.
    is_closed : bool
        Whether the operator has closed the connection.
    is_close_seen : bool
        Whether the close has arrived at the VM.
    received_at : float
        Time at which the VM read it.
    next_revision : int
        Next revision of the fleet state when the VM had confirmed it.
    """

    order: int
    vm: int
    stage: str = "sent"
    is_closed: bool = False
    is_close_seen: bool = False
    received_at: float = 0.0
    next_revision: int = 0


@attrs.frozen
class Vm:
    """Suspension and link of a VM; -1 as the time for a VM that runs."""

    suspended_at: float = -1.0
    resumed_at: float = float("-inf")
    is_cut: bool = False


@attrs.frozen
class World:
    """State of the model.

    Attributes
    ----------
    now : float
        Time in seconds; it passes only while the operator or a move waits.
    log : tuple
        Executed changes as (order or -1 for a roll-back, next revision,
        time).
    acknowledged : int
        Number of orders that the operator knows to be executed.
    copies : tuple of Copy
        Copies of orders.
    vms : tuple of Vm
        The VMs.
    faults : int
        Suspensions and cuts that may still begin.
    """

    now: float
    log: tuple
    acknowledged: int
    copies: tuple
    vms: tuple
    faults: int


def is_close_pending(world, number):
    """Return whether a close follows an order that arrived at a VM.

    A link delivers both or none of them: an order whose close is cut off right
    after its arrival looks like a new one.
    """
    return any(
        copy.vm == number
        and copy.stage != "sent"
        and copy.is_closed
        and not copy.is_close_seen
        for copy in world.copies
    )


def may_time_pass(world):
    """Return whether all that happens at once has happened.

    A link that is not cut delivers at once, and a VM that runs reads what has
    arrived.
    """
    for copy in world.copies:
        vm = world.vms[copy.vm]
        is_close_pending = copy.is_closed and not copy.is_close_seen
        if not vm.is_cut and (copy.stage == "sent" or is_close_pending):
            return False
        if copy.stage == "arrived" and vm.suspended_at < 0:
            return False
    return True


def replace_copy(world, index, **changes):
    """Return a world with changes of itself and of one copy."""
    names = {field.name for field in attrs.fields(World)}
    own = {name: changes.pop(name) for name in names & changes.keys()}
    copies = list(world.copies)
    copy = attrs.evolve(copies[index], **changes)
    if copy.stage == "done" and copy.is_closed:
        copy = Copy(copy.order, copy.vm, "done", True, True)
    copies[index] = copy
    return attrs.evolve(world, copies=tuple(copies), **own)


def replace_vm(world, number, faults=None, **changes):
    """Return a world with changes of one VM and of the faults left."""
    vms = list(world.vms)
    vms[number] = attrs.evolve(vms[number], **changes)
    if faults is None:
        faults = world.faults
    return attrs.evolve(world, vms=tuple(vms), faults=faults)
