"""Model of the holder of the usage reports and its fencing token.

Control replicas are elected, deposed without noticing it and restarted;
entries are committed late or never; calls are executed late and responses are
lost. The planner and the ledger are those of the product.
"""

import functools

import attrs

from ..messages.records import Vm as EntryVm
from ..settings.load import parse_settings
from ..usage.calls import SendUsage
from ..usage.calls import UsageResponse
from ..usage.ledger import UsageLedger
from ..usage.planner import LeaderView
from ..usage.planner import UsagePlanner
from .search import explore
from .usage_world import replace_vm
from .usage_world import Vm
from .usage_world import World

__all__ = ["explore_usage_reports"]

_LEASE_S = 3.0
_WINDOWS = (1, 2)
_SETTINGS = """
[vm]
name = {name}
cluster = model
region = r
data_centre = d
[peer]
listen = 127.0.0.1:1
secret_file = x
[control]
replicas = 127.0.0.1:1
[usage]
receiver = 127.0.0.1:2
window_s = 10
due_s = 1
lease_s = {lease_s}
rate_per_s = 100000
"""


class _Totals:
    """Counts that differ between the VMs and change with time."""

    def __init__(self, requests):
        self._requests = requests

    def list_samples(self, now):
        return [_Sample(window) for window in _WINDOWS]

    def counts(self, window):
        return {"a": self._requests}

    def is_complete(self, window, vms):
        return True

    def list_incomplete(self, window, vms):
        return []


@attrs.frozen
class _Sample:
    window: int


def explore_usage_reports(
    vms=2,
    elections=3,
    waits=2,
    losses=1,
    restarts=0,
    lease_s=_LEASE_S,
    wait_s=_LEASE_S,
    make_ledger=UsageLedger,
    make_planner=UsagePlanner,
    limit_states=1_000_000,
):
    """Explore the holders of the usage reports.

    Parameters
    ----------
    vms : int
        Number of control replicas.
    elections, waits, losses, restarts : int
        Elections, waits of all VMs, responses that are lost and processes
        that are restarted.
    lease_s : float
        Time for which a new holder waits.
    wait_s : float
        Time that passes in a wait of all VMs.
    make_ledger, make_planner : callable
        Return an empty ledger, and a planner from settings and incarnation.
    limit_states : int
        Number of states after which the search ends incomplete.

    Returns
    -------
    Exploration
        A violation is a window sent with two counts, a token sent by two
        processes, or two VMs that send in the order A, B, A within the lease.
    """
    model = _Model(vms, lease_s, wait_s, make_ledger, make_planner)
    initial = World(
        vms=(Vm(),) * vms,
        elections=elections,
        waits=waits,
        losses=losses,
        restarts=restarts,
    )
    return explore(initial, model.list_steps, _find_violation, limit_states)


class _Model:
    def __init__(self, vms, lease_s, wait_s, make_ledger, make_planner):
        self._settings = [
            parse_settings(
                _SETTINGS.format(name=f"c{number}", lease_s=lease_s), "model"
            )
            for number in range(vms)
        ]
        self._wait_s = wait_s
        self._make_ledger = make_ledger
        self._make_planner = make_planner
        self._read_ledger = functools.lru_cache(maxsize=None)(self._execute)

    def list_steps(self, world):
        for number, vm in enumerate(world.vms):
            yield from self._list_elections(world, number)
            yield from self._list_vm_steps(world, number, vm)
        if world.appended:
            yield "an entry is committed", _commit(world)
        for call in world.late:
            yield "a late call is executed", _execute_call(world, call)[0]
        if world.waits:
            yield (
                "time passes",
                attrs.evolve(
                    world, now=world.now + self._wait_s, waits=world.waits - 1
                ),
            )

    def _list_elections(self, world, number):
        """Yield elections with the entries of the earlier leader or not."""
        if not world.elections:
            return
        committed = world
        while committed.appended:
            committed = _commit(committed)
        for name, base in (
            ("with", committed),
            ("without", attrs.evolve(world, appended=())),
        ):
            elected = attrs.evolve(
                base, term=world.term + 1, elections=world.elections - 1
            )
            yield (
                f"vm {number} is elected {name} the last entries",
                replace_vm(
                    elected,
                    number,
                    term=elected.term,
                    applied=len(elected.log),
                    proposed=None,
                ),
            )

    def _list_vm_steps(self, world, number, vm):
        if world.restarts and vm.memory:
            restarted = _give_up_call(world, number)
            yield (
                f"vm {number} restarts",
                attrs.evolve(
                    replace_vm(
                        restarted,
                        number,
                        **attrs.asdict(Vm(vm.incarnation + 1), recurse=False),
                    ),
                    restarts=world.restarts - 1,
                ),
            )
        if vm.term and vm.term < world.term:
            yield (
                f"vm {number} notices that it was deposed",
                replace_vm(world, number, term=0, proposed=None),
            )
        if vm.call is not None:
            yield from self._list_responses(world, number, vm)
        elif vm.proposed is not None:
            if world.losses:
                yield (
                    f"vm {number} gives up its proposal",
                    attrs.evolve(
                        replace_vm(world, number, proposed=None),
                        losses=world.losses - 1,
                    ),
                )
        elif vm.term:
            yield f"vm {number} plans", self._plan(world, number, vm)

    def _plan(self, world, number, vm):
        planner = self._load(number, vm)
        view = LeaderView(
            term=vm.term,
            ledger=self._read_ledger(world.log[: vm.applied]),
            roster={"a1": EntryVm("a1", "i1", caller_address="h:1")},
            reports=(),
            totals=_Totals(len(world.sent) * len(world.vms) + number + 1),
        )
        step = planner.plan(view, world.now, world.now)
        world = replace_vm(world, number, memory=_save(planner))
        if isinstance(step, SendUsage):
            sender = (step.holder, vm.incarnation)
            return attrs.evolve(
                replace_vm(world, number, call=step),
                sent=(*world.sent, (world.now, sender, step)),
            )
        if step is not None and vm.term == world.term:
            return attrs.evolve(
                replace_vm(world, number, proposed=step),
                appended=(*world.appended, step),
            )
        return world

    def _list_responses(self, world, number, vm):
        executed, response = _execute_call(world, vm.call)
        yield (
            f"vm {number} gets {response.value}",
            self._respond(executed, number, response),
        )
        if world.losses:
            lost = _give_up_call(world, number)
            yield (
                f"vm {number} gets no response",
                attrs.evolve(
                    self._respond(lost, number, UsageResponse.FAILED, vm.call),
                    losses=world.losses - 1,
                ),
            )

    def _respond(self, world, number, response, call=None):
        vm = world.vms[number]
        planner = self._load(number, vm)
        planner.record_response(call or vm.call, response, world.now)
        return replace_vm(world, number, memory=_save(planner), call=None)

    def _load(self, number, vm):
        planner = self._make_planner(
            self._settings[number], f"i{vm.incarnation}"
        )
        vars(planner).update(vm.memory)
        return planner

    def _execute(self, log):
        ledger = self._make_ledger()
        for body in log:
            ledger.execute(body)
        return ledger


def _find_violation(world):
    counts, senders = {}, {}
    for _, sender, call in world.sent:
        if counts.setdefault(call.window.window, call.window) != call.window:
            return "two counts of one window"
        if senders.setdefault(call.token, sender) != sender:
            return "one token from two processes"
    if len({item.window for item in world.accepted}) < len(world.accepted):
        return "two counts accepted for one window"
    return "A, B, A within the lease" if _alternates(world.sent) else ""


def _alternates(sent):
    """Return whether VMs send in the order A, B, A within the lease."""
    for index, (ended_at, (vm, _), _) in enumerate(sent):
        recent = [
            name
            for sent_at, (name, _), _ in sent[:index]
            if ended_at - sent_at < _LEASE_S
        ]
        if vm in recent and any(
            name != vm for name in recent[recent.index(vm) :]
        ):
            return True
    return False


def _commit(world):
    """Commit and execute the first appended entry at the leader."""
    body, *rest = world.appended
    log = (*world.log, body)
    world = attrs.evolve(world, log=log, appended=tuple(rest))
    for number, vm in enumerate(world.vms):
        if vm.term == world.term:
            proposed = None if vm.proposed is body else vm.proposed
            world = replace_vm(
                world, number, applied=len(log), proposed=proposed
            )
    return world


def _execute_call(world, call):
    """Return the world after the receiver executed a call, and the result."""
    late = world.late - {call}
    if call.token < world.token:
        return attrs.evolve(world, late=late), UsageResponse.FENCED
    return (
        attrs.evolve(
            world,
            late=late,
            token=call.token,
            accepted=world.accepted | {call.window},
        ),
        UsageResponse.ACCEPTED,
    )


def _give_up_call(world, number):
    call = world.vms[number].call
    if call is None:
        return world
    return attrs.evolve(
        replace_vm(world, number, call=None), late=world.late | {call}
    )


def _save(planner):
    memory = dict(vars(planner))
    del memory["_settings"]
    return tuple(sorted(memory.items()))
