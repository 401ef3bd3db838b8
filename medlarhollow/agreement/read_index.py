"""Prove that a leader still leads, before its state is read."""

import asyncio
import time

__all__ = ["wait_for_quorum_acks"]

# Time between looks at the answers of the other replicas; a round trip
# between regions takes 40 ms.
_LOOK_S = 0.01


async def wait_for_quorum_acks(node, timeout_s):
    """Wait until a quorum has answered messages sent after the call.

    Parameters
    ----------
    node : Node
        This replica.
    timeout_s : float
        Limit in seconds.

    Returns
    -------
    bool
        True if its state holds every change that was acknowledged before the
        call (the read index of Ongaro 2014, section 6.4). A leader that was
        frozen cannot tell by its clock alone.
    """
    asked_at = time.monotonic()
    while node.is_ready:
        now = time.monotonic()
        if node.proof_age_s(now) < now - asked_at:
            return True
        if now - asked_at >= timeout_s:
            return False
        node.wake_peers()
        await asyncio.sleep(_LOOK_S)
    return False
