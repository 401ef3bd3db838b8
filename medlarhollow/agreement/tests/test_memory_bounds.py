"""Bounds in bytes of the log, its snapshots and the history."""

import hashlib
import random

import attrs
from hypothesis import given
from hypothesis import strategies as st
import pytest

from medlarhollow.agreement.log import EntryLog
from medlarhollow.agreement.proposals import MAX_PENDING_BYTES
from medlarhollow.configuration import apply
from medlarhollow.configuration import CommitHistory
from medlarhollow.configuration import FleetState
from medlarhollow.configuration.replacement import ACCEPTED_LIMIT
from medlarhollow.messages import encode
from medlarhollow.messages.records import AcceptedConfiguration
from medlarhollow.messages.records import Account
from medlarhollow.messages.records import Change
from medlarhollow.messages.records import Commit
from medlarhollow.messages.records import Configuration
from medlarhollow.messages.records import EntryKind
from medlarhollow.messages.records import ErrorKind
from medlarhollow.messages.records import LogEntry
from medlarhollow.messages.records import PutAccount
from medlarhollow.messages.records import PutConfiguration
from medlarhollow.messages.records import Route
from medlarhollow.messages.records import Service

from .fakes import eventually
from .fakes import FakeCluster

DOCUMENT_BYTES = 20_000
LIMIT_BYTES = 65_536
CHANGES = 40


def put_configuration(version, routes=20):
    document = random.Random(version).randbytes(DOCUMENT_BYTES)
    configuration = Configuration(
        version=version,
        services=(Service("plots", version="1"),),
        routes=tuple(
            Route(
                path_prefix=f"/idle{number}/",
                service="plots",
                timeout_s=1.0,
                attempts=1,
            )
            for number in range(routes)
        ),
        document=document,
        document_sha256=hashlib.sha256(document).digest(),
    )
    return Change(
        request_id=f"v{version}",
        author="operator",
        body=PutConfiguration(configuration, version - 1),
    )


def entry(index, name="crew"):
    change = Change(body=PutAccount(Account(name=name)))
    return LogEntry(index, term=1, kind=EntryKind.CHANGE, change=change)


def test_executed_entry_is_kept_encoded_only():
    """Guards the memory of a replica: a decoded change takes several times
    that of its encoding."""
    log = EntryLog()
    log.append(entry(1))
    assert log.entry(1) is log.entry(1)
    log.release(1)
    assert log.entry(1) == entry(1)
    assert log.entry(1) is not log.entry(1)
    assert log.batch(1, 10, 1000) == (encode(entry(1)),)


@given(st.lists(st.integers(1, 60), max_size=12), st.data())
def test_sizes_agree_with_a_naive_count(lengths, data):
    log = EntryLog()
    encodings = {}
    for index, length in enumerate(lengths, start=1):
        log.append(entry(index, "x" * length))
        encodings[index] = encode(entry(index, "x" * length))
    base = data.draw(st.integers(0, len(lengths)))
    log.compact(base)
    last = data.draw(st.integers(base, len(lengths)))
    log.truncate(last)

    def size(first, end):
        return sum(len(encodings[i]) for i in range(first + 1, end + 1))

    for index in range(base, last + 1):
        assert log.size_after(index) == size(index, last)
        limit = data.draw(st.integers(0, 300))
        retained = log.find_retained(index, 4, limit)
        assert base <= retained <= index
        assert index - retained <= 4
        assert size(retained, index) <= limit
        if retained > max(base, index - 4):
            assert size(retained - 1, index) > limit


def test_history_is_bounded_in_bytes(tmp_path):
    """Guards against 5000 whole configurations in memory."""
    settings = FakeCluster(tmp_path, history_bytes=200_000).settings("a")
    history = CommitHistory(settings)
    for revision in range(1, 31):
        history.add(Commit(revision, 0.0, put_configuration(revision)))
    assert history.after(0) is None
    kept = [commit.revision for commit in history.after(26)]
    assert kept == [27, 28, 29, 30]
    assert history.after(25) is None
    for revision in range(31, 400):
        change = Change(body=PutAccount(Account(name="crew")))
        history.add(Commit(revision, 0.0, change))
    assert len(history.after(300)) == 99
    # The last change is retained whatever its size.
    large = put_configuration(400, routes=500)
    history.add(Commit(400, 0.0, large))
    assert [commit.revision for commit in history.after(399)] == [400]


async def test_large_changes_are_compacted_before_many_entries(tmp_path):
    """Guards against control VMs that end for lack of memory, or fill their
    disk, after some hundred changes of a large configuration."""
    cluster = FakeCluster(
        tmp_path,
        snapshot_bytes=LIMIT_BYTES,
        history_bytes=LIMIT_BYTES,
        snapshot_entries=2000,
        election_timeout_s=0.3,
    )
    await cluster.start()
    leader = await cluster.leader()
    lagging = cluster.others(leader)[0]
    await cluster.stop(lagging)
    for version in range(1, CHANGES + 1):
        result = await cluster.replicas[leader].propose(
            put_configuration(version)
        )
        assert result.is_ok(), result
    entry_bytes = 2 * DOCUMENT_BYTES
    for name in cluster.replicas:
        replica = cluster.replicas[name]
        await eventually(
            lambda replica=replica: (
                replica._node.log.size_after(0) < 2 * LIMIT_BYTES
            )
        )
        on_disk = sum(
            path.stat().st_size for path in (tmp_path / name).iterdir()
        )
        assert on_disk < 4 * LIMIT_BYTES + entry_bytes
    assert 4 * LIMIT_BYTES + entry_bytes < CHANGES * DOCUMENT_BYTES
    await cluster.start(lagging)
    await cluster.wait_until_caught_up(lagging)
    state = cluster.replicas[lagging].state
    assert state.configuration_version == CHANGES
    await cluster.stop()


async def test_leader_without_quorum_bounds_the_pending_bytes(tmp_path):
    cluster = FakeCluster(tmp_path, election_timeout_s=2.0)
    await cluster.start()
    leader = await cluster.leader()
    node = cluster.replicas[leader]._node
    large = entry(node.log.last_index + 1, "x" * MAX_PENDING_BYTES)
    cluster.isolate(leader)
    node.log.append(attrs.evolve(large, term=node.hard.term))
    result = await cluster.replicas[leader].propose(put_configuration(1))
    assert result.err_value.kind is ErrorKind.OVERLOADED
    await cluster.stop()


@pytest.mark.parametrize("oldest", [1, 7])
def test_accepted_versions_are_bounded(oldest):
    state = FleetState(cluster="c", configuration_version=20_000)
    state.accepted = {
        version: AcceptedConfiguration(version, bytes(32))
        for version in range(oldest, oldest + ACCEPTED_LIMIT)
    }
    body = put_configuration(20_001).body
    assert apply(body, state, 0.0).is_ok()
    assert len(state.accepted) == ACCEPTED_LIMIT
    assert oldest not in state.accepted
    assert 20_001 in state.accepted
