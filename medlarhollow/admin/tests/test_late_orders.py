"""Orders that execute after their sender has turned elsewhere."""

import asyncio
from types import SimpleNamespace

import pytest
from result import Ok

from medlarhollow import clock
from medlarhollow.admin import FleetAdmin
from medlarhollow.admin import OperatorRequest
from medlarhollow.admin import OrderSender
from medlarhollow.admin.orders import check_sender
from medlarhollow.agreement import StateMachine
from medlarhollow.agreement.tests.fakes import FakeCluster
from medlarhollow.configuration.tests.samples import HASH
from medlarhollow.messages import decode
from medlarhollow.messages import encode
from medlarhollow.messages.records import Applied
from medlarhollow.messages.records import Change
from medlarhollow.messages.records import EndEvacuation
from medlarhollow.messages.records import ErrorKind
from medlarhollow.messages.records import Move
from medlarhollow.messages.records import PutService
from medlarhollow.messages.records import RollBackMove
from medlarhollow.messages.records import Service
from medlarhollow.messages.records import StartEvacuation
from medlarhollow.messages.records import StartMove
from medlarhollow.messages.records import StateSnapshot
from medlarhollow.suspension import SuspensionMonitor

START = StartEvacuation("north-a")
END = EndEvacuation("north-a")
REQUEST = OperatorRequest("ana", "r1")


class Machine:
    """State machine that executes orders of an operator."""

    def __init__(self):
        settings = FakeCluster("unused").settings("a")
        self.machine = StateMachine(settings)
        self.now = 1000.0

    @property
    def state(self):
        return self.machine.state

    def execute(self, body, next_revision=0, author="ana"):
        self.now += 1.0
        return self.machine.execute(
            Change(author=author, next_revision=next_revision, body=body),
            self.now,
        )

    def restart(self):
        snapshot = decode(StateSnapshot, encode(self.machine.snapshot()))
        restarted = Machine()
        restarted.machine.restore(snapshot)
        restarted.now = self.now
        return restarted


@pytest.fixture
def machine():
    return Machine()


@pytest.mark.parametrize("restarts", [False, True])
@pytest.mark.parametrize("orders", [(START, END, START), (END, START, END)])
def test_order_does_not_take_back_a_later_one(machine, orders, restarts):
    """Guards an evacuation against an order read before it was begun, and
    its end against an order read before that."""
    first, late, last = orders
    machine.execute(first)
    next_revision = machine.state.revision + 1
    assert machine.execute(late, next_revision).is_ok()
    assert machine.execute(last, machine.state.revision + 1).is_ok()
    if restarts:
        machine = machine.restart()
    before = machine.state.snapshot()
    assert machine.execute(late, next_revision).is_ok()
    assert machine.state.snapshot() == before
    # An order that was read later executes.
    assert machine.execute(late, machine.state.revision + 1).is_ok()
    is_evacuated = "north-a" in machine.state.evacuations
    assert is_evacuated == (late is START)


def test_orders_about_other_subjects_are_independent(machine):
    machine.execute(START)
    next_revision = machine.state.revision + 1
    machine.execute(StartEvacuation("south-a"), next_revision)
    machine.execute(END, next_revision)
    assert set(machine.state.evacuations) == {"south-a"}


def start_move(version):
    return StartMove(Move(service="plots", to_version=version, deadline_s=1e6))


def test_late_order_does_not_start_a_move_again(machine):
    """Guards against a version that was rolled back and gets traffic again
    because a copy of the order arrives late."""
    machine.execute(
        PutService(Service("plots", version="1", announce_sha256=HASH))
    )
    next_revision = machine.state.revision + 1
    assert machine.execute(start_move("2"), next_revision).is_ok()
    (move_id,) = machine.state.moves
    machine.execute(RollBackMove(move_id, "slow"), author="")
    machine.now += 60.0
    assert machine.execute(start_move("2"), next_revision).is_ok()
    late = machine.execute(start_move("3"), next_revision)
    assert late.err_value.kind is ErrorKind.CONFLICT
    assert list(machine.state.moves) == [move_id]
    assert machine.execute(start_move("2"), machine.state.revision + 1).is_ok()
    assert len(machine.state.moves) == 2


@pytest.mark.parametrize(
    ("received_at", "resumed_at", "has_left", "is_accepted"),
    [
        (100.0, float("-inf"), False, True),
        (99.1, float("-inf"), False, True),
        (98.9, float("-inf"), False, False),
        (100.0, 99.5, False, False),
        (100.0, 98.9, False, True),
        (99.5, 99.9, False, False),
        (100.0, float("-inf"), True, False),
    ],
)
def test_order_of_unknown_age_is_rejected(
    received_at, resumed_at, has_left, is_accepted
):
    sender = OrderSender(received_at, lambda: has_left)
    result = check_sender(sender, resumed_at, 100.0)
    assert result.is_ok() == is_accepted
    if not is_accepted:
        assert result.err_value.kind is ErrorKind.STALE_AUTHORITY


def test_suspension_is_noticed():
    monitor = SuspensionMonitor()
    monitor.record_tick(due_at=100.0, now=100.4)
    assert monitor.resumed_at == float("-inf")
    monitor.record_tick(due_at=100.0, now=101.0)
    assert monitor.resumed_at == 101.0


class FakeReplica:
    """Leader that records the proposed changes."""

    is_leader = True

    def __init__(self):
        self.state = SimpleNamespace(revision=7)
        self.changes = []
        self.is_confirmed = True

    async def confirm_leadership(self, timeout_s):
        # The state moves on while the quorum responds.
        self.state.revision = 8
        return self.is_confirmed

    async def propose(self, change):
        self.changes.append(change)
        return Ok(Applied(revision=self.state.revision))


@pytest.fixture
def replica():
    return FakeReplica()


@pytest.fixture
def admin(replica):
    return FleetAdmin(None, replica, None, None)


async def test_order_is_bound_to_the_confirmed_revision(admin, replica):
    sender = OrderSender(clock.monotonic())
    assert (await admin.propose_order(REQUEST, END, sender)).is_ok()
    (change,) = replica.changes
    assert (change.body, change.next_revision) == (END, 9)


async def test_order_without_a_quorum_is_rejected(admin, replica):
    replica.is_confirmed = False
    sender = OrderSender(clock.monotonic())
    result = await admin.propose_order(REQUEST, END, sender)
    assert result.err_value.kind is ErrorKind.NO_QUORUM
    assert not replica.changes


async def test_order_whose_sender_leaves_meanwhile_is_rejected(admin, replica):
    """Guards against the order of a connection whose close arrives with it."""
    has_left = asyncio.Event()
    sender = OrderSender(clock.monotonic(), has_left.is_set)
    asyncio.get_running_loop().call_later(0.02, has_left.set)
    result = await admin.propose_order(REQUEST, END, sender)
    assert result.err_value.kind is ErrorKind.STALE_AUTHORITY
    assert not replica.changes
