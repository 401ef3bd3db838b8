"""Decisions on the replica set."""

import pytest

from medlarhollow.agreement.bootstrap import plan_cluster
from medlarhollow.agreement.progress import Progress
from medlarhollow.agreement.replica_set import plan_upkeep
from medlarhollow.agreement.replica_set import set_replicas
from medlarhollow.messages.records import ErrorKind
from medlarhollow.messages.records import Replica
from medlarhollow.messages.records import ReplicaSet
from medlarhollow.messages.records import ReplicaStatus
from medlarhollow.messages.records import SetReplicasRequest

A = Replica("a", "h:1", "a1", voter=True)
B = Replica("b", "h:2", "b1", voter=True)
SET = ReplicaSet((A, B))


def order(name, address="", incarnation="", remove=False):
    return SetReplicasRequest(Replica(name, address, incarnation), remove)


@pytest.mark.parametrize(
    ("request_", "expected"),
    [
        (order("c", "h:3"), (A, B, Replica("c", "h:3"))),
        (order("b", "h:9"), (A, Replica("b", "h:9", "b1", True))),
        (order("b", remove=True), (A,)),
    ],
)
def test_order_changes_one_replica(request_, expected):
    """Guards against a new replica that votes before it has caught up."""
    assert set_replicas(SET, request_).ok_value.replicas == expected


@pytest.mark.parametrize(
    ("replicas", "request_", "kind"),
    [
        (SET, order(""), ErrorKind.BAD_REQUEST),
        (SET, order("c"), ErrorKind.BAD_REQUEST),
        (SET, order("c", "h:1"), ErrorKind.BAD_REQUEST),
        (SET, order("c", remove=True), ErrorKind.NOT_FOUND),
        (ReplicaSet((A,)), order("a", remove=True), ErrorKind.CONFLICT),
        (SET, SetReplicasRequest(), ErrorKind.BAD_REQUEST),
    ],
)
def test_bad_order_is_refused(replicas, request_, kind):
    """Guards against an order that leaves no quorum or two replicas at one
    address."""
    assert set_replicas(replicas, request_).err_value.kind is kind


NEW = Replica("b", "h:2", "b2", voter=False)


@pytest.mark.parametrize(
    ("known", "seen", "match", "expected"),
    [
        (B, "b1", 9, None),
        (B, "", 0, None),
        (B, "b2", 0, NEW),
        (NEW, "b2", 8, None),
        (NEW, "b2", 9, Replica("b", "h:2", "b2", voter=True)),
        (NEW, "b3", 9, Replica("b", "h:2", "b3", voter=False)),
    ],
)
def test_upkeep(known, seen, match, expected):
    """Guards against a lost disk that keeps its vote, or gets it back
    before it has caught up."""
    progress = Progress(known, 1, match_index=match, seen_incarnation=seen)
    planned = plan_upkeep(ReplicaSet((A, known)), progress, commit_index=9)
    assert planned == (expected and ReplicaSet((A, expected)))


EMPTY = ReplicaStatus(cluster="c", name="b", incarnation="b1")


@pytest.mark.parametrize(
    ("status", "formed"),
    [
        (EMPTY, True),
        (None, False),
        (ReplicaStatus(cluster="c", name="b"), False),
        (ReplicaStatus("b", "b1", last_index=3, cluster="c"), False),
        (ReplicaStatus("b", "b1", cluster="d"), False),
        (ReplicaStatus("a", "b1", cluster="c"), False),
    ],
)
def test_cluster_is_formed_of_empty_replicas_only(status, formed):
    """Guards against a second cluster beside one that holds a log."""
    planned = plan_cluster("c", A, {"h:2": status})
    assert planned == (ReplicaSet((A, B)) if formed else None)
