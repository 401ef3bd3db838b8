"""Join the replicas of a fleet without an operator's order."""

import asyncio
import logging
import time

from grpclib.exceptions import GRPCError
from grpclib.exceptions import StreamTerminatedError

from ..messages.records import Replica
from ..messages.records import SetReplicasRequest
from ..messages.services import ControlStub
from ..transport import call

__all__ = ["join_cluster"]

_LOG = logging.getLogger(__name__)
# Election timeouts without a leader after which a replica asks to be added:
# an election among the others takes up to two.
_LEADERLESS_TIMEOUTS = 3
# Limit for one request, in election timeouts; the leader commits a change of
# the set in it, and one before it.
_REQUEST_TIMEOUTS = 3


async def join_cluster(node, channels):
    """Ask to be added whenever no leader sends to this replica.

    Parameters
    ----------
    node : Node
        This replica.
    channels : Channels
        Connections to the other replicas.

    Notes
    -----
    The request goes to the replicas of the settings and to those of the last
    known set, which pass it on to their leader. It changes nothing for a
    replica that the set names already at its address. A replica that was
    removed while it could not be reached comes back in the same way.
    """
    if not node.settings.control.join:
        return
    timeout_s = node.settings.control.election_timeout_s
    leaderless_at = time.monotonic()
    while not node.failed:
        await asyncio.sleep(timeout_s / 2)
        now = time.monotonic()
        if node.has_leader(now):
            leaderless_at = now
        elif now - leaderless_at >= _LEADERLESS_TIMEOUTS * timeout_s:
            await _ask_all(node, channels)


async def _ask_all(node, channels):
    known = [replica.address for replica in node.log.replicas.replicas]
    for address in dict.fromkeys([*node.settings.control.replicas, *known]):
        if address != node.address and await _ask(node, channels, address):
            return


async def _ask(node, channels, address):
    """Return whether the replica at an address had this one added."""
    stub = ControlStub(channels.get(address))
    request = SetReplicasRequest(
        replica=Replica(
            name=node.identity.name,
            address=node.address,
            incarnation=node.identity.incarnation,
        )
    )
    limit_s = _REQUEST_TIMEOUTS * node.settings.control.election_timeout_s
    try:
        answer = await call(stub.SetReplicas, request, limit_s)
    except (GRPCError, StreamTerminatedError, OSError) as error:
        _LOG.info("agreement: asked %s to join: %r", address, error)
        channels.drop(address)
        return False
    if answer.failure is not None:
        detail = answer.failure.detail
        _LOG.info("agreement: asked %s to join: %s", address, detail)
        return False
    _LOG.info("agreement: joins the replicas, added through %s", address)
    return True
