"""Bootstrap of a new cluster from replicas with empty data folders."""

import asyncio
import logging

from grpclib.exceptions import GRPCError
from grpclib.exceptions import StreamTerminatedError

from ..messages.records import EntryKind
from ..messages.records import LogEntry
from ..messages.records import Replica
from ..messages.records import ReplicaSet
from ..messages.records import StatusRequest
from ..messages.services import ControlStub
from ..transport import call

__all__ = ["bootstrap_cluster", "plan_bootstrap"]

_LOG = logging.getLogger(__name__)


async def bootstrap_cluster(node, channels):
    """Write the first log entry, if this replica has to bootstrap.

    Parameters
    ----------
    node : Node
        This replica.
    channels : Channels
        Connections to the other replicas.

    Notes
    -----
    Only the replica with the lowest address bootstraps a cluster, and only
    after all replicas of the settings have reported empty data folders. So a
    replica that lost its disk never bootstraps a second cluster, since the
    others have a log. The others receive the first entry, which names the
    incarnations they reported, from the leader.
    """
    control = node.settings.control
    if node.address not in control.replicas and node.log.last_index == 0:
        _LOG.warning(
            "agreement: [control] replicas does not name this replica's "
            "address %s; waits until it is added to the replica set",
            node.address,
        )
    if not control.bootstrap or node.address != min(control.replicas):
        return
    others = [other for other in control.replicas if other != node.address]
    if node.log.last_index == 0:
        _LOG.info(
            "agreement: the data folder is empty; bootstraps a cluster when "
            "the other replicas (%s) report the same, or joins theirs",
            ", ".join(others) or "none",
        )
    while node.log.last_index == 0 and not node.failed:
        statuses = await asyncio.gather(
            *(_fetch_status(node, channels, address) for address in others)
        )
        local = Replica(
            name=node.identity.name,
            address=node.address,
            incarnation=node.identity.incarnation,
            voter=True,
        )
        reported = dict(zip(others, statuses, strict=True))
        replicas = plan_bootstrap(node.identity.cluster, local, reported)
        async with node.lock:
            if replicas is not None and node.log.last_index == 0:
                node.log.append(
                    LogEntry(1, kind=EntryKind.REPLICAS, replicas=replicas)
                )
                await node.sync_log()
                _LOG.info(
                    "agreement: bootstraps a cluster of %d replicas",
                    len(replicas.replicas),
                )
                return
        await asyncio.sleep(control.heartbeat_s)


def plan_bootstrap(cluster, local, statuses):
    """Return the first replica set, if the cluster may be bootstrapped.

    Parameters
    ----------
    cluster : str
        Name of the cluster.
    local : Replica
        This replica.
    statuses : dict
        `ReplicaStatus` of each other replica by address; None for one that
        did not respond.

    Returns
    -------
    ReplicaSet or None
        None unless all replicas responded and none has a log.
    """
    replicas = [local]
    for address, status in statuses.items():
        if status is None or status.cluster != cluster:
            return None
        if not status.incarnation or status.last_index > 0:
            return None
        replicas.append(
            Replica(status.name, address, status.incarnation, voter=True)
        )
    replicas.sort(key=lambda replica: replica.name)
    if len({replica.name for replica in replicas}) < len(replicas):
        return None
    return ReplicaSet(replicas=tuple(replicas))


async def _fetch_status(node, channels, address):
    timeout_s = node.settings.control.election_timeout_s
    stub = ControlStub(channels.get(address))
    try:
        return await call(stub.Status, StatusRequest(), timeout_s)
    except (GRPCError, StreamTerminatedError, OSError, TimeoutError):
        channels.drop(address)
        return None
