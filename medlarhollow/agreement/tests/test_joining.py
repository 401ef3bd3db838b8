"""Joining without an operator, removal, and confirmation of leadership."""

import asyncio

from medlarhollow import clock
from medlarhollow.control import ControlService

from .fakes import address_of
from .fakes import eventually
from .fakes import FakeCluster
from .fakes import put_account

# Time after its start for which a replica counts as lost on the platform, in
# election timeouts there.
CATCH_UP_TIMEOUTS = 4.0 / 0.65


def voters(cluster, name):
    return {
        replica.name
        for replica in cluster.status(name).replicas.replicas
        if replica.voter
    }


async def test_replicas_join_without_an_operator(tmp_path):
    """Guards against a replica set that stays at the bootstrapped three:
    others must be added one at a time and become voters."""
    cluster = FakeCluster(tmp_path, join="yes")
    cluster.names = list("abcde")
    await cluster.start(*"abcde")
    leader = await cluster.leader()
    await eventually(lambda: voters(cluster, leader) == set("abcde"))
    await cluster.stop()


async def test_replica_with_an_emptied_disk_rejoins(tmp_path):
    cluster = FakeCluster(tmp_path, join="yes")
    await cluster.start()
    leader = await cluster.leader()
    await cluster.replicas[leader].propose(put_account("crew"))
    lost = cluster.others(leader)[0]
    await cluster.stop(lost)
    (tmp_path / lost).rename(tmp_path / "lost")
    await cluster.start(lost)
    await cluster.wait_until_caught_up(lost)
    await eventually(lambda: voters(cluster, leader) == set("abc"))
    await cluster.stop()


async def test_only_leader_with_quorum_confirms_leadership(tmp_path):
    """Guards against stale reads from a leader that was partitioned or
    suspended while another one was elected."""
    cluster = FakeCluster(tmp_path)
    await cluster.start()
    leader = await cluster.leader()
    assert await cluster.replicas[leader].confirm_leadership(1.0)
    follower = cluster.others(leader)[0]
    assert not await cluster.replicas[follower].confirm_leadership(0.1)
    cluster.isolate(leader)
    # Acknowledgements from before the cut do not confirm a later read.
    assert not await cluster.replicas[leader].confirm_leadership(0.05)
    await asyncio.sleep(0)
    await cluster.stop()


async def test_unreachable_replica_is_removed(tmp_path):
    """Guards against loss of the quorum when VMs are replaced one by one."""
    cluster = FakeCluster(tmp_path, join="yes", removal_s="0.5")
    cluster.names = list("abcd")
    await cluster.start(*"abcd")
    leader = await cluster.leader()
    await eventually(lambda: voters(cluster, leader) == set("abcd"))
    stopped = cluster.others(leader)[0]
    await cluster.stop(stopped)
    remaining = set("abcd") - {stopped}
    await eventually(lambda: voters(cluster, leader) == remaining)
    await cluster.start(stopped)
    await eventually(lambda: voters(cluster, leader) == set("abcd"))
    await cluster.stop()


async def test_joining_replica_has_the_whole_limit_to_respond(tmp_path):
    """Guards against a successor that is removed, again and again, before it
    was sent anything, because its leader is older than the limit."""
    removal_s = 0.8
    cluster = FakeCluster(tmp_path, join="yes", removal_s=str(removal_s))
    await cluster.start()
    leader = await cluster.leader()
    await asyncio.sleep(1.5 * removal_s)
    cluster.network.cut(address_of(leader), address_of("d"))
    await cluster.start("d")

    def is_member():
        replicas = cluster.status(leader).replicas.replicas
        return "d" in {replica.name for replica in replicas}

    await eventually(is_member)
    joined_at = clock.monotonic()
    while clock.monotonic() < joined_at + removal_s / 2:
        assert is_member()
        await asyncio.sleep(0.005)
    cluster.network.heal()
    await eventually(lambda: voters(cluster, leader) == set("abcd"))
    await cluster.stop()


async def test_joining_does_not_wait_for_each_seed_that_is_gone(tmp_path):
    """Guards against a successor that is without a vote for longer than a
    loss may last, while it waits for the replicas of its settings."""
    cluster = FakeCluster(tmp_path, join="yes")
    await cluster.start()
    leader = await cluster.leader()
    gone = "efghijkl"
    cluster.bootstrapped = [*gone, *"abc"]
    for name in gone:
        cluster.network.serve(address_of(name), [ControlService(None)])
        cluster.network.isolate(address_of(name), [address_of("d")])
    await cluster.start("d")
    limit_s = CATCH_UP_TIMEOUTS * float(cluster.control["election_timeout_s"])
    await eventually(lambda: voters(cluster, leader) == set("abcd"), limit_s)
    await cluster.stop()


async def test_replica_is_removed_after_silence_from_its_start(tmp_path):
    """Guards against a replica that never responds and stays in the set."""
    cluster = FakeCluster(tmp_path, join="yes", removal_s="0.5")
    await cluster.start()
    leader = await cluster.leader()
    cluster.network.cut(address_of(leader), address_of("d"))
    await cluster.start("d")

    def has_member():
        replicas = cluster.status(leader).replicas.replicas
        return "d" in {replica.name for replica in replicas}

    await eventually(has_member)
    await eventually(lambda: not has_member())
    await cluster.stop()
