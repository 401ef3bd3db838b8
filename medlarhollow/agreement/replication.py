"""Handle log entries and snapshots sent by the leader."""

import asyncio

import attrs

from .. import clock
from ..messages import decode
from ..messages.records import AppendResponse
from ..messages.records import LogEntry
from ..messages.records import LogSnapshot
from ..messages.records import SnapshotResponse
from ..storage import StorageError
from .log import EntryLog
from .node import Role
from .votes import advance_term

__all__ = ["append_entries", "find_conflict", "install_snapshot_chunk"]

# A state of this size would not fit into the memory of a control VM.
SNAPSHOT_LIMIT_BYTES = 64 * 1024 * 1024


@attrs.define
class _IncomingSnapshot:
    """Snapshot that is being received in chunks."""

    term: int
    leader: str
    data: bytearray = attrs.field(factory=bytearray)


def find_conflict(log, request):
    """Check the consistency of an append request with the log.

    Parameters
    ----------
    log : EntryLog
        Log of this replica.
    request : AppendRequest
        Request of the leader.

    Returns
    -------
    int or None
        None if the log has the entry that precedes those of the request;
        else the highest index at which the logs may still match.
    """
    previous = request.previous_index
    if previous > log.last_index:
        return log.last_index
    if previous < log.base_index:
        return None
    if log.term_at(previous) == request.previous_term:
        return None
    # Skip all entries of the conflicting term (Raft, section 5.3).
    term = log.term_at(previous)
    while previous > log.base_index and log.term_at(previous) == term:
        previous -= 1
    return previous


async def append_entries(node, request):
    """Append entries of the leader and sync them.

    Parameters
    ----------
    node : Node
        This replica.
    request : AppendRequest
        Request of a replica that claims to lead.

    Returns
    -------
    AppendResponse
        Response to send; the entries it acknowledges are already synced.
    """
    async with node.lock:
        if not await _accept_leader(node, request):
            return _respond(node, 0, success=False)
        hint = find_conflict(node.log, request)
        if hint is not None:
            return _respond(node, hint, success=False)
        _merge_entries(node, request.entries)
        await node.sync_log()
        last = request.previous_index + len(request.entries)
        node.record_leader_contact(
            request.leader, request.leader_address, clock.monotonic()
        )
        node.commit_to(min(request.commit_index, last))
        return _respond(node, last, success=True)


async def install_snapshot_chunk(node, request):
    """Receive one chunk of a snapshot; the last one installs it.

    Parameters
    ----------
    node : Node
        This replica.
    request : SnapshotRequest
        Chunk of the encoding of a `LogSnapshot`.

    Returns
    -------
    SnapshotResponse
        `offset` is where the next chunk should begin.
    """
    async with node.lock:
        if not await _accept_leader(node, request):
            return _respond_chunk(node, 0)
        incoming = node.incoming_snapshot
        if request.offset == 0:
            incoming = _IncomingSnapshot(request.term, request.leader)
            node.incoming_snapshot = incoming
        sender = (request.term, request.leader)
        if incoming is None or sender != (incoming.term, incoming.leader):
            return _respond_chunk(node, 0)
        if request.offset == len(incoming.data):
            if request.offset + len(request.data) > SNAPSHOT_LIMIT_BYTES:
                raise StorageError(
                    f"the snapshot of {request.leader} exceeds "
                    f"{SNAPSHOT_LIMIT_BYTES} bytes"
                )
            incoming.data += request.data
            if request.done:
                node.incoming_snapshot = None
                await _install_snapshot(node, bytes(incoming.data))
                node.record_leader_contact(
                    request.leader, request.leader_address, clock.monotonic()
                )
        return _respond_chunk(node, len(incoming.data))


async def _accept_leader(node, request):
    """Accept the sender as leader; return False if its term is outdated."""
    if request.term < node.hard.term:
        return False
    await node.save_hard_state(advance_term(node.hard, request.term))
    if node.role is not Role.FOLLOWER:
        node.step_down()
    node.record_leader_contact(
        request.leader, request.leader_address, clock.monotonic()
    )
    return True


def _merge_entries(node, encodings):
    log = node.log
    for encoding in encodings:
        entry = decode(LogEntry, encoding)
        if entry.index <= log.base_index:
            continue
        if entry.index <= log.last_index:
            if log.term_at(entry.index) == entry.term:
                continue
            if entry.index <= node.commit_index:
                raise StorageError(
                    f"the leader replaces entry {entry.index}, which this "
                    "replica has committed"
                )
            log.truncate(entry.index - 1)
            node.synced_index = min(node.synced_index, entry.index - 1)
        log.append(entry, encoding)


async def _install_snapshot(node, payload):
    snapshot = await asyncio.to_thread(decode, LogSnapshot, payload)
    if snapshot.index <= node.applied_index:
        return
    log_continues = node.log.term_at(snapshot.index) == snapshot.term
    if log_continues:
        await node.sync_log()
    await node.run_blocking(
        node.store.save_snapshot, payload, snapshot.index, not log_continues
    )
    if log_continues:
        node.log.compact(snapshot.index)
    else:
        node.log = EntryLog(snapshot.index, snapshot.term, snapshot.replicas)
        node.synced_index = snapshot.index
    node.state_machine.restore(snapshot.state)
    node.snapshot_index = node.applied_index = snapshot.index
    node.commit_index = max(node.commit_index, snapshot.index)
    node.time_s = max(node.time_s, snapshot.state.time_s)
    node.notify_applied()


def _respond(node, last_index, success):
    return AppendResponse(
        term=node.hard.term,
        success=success,
        last_index=last_index,
        incarnation=node.identity.incarnation,
    )


def _respond_chunk(node, offset):
    return SnapshotResponse(
        term=node.hard.term,
        offset=offset,
        incarnation=node.identity.incarnation,
    )
