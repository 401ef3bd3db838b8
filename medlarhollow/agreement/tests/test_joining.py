"""Replicas that join by themselves, and reads that a quorum confirms."""

import asyncio

from .fakes import eventually
from .fakes import FakeCluster
from .fakes import put_account


def voters(cluster, name):
    return {
        replica.name
        for replica in cluster.status(name).replicas.replicas
        if replica.voter
    }


async def test_replicas_join_without_an_order(tmp_path):
    """Guards the size of the quorum: VMs outside the first three are added
    one at a time and get their votes."""
    cluster = FakeCluster(tmp_path, join="yes")
    cluster.names = list("abcde")
    await cluster.start(*"abcde")
    leader = await cluster.leader()
    await eventually(lambda: voters(cluster, leader) == set("abcde"))
    await cluster.stop()


async def test_replica_with_an_emptied_disk_comes_back(tmp_path):
    cluster = FakeCluster(tmp_path, join="yes")
    await cluster.start()
    leader = await cluster.leader()
    await cluster.replicas[leader].propose(put_account("crew"))
    lost = cluster.others(leader)[0]
    await cluster.stop(lost)
    (tmp_path / lost).rename(tmp_path / "lost")
    await cluster.start(lost)
    await cluster.caught_up(lost)
    await eventually(lambda: voters(cluster, leader) == set("abc"))
    await cluster.stop()


async def test_only_a_leader_with_a_quorum_confirms(tmp_path):
    """Guards reads: a leader that was cut off or frozen must not answer with
    a state that others have replaced."""
    cluster = FakeCluster(tmp_path)
    await cluster.start()
    leader = await cluster.leader()
    assert await cluster.replicas[leader].confirm_leadership(1.0)
    follower = cluster.others(leader)[0]
    assert not await cluster.replicas[follower].confirm_leadership(0.1)
    cluster.isolate(leader)
    # What was acknowledged before the cut is no proof for a later read.
    assert not await cluster.replicas[leader].confirm_leadership(0.05)
    await asyncio.sleep(0)
    await cluster.stop()


async def test_replica_that_is_gone_is_removed(tmp_path):
    """Guards the quorum when VMs are exchanged one after the other."""
    cluster = FakeCluster(tmp_path, join="yes", removal_s="0.5")
    cluster.names = list("abcd")
    await cluster.start(*"abcd")
    leader = await cluster.leader()
    await eventually(lambda: voters(cluster, leader) == set("abcd"))
    gone = cluster.others(leader)[0]
    await cluster.stop(gone)
    left = set("abcd") - {gone}
    await eventually(lambda: voters(cluster, leader) == left)
    await cluster.start(gone)
    await eventually(lambda: voters(cluster, leader) == set("abcd"))
    await cluster.stop()
