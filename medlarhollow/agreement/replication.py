"""Take log entries and snapshots from the leader."""

import asyncio
import time

import attrs

from ..messages import decode
from ..messages.records import AppendResponse
from ..messages.records import LogSnapshot
from ..messages.records import SnapshotResponse
from ..storage import StorageError
from .log import EntryLog
from .node import Role
from .votes import with_term

__all__ = ["find_conflict", "take_entries", "take_snapshot_part"]


@attrs.define
class _Incoming:
    """Snapshot of which parts have arrived."""

    term: int
    leader: str
    data: bytearray = attrs.field(factory=bytearray)


def find_conflict(log, request):
    """Compare a request with the log.

    Parameters
    ----------
    log : EntryLog
        The log of this replica.
    request : AppendRequest
        From the leader.

    Returns
    -------
    int or None
        None if the log holds the entry that the request continues; else
        the highest index at which the leader may try next.
    """
    previous = request.previous_index
    if previous > log.last_index:
        return log.last_index
    if previous < log.base_index:
        return None
    if log.term_at(previous) == request.previous_term:
        return None
    # Skip all entries of the term that conflicts (Raft, section 5.3).
    term = log.term_at(previous)
    while previous > log.base_index and log.term_at(previous) == term:
        previous -= 1
    return previous


async def take_entries(node, request):
    """Take entries from the leader and sync them.

    Parameters
    ----------
    node : Node
        This replica.
    request : AppendRequest
        From a replica that claims to lead.

    Returns
    -------
    AppendResponse
        Sent after the entries are synced.
    """
    async with node.lock:
        if not await _follow(node, request):
            return _respond(node, 0, success=False)
        hint = find_conflict(node.log, request)
        if hint is not None:
            return _respond(node, hint, success=False)
        _merge(node, request.entries)
        await node.sync_log()
        last = request.previous_index + len(request.entries)
        node.hear(request.leader, request.leader_address, time.monotonic())
        node.commit_to(min(request.commit_index, last))
        return _respond(node, last, success=True)


async def take_snapshot_part(node, request):
    """Take one part of a snapshot, and install it with the last one.

    Parameters
    ----------
    node : Node
        This replica.
    request : SnapshotRequest
        Part of the encoding of a `LogSnapshot`.

    Returns
    -------
    SnapshotResponse
        `offset` is where the leader should go on.
    """
    async with node.lock:
        if not await _follow(node, request):
            return _respond_part(node, 0)
        incoming = node.incoming
        if request.offset == 0:
            incoming = _Incoming(request.term, request.leader)
            node.incoming = incoming
        sender = (request.term, request.leader)
        if incoming is None or sender != (incoming.term, incoming.leader):
            return _respond_part(node, 0)
        if request.offset == len(incoming.data):
            incoming.data += request.data
            if request.done:
                node.incoming = None
                await _install(node, bytes(incoming.data))
                node.hear(
                    request.leader, request.leader_address, time.monotonic()
                )
        return _respond_part(node, len(incoming.data))


async def _follow(node, request):
    """Follow the sender unless its term is over; return whether it is not."""
    if request.term < node.hard.term:
        return False
    await node.save_hard_state(with_term(node.hard, request.term))
    if node.role is not Role.FOLLOWER:
        node.step_down()
    node.hear(request.leader, request.leader_address, time.monotonic())
    return True


def _merge(node, entries):
    log = node.log
    for entry in entries:
        if entry.index <= log.base_index:
            continue
        if entry.index <= log.last_index:
            if log.term_at(entry.index) == entry.term:
                continue
            if entry.index <= node.commit_index:
                raise StorageError(
                    f"the leader replaces entry {entry.index}, which is "
                    "committed here"
                )
            log.truncate(entry.index - 1)
            node.synced_index = min(node.synced_index, entry.index - 1)
        log.append(entry)


async def _install(node, payload):
    snapshot = await asyncio.to_thread(decode, LogSnapshot, payload)
    if snapshot.index <= node.applied_index:
        return
    continues = node.log.term_at(snapshot.index) == snapshot.term
    if continues:
        await node.sync_log()
    await node.on_disk(
        node.store.save_snapshot, payload, snapshot.index, not continues
    )
    if continues:
        node.log.compact(snapshot.index)
    else:
        node.log = EntryLog(snapshot.index, snapshot.term, snapshot.replicas)
        node.synced_index = snapshot.index
    node.ledger.restore(snapshot.state)
    node.snapshot_index = node.applied_index = snapshot.index
    node.commit_index = max(node.commit_index, snapshot.index)
    node.time_s = max(node.time_s, snapshot.state.time_s)
    node.notify()


def _respond(node, last_index, success):
    return AppendResponse(
        term=node.hard.term,
        success=success,
        last_index=last_index,
        incarnation=node.identity.incarnation,
    )


def _respond_part(node, offset):
    return SnapshotResponse(
        term=node.hard.term,
        offset=offset,
        incarnation=node.identity.incarnation,
    )
