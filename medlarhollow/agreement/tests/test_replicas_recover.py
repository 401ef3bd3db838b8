"""Catch-up, disk failures and changes of the replica set."""

import asyncio
import errno
import os
import threading

import pytest

from medlarhollow.agreement.log import EntryLog
from medlarhollow.agreement.replication import find_conflict
from medlarhollow.errors import FailureError
from medlarhollow.messages.records import AppendRequest
from medlarhollow.messages.records import ErrorKind
from medlarhollow.messages.records import LogEntry
from medlarhollow.messages.records import Replica
from medlarhollow.messages.records import SetReplicasRequest

from .fakes import address_of
from .fakes import eventually
from .fakes import FakeCluster
from .fakes import LIMIT_S
from .fakes import put_account
from .test_replicas_agree import has_vote


@pytest.fixture
async def cluster(tmp_path):
    cluster = FakeCluster(tmp_path, snapshot_entries=50)
    await cluster.start()
    yield cluster
    await cluster.stop()


async def propose_many(cluster, count, first=0):
    replica = cluster.replicas[await cluster.leader()]
    results = await asyncio.gather(
        *(
            replica.propose(put_account(f"x{first + number}"))
            for number in range(count)
        )
    )
    assert all(result.is_ok() for result in results)


async def test_stopped_replica_catches_up_by_snapshot(cluster):
    """Guards against a replica that never catches up because the entries it
    lacks were compacted."""
    leader = await cluster.leader()
    stopped = cluster.others(leader)[0]
    await cluster.stop(stopped)
    for first in range(0, 200, 40):
        await propose_many(cluster, 40, first)
    await eventually(lambda: cluster.status(leader).snapshot_index > 100)
    await cluster.start(stopped)
    await cluster.wait_until_caught_up()
    replica = cluster.replicas[stopped]
    assert len(replica.state.accounts) == 200
    assert cluster.status(stopped).snapshot_index > 100
    await propose_many(cluster, 5, 200)
    await cluster.stop(leader)
    await cluster.leader()
    await cluster.wait_until_caught_up()
    assert len(replica.state.accounts) == 205


async def test_snapshot_in_many_chunks(cluster, monkeypatch):
    """Guards against a snapshot that is reassembled incorrectly."""
    monkeypatch.setattr("medlarhollow.agreement.leader._CHUNK_BYTES", 100)
    await test_stopped_replica_catches_up_by_snapshot(cluster)


async def test_restart_after_thousands_of_changes(tmp_path):
    """Guards against loss of changes by compaction and restart."""
    # All replicas share this process, which needs a longer timeout.
    cluster = FakeCluster(
        tmp_path, snapshot_entries=400, election_timeout_s=0.5
    )
    await cluster.start()
    for first in range(0, 3000, 250):
        await propose_many(cluster, 250, first)
    await cluster.stop()
    await cluster.start()
    leader = await cluster.leader()
    await cluster.wait_until_caught_up()
    for replica in cluster.replicas.values():
        assert replica.state.revision == 3000
        assert len(replica.state.accounts) == 3000
    again = await cluster.replicas[leader].propose(put_account("x7"))
    assert again.ok_value.revision == 8
    await cluster.stop()


async def test_damaged_log_prevents_start(cluster):
    """Guards against a replica that starts with entries missing."""
    await propose_many(cluster, 10)
    await propose_many(cluster, 10, 10)
    await cluster.wait_until_caught_up()
    name = cluster.others(await cluster.leader())[0]
    await cluster.stop(name)
    path = next(iter((cluster.folder / name).glob("log-*")))
    content = bytearray(path.read_bytes())
    content[40] ^= 1
    path.write_bytes(content)
    with pytest.raises(FailureError) as caught:
        await cluster.start(name)
    assert caught.value.failure.kind is ErrorKind.STORAGE_DAMAGED


async def test_failed_sync_prevents_acknowledgement(cluster, monkeypatch):
    """Guards against a leader that acknowledges data its disk rejected, and
    against one that continues after the failure."""
    leader = await cluster.leader()
    # All replicas must fail: the followers alone could commit the change.
    broken = threading.Event()
    original_fsync = os.fsync

    def failing(descriptor):
        if broken.is_set():
            raise OSError(5, "Input/output error")
        original_fsync(descriptor)

    monkeypatch.setattr("medlarhollow.storage.files.os.fsync", failing)
    replica = cluster.replicas[leader]
    await replica.propose(put_account("x"))
    await cluster.wait_until_caught_up()
    broken.set()
    proposal = asyncio.create_task(replica.propose(put_account("y")))
    await eventually(lambda: len(cluster.stopped) == 3)
    assert all("Input/output error" in text for text in cluster.stopped)
    broken.clear()
    await asyncio.sleep(0.5)
    for other in cluster.replicas.values():
        assert not other.is_leader
        assert list(other.state.accounts) == ["x"]
    proposal.cancel()


async def test_hanging_sync_delays_only_the_response(cluster, monkeypatch):
    """Guards against a slow disk that blocks the event loop, and against an
    entry that is committed before a majority has synced it."""
    leader = await cluster.leader()
    follower = cluster.others(leader)[0]
    await eventually(lambda: cluster.status(follower).leader == leader)
    slow = {str(cluster.folder / name) for name in (leader, follower)}
    hanging, released = set(), threading.Event()
    original_fsync = os.fsync

    def sync(descriptor):
        folder = os.path.dirname(os.readlink(f"/proc/self/fd/{descriptor}"))
        if folder in slow and not released.is_set():
            hanging.add(folder)
            released.wait(LIMIT_S)
        original_fsync(descriptor)

    monkeypatch.setattr("medlarhollow.storage.files.os.fsync", sync)
    replica = cluster.replicas[leader]
    proposal = asyncio.create_task(replica.propose(put_account("x")))
    await eventually(lambda: hanging == slow, LIMIT_S / 2)
    await asyncio.sleep(0.3)
    assert not proposal.done()
    assert replica.state.revision == 0
    assert replica.is_leader
    released.set()
    assert (await proposal).is_ok()


async def test_replica_is_added_and_removed(cluster):
    """Guards against a change of the replica set that loses the quorum, and
    against a removed replica that still leads."""
    leader = await cluster.leader()
    await propose_many(cluster, 120)
    cluster.names.append("d")
    await cluster.start("d")
    addition = SetReplicasRequest(Replica("d", address_of("d")))
    assert (await cluster.replicas[leader].set_replicas(addition)).is_ok()
    await eventually(lambda: has_vote(cluster, "d"))
    assert len(cluster.replicas["d"].state.accounts) == 120

    follower = cluster.others(leader)[0]
    removal = SetReplicasRequest(Replica(leader), remove=True)
    result = await cluster.replicas[follower].set_replicas(removal)
    assert result.is_ok()
    await eventually(lambda: not cluster.replicas[leader].is_leader)
    successor = await cluster.leader(*cluster.others(leader))
    assert leader not in [
        member.name for member in cluster.status(successor).replicas.replicas
    ]
    await cluster.stop(leader)
    await propose_many(cluster, 1, 120)
    unknown = SetReplicasRequest(Replica("z"), remove=True)
    rejected = await cluster.replicas[successor].set_replicas(unknown)
    assert rejected.err_value.kind is ErrorKind.NOT_FOUND


async def test_too_large_change_is_rejected(cluster):
    """Guards against an entry too large to be sent within a timeout."""
    replica = cluster.replicas[await cluster.leader()]
    result = await replica.propose(put_account("x" * 2_000_000, "r1"))
    assert result.err_value.kind is ErrorKind.TOO_LARGE


@pytest.mark.parametrize(
    ("previous", "term", "hint"),
    [(3, 1, None), (9, 1, 6), (6, 3, 4), (4, 2, 0), (0, 0, None)],
)
def test_conflict_hint(previous, term, hint):
    """Guards against a follower that accepts entries after a gap."""
    log = EntryLog()
    for index, entry_term in enumerate((1, 1, 1, 1, 2, 2), start=1):
        log.append(LogEntry(index=index, term=entry_term))
    request = AppendRequest(previous_index=previous, previous_term=term)
    assert find_conflict(log, request) == hint


async def test_replica_resumes_when_its_full_disk_has_space(
    tmp_path, monkeypatch
):
    """Guards against the loss of a replica whose disk rejects writes for a
    while: it must neither acknowledge nor exit, and must lose nothing."""
    cluster = FakeCluster(tmp_path)
    await cluster.start()
    leader = await cluster.leader()
    full = cluster.others(leader)[0]
    await cluster.replicas[leader].propose(put_account("before"))
    store = cluster.replicas[full]._store

    def reject(*arguments):
        raise OSError(errno.ENOSPC, "no space left on device")

    with monkeypatch.context() as patch:
        patch.setattr(store, "append", reject)
        patch.setattr(store, "save_hard_state", reject)
        result = await cluster.replicas[leader].propose(put_account("during"))
        assert result.is_ok()
        await asyncio.sleep(1.0)
        assert cluster.stopped == []
    await cluster.wait_until_caught_up(full)
    assert set(cluster.replicas[full].state.accounts) == {"before", "during"}
    assert cluster.stopped == []
    await cluster.stop()
