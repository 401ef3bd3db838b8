"""Replicate, as the leader, a change or a replica set."""

import asyncio

from result import Ok

from ..errors import fail
from ..messages import encode
from ..messages.records import Applied
from ..messages.records import ErrorKind
from .leader import append_entry
from .leader import new_change_entry
from .leader import new_replicas_entry
from .replica_set import plan_requested_change
from .state_machine import is_ledger_change

__all__ = ["expects_request_id", "propose_change", "propose_replicas"]

# Keeps a batch of entries and a chunk of a snapshot well below what a
# connection transfers within an election timeout.
MAX_CHANGE_BYTES = 1024 * 1024
# Bound the memory of a leader that has lost its quorum.
MAX_PENDING_PROPOSALS = 4096
MAX_PENDING_BYTES = 16 * 1024 * 1024


def expects_request_id(change):
    """Return whether a change is deduplicated by its request identifier.

    A claim is deduplicated by its idempotency key and attempt instead, a
    change of the usage reports by its token and window.
    """
    return not is_ledger_change(change)


async def propose_change(node, change, timeout_s):
    """Append a change to the log and wait until it is executed.

    Parameters
    ----------
    node : Node
        The leader.
    change : Change
        The proposed change.
    timeout_s : float
        Limit in seconds.

    Returns
    -------
    result.Result
        The result of the state machine, or the reason why the change was not
        committed.
    """
    if len(node.pending_proposals) >= MAX_PENDING_PROPOSALS:
        return fail(
            ErrorKind.OVERLOADED,
            f"{MAX_PENDING_PROPOSALS} changes are pending",
        )
    entry = new_change_entry(node, change)
    try:
        encoding = encode(entry)
    except ValueError as error:
        return fail(ErrorKind.BAD_REQUEST, str(error))
    if len(encoding) > MAX_CHANGE_BYTES:
        return fail(
            ErrorKind.TOO_LARGE,
            f"the change has {len(encoding)} bytes; at most "
            f"{MAX_CHANGE_BYTES} are allowed",
        )
    pending_bytes = node.log.size_after(node.commit_index)
    if pending_bytes + len(encoding) > MAX_PENDING_BYTES:
        return fail(
            ErrorKind.OVERLOADED,
            f"changes of {pending_bytes} bytes are pending",
        )
    return await _commit(node, entry, encoding, timeout_s)


async def propose_replicas(node, request, timeout_s):
    """Append a new replica set and wait until it is committed.

    Parameters
    ----------
    node : Node
        The leader.
    request : SetReplicasRequest
        Requested change of the set.
    timeout_s : float
        Limit in seconds.

    Returns
    -------
    result.Result
        ``Ok`` with an `Applied`, or the failure; ``CONFLICT`` if an earlier
        change of the set is not committed in time.
    """
    if not await _wait_for_earlier_change(node, timeout_s):
        return fail(
            ErrorKind.CONFLICT,
            "an earlier change of the replica set is not committed yet",
            revision=node.state_machine.state.revision,
        )
    planned = plan_requested_change(node.log.replicas, request)
    if planned.is_err():
        return planned
    if planned.ok_value == node.log.replicas:
        return Ok(Applied(revision=node.state_machine.state.revision))
    entry = new_replicas_entry(node, planned.ok_value)
    result = await _commit(node, entry, None, timeout_s)
    return result or Ok(Applied(revision=node.state_machine.state.revision))


async def _wait_for_earlier_change(node, timeout_s):
    try:
        async with asyncio.timeout(timeout_s):
            while node.leads and not node.may_change_replicas:
                await node.applied.wait()
    except TimeoutError:
        return False
    return node.leads


async def _commit(node, entry, encoding, timeout_s):
    future = asyncio.get_running_loop().create_future()
    node.pending_proposals[entry.index] = (entry.term, future)
    append_entry(node, entry, encoding)
    try:
        async with asyncio.timeout(timeout_s):
            return await future
    except TimeoutError:
        return fail(ErrorKind.NO_QUORUM, "no quorum has responded in time")
