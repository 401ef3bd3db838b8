"""Replicas that are replaced by others in the same data centre."""

import asyncio

import pytest

from .fakes import eventually
from .fakes import FakeCluster
from .fakes import put_account
from .test_joining import voters

# Longer than the tests: nothing is removed for its silence alone.
REMOVAL_S = 60.0


async def replace(cluster, lost, successors):
    """Replace replicas for good by empty ones in their data centres."""
    await cluster.stop(*lost)
    # The seeds of a replica are those that run when it is started.
    cluster.bootstrapped = sorted(cluster.replicas)[:3]
    for gone, successor in zip(lost, successors, strict=True):
        cluster.successors.add(successor)
        cluster.data_centres[successor] = cluster.data_centres[gone]
    await cluster.start(*successors)


def has_voters(cluster, names):
    """Return whether a leader has the voters with these names."""
    return any(
        replica.is_leader and voters(cluster, name) == set(names)
        for name, replica in cluster.replicas.items()
    )


def make_cluster(folder, names):
    cluster = FakeCluster(folder, join="yes", removal_s=str(REMOVAL_S))
    cluster.names = list(names)
    cluster.data_centres = {name: f"dc-{name}" for name in names}
    return cluster


@pytest.mark.parametrize("names", ["abc", "abcd", "abcde", "abcdef"])
async def test_replicas_replaced_one_by_one_leave_a_quorum(tmp_path, names):
    """Guards against votes of replicas that are gone for good, which
    outnumber the others once enough replicas were replaced."""
    cluster = make_cluster(tmp_path, names)
    await cluster.start(*names)
    leader = await cluster.leader()
    await eventually(lambda: voters(cluster, leader) == set(names))
    running = set(names)
    for lost, successor in zip(names, "uvwxyz", strict=False):
        leader = await cluster.leader()
        change = put_account(f"before-{lost}")
        assert (await cluster.replicas[leader].propose(change)).is_ok()
        await replace(cluster, lost, successor)
        running = running - {lost} | {successor}
        await eventually(
            lambda names=frozenset(running): has_voters(cluster, names)
        )
    await cluster.wait_until_caught_up()
    leader = await cluster.leader()
    accounts = cluster.replicas[leader].state.accounts
    assert {f"before-{name}" for name in names} <= set(accounts)
    await cluster.stop()


async def test_two_replicas_replaced_at_once_leave_a_quorum(tmp_path):
    """Guards against a quorum that is lost for good when two replicas are
    replaced after two others."""
    cluster = make_cluster(tmp_path, "abcdef")
    await cluster.start(*"abcdef")
    leader = await cluster.leader()
    await eventually(lambda: voters(cluster, leader) == set("abcdef"))
    await replace(cluster, "ab", "uv")
    await eventually(lambda: has_voters(cluster, "cdefuv"))
    await replace(cluster, "cd", "wx")
    await eventually(lambda: has_voters(cluster, "efuvwx"))
    await cluster.stop()


async def test_planned_successor_ends_the_vote_of_its_predecessor(tmp_path):
    """Guards against the vote of a replica that was stopped after its
    successor had joined."""
    cluster = make_cluster(tmp_path, "abc")
    await cluster.start(*"abc")
    await cluster.leader()
    cluster.successors.add("u")
    cluster.data_centres["u"] = cluster.data_centres["a"]
    await cluster.start("u")
    await eventually(lambda: has_voters(cluster, "abcu"))
    await cluster.stop("a")
    await eventually(lambda: has_voters(cluster, "bcu"))
    await cluster.stop()


async def test_replaced_replica_that_returns_joins_again(tmp_path):
    """Guards against a returning replica that is left without a vote, or
    that takes the place of its successor."""
    cluster = make_cluster(tmp_path, "abc")
    await cluster.start(*"abc")
    leader = await cluster.leader()
    lost = cluster.others(leader)[0]
    await replace(cluster, lost, "u")
    running = set("abc") - {lost} | {"u"}
    await eventually(lambda: voters(cluster, leader) == running)
    await cluster.start(lost)
    await eventually(lambda: voters(cluster, leader) == running | {lost})
    await asyncio.sleep(1.0)
    assert voters(cluster, leader) == running | {lost}
    await cluster.stop()


async def test_silent_replica_without_a_successor_keeps_its_vote(tmp_path):
    """Guards against a replica set that shrinks in each partition."""
    cluster = make_cluster(tmp_path, "abcd")
    await cluster.start(*"abcd")
    leader = await cluster.leader()
    await eventually(lambda: voters(cluster, leader) == set("abcd"))
    cut_off = cluster.others(leader)[0]
    cluster.isolate(cut_off)
    # A successor of another replica is no reason to remove this one.
    cluster.successors.add("u")
    cluster.data_centres["u"] = "dc-u"
    await cluster.start("u")
    await eventually(lambda: "u" in voters(cluster, leader))
    await asyncio.sleep(1.5)
    assert voters(cluster, leader) == set("abcdu")
    await cluster.stop()
