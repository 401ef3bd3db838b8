"""Agree, as the leader, on one change or one replica set."""

import asyncio

from result import Ok

from ..errors import fail
from ..messages import encode
from ..messages.records import Applied
from ..messages.records import ErrorKind
from .leader import add_entry
from .leader import new_change_entry
from .leader import new_replicas_entry
from .replica_set import set_replicas
from .state_machine import is_claim_change

__all__ = ["agree_on_change", "agree_on_replicas", "expects_request_id"]

# A batch of entries and a part of a snapshot stay well below what a
# connection carries within an election timeout.
LIMIT_BYTES = 1024 * 1024
# Bounds the memory of a leader without a quorum.
LIMIT_WAITING = 4096


def expects_request_id(change):
    """Return whether a change is recognised by its request identifier.

    A claim is recognised by its idempotency key and attempt instead.
    """
    return not is_claim_change(change)


async def agree_on_change(node, change, timeout_s):
    """Append a change to the log and wait until it is executed.

    Parameters
    ----------
    node : Node
        The leader.
    change : Change
        The change.
    timeout_s : float
        Limit in seconds.

    Returns
    -------
    result.Result
        What the ledger said, or why there is no agreement.
    """
    if len(node.waiting) >= LIMIT_WAITING:
        return fail(
            ErrorKind.OVERLOADED, f"{LIMIT_WAITING} changes are waiting"
        )
    entry = new_change_entry(node, change)
    try:
        encoding = encode(entry)
    except ValueError as error:
        return fail(ErrorKind.BAD_REQUEST, str(error))
    if len(encoding) > LIMIT_BYTES:
        return fail(
            ErrorKind.TOO_LARGE,
            f"a change of {len(encoding)} bytes; at most {LIMIT_BYTES} are "
            "allowed",
        )
    return await _agree(node, entry, encoding, timeout_s)


async def agree_on_replicas(node, request, timeout_s):
    """Append a changed replica set and wait until it is committed.

    Parameters
    ----------
    node : Node
        The leader.
    request : SetReplicasRequest
        The operator's order.
    timeout_s : float
        Limit in seconds.

    Returns
    -------
    result.Result
        ``Ok`` with an `Applied`, or the failure; ``CONFLICT`` if an earlier
        change of the set is not committed in time.
    """
    if not await _wait_for_turn(node, timeout_s):
        return fail(
            ErrorKind.CONFLICT,
            "another change of the replica set is not committed yet",
            revision=node.ledger.state.revision,
        )
    planned = set_replicas(node.log.replicas, request)
    if planned.is_err():
        return planned
    if planned.ok_value == node.log.replicas:
        return Ok(Applied(revision=node.ledger.state.revision))
    entry = new_replicas_entry(node, planned.ok_value)
    result = await _agree(node, entry, None, timeout_s)
    return result or Ok(Applied(revision=node.ledger.state.revision))


async def _wait_for_turn(node, timeout_s):
    try:
        async with asyncio.timeout(timeout_s):
            while node.leads and not node.may_change_replicas:
                await node.applied.wait()
    except TimeoutError:
        return False
    return node.leads


async def _agree(node, entry, encoding, timeout_s):
    future = asyncio.get_running_loop().create_future()
    node.waiting[entry.index] = (entry.term, future)
    add_entry(node, entry, encoding)
    try:
        async with asyncio.timeout(timeout_s):
            return await future
    except TimeoutError:
        return fail(ErrorKind.NO_QUORUM, "no quorum has answered in time")
