"""Model of an operator whose orders are executed late.

An operator sends orders one after the other, each to a VM of its choice, and
turns to another VM when it has waited long enough. VMs are suspended and
resume, the link of a VM is cut and restored, and proposals arrive at the log
as late as they like. `check_sender` and the replicated state machine are those
of the product.
"""

import functools

import attrs

from ..admin.orders import check_sender
from ..admin.orders import OrderSender
from ..admin.orders import SENDER_PATIENCE_S
from ..agreement import StateMachine
from ..messages.records import Change
from ..messages.records import MoveState
from ..messages.records import RollBackMove
from ..settings.load import parse_settings
from .order_kinds import ORDER_KINDS
from .order_world import Copy
from .order_world import is_close_pending
from .order_world import may_time_pass
from .order_world import replace_copy
from .order_world import replace_vm
from .order_world import Vm
from .order_world import World
from .search import explore

__all__ = ["Guards", "explore_late_orders"]

_SETTINGS = parse_settings(
    "[vm]\nname=a\ncluster=model\nregion=north\ndata_centre=north-a\n"
    "[peer]\nlisten=127.0.0.1:1\nsecret_file=unused\n"
    "[control]\nreplicas=127.0.0.1:1\n"
)
_OPERATOR = "operator"
# Copies of one order that the operator sends at most.
_COPIES = 2
# Longer than the time in which a repeated move counts as the same one.
_MOVE_S = 20.0
_GIVE_UP_S = SENDER_PATIENCE_S + 0.1
# The shortest suspension that is noticed lasts half of the patience.
_NOTICED_S = SENDER_PATIENCE_S / 2


@attrs.frozen
class Guards:
    """Which of the protections against late orders are in force.

    Attributes
    ----------
    binds : bool
        Orders are bound to the revision at which they were read.
    sees_close : bool
        Orders of a caller that has closed its connection are rejected.
    settles : bool
        That check waits for a close that arrives with the order.
    sees_suspension : bool
        Orders that arrive around a suspension are rejected.
    limits_age : bool
        Orders that were held for long are rejected.
    identifies : bool
        An order with the identifier of an executed one is not executed.
    """

    binds: bool = True
    sees_close: bool = True
    settles: bool = True
    sees_suspension: bool = True
    limits_age: bool = True
    identifies: bool = True


def explore_late_orders(
    kind, guards=None, vms=2, faults=1, limit_states=2_000_000
):
    """Explore one kind of orders.

    Parameters
    ----------
    kind : str
        Key of `ORDER_KINDS`.
    guards : Guards or None
        Protections in force; None for all.
    vms, faults : int
        Number of VMs, and of suspensions and cuts that may begin.
    limit_states : int
        Number of states after which the search ends incomplete.

    Returns
    -------
    Exploration
        A violation is an acknowledged order that is taken back.
    """
    model = _Model(ORDER_KINDS[kind], guards or Guards())
    initial = World(100.0, (), 0, (), (Vm(),) * vms, faults)
    return explore(
        initial, model.list_steps, model.find_violation, limit_states
    )


class _Model:
    def __init__(self, kind, guards):
        self._kind = kind
        self._guards = guards
        self._execute = functools.lru_cache(maxsize=None)(
            functools.partial(_execute, kind, guards.identifies)
        )

    def find_violation(self, world):
        if world.acknowledged < len(self._kind.orders):
            return ""
        state, _ = self._execute(world.log)
        return "" if self._kind.holds(state) else "a late order was executed"

    def list_steps(self, world):
        yield from self._list_operator_steps(world)
        for index, copy in enumerate(world.copies):
            if world.vms[copy.vm].suspended_at < 0:
                yield from self._list_vm_steps(world, index, copy)
        yield from self._list_faults(world)
        if self._kind.ends_moves:
            yield from self._list_roll_backs(world)

    def _list_operator_steps(self, world):
        order = world.acknowledged
        if order == len(self._kind.orders):
            return
        open_copies = [
            (index, copy)
            for index, copy in enumerate(world.copies)
            if copy.order == order and not copy.is_closed
        ]
        if open_copies:
            (index, copy) = open_copies[0]
            if may_time_pass(world):
                seen = copy.stage != "sent" and not world.vms[copy.vm].is_cut
                yield (
                    f"operator gives up on vm {copy.vm}",
                    replace_copy(
                        world,
                        index,
                        is_closed=True,
                        is_close_seen=seen,
                        now=world.now + _GIVE_UP_S,
                    ),
                )
            return
        sent = sum(copy.order == order for copy in world.copies)
        if sent < _COPIES:
            for vm in range(len(world.vms)):
                yield (
                    f"operator sends order {order} to vm {vm}",
                    attrs.evolve(
                        world, copies=(*world.copies, Copy(order, vm))
                    ),
                )

    def _list_vm_steps(self, world, index, copy):
        vm = world.vms[copy.vm]
        name = f"order {copy.order} at vm {copy.vm}"
        if copy.stage == "arrived":
            yield (
                f"{name} is read",
                replace_copy(
                    world, index, stage="read", received_at=world.now
                ),
            )
        elif copy.stage == "read":
            _, revision = self._execute(world.log)
            yield (
                f"{name} is bound",
                replace_copy(
                    world, index, stage="bound", next_revision=revision + 1
                ),
            )
        elif copy.stage == "bound" and self._may_check(copy, vm):
            is_accepted = self._is_accepted(world, copy, vm)
            stage = "proposed" if is_accepted else "done"
            yield (
                f"{name} is {'proposed' if is_accepted else 'rejected'}",
                replace_copy(world, index, stage=stage),
            )

    def _may_check(self, copy, vm):
        """Return whether a close that arrived with the order is known."""
        is_pending = copy.is_closed and not copy.is_close_seen
        return not (is_pending and self._guards.settles) or vm.is_cut

    def _is_accepted(self, world, copy, vm):
        guards = self._guards
        sender = OrderSender(
            copy.received_at if guards.limits_age else world.now,
            lambda: guards.sees_close and copy.is_close_seen,
        )
        resumed_at = vm.resumed_at if guards.sees_suspension else -1e9
        return check_sender(sender, resumed_at, world.now).is_ok()

    def _list_faults(self, world):
        # A fault that ends before an order is sent has no effect.
        may_begin = world.faults and any(
            copy.stage != "done" for copy in world.copies
        )
        for number, vm in enumerate(world.vms):
            if vm.suspended_at >= 0:
                is_noticed = world.now - vm.suspended_at > _NOTICED_S
                resumed_at = world.now if is_noticed else vm.resumed_at
                yield (
                    f"vm {number} resumes",
                    replace_vm(
                        world,
                        number,
                        suspended_at=-1.0,
                        resumed_at=resumed_at,
                    ),
                )
            elif may_begin:
                yield (
                    f"vm {number} is suspended",
                    replace_vm(
                        world, number, world.faults - 1, suspended_at=world.now
                    ),
                )
            if vm.is_cut:
                yield (
                    f"link of vm {number} is restored",
                    replace_vm(world, number, is_cut=False),
                )
            elif may_begin and not is_close_pending(world, number):
                yield (
                    f"link of vm {number} is cut",
                    replace_vm(world, number, world.faults - 1, is_cut=True),
                )
        for index, copy in enumerate(world.copies):
            yield from self._list_deliveries(world, index, copy)

    def _list_deliveries(self, world, index, copy):
        name = f"order {copy.order} at vm {copy.vm}"
        is_cut = world.vms[copy.vm].is_cut
        if copy.stage == "sent" and not is_cut:
            yield (
                f"{name} arrives",
                replace_copy(world, index, stage="arrived"),
            )
        elif copy.is_closed and not copy.is_close_seen and not is_cut:
            yield (
                f"{name} is closed",
                replace_copy(world, index, is_close_seen=True),
            )
        if copy.stage == "proposed":
            is_bound = self._guards.binds and not self._kind.has_identifiers
            revision = copy.next_revision if is_bound else 0
            time_s = world.now if self._kind.ends_moves else 1.0
            log = (*world.log, (copy.order, revision, time_s))
            is_acknowledged = not copy.is_closed and not is_cut
            yield (
                f"{name} is executed",
                replace_copy(
                    world,
                    index,
                    stage="done",
                    log=log,
                    acknowledged=max(
                        world.acknowledged,
                        copy.order + 1 if is_acknowledged else 0,
                    ),
                ),
            )

    def _list_roll_backs(self, world):
        state, _ = self._execute(world.log)
        moves = [
            move
            for move in state.moves.values()
            if move.state is MoveState.IN_PROGRESS
        ]
        is_held = any(
            copy.stage in ("read", "bound")
            and world.vms[copy.vm].suspended_at < 0
            for copy in world.copies
        )
        if (
            moves
            and world.acknowledged
            and not is_held
            and may_time_pass(world)
        ):
            now = world.now + _MOVE_S
            yield (
                "the move is rolled back",
                attrs.evolve(world, log=(*world.log, (-1, 0, now)), now=now),
            )


def _execute(kind, identifies, log):
    """Return the fleet state after a log, and its revision."""
    machine = StateMachine(_SETTINGS)
    for body in kind.initial:
        machine.execute(Change(author=_OPERATOR, body=body), 1.0)
    for order, next_revision, time_s in log:
        if order < 0:
            body = _roll_back(machine.state)
            change = Change(body=body)
        else:
            body = kind.orders[order]
            has_identifier = kind.has_identifiers and identifies
            change = Change(
                request_id=f"order-{order}" if has_identifier else "",
                author=_OPERATOR,
                next_revision=next_revision,
                body=body,
            )
        machine.execute(change, time_s)
    return machine.state, machine.state.revision


def _roll_back(state):
    move_id = next(
        move.move_id
        for move in state.moves.values()
        if move.state is MoveState.IN_PROGRESS
    )
    return RollBackMove(move_id, "slow")
