"""Form a new cluster of replicas with empty folders."""

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

__all__ = ["form_cluster", "plan_cluster"]

_LOG = logging.getLogger(__name__)


async def form_cluster(node, channels):
    """Write the first log entry, if this replica is the one to do so.

    Parameters
    ----------
    node : Node
        This replica.
    channels : Channels
        Connections to the other replicas.

    Notes
    -----
    Only the replica with the lowest address forms a cluster, and only after
    all replicas of the settings have answered that their folders are empty.
    So a replica that lost its disk never forms a second cluster: the others
    hold a log. They accept the first entry, with the incarnations that were
    asked, from the leader.
    """
    control = node.settings.control
    if node.address not in control.replicas and node.log.last_index == 0:
        _LOG.warning(
            "agreement: [control] replicas does not name this replica's "
            "address %s; it waits for an operator to add it",
            node.address,
        )
    if not control.bootstrap or node.address != min(control.replicas):
        return
    others = [known for known in control.replicas if known != node.address]
    if node.log.last_index == 0:
        _LOG.info(
            "agreement: the folder is empty; forms a cluster when %s have "
            "answered that theirs are, too, or joins theirs",
            ", ".join(others) or "no others",
        )
    while node.log.last_index == 0 and not node.failed:
        statuses = await asyncio.gather(
            *(_ask_status(node, channels, address) for address in others)
        )
        own = Replica(
            name=node.identity.name,
            address=node.address,
            incarnation=node.identity.incarnation,
            voter=True,
        )
        asked = dict(zip(others, statuses, strict=True))
        replicas = plan_cluster(node.identity.cluster, own, asked)
        async with node.lock:
            if replicas is not None and node.log.last_index == 0:
                node.log.append(
                    LogEntry(1, kind=EntryKind.REPLICAS, replicas=replicas)
                )
                await node.sync_log()
                _LOG.info(
                    "agreement: forms a cluster of %d replicas",
                    len(replicas.replicas),
                )
                return
        await asyncio.sleep(control.heartbeat_s)


def plan_cluster(cluster, own, statuses):
    """Return the first replica set, if the cluster may be formed.

    Parameters
    ----------
    cluster : str
        Identity of the fleet.
    own : Replica
        This replica.
    statuses : dict
        `ReplicaStatus` or None of each other replica, by address.

    Returns
    -------
    ReplicaSet or None
        None unless all replicas answered and none holds a log.
    """
    replicas = [own]
    for address, status in statuses.items():
        if status is None or status.cluster != cluster:
            return None
        if not status.incarnation or status.last_index > 0:
            return None
        replicas.append(
            Replica(status.name, address, status.incarnation, voter=True)
        )
    replicas.sort(key=lambda known: known.name)
    if len({known.name for known in replicas}) < len(replicas):
        return None
    return ReplicaSet(replicas=tuple(replicas))


async def _ask_status(node, channels, address):
    timeout_s = node.settings.control.election_timeout_s
    stub = ControlStub(channels.get(address))
    try:
        return await call(stub.Status, StatusRequest(), timeout_s)
    except (GRPCError, StreamTerminatedError, OSError, TimeoutError):
        channels.drop(address)
        return None
