"""Agreement of several replicas, with faults of replicas and connections."""

import asyncio
import shutil
import time

import pytest

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
    """Guards against replicas that answer before the others have a change,
    or that never execute it."""
    leader = await cluster.leader()
    result = await cluster.replicas[leader].propose(put_account("x"))
    assert result.ok_value.revision == 1
    await cluster.caught_up()
    for replica in cluster.replicas.values():
        assert list(replica.state.accounts) == ["x"]


async def test_follower_forwards_to_the_leader(cluster):
    """Guards against changes that fail because they reached a follower."""
    leader = await cluster.leader()
    for name in cluster.others(leader):
        await eventually(lambda: cluster.status(name).leader)  # noqa: B023
        result = await cluster.replicas[name].propose(put_account(name))
        assert result.is_ok()


async def test_changes_survive_the_loss_of_the_leader(cluster):
    """Guards against a new leader without a committed change."""
    for number in range(4):
        leader = await cluster.leader()
        result = await cluster.replicas[leader].propose(
            put_account(f"x{number}")
        )
        assert result.is_ok()
        await cluster.stop(leader)
        await cluster.leader()
        await cluster.start(leader)
    await cluster.caught_up()
    for replica in cluster.replicas.values():
        assert len(replica.state.accounts) == 4


@pytest.mark.parametrize("direction", ["both ways", "outward", "inward"])
async def test_cut_leader_stops_and_another_leads(cluster, direction):
    """Guards against a leader that goes on without a quorum: its proof of
    authority must age, and its changes must not be accepted."""
    leader = await cluster.leader()
    others = cluster.others(leader)
    for other in others:
        if direction != "inward":
            cluster.network.cut(address_of(leader), address_of(other))
        if direction != "outward":
            cluster.network.cut(address_of(other), address_of(leader))
    replica = cluster.replicas[leader]
    cut_at = time.monotonic()
    proposal = asyncio.create_task(replica.propose(put_account("lost")))

    def stopped():
        # A message that was sent just before the cut may be acknowledged.
        now = time.monotonic()
        assert replica.freshness_age_s(now) >= now - cut_at - 0.05
        return not replica.is_leader

    await eventually(stopped)
    successor = await cluster.leader(*others)
    result = await cluster.replicas[successor].propose(put_account("kept"))
    assert result.is_ok()
    cluster.network.heal()
    # The proposal was never accepted, so it is sent on to the new leader.
    assert (await proposal).is_ok()
    await cluster.caught_up()
    for replica in cluster.replicas.values():
        assert set(replica.state.accounts) == {"kept", "lost"}
        assert (
            replica.state.accounts
            == cluster.replicas[successor].state.accounts
        )


async def test_follower_that_was_cut_off_does_not_disturb(cluster):
    """Guards the pre-vote: a replica that returns from a partition must not
    force an election by its higher term."""
    leader = await cluster.leader()
    follower = cluster.others(leader)[0]
    term = cluster.status(leader).term
    cluster.isolate(follower)
    await asyncio.sleep(1.0)
    cluster.network.heal()
    await cluster.replicas[leader].propose(put_account("x"))
    await cluster.caught_up()
    await asyncio.sleep(0.3)
    assert cluster.status(leader).role == "leader"
    assert {cluster.status(name).term for name in "abc"} == {term}


async def test_follower_that_hears_nothing_does_not_depose_the_leader(cluster):
    """Guards against elections without end when one direction between the
    leader and one follower is cut."""
    leader = await cluster.leader()
    follower, other = cluster.others(leader)
    await eventually(lambda: cluster.status(other).leader == leader)
    term = cluster.status(leader).term
    cluster.network.cut(address_of(leader), address_of(follower))
    await asyncio.sleep(1.0)
    assert cluster.replicas[leader].is_leader
    assert cluster.status(leader).term == term


async def test_one_of_concurrent_changes_on_a_revision_succeeds(cluster):
    """Guards against two operators who overwrite each other."""
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


async def test_resent_change_gets_its_first_answer(cluster):
    """Guards against a second execution after a lost answer, a change of
    leader and a restart of all replicas."""
    leader = await cluster.leader()
    change = put_account("x", request_id="r1")
    conflict = put_account("y", request_id="r2", base_revision=99)
    first = await cluster.replicas[leader].propose(change)
    refused = await cluster.replicas[leader].propose(conflict)
    await cluster.replicas[leader].propose(put_account("z"))
    await cluster.stop(leader)
    other = await cluster.leader()
    assert await cluster.replicas[other].propose(change) == first
    await cluster.stop()
    await cluster.start()
    other = await cluster.leader()
    replica = cluster.replicas[other]
    assert await replica.propose(change) == first
    assert await replica.propose(conflict) == refused
    assert replica.state.revision == 2
    reused = await replica.propose(put_account("w", request_id="r1"))
    assert reused.err_value.kind is ErrorKind.KEY_REUSED


async def test_answer_lost_with_the_leader_is_not_executed_twice(cluster):
    """Guards against a duplicate when the leader dies between the commit
    and its answer."""
    leader = await cluster.leader()
    follower = cluster.others(leader)[0]
    await eventually(lambda: cluster.status(follower).leader == leader)
    change = put_account("x", request_id="r1")
    # The leader's answers no longer reach the follower that forwards.
    proposal = asyncio.create_task(cluster.replicas[follower].propose(change))
    cluster.network.cut(address_of(leader), address_of(follower))
    await eventually(lambda: cluster.replicas[leader].state.revision == 1)
    await cluster.stop(leader)
    cluster.network.heal()
    result = await proposal
    assert result.ok_value.revision == 1
    assert cluster.replicas[await cluster.leader()].state.revision == 1


async def test_no_quorum_is_said_when_the_time_is_over(tmp_path):
    """Guards against a proposal that waits for ever without a quorum."""
    cluster = FakeCluster(tmp_path, propose_timeout_s=0.5)
    await cluster.start()
    leader = await cluster.leader()
    await cluster.stop(*cluster.others(leader))
    result = await cluster.replicas[leader].propose(put_account("x"))
    assert result.err_value.kind is ErrorKind.NO_QUORUM
    await cluster.stop()


async def test_lost_disk_joins_anew_without_a_vote_at_first(cluster):
    """Guards the chain: a disk is lost, the replica is repaired, and right
    afterwards a second disk is lost; nothing committed may be missing."""
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
    await cluster.caught_up()
    for replica in cluster.replicas.values():
        assert set(replica.state.accounts) == {"x", "x0", "x1", "x2"}


async def test_two_empty_disks_do_not_elect_a_leader(cluster):
    """Guards against two replicas that lost their disks and out-vote the
    one that still has the data."""
    leader = await cluster.leader()
    await cluster.replicas[leader].propose(put_account("x"))
    await cluster.caught_up()
    for name in "ab":
        await cluster.stop(name)
        shutil.rmtree(cluster.folder / name)
    await cluster.stop()
    await cluster.start("a", "b")
    await asyncio.sleep(1.0)
    await cluster.start("c")
    await asyncio.sleep(1.0)
    assert not any(known.is_leader for known in cluster.replicas.values())
    assert cluster.status("a").last_index == 0
    assert cluster.status("c").last_index > 0


async def test_empty_disk_does_not_elect_a_replica_that_is_behind(cluster):
    """Guards against a lost change: a replica that lacks it must not win
    with the vote of one that held it and lost its disk."""
    leader = await cluster.leader()
    lost, behind = cluster.others(leader)
    cluster.isolate(behind)
    result = await cluster.replicas[leader].propose(put_account("x"))
    assert result.is_ok()
    await cluster.stop(leader, lost)
    shutil.rmtree(cluster.folder / lost)
    cluster.network.heal()
    await cluster.start(lost)
    await asyncio.sleep(1.0)
    assert cluster.status(behind).role != "leader"
    await cluster.start(leader)
    await eventually(lambda: has_vote(cluster, lost))
    await cluster.caught_up()
    for replica in cluster.replicas.values():
        assert list(replica.state.accounts) == ["x"]


def has_vote(cluster, name):
    """Return whether the leader has committed this incarnation as voter."""
    own = cluster.status(name)
    for other in cluster.replicas:
        status = cluster.status(other)
        if status.role != "leader":
            continue
        return (
            any(
                known.voter and known.incarnation == own.incarnation
                for known in status.replicas.replicas
            )
            and own.commit_index >= status.commit_index
        )
    return False
