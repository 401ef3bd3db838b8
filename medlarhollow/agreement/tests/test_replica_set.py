"""Rules for changes of the replica set."""

import attrs
import pytest

from medlarhollow.agreement.bootstrap import list_new_seeds
from medlarhollow.agreement.progress import Progress
from medlarhollow.agreement.replica_set import plan_requested_change
from medlarhollow.agreement.replica_set import plan_vote_change
from medlarhollow.messages.records import ErrorKind
from medlarhollow.messages.records import Replica
from medlarhollow.messages.records import ReplicaSet
from medlarhollow.messages.records import ReplicaStatus
from medlarhollow.messages.records import SetReplicasRequest

A = Replica("a", "h:1", "a1", voter=True)
B = Replica("b", "h:2", "b1", voter=True)
SET = ReplicaSet((A, B))


def make_request(name, address="", incarnation="", remove=False):
    return SetReplicasRequest(Replica(name, address, incarnation), remove)


@pytest.mark.parametrize(
    ("request_", "expected"),
    [
        (make_request("c", "h:3"), (A, B, Replica("c", "h:3"))),
        (make_request("b", "h:9"), (A, Replica("b", "h:9", "b1", True))),
        (make_request("b", remove=True), (A,)),
    ],
)
def test_request_changes_one_replica(request_, expected):
    """Guards against a new replica that is a voter before it caught up."""
    assert plan_requested_change(SET, request_).ok_value.replicas == expected


@pytest.mark.parametrize(
    ("replicas", "request_", "kind"),
    [
        (SET, make_request(""), ErrorKind.BAD_REQUEST),
        (SET, make_request("c"), ErrorKind.BAD_REQUEST),
        (SET, make_request("c", "h:1"), ErrorKind.BAD_REQUEST),
        (SET, make_request("c", remove=True), ErrorKind.NOT_FOUND),
        (ReplicaSet((A,)), make_request("a", remove=True), ErrorKind.CONFLICT),
        (SET, SetReplicasRequest(), ErrorKind.BAD_REQUEST),
    ],
)
def test_invalid_request_is_rejected(replicas, request_, kind):
    """Guards against a request that leaves no quorum, or two replicas at one
    address."""
    assert plan_requested_change(replicas, request_).err_value.kind is kind


NEW = Replica("b", "h:2", "b2", voter=False)


@pytest.mark.parametrize(
    ("current", "incarnation", "match", "expected"),
    [
        (B, "b1", 9, None),
        (B, "", 0, None),
        (B, "b2", 0, NEW),
        (NEW, "b2", 8, None),
        (NEW, "b2", 9, Replica("b", "h:2", "b2", voter=True)),
        (NEW, "b3", 9, Replica("b", "h:2", "b3", voter=False)),
    ],
)
def test_vote_change(current, incarnation, match, expected):
    """Guards against a replica that keeps its vote after a disk loss, or
    regains it before it has caught up."""
    progress = Progress(
        current,
        1,
        started_at=0.0,
        match_index=match,
        reported_incarnation=incarnation,
    )
    planned = plan_vote_change(
        ReplicaSet((A, current)), progress, commit_index=9
    )
    assert planned == (expected and ReplicaSet((A, expected)))


NEW_SEED = ReplicaStatus(
    cluster="c", name="b", incarnation="b1", may_bootstrap=True
)


@pytest.mark.parametrize(
    ("status", "new_seeds"),
    [
        (NEW_SEED, ["h:2"]),
        (None, []),
        (attrs.evolve(NEW_SEED, incarnation=""), []),
        (attrs.evolve(NEW_SEED, may_bootstrap=False), []),
        (attrs.evolve(NEW_SEED, cluster="d"), []),
        (attrs.evolve(NEW_SEED, last_index=3), None),
        (attrs.evolve(NEW_SEED, last_index=3, cluster="d"), []),
    ],
)
def test_cluster_is_bootstrapped_from_empty_replicas_only(status, new_seeds):
    """Guards against a second cluster beside one that has a log."""
    assert list_new_seeds("c", {"h:2": status, "h:3": None}) == new_seeds
