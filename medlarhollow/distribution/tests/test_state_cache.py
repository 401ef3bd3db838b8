"""Contract of the copy: upward only, and no proof younger than it is."""

import pytest

from medlarhollow.agreement.tests.fakes import FakeCluster
from medlarhollow.agreement.tests.fakes import put_account
from medlarhollow.configuration import FleetState
from medlarhollow.distribution import FleetStateCache
from medlarhollow.messages.records import Account
from medlarhollow.messages.records import Commit
from medlarhollow.messages.records import ErrorKind
from medlarhollow.messages.records import Failure
from medlarhollow.messages.records import SyncResponse


def commit(revision):
    return Commit(revision, 1.0, put_account(f"x{revision}"))


def snapshot(revision, cluster="test"):
    state = FleetState(cluster=cluster, revision=revision)
    state.accounts = {"s": Account("s", 1.0, 1.0)}
    return state.snapshot()


def response(**content):
    values = {"cluster": "test", "freshness_age_s": 0.5, **content}
    return SyncResponse(**values)


@pytest.fixture
async def state_cache(tmp_path):
    """Copy at revision 2 with a proof of the time 9.5."""
    state_cache = FleetStateCache(FakeCluster(tmp_path).settings("a"))
    taken = await state_cache.apply_response(
        response(commits=(commit(1), commit(2))), 10.0
    )
    assert taken.is_ok()
    return state_cache


@pytest.mark.parametrize(
    ("content", "kind", "revision", "proof_s"),
    [
        ({"commits": (commit(3),)}, None, 3, 19.5),
        ({"commits": (commit(1), commit(2), commit(3))}, None, 3, 19.5),
        ({"commits": (commit(4),)}, ErrorKind.CONFLICT, 2, 9.5),
        ({"commits": (commit(3), commit(5))}, ErrorKind.CONFLICT, 3, 9.5),
        ({"snapshot": snapshot(7)}, None, 7, 19.5),
        ({"snapshot": snapshot(7), "commits": (commit(8),)}, None, 8, 19.5),
        ({"snapshot": snapshot(1)}, None, 2, 19.5),
        ({"snapshot": snapshot(7, "other")}, None, 2, 19.5),
        ({"cluster": "other"}, ErrorKind.WRONG_CLUSTER, 2, 9.5),
        (
            {"cluster": "other", "snapshot": snapshot(7)},
            ErrorKind.WRONG_CLUSTER,
            2,
            9.5,
        ),
        (
            {"failure": Failure(ErrorKind.WRONG_CLUSTER)},
            ErrorKind.WRONG_CLUSTER,
            2,
            9.5,
        ),
        ({"freshness_age_s": -1.0}, None, 2, 9.5),
        ({"freshness_age_s": 50.0}, None, 2, 9.5),
        ({"held_s": 0.4}, None, 2, 19.9),
    ],
)
async def test_take(state_cache, content, kind, revision, proof_s):
    """Guards against a copy that goes back, skips a change, takes the state
    of another fleet or believes itself fresher than it is."""
    result = await state_cache.apply_response(response(**content), 20.0)
    assert (result.err_value.kind if result.is_err() else None) is kind
    assert state_cache.state.revision == revision
    assert state_cache.freshness_age_s(30.0) == pytest.approx(30.0 - proof_s)


async def test_copy_without_proof_is_never_fresh(tmp_path):
    """Guards against a VM that trusts keys before it heard from a quorum."""
    state_cache = FleetStateCache(FakeCluster(tmp_path).settings("a"))
    assert state_cache.freshness_age_s(1e9) == float("inf")
