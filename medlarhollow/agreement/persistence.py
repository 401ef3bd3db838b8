"""Tasks that bring the log and snapshots to the disk."""

import asyncio

from ..messages import encode
from ..messages.records import LogSnapshot

__all__ = ["run_compaction", "run_writer"]


async def run_writer(node):
    """Sync what the leader appends; many proposals share one sync.

    Parameters
    ----------
    node : Node
        This replica.
    """
    while not node.failed:
        await node.flush.wait()
        node.flush.clear()
        async with node.lock:
            await node.sync_log()
        node.advance_commit()


async def run_compaction(node):
    """Write a snapshot whenever enough entries were executed.

    Parameters
    ----------
    node : Node
        This replica.
    """
    # Followers that are a little behind get entries, not the snapshot.
    kept = node.settings.control.snapshot_entries // 2
    while not node.failed:
        await node.compaction.wait()
        node.compaction.clear()
        index = node.applied_index
        snapshot = LogSnapshot(
            index=index,
            term=node.log.term_at(index),
            replicas=node.log.replicas_at(index),
            state=node.ledger.snapshot(),
        )
        payload = await asyncio.to_thread(encode, snapshot)
        async with node.lock:
            if index <= node.snapshot_index:
                continue
            # The log file must have no gap behind the snapshot.
            await node.sync_log()
            await node.on_disk(node.store.save_snapshot, payload, index)
            node.snapshot_index = index
            node.log.compact(index - kept)
