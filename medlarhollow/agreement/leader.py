"""Leader role: replication to the followers, one task for each."""

import asyncio
import logging
import time

from grpclib.exceptions import GRPCError
from grpclib.exceptions import StreamTerminatedError

from .. import clock
from ..messages.records import AppendRequest
from ..messages.records import EntryKind
from ..messages.records import LogEntry
from ..messages.records import SnapshotRequest
from ..messages.services import RaftStub
from ..transport import call
from .node import Role
from .progress import Progress
from .replica_set import plan_removal
from .replica_set import plan_succession
from .replica_set import plan_vote_change
from .replica_set import voters_of

__all__ = [
    "append_entry",
    "become_leader",
    "lead",
    "new_change_entry",
    "new_replicas_entry",
]

_LOG = logging.getLogger(__name__)
_BATCH_ENTRIES = 128
_BATCH_BYTES = 1024 * 1024
# One chunk takes less than 1 ms at the 4 Gbit/s between regions.
_CHUNK_BYTES = 256 * 1024
# In election timeouts: the response to the last chunk of a snapshot is sent
# only after the state is restored.
_SNAPSHOT_TIMEOUT_FACTOR = 10
# In election timeouts: silence after which a replica with a successor is
# removed. An election and the requests after it take less.
_SUCCESSION_TIMEOUTS = 3


def become_leader(node, now):
    """Start the term with a no-op entry, so that earlier ones can commit."""
    node.role = Role.LEADER
    node.record_leader_contact(node.identity.name, node.address, now)
    node.elected_at = now
    node.progress = {}
    node.term_start = node.log.last_index + 1
    append_entry(node, _new_entry(node, EntryKind.NOOP))


def append_entry(node, entry, encoding=None):
    """Append an entry as the leader and request its sync and replication."""
    node.log.append(entry, encoding)
    node.flush_requested.set()
    node.wake_peers()


def _new_entry(node, kind, **content):
    node.time_s = max(node.time_s, time.time())
    return LogEntry(
        index=node.log.last_index + 1,
        term=node.hard.term,
        time_s=node.time_s,
        kind=kind,
        **content,
    )


def new_change_entry(node, change):
    """Return the next entry, with a change."""
    return _new_entry(node, EntryKind.CHANGE, change=change)


def new_replicas_entry(node, replicas):
    """Return the next entry, with a replica set."""
    return _new_entry(node, EntryKind.REPLICAS, replicas=replicas)


async def lead(node, channels):
    """Lead until the term ends or no quorum responds.

    Parameters
    ----------
    node : Node
        This replica, which was elected.
    channels : Channels
        Connections to the other replicas.
    """
    term = node.hard.term
    tasks = {}
    try:
        async with asyncio.TaskGroup() as group:
            while node.leads and node.hard.term == term:
                now = clock.monotonic()
                _sync_peer_tasks(node, channels, group, tasks, now)
                _check_quorum(node, now)
                _update_voters(node, now)
                await asyncio.sleep(node.settings.control.heartbeat_s)
            for task in tasks.values():
                task.cancel()
    finally:
        if node.leads and node.hard.term == term:
            node.step_down()


def _sync_peer_tasks(node, channels, group, tasks, now):
    """Start and cancel replication tasks to match the replica set."""
    followers = {
        replica.name: replica
        for replica in node.log.replicas.replicas
        if not node.is_self(replica)
    }
    for name in list(node.progress):
        current = node.progress[name].replica
        replica = followers.get(name)
        if replica is not None and _is_same_process(current, replica):
            node.progress[name].replica = replica
        else:
            del node.progress[name]
            tasks.pop(name).cancel()
    for name, replica in followers.items():
        if name not in node.progress:
            progress = Progress(replica, node.log.last_index + 1, now)
            node.progress[name] = progress
            tasks[name] = group.create_task(
                _replicate_to(node, progress, channels)
            )


def _is_same_process(current, other):
    return (current.address, current.incarnation) == (
        other.address,
        other.incarnation,
    )


def _check_quorum(node, now):
    """Step down if removed, or without a quorum for an election timeout."""
    age_s = min(node.quorum_ack_age_s(now), now - node.elected_at)
    is_member = any(map(node.is_self, node.log.replicas.replicas))
    removed = not is_member and node.commit_index >= node.log.replicas_index
    if removed or age_s > node.settings.control.election_timeout_s:
        _LOG.warning(
            "agreement: steps down: %s",
            "removed from the replica set"
            if removed
            else "no quorum responds",
        )
        node.step_down()


def _update_voters(node, now):
    """Remove replaced replicas; change votes as progress requires."""
    _remove_replaced(node, now)
    timeout_s = node.settings.control.election_timeout_s
    for progress in node.progress.values():
        if not node.may_change_replicas:
            return
        if now - progress.responded_at > timeout_s:
            continue
        replicas = plan_vote_change(
            node.log.replicas, progress, node.commit_index
        )
        if replicas is not None:
            _LOG.info(
                "agreement: changes the vote of replica %s, incarnation %s",
                progress.replica.name,
                progress.reported_incarnation,
            )
            append_entry(node, new_replicas_entry(node, replicas))
    _remove_unreachable(node, now)


def _remove_replaced(node, now):
    """Remove a silent replica whose successor has caught up."""
    control = node.settings.control
    if not control.removal_s or not node.may_change_replicas:
        return
    replicas = plan_succession(
        node.log.replicas,
        _list_silences(node, now),
        _list_caught_up(node),
        _SUCCESSION_TIMEOUTS * control.election_timeout_s,
    )
    if replicas is not None:
        _log_removal(node, replicas, now, "which has a successor")
        append_entry(node, new_replicas_entry(node, replicas))


def _remove_unreachable(node, now):
    """Remove a replica unresponsive for `removal_s`, if that is set."""
    limit_s = node.settings.control.removal_s
    if not limit_s or not node.may_change_replicas:
        return
    silent_s = _list_silences(node, now)
    replicas = plan_removal(node.log.replicas, silent_s, limit_s)
    if replicas is not None:
        _log_removal(node, replicas, now, "which is unresponsive")
        append_entry(node, new_replicas_entry(node, replicas))


def _list_silences(node, now):
    return {
        name: progress.silent_s(now)
        for name, progress in node.progress.items()
    }


def _list_caught_up(node):
    """Return the names of the replicas that hold all committed entries."""
    followers = {
        name
        for name, progress in node.progress.items()
        if progress.reported_incarnation == progress.replica.incarnation
        and progress.match_index >= node.commit_index
    }
    return frozenset(followers | {node.identity.name})


def _log_removal(node, replicas, now, reason):
    """Log which replica is removed and what is known of its silence."""
    kept = {replica.name for replica in replicas.replicas}
    for replica in node.log.replicas.replicas:
        if replica.name in kept:
            continue
        progress = node.progress[replica.name]
        responded = progress.responded_at > float("-inf")
        _LOG.warning(
            "agreement: removes replica %s at %s, a %s %s, sent to for "
            "%.3f s, last response %s; %d voters remain",
            replica.name,
            replica.address,
            "voter" if replica.voter else "non-voter",
            reason,
            now - progress.started_at,
            f"{now - progress.responded_at:.3f} s ago"
            if responded
            else "none",
            len(voters_of(replicas)),
        )


async def _replicate_to(node, progress, channels):
    """Send entries, snapshots and heartbeats to one follower."""
    heartbeat_s = node.settings.control.heartbeat_s
    address = progress.replica.address
    term = node.hard.term
    while node.leads and node.hard.term == term:
        progress.wake.clear()
        stub = RaftStub(channels.get(address))
        try:
            if progress.next_index <= node.log.base_index:
                await _send_snapshot(node, progress, stub)
            else:
                await _send_entries(node, progress, stub)
        except (GRPCError, StreamTerminatedError, OSError, TimeoutError):
            channels.drop(address)
            await asyncio.sleep(heartbeat_s)
            continue
        if progress.next_index > node.log.last_index:
            await _wait_for_event(progress.wake, heartbeat_s)


async def _wait_for_event(event, timeout_s):
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return


async def _send_entries(node, progress, stub):
    previous = progress.next_index - 1
    entries = node.log.batch(previous + 1, _BATCH_ENTRIES, _BATCH_BYTES)
    request = AppendRequest(
        cluster=node.identity.cluster,
        leader=node.identity.name,
        leader_address=node.address,
        term=node.hard.term,
        previous_index=previous,
        previous_term=node.log.term_at(previous),
        commit_index=node.commit_index,
        entries=entries,
    )
    sent_at = clock.monotonic()
    timeout_s = node.settings.control.election_timeout_s
    response = await call(stub.Append, request, timeout_s)
    if not await _record_response(
        node, progress, response, request.term, sent_at
    ):
        return
    if response.success:
        progress.next_index = response.last_index + 1
        progress.match_index = max(progress.match_index, response.last_index)
        node.advance_commit()
        return
    if response.last_index < progress.match_index:
        _LOG.error(
            "agreement: replica %s has lost entries that it had synced",
            progress.replica.name,
        )
        progress.match_index = 0
    progress.next_index = max(1, min(previous, response.last_index + 1))


async def _record_response(node, progress, response, term, sent_at):
    """Record a response; return whether it counts for the quorum."""
    if response.term > node.hard.term:
        await node.observe_term(response.term)
        return False
    if not node.leads or node.hard.term != term:
        return False
    expected = progress.replica.incarnation
    progress.reported_incarnation = response.incarnation
    progress.responded_at = max(progress.responded_at, sent_at)
    if expected != response.incarnation:
        # After the loss of its disk a replica has no matching entries, and
        # its new incarnation has no vote, so it does not count for the quorum.
        progress.match_index = 0
        progress.next_index = node.log.last_index + 1
        await asyncio.sleep(node.settings.control.heartbeat_s)
        return False
    progress.acked_at = max(progress.acked_at, sent_at)
    return True


async def _send_snapshot(node, progress, stub):
    # The snapshot file is at least as new as the index, which is read first.
    index = node.snapshot_index
    payload = await node.run_blocking(node.store.read_snapshot)
    term = node.hard.term
    timeout_s = (
        _SNAPSHOT_TIMEOUT_FACTOR * node.settings.control.election_timeout_s
    )
    offset = 0
    _LOG.info(
        "agreement: sends a snapshot to replica %s, %d bytes",
        progress.replica.name,
        len(payload),
    )
    while node.leads and node.hard.term == term:
        chunk = payload[offset : offset + _CHUNK_BYTES]
        done = offset + len(chunk) == len(payload)
        request = SnapshotRequest(
            cluster=node.identity.cluster,
            leader=node.identity.name,
            leader_address=node.address,
            term=term,
            offset=offset,
            data=chunk,
            done=done,
        )
        sent_at = clock.monotonic()
        response = await call(stub.InstallSnapshot, request, timeout_s)
        if not await _record_response(node, progress, response, term, sent_at):
            return
        offset = response.offset
        if done and offset == len(payload):
            progress.next_index = index + 1
            progress.match_index = max(progress.match_index, index)
            node.advance_commit()
            return
