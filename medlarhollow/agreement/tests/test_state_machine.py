"""The replicated state machine, compared with a naive one."""

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


def restarted(ledger):
    """Return a ledger restored from the encoded snapshot."""
    snapshot = decode(StateSnapshot, encode(ledger.snapshot()))
    restored = StateMachine(make_settings())
    restored.restore(snapshot)
    return restored


class NaiveStateMachine:
    """Search a list of everything that ever happened."""

    def __init__(self):
        self.events = []
        self.revision = 0

    def execute(self, change, now):
        for at, known, result in self.events:
            if known.request_id == change.request_id and (
                at >= now - RETENTION_S
            ):
                if (known.body, known.author) == (change.body, change.author):
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
def test_ledger_equals_a_naive_list(steps):
    """Guards against a change that is executed twice, an answer that
    changes with a restart, and a conflict that is not seen."""
    ledger, naive = StateMachine(make_settings()), NaiveStateMachine()
    now = 1000.0
    for request_id, name, base, wait_s, restarts in steps:
        now += wait_s
        change = put_account(name, request_id, base)
        assert ledger.execute(change, now) == naive.execute(change, now)
        if restarts:
            ledger = restarted(ledger)
    assert ledger.state.revision == naive.revision
    assert len(ledger.snapshot().requests) <= 4


def test_change_that_raises_is_rejected():
    """Guards against one malformed change that stops all replicas, again at
    each restart."""
    ledger = StateMachine(make_settings())
    change = Change(request_id="r1", body=PutAccount(account=None))
    result = ledger.execute(change, 1.0)
    assert result.err_value.kind is ErrorKind.BAD_REQUEST
    assert ledger.state.revision == 0


def test_restored_ledger_is_the_same():
    """Guards against a part of the state that the snapshot leaves out."""
    ledger = StateMachine(make_settings())
    ledger.execute(put_account("x"), 1.0)
    ledger.execute(put_account("y", base_revision=7), 2.0)
    restored = restarted(ledger)
    assert restored.snapshot() == ledger.snapshot()
    assert attrs.asdict(restored.state) == attrs.asdict(ledger.state)
    account = Account(name="x", rate_per_s=1.0, burst=2.0)
    assert restored.state.accounts == {"x": account}
