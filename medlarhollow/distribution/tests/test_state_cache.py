"""Fleet state cache: revisions only increase, proofs never get younger."""

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


def make_commit(revision):
    return Commit(revision, 1.0, put_account(f"x{revision}"))


def make_snapshot(revision, cluster="test"):
    state = FleetState(cluster=cluster, revision=revision)
    state.accounts = {"s": Account("s", 1.0, 1.0)}
    return state.snapshot()


def make_response(**content):
    values = {"cluster": "test", "freshness_age_s": 0.5, **content}
    return SyncResponse(**values)


@pytest.fixture
async def state_cache(tmp_path):
    """Cache at revision 2 with a proof from time 9.5."""
    state_cache = FleetStateCache(FakeCluster(tmp_path).settings("a"))
    result = await state_cache.apply_response(
        make_response(commits=(make_commit(1), make_commit(2))), 10.0
    )
    assert result.is_ok()
    return state_cache


@pytest.mark.parametrize(
    ("content", "kind", "revision", "proof_s"),
    [
        ({"commits": (make_commit(3),)}, None, 3, 19.5),
        (
            {"commits": (make_commit(1), make_commit(2), make_commit(3))},
            None,
            3,
            19.5,
        ),
        ({"commits": (make_commit(4),)}, ErrorKind.CONFLICT, 2, 9.5),
        (
            {"commits": (make_commit(3), make_commit(5))},
            ErrorKind.CONFLICT,
            3,
            9.5,
        ),
        ({"snapshot": make_snapshot(7)}, None, 7, 19.5),
        (
            {"snapshot": make_snapshot(7), "commits": (make_commit(8),)},
            None,
            8,
            19.5,
        ),
        ({"snapshot": make_snapshot(1)}, None, 2, 19.5),
        ({"snapshot": make_snapshot(7, "other")}, None, 2, 19.5),
        ({"cluster": "other"}, ErrorKind.WRONG_CLUSTER, 2, 9.5),
        (
            {"cluster": "other", "snapshot": make_snapshot(7)},
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
async def test_apply_response(state_cache, content, kind, revision, proof_s):
    """Guards against a cache that goes back, skips a change, applies the
    state of another fleet or understates the age of its proof."""
    result = await state_cache.apply_response(make_response(**content), 20.0)
    assert (result.err_value.kind if result.is_err() else None) is kind
    assert state_cache.state.revision == revision
    assert state_cache.freshness_age_s(30.0) == pytest.approx(30.0 - proof_s)


async def test_cache_without_proof_is_never_fresh(tmp_path):
    """Guards against a VM that accepts keys before any proof of a quorum."""
    state_cache = FleetStateCache(FakeCluster(tmp_path).settings("a"))
    assert state_cache.freshness_age_s(1e9) == float("inf")
