"""Joining the replica set without an operator."""

import asyncio
import functools
import logging

from grpclib.exceptions import GRPCError
from grpclib.exceptions import StreamTerminatedError

from .. import clock
from ..messages.records import Replica
from ..messages.records import SetReplicasRequest
from ..messages.services import ControlStub
from ..transport import call
from ..transport import first_result

__all__ = ["join_cluster"]

_LOG = logging.getLogger(__name__)
# Election timeouts without a leader after which a replica requests to be
# added: an election among the others takes up to two.
_LEADERLESS_TIMEOUTS = 3
# Limit for one request, in election timeouts: enough for the leader to commit
# an earlier change of the set and this one.
_REQUEST_TIMEOUTS = 3
# Heartbeats without a response after which further replicas are asked as well:
# several round trips between regions.
_STAGGER_HEARTBEATS = 2
_MAX_CONCURRENT = 16


async def join_cluster(node, channels):
    """Request to be added whenever this replica receives from no leader.

    Parameters
    ----------
    node : Node
        This replica.
    channels : Channels
        Connections to the other replicas.

    Notes
    -----
    The request goes to the replicas of the settings and to those of the last
    known set, which forward it to their leader. It has no effect if the set
    already names this replica at its address. A replica that was removed
    while it was unreachable rejoins in the same way.
    """
    if not node.settings.control.join:
        return
    timeout_s = node.settings.control.election_timeout_s
    leaderless_since = clock.monotonic()
    while not node.failed:
        await asyncio.sleep(timeout_s / 2)
        now = clock.monotonic()
        if node.has_leader(now):
            leaderless_since = now
        elif now - leaderless_since >= _LEADERLESS_TIMEOUTS * timeout_s:
            await _request_join_from_any(node, channels)


async def _request_join_from_any(node, channels):
    control = node.settings.control
    members = [replica.address for replica in node.log.replicas.replicas]
    addresses = dict.fromkeys([*control.replicas, *members])
    addresses.pop(node.address, None)
    await first_result(
        functools.partial(_request_join, node, channels),
        addresses,
        _STAGGER_HEARTBEATS * control.heartbeat_s,
        _MAX_CONCURRENT,
    )


async def _request_join(node, channels, address):
    """Return the address through which this replica was added, or None."""
    stub = ControlStub(channels.get(address))
    request = SetReplicasRequest(
        replica=Replica(
            name=node.identity.name,
            address=node.address,
            incarnation=node.identity.incarnation,
            data_centre=node.settings.vm.data_centre,
            successor=not node.identity.first_start,
        )
    )
    limit_s = _REQUEST_TIMEOUTS * node.settings.control.election_timeout_s
    try:
        response = await call(stub.SetReplicas, request, limit_s)
    except (GRPCError, StreamTerminatedError, OSError) as error:
        _LOG.info(
            "agreement: request to join through %s failed: %r", address, error
        )
        channels.drop(address)
        return None
    if response.failure is not None:
        detail = response.failure.detail
        _LOG.info(
            "agreement: request to join through %s was rejected: %s",
            address,
            detail,
        )
        return None
    _LOG.info("agreement: joined the replica set through %s", address)
    return address
