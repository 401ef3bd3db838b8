"""Tests of the state of usage reports on the control replicas."""

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
import pytest

from medlarhollow.agreement import StateMachine
from medlarhollow.configuration import FleetState
from medlarhollow.messages import decode
from medlarhollow.messages import encode
from medlarhollow.messages.records import AcquireUsageHolder
from medlarhollow.messages.records import Change
from medlarhollow.messages.records import ConfirmUsage
from medlarhollow.messages.records import ErrorKind
from medlarhollow.messages.records import SettleUsage
from medlarhollow.messages.records import StateSnapshot
from medlarhollow.messages.records import UsageCount
from medlarhollow.messages.records import UsageWindow
from medlarhollow.usage import ledger as ledger_module
from medlarhollow.usage.ledger import UsageLedger

from .fakes import make_settings


def window(number, requests=1):
    return UsageWindow(number, (UsageCount("crew", requests),))


def execute(machine, body, **fields):
    return machine.execute(Change(body=body, **fields), 1000.0)


def restart(machine):
    """Return a state machine restored from the encoded snapshot."""
    snapshot = decode(StateSnapshot, encode(machine.snapshot()))
    restored = StateMachine(make_settings())
    restored.restore(snapshot)
    return restored


@pytest.fixture
def machine():
    machine = StateMachine(make_settings())
    execute(machine, AcquireUsageHolder("c1", "i1"))
    return machine


@pytest.mark.parametrize(
    ("body", "is_accepted"),
    [
        (SettleUsage(window(9), 2), True),
        (SettleUsage(window(9), 1), False),
        (SettleUsage(window(9), 3), False),
        (SettleUsage(window(8, 2), 2), False),
        (SettleUsage(window(7), 2), False),
        (ConfirmUsage(7, 2), True),
        (ConfirmUsage(7, 1), False),
        (ConfirmUsage(8, 2), False),
        (ConfirmUsage(6, 2), False),
    ],
)
def test_only_the_holder_changes_the_next_window(machine, body, is_accepted):
    """Guards against a deposed holder, or a repeat, that changes counts which
    may have been sent."""
    execute(machine, SettleUsage(window(7), 1))
    execute(machine, SettleUsage(window(8), 1))
    execute(machine, AcquireUsageHolder("c2", "i1"))
    before = machine.usage.windows
    result = execute(machine, body)
    assert result.is_ok() is is_accepted
    if not is_accepted:
        assert result.err_value.kind is ErrorKind.CONFLICT
        assert machine.usage.windows == before


def test_repeated_confirmation_is_accepted(machine):
    """Guards against a warning for a confirmation whose response was lost."""
    execute(machine, SettleUsage(window(7), 1))
    assert execute(machine, ConfirmUsage(7, 1)).is_ok()
    assert execute(machine, ConfirmUsage(7, 1)).is_ok()
    assert (machine.usage.windows, machine.usage.confirmed) == ((), 7)


@pytest.mark.parametrize("names", [("b", "a"), ("a", "a")])
def test_accounts_must_be_in_order(machine, names):
    """Guards against a report whose bytes depend on who sends it."""
    counts = tuple(UsageCount(name, 1) for name in names)
    result = execute(machine, SettleUsage(UsageWindow(7, counts), 1))
    assert result.err_value.kind is ErrorKind.BAD_REQUEST


@pytest.mark.parametrize(
    "body", [SettleUsage(None, 1), SettleUsage(window(1), 0)]
)
def test_malformed_settlement_is_rejected(machine, body):
    """Guards against a change that stops every replica at each restart."""
    assert execute(machine, body).is_err()
    assert execute(StateMachine(make_settings()), body).is_err()


def test_settled_window_survives_a_loss_of_all_power(machine):
    """Guards against a window that is settled with other counts after all
    replicas restarted from their snapshots."""
    execute(machine, SettleUsage(window(7, 3), 1))
    restored = restart(machine)
    assert restored.usage.windows == (window(7, 3),)
    assert execute(restored, SettleUsage(window(7, 4), 1)).is_err()
    assert restored.snapshot() == machine.snapshot()


def test_usage_is_not_sent_to_entry_vms(machine):
    """Guards against counts of accounts on VMs that do not need them, and
    against a revision for each window, which wakes every VM."""
    execute(machine, SettleUsage(window(7), 1))
    sent = machine.state.snapshot()
    assert (sent.usage_holder, sent.usage_windows) == (None, ())
    assert sent == FleetState(cluster=machine.state.cluster).snapshot()
    assert machine.history.after(0) in (None, (), [])


def test_operators_cannot_acquire_a_token(machine):
    """Guards against an order that deposes the holder."""
    result = execute(machine, AcquireUsageHolder("c9", "i9"), author="ada")
    assert result.err_value.kind is ErrorKind.FORBIDDEN
    assert machine.usage.token == 1


def test_windows_are_bounded(monkeypatch):
    """Guards against memory that grows while the receiver is down."""
    monkeypatch.setattr(ledger_module, "MAX_WINDOWS", 3)
    ledger = UsageLedger()
    ledger.execute(AcquireUsageHolder("c1", "i1"))
    for number in range(1, 6):
        assert ledger.execute(SettleUsage(window(number), 1)).is_ok()
    assert [item.window for item in ledger.windows] == [3, 4, 5]
    assert ledger.execute(ConfirmUsage(3, 1)).is_ok()


bodies = st.one_of(
    st.builds(
        AcquireUsageHolder,
        st.sampled_from(["c1", "c2"]),
        st.sampled_from(["i1", "i2"]),
    ),
    st.builds(
        SettleUsage,
        st.builds(window, st.integers(1, 6), st.integers(0, 3)),
        st.integers(0, 5),
    ),
    st.builds(ConfirmUsage, st.integers(1, 6), st.integers(0, 5)),
)


@hypothesis_settings(max_examples=200, deadline=None)
@given(steps=st.lists(st.tuples(bodies, st.booleans()), max_size=30))
def test_tokens_grow_and_counts_stay(steps):
    """Guards against a token that is assigned twice, also over snapshots, and
    against a window that is settled twice."""
    machine = StateMachine(make_settings())
    owners, counts = {}, {}
    for body, restarts in steps:
        before = machine.usage.token
        execute(machine, body)
        usage = machine.usage
        assert usage.token >= before
        if usage.token > before:
            assert usage.token not in owners
            owners[usage.token] = usage.holder
        for item in usage.windows:
            assert counts.setdefault(item.window, item) == item
        if restarts:
            machine = restart(machine)
    assert [item.window for item in machine.usage.windows] == sorted(
        item.window for item in machine.usage.windows
    )
