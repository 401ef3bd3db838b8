"""Confirm leadership before the state is read."""

import asyncio

from .. import clock

__all__ = ["wait_for_quorum_acks"]

# Time between two checks of the acknowledgements; short against the round
# trip of 40 ms between regions.
_POLL_S = 0.01


async def wait_for_quorum_acks(node, timeout_s):
    """Wait until a quorum has acknowledged messages sent after the call.

    Parameters
    ----------
    node : Node
        This replica.
    timeout_s : float
        Limit in seconds.

    Returns
    -------
    bool
        True if its state includes every change that was acknowledged before
        the call (the read index of Ongaro 2014, section 6.4); False after
        the limit or if this replica does not lead. The clock alone is not
        enough: a process that was suspended may have lost its leadership.
    """
    requested_at = clock.monotonic()
    while node.is_ready:
        now = clock.monotonic()
        if node.quorum_ack_age_s(now) < now - requested_at:
            return True
        if now - requested_at >= timeout_s:
            return False
        node.wake_peers()
        await asyncio.sleep(_POLL_S)
    return False
