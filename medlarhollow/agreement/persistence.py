"""Background tasks that write the log and snapshots to the disk."""

import asyncio

from ..messages import encode
from ..messages.records import LogSnapshot

__all__ = ["run_compaction", "run_log_writer"]


async def run_log_writer(node):
    """Sync the entries that the leader appends, by group commit.

    Proposals that arrive during one sync share the next one.

    Parameters
    ----------
    node : Node
        This replica.
    """
    while not node.failed:
        await node.flush_requested.wait()
        node.flush_requested.clear()
        async with node.lock:
            await node.sync_log()
        node.advance_commit()


async def run_compaction(node):
    """Write a snapshot whenever enough entries have been executed.

    Parameters
    ----------
    node : Node
        This replica.
    """
    # Keeps entries for followers that lag a little, so that they need no
    # snapshot.
    retained_entries = node.settings.control.snapshot_entries // 2
    retained_bytes = node.settings.control.snapshot_bytes // 2
    while not node.failed:
        await node.compaction_requested.wait()
        node.compaction_requested.clear()
        index = node.applied_index
        snapshot = LogSnapshot(
            index=index,
            term=node.log.term_at(index),
            replicas=node.log.replicas_at(index),
            state=node.state_machine.snapshot(),
        )
        payload = await asyncio.to_thread(encode, snapshot)
        async with node.lock:
            if index <= node.snapshot_index:
                continue
            # The log files must have no gap after the snapshot.
            await node.sync_log()
            await node.run_blocking(node.store.save_snapshot, payload, index)
            node.snapshot_index = index
            node.log.compact(
                node.log.find_retained(index, retained_entries, retained_bytes)
            )
