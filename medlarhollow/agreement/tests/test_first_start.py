"""First start of a cluster with late, lost and replaced seeds."""

import shutil
import time

import pytest

from medlarhollow.agreement.bootstrap import proposal_delay_s
from medlarhollow.agreement.first_set import choose_replicas
from medlarhollow.agreement.first_set import decide_proposal
from medlarhollow.agreement.first_set import next_ballot
from medlarhollow.messages.records import Ballot
from medlarhollow.messages.records import BootstrapRequest
from medlarhollow.messages.records import BootstrapResponse
from medlarhollow.messages.records import BootstrapVote
from medlarhollow.messages.records import Replica
from medlarhollow.messages.records import ReplicaSet
from medlarhollow.storage import ReplicaStore

from .fakes import address_of
from .fakes import eventually
from .fakes import FakeCluster
from .fakes import put_account
from .test_joining import voters

A = Replica("a", "h:1", "a1", voter=True)
B = Replica("b", "h:2", "b1", voter=True)
FIRST, SECOND = ReplicaSet((A, B)), ReplicaSet((A,))
LOW, HIGH = Ballot(1, "h:1"), Ballot(1, "h:2")


def ask(ballot, replicas=None):
    return BootstrapRequest("c", ballot, replicas)


@pytest.mark.parametrize(
    ("vote", "request_", "is_granted"),
    [
        (BootstrapVote(), ask(LOW), True),
        (BootstrapVote(), ask(LOW, FIRST), True),
        (BootstrapVote(promised=LOW), ask(LOW), False),
        (BootstrapVote(promised=LOW), ask(LOW, FIRST), True),
        (BootstrapVote(promised=HIGH), ask(LOW), False),
        (BootstrapVote(promised=HIGH), ask(LOW, FIRST), False),
        (BootstrapVote(LOW, LOW, FIRST), ask(HIGH), True),
        (BootstrapVote(LOW, LOW, FIRST), ask(None), False),
    ],
)
def test_seed_keeps_its_promises(vote, request_, is_granted):
    after, granted = decide_proposal(vote, request_)
    assert granted == is_granted
    if not granted:
        assert after == vote
    elif request_.replicas is None:
        assert after.promised == request_.ballot
        assert (after.accepted, after.replicas) == (
            vote.accepted,
            vote.replicas,
        )
    else:
        assert after == BootstrapVote(
            request_.ballot, request_.ballot, request_.replicas
        )


def test_set_that_may_be_chosen_is_proposed_again():
    """Guards against a second set beside one that a majority accepted."""
    promises = [
        BootstrapResponse(True, BootstrapVote(HIGH, LOW, FIRST), A),
        BootstrapResponse(True, BootstrapVote(HIGH, HIGH, SECOND), B),
    ]
    assert choose_replicas(promises) == SECOND
    new = BootstrapVote(HIGH)
    promises = [
        BootstrapResponse(True, new, B),
        BootstrapResponse(True, new, A),
    ]
    assert choose_replicas(promises) == FIRST
    same_name = [BootstrapResponse(True, new, A)] * 2
    assert choose_replicas(same_name) is None


def test_ballot_is_above_all_that_were_seen():
    votes = [BootstrapVote(), BootstrapVote(promised=Ballot(4, "h:9"))]
    assert next_ballot(votes, "h:1") == Ballot(5, "h:1")


def test_seeds_propose_one_after_the_other(tmp_path):
    control = FakeCluster(tmp_path).settings("a").control
    timeout_s = control.election_timeout_s
    first, second, third = map(address_of, "abc")
    assert proposal_delay_s(first, [second, third], control) == 0.0
    assert proposal_delay_s(first, [second], control) == 3 * timeout_s
    assert proposal_delay_s(second, [first, third], control) == 2 * timeout_s


async def test_cluster_starts_with_slow_disks(tmp_path, monkeypatch):
    """Guards against seeds that end each other's proposals for good because a
    vote takes longer than they wait for it."""
    cluster = FakeCluster(tmp_path, join="yes")
    vote_s = 1.5 * float(cluster.control["election_timeout_s"])
    save = ReplicaStore.save_bootstrap_vote

    def save_slowly(store, vote):
        time.sleep(vote_s)
        save(store, vote)

    monkeypatch.setattr(ReplicaStore, "save_bootstrap_vote", save_slowly)
    await cluster.start()
    await eventually(
        lambda: any(
            cluster.status(name).last_index > 0 for name in cluster.replicas
        )
    )
    await cluster.stop()


@pytest.mark.parametrize("lost", "abc")
async def test_cluster_starts_without_one_seed(tmp_path, lost):
    """Guards against a system that never starts if a machine is lost for good
    in its first second."""
    cluster = FakeCluster(tmp_path, join="yes")
    running = [name for name in "abc" if name != lost]
    await cluster.start(*running)
    leader = await cluster.leader()
    result = await cluster.replicas[leader].propose(put_account("crew"))
    assert result.is_ok()
    cluster.control["bootstrap"] = "no"
    await cluster.start("d")
    await eventually(lambda: voters(cluster, leader) == {*running, "d"})
    await cluster.stop()


@pytest.mark.parametrize("count", [3, 5])
async def test_late_seed_joins_the_cluster(tmp_path, count):
    names = "abcde"[:count]
    cluster = FakeCluster(tmp_path, names, join="yes")
    late = names[0]
    await cluster.start(*names[1:])
    leader = await cluster.leader()
    await cluster.replicas[leader].propose(put_account("crew"))
    await cluster.start(late)
    await cluster.wait_until_caught_up(late)
    await eventually(lambda: voters(cluster, leader) == set(names))
    await cluster.stop()


async def test_minority_of_the_seeds_does_not_start(tmp_path):
    cluster = FakeCluster(tmp_path, "abcde", join="yes")
    await cluster.start("a", "b")
    with pytest.raises(AssertionError):
        await eventually(
            lambda: any(cluster.status(name).last_index for name in "ab"),
            limit_s=1.5,
        )
    await cluster.start("c")
    await cluster.leader()
    await cluster.stop()


async def test_seeds_that_cannot_join_are_waited_for(tmp_path):
    """Guards against seeds that are left out for good without `join`."""
    cluster = FakeCluster(tmp_path)
    await cluster.start("a", "b")
    with pytest.raises(AssertionError):
        await eventually(
            lambda: any(cluster.status(name).last_index for name in "ab"),
            limit_s=1.5,
        )
    await cluster.start("c")
    leader = await cluster.leader()
    assert voters(cluster, leader) == set("abc")
    await cluster.stop()


async def test_seed_without_its_disk_does_not_vote(tmp_path):
    """Guards against a second cluster after the loss of a disk: the seed may
    have voted for the first one."""
    cluster = FakeCluster(tmp_path, join="yes")
    await cluster.start("a")
    await cluster.stop("a")
    shutil.rmtree(tmp_path / "a")
    cluster.control["bootstrap"] = "no"
    await cluster.start("a")
    cluster.control["bootstrap"] = "yes"
    await cluster.start("b")
    assert not cluster.status("a").may_bootstrap
    with pytest.raises(AssertionError):
        await eventually(
            lambda: any(cluster.status(name).last_index for name in "ab"),
            limit_s=1.5,
        )
    await cluster.start("c")
    leader = await cluster.leader("b", "c")
    await eventually(lambda: voters(cluster, leader) == set("abc"))
    await cluster.stop()


async def test_vote_on_the_first_set_survives_a_restart(tmp_path):
    cluster = FakeCluster(tmp_path, join="yes")
    await cluster.start("a")
    replica = cluster.replicas["a"]
    response = await replica.handle_bootstrap_request(ask(HIGH, FIRST))
    assert response.granted
    await cluster.stop("a")
    cluster.control["bootstrap"] = "no"
    await cluster.start("a")
    response = await cluster.replicas["a"].handle_bootstrap_request(ask(LOW))
    assert not response.granted
    assert response.vote == BootstrapVote(HIGH, HIGH, FIRST)
    await cluster.stop()
