"""Replicated state machine, compared with a naive model."""

import attrs
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from result import Ok

from medlarhollow.agreement import StateMachine
from medlarhollow.errors import fail
from medlarhollow.messages import decode
from medlarhollow.messages import encode
from medlarhollow.messages.records import Account
from medlarhollow.messages.records import Applied
from medlarhollow.messages.records import Change
from medlarhollow.messages.records import ErrorKind
from medlarhollow.messages.records import PutAccount
from medlarhollow.messages.records import StateSnapshot

from .fakes import FakeCluster
from .fakes import put_account

RETENTION_S = 60.0


def make_settings():
    cluster = FakeCluster("unused", request_retention_s=RETENTION_S)
    return cluster.settings("a")


def restart(state_machine):
    """Return a state machine restored from the encoded snapshot."""
    snapshot = decode(StateSnapshot, encode(state_machine.snapshot()))
    restored = StateMachine(make_settings())
    restored.restore(snapshot)
    return restored


class NaiveStateMachine:
    """Model that searches a list of all executed changes."""

    def __init__(self):
        self.events = []
        self.revision = 0

    def execute(self, change, now):
        for executed_at, earlier, result in self.events:
            if earlier.request_id == change.request_id and (
                executed_at >= now - RETENTION_S
            ):
                if (earlier.body, earlier.author) == (
                    change.body,
                    change.author,
                ):
                    return result
                return fail(
                    ErrorKind.KEY_REUSED,
                    f"request identifier '{change.request_id}' was used for "
                    "another change",
                )
        if change.base_revision not in (0, self.revision):
            result = fail(
                ErrorKind.CONFLICT,
                f"based on revision {change.base_revision}, in force is "
                f"{self.revision}",
                revision=self.revision,
            )
        else:
            self.revision += 1
            result = Ok(Applied(revision=self.revision))
        self.events.append((now, change, result))
        return result


step = st.tuples(
    st.sampled_from(["r1", "r2", "r3", "r4"]),
    st.sampled_from(["x", "y"]),
    st.integers(0, 4),
    st.floats(0.0, 40.0),
    st.booleans(),
)


@settings(max_examples=150, deadline=None)
@given(steps=st.lists(step, max_size=30))
def test_state_machine_matches_naive_model(steps):
    """Guards against a change that is executed twice, a result that differs
    after a restart, and an undetected conflict."""
    state_machine, naive = StateMachine(make_settings()), NaiveStateMachine()
    now = 1000.0
    for request_id, name, base, wait_s, restarts in steps:
        now += wait_s
        change = put_account(name, request_id, base)
        assert state_machine.execute(change, now) == naive.execute(change, now)
        if restarts:
            state_machine = restart(state_machine)
    assert state_machine.state.revision == naive.revision
    assert len(state_machine.snapshot().requests) <= 4


def test_change_that_raises_is_rejected():
    """Guards against a malformed change that stops all replicas, and again
    at each restart."""
    state_machine = StateMachine(make_settings())
    change = Change(request_id="r1", body=PutAccount(account=None))
    result = state_machine.execute(change, 1.0)
    assert result.err_value.kind is ErrorKind.BAD_REQUEST
    assert state_machine.state.revision == 0


def test_restored_state_machine_is_equal():
    """Guards against state that the snapshot omits."""
    state_machine = StateMachine(make_settings())
    state_machine.execute(put_account("x"), 1.0)
    state_machine.execute(put_account("y", base_revision=7), 2.0)
    restored = restart(state_machine)
    assert restored.snapshot() == state_machine.snapshot()
    assert attrs.asdict(restored.state) == attrs.asdict(state_machine.state)
    account = Account(name="x", rate_per_s=1.0, burst=2.0)
    assert restored.state.accounts == {"x": account}
