"""Consensus of several replicas, with faults of replicas and links."""

import asyncio
import shutil

import pytest

from medlarhollow import clock
from medlarhollow.messages.records import ErrorKind

from .fakes import address_of
from .fakes import eventually
from .fakes import FakeCluster
from .fakes import put_account


@pytest.fixture
async def cluster(tmp_path):
    cluster = FakeCluster(tmp_path)
    await cluster.start()
    yield cluster
    await cluster.stop()


async def test_change_reaches_all_replicas(cluster):
    """Guards against a leader that responds before a majority has the change,
    and against replicas that never execute it."""
    leader = await cluster.leader()
    result = await cluster.replicas[leader].propose(put_account("x"))
    assert result.ok_value.revision == 1
    await cluster.wait_until_caught_up()
    for replica in cluster.replicas.values():
        assert list(replica.state.accounts) == ["x"]


async def test_follower_forwards_to_the_leader(cluster):
    """Guards against changes that fail because a follower received them."""
    leader = await cluster.leader()
    for name in cluster.others(leader):
        await eventually(lambda: cluster.status(name).leader)  # noqa: B023
        result = await cluster.replicas[name].propose(put_account(name))
        assert result.is_ok()


async def test_changes_survive_loss_of_leader(cluster):
    """Guards against a new leader that lacks a committed change."""
    for number in range(4):
        leader = await cluster.leader()
        result = await cluster.replicas[leader].propose(
            put_account(f"x{number}")
        )
        assert result.is_ok()
        await cluster.stop(leader)
        await cluster.leader()
        await cluster.start(leader)
    await cluster.wait_until_caught_up()
    for replica in cluster.replicas.values():
        assert len(replica.state.accounts) == 4


@pytest.mark.parametrize("direction", ["both ways", "outward", "inward"])
async def test_partitioned_leader_is_replaced(cluster, direction):
    """Guards against a leader that continues without a quorum: its freshness
    age must grow, and its changes must not be accepted."""
    leader = await cluster.leader()
    others = cluster.others(leader)
    for other in others:
        if direction != "inward":
            cluster.network.cut(address_of(leader), address_of(other))
        if direction != "outward":
            cluster.network.cut(address_of(other), address_of(leader))
    replica = cluster.replicas[leader]
    cut_at = clock.monotonic()
    proposal = asyncio.create_task(replica.propose(put_account("lost")))

    def stopped():
        # A message that was sent just before the cut may be acknowledged.
        now = clock.monotonic()
        assert replica.freshness_age_s(now) >= now - cut_at - 0.05
        return not replica.is_leader

    await eventually(stopped)
    successor = await cluster.leader(*others)
    result = await cluster.replicas[successor].propose(put_account("kept"))
    assert result.is_ok()
    cluster.network.heal()
    # The proposal was not accepted, so it is forwarded to the new leader.
    assert (await proposal).is_ok()
    await cluster.wait_until_caught_up()
    for replica in cluster.replicas.values():
        assert set(replica.state.accounts) == {"kept", "lost"}
        assert (
            replica.state.accounts
            == cluster.replicas[successor].state.accounts
        )


async def test_partitioned_follower_forces_no_election(cluster):
    """Guards against a missing pre-vote: a replica that returns from a
    partition would force an election by its higher term."""
    leader = await cluster.leader()
    follower = cluster.others(leader)[0]
    term = cluster.status(leader).term
    cluster.isolate(follower)
    await asyncio.sleep(1.0)
    cluster.network.heal()
    await cluster.replicas[leader].propose(put_account("x"))
    await cluster.wait_until_caught_up()
    await asyncio.sleep(0.3)
    assert cluster.status(leader).role == "leader"
    assert {cluster.status(name).term for name in "abc"} == {term}


async def test_follower_without_messages_does_not_depose_leader(cluster):
    """Guards against endless elections when one direction of the link between
    the leader and a follower is cut."""
    leader = await cluster.leader()
    follower, other = cluster.others(leader)
    await eventually(lambda: cluster.status(other).leader == leader)
    term = cluster.status(leader).term
    cluster.network.cut(address_of(leader), address_of(follower))
    await asyncio.sleep(1.0)
    assert cluster.replicas[leader].is_leader
    assert cluster.status(leader).term == term


async def test_one_of_concurrent_changes_to_a_revision_succeeds(cluster):
    """Guards against operators who overwrite each other's changes."""
    leader = await cluster.leader()
    first = await cluster.replicas[leader].propose(put_account("x"))
    base = first.ok_value.revision
    results = await asyncio.gather(
        *(
            cluster.replicas[name].propose(
                put_account(f"x{number}", base_revision=base)
            )
            for number, name in enumerate("abcabcabc")
        )
    )
    accepted = [result for result in results if result.is_ok()]
    assert len(accepted) == 1
    for result in results:
        if result.is_err():
            assert result.err_value.kind is ErrorKind.CONFLICT
            assert result.err_value.revision == accepted[0].ok_value.revision


async def test_resent_change_gets_its_first_result(cluster):
    """Guards against a second execution after a lost response, a change of
    leader and a restart of all replicas."""
    leader = await cluster.leader()
    change = put_account("x", request_id="r1")
    conflict = put_account("y", request_id="r2", base_revision=99)
    first = await cluster.replicas[leader].propose(change)
    rejected = await cluster.replicas[leader].propose(conflict)
    await cluster.replicas[leader].propose(put_account("z"))
    await cluster.stop(leader)
    other = await cluster.leader()
    assert await cluster.replicas[other].propose(change) == first
    await cluster.stop()
    await cluster.start()
    other = await cluster.leader()
    replica = cluster.replicas[other]
    assert await replica.propose(change) == first
    assert await replica.propose(conflict) == rejected
    assert replica.state.revision == 2
    reused = await replica.propose(put_account("w", request_id="r1"))
    assert reused.err_value.kind is ErrorKind.KEY_REUSED


async def test_change_is_not_executed_twice_after_lost_response(cluster):
    """Guards against a duplicate when the leader stops after the commit and
    before its response."""
    leader = await cluster.leader()
    follower = cluster.others(leader)[0]
    await eventually(lambda: cluster.status(follower).leader == leader)
    change = put_account("x", request_id="r1")
    # The leader's responses no longer reach the forwarding follower.
    proposal = asyncio.create_task(cluster.replicas[follower].propose(change))
    cluster.network.cut(address_of(leader), address_of(follower))
    await eventually(lambda: cluster.replicas[leader].state.revision == 1)
    await cluster.stop(leader)
    cluster.network.heal()
    result = await proposal
    assert result.ok_value.revision == 1
    assert cluster.replicas[await cluster.leader()].state.revision == 1


async def test_no_quorum_is_reported_after_the_timeout(tmp_path):
    """Guards against a proposal that waits forever without a quorum."""
    cluster = FakeCluster(tmp_path, propose_timeout_s=0.5)
    await cluster.start()
    leader = await cluster.leader()
    await cluster.stop(*cluster.others(leader))
    result = await cluster.replicas[leader].propose(put_account("x"))
    assert result.err_value.kind is ErrorKind.NO_QUORUM
    await cluster.stop()


async def test_replica_with_lost_disk_rejoins_as_non_voter(cluster):
    """Guards against loss of committed changes when a second disk is lost
    right after the first replica was repaired."""
    leader = await cluster.leader()
    await cluster.replicas[leader].propose(put_account("x"))
    lost = list(cluster.others(leader))
    for number, name in enumerate([*lost, leader]):
        before = cluster.status(name).incarnation
        await cluster.stop(name)
        shutil.rmtree(cluster.folder / name)
        await cluster.start(name)
        assert cluster.status(name).incarnation != before
        await eventually(lambda: has_vote(cluster, name))  # noqa: B023
        result = await cluster.replicas[name].propose(
            put_account(f"x{number}")
        )
        assert result.is_ok()
    await cluster.wait_until_caught_up()
    for replica in cluster.replicas.values():
        assert set(replica.state.accounts) == {"x", "x0", "x1", "x2"}


async def test_two_empty_disks_do_not_elect_a_leader(cluster):
    """Guards against two replicas with lost disks that outvote the one that
    still has the data."""
    leader = await cluster.leader()
    await cluster.replicas[leader].propose(put_account("x"))
    await cluster.wait_until_caught_up()
    for name in "ab":
        await cluster.stop(name)
        shutil.rmtree(cluster.folder / name)
    await cluster.stop()
    await cluster.start("a", "b")
    await asyncio.sleep(1.0)
    await cluster.start("c")
    await asyncio.sleep(1.0)
    assert not any(replica.is_leader for replica in cluster.replicas.values())
    assert cluster.status("a").last_index == 0
    assert cluster.status("c").last_index > 0


async def test_empty_disk_does_not_elect_a_lagging_replica(cluster):
    """Guards against a lost change: a replica that lacks it must not win an
    election by the vote of one that had it and lost its disk."""
    leader = await cluster.leader()
    lost, lagging = cluster.others(leader)
    cluster.isolate(lagging)
    result = await cluster.replicas[leader].propose(put_account("x"))
    assert result.is_ok()
    await cluster.stop(leader, lost)
    shutil.rmtree(cluster.folder / lost)
    cluster.network.heal()
    await cluster.start(lost)
    await asyncio.sleep(1.0)
    assert cluster.status(lagging).role != "leader"
    await cluster.start(leader)
    await eventually(lambda: has_vote(cluster, lost))
    await cluster.wait_until_caught_up()
    for replica in cluster.replicas.values():
        assert list(replica.state.accounts) == ["x"]


def has_vote(cluster, name):
    """Return whether a replica is a voter of the leader and caught up."""
    status = cluster.status(name)
    for other in cluster.replicas:
        leader_status = cluster.status(other)
        if leader_status.role != "leader":
            continue
        return (
            any(
                replica.voter and replica.incarnation == status.incarnation
                for replica in leader_status.replicas.replicas
            )
            and status.commit_index >= leader_status.commit_index
        )
    return False
