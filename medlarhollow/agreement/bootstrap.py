"""Bootstrap of a new cluster from replicas with empty data folders."""

import asyncio
import logging

import attrs
from grpclib.exceptions import GRPCError
from grpclib.exceptions import StreamTerminatedError

from .. import clock
from ..messages.records import BootstrapRequest
from ..messages.records import BootstrapResponse
from ..messages.records import EntryKind
from ..messages.records import LogEntry
from ..messages.records import Replica
from ..messages.records import StatusRequest
from ..messages.services import ControlStub
from ..messages.services import RaftStub
from ..transport import call
from .first_set import choose_replicas
from .first_set import decide_proposal
from .first_set import next_ballot
from .first_set import seed_quorum

__all__ = [
    "bootstrap_cluster",
    "handle_bootstrap_request",
    "list_new_seeds",
    "proposal_delay_s",
]

_LOG = logging.getLogger(__name__)
_RPC_ERRORS = (GRPCError, StreamTerminatedError, OSError, TimeoutError)
# Election timeouts for which a majority of new seeds waits for late ones,
# which would have to join later.
_LATE_SEED_TIMEOUTS = 3
# Election timeouts between the proposals of two seeds, so that the second one
# proposes only if the first one is lost.
_RANK_TIMEOUTS = 2
# Failed proposals after which the times of a seed grow no further.
_MAX_DOUBLINGS = 4


async def bootstrap_cluster(node, channels):
    """Agree on the first log entry with the other seeds, and write it.

    Parameters
    ----------
    node : Node
        This replica.
    channels : Channels
        Connections to the other replicas.

    Notes
    -----
    The replicas of the settings that were created at the first start of the
    fleet vote on the first replica set; see :mod:`first_set`. A majority of
    them suffices if the others can join without an operator. A replica that
    lost its disk has no vote, and none proposes while one that it reaches has
    a log, so that there is never a second cluster.
    """
    control = node.settings.control
    if node.address not in control.replicas and node.log.last_index == 0:
        _LOG.warning(
            "agreement: [control] replicas does not name this replica's "
            "address %s; waits until it is added to the replica set",
            node.address,
        )
    if not node.may_bootstrap:
        return
    others = [other for other in control.replicas if other != node.address]
    _LOG.info(
        "agreement: the data folder is empty; bootstraps a cluster with the "
        "other replicas (%s) that report the same, or joins theirs",
        ", ".join(others) or "none",
    )
    waits_since = None
    failures = 0
    known_vote = node.bootstrap_vote
    votes = [node.bootstrap_vote]
    while node.may_bootstrap and not node.failed:
        statuses = await asyncio.gather(
            *(_fetch_status(node, channels, address) for address in others)
        )
        reported = dict(zip(others, statuses, strict=True))
        new_seeds = list_new_seeds(node.identity.cluster, reported)
        now = clock.monotonic()
        has_quorum = new_seeds is not None and len(
            new_seeds
        ) + 1 >= seed_quorum(control)
        # A proposal of another seed that this one has a part in goes first.
        if waits_since is None or node.bootstrap_vote != known_vote:
            waits_since = now
        known_vote = node.bootstrap_vote
        if not has_quorum:
            waits_since = None
        elif now - waits_since >= proposal_delay_s(
            node.address, new_seeds, control, failures
        ):
            if await _propose(node, channels, new_seeds, votes, failures):
                return
            failures += 1
            known_vote = node.bootstrap_vote
            waits_since = clock.monotonic()
        await asyncio.sleep(control.heartbeat_s)


async def handle_bootstrap_request(node, request):
    """Vote on a proposal of the first replica set.

    Parameters
    ----------
    node : Node
        This replica.
    request : BootstrapRequest
        Request of a seed, which may be this one.

    Returns
    -------
    BootstrapResponse
        Its vote is synced.
    """
    async with node.lock:
        granted = False
        if node.may_bootstrap:
            vote, granted = decide_proposal(node.bootstrap_vote, request)
            await node.save_bootstrap_vote(vote)
        return BootstrapResponse(
            granted=granted,
            vote=node.bootstrap_vote,
            replica=Replica(
                name=node.identity.name,
                address=node.address,
                incarnation=node.identity.incarnation,
                voter=True,
                data_centre=node.settings.vm.data_centre,
            ),
        )


def list_new_seeds(cluster, statuses):
    """Return the other seeds that may take part in the first replica set.

    Parameters
    ----------
    cluster : str
        Name of the cluster.
    statuses : dict
        `ReplicaStatus` of each other seed by address; None for one that did
        not respond.

    Returns
    -------
    list of str or None
        Addresses; None if one of the seeds has a log, so that there is a
        cluster to join.
    """
    known = {
        address: status
        for address, status in statuses.items()
        if status is not None and status.cluster == cluster
    }
    if any(status.last_index > 0 for status in known.values()):
        return None
    return sorted(
        address
        for address, status in known.items()
        if status.incarnation and status.may_bootstrap
    )


def proposal_delay_s(address, new_seeds, control, failures=0):
    """Return how long a seed waits before it proposes, in seconds.

    Parameters
    ----------
    address : str
        Address of this seed.
    new_seeds : list of str
        Addresses of the other seeds that may take part.
    control : ControlSettings
        Settings of the replicas.
    failures : int
        Its proposals that failed. The time grows with them, so that seeds with
        slow disks do not go on ending each other's proposals.
    """
    rank = sum(other < address for other in new_seeds)
    timeouts = _RANK_TIMEOUTS * rank
    timeouts += (rank + 1) * (_growth(failures) - 1)
    if len(new_seeds) + 1 < len(control.replicas):
        timeouts += _LATE_SEED_TIMEOUTS
    return timeouts * control.election_timeout_s


def _growth(failures):
    return 2 ** min(failures, _MAX_DOUBLINGS)


async def _propose(node, channels, new_seeds, votes, failures):
    """Return whether a set was chosen and written as the first entry."""
    control = node.settings.control
    needed = seed_quorum(control)
    ballot = next_ballot(votes, node.address)
    request = BootstrapRequest(cluster=node.identity.cluster, ballot=ballot)
    limit_s = _growth(failures) * control.election_timeout_s
    promises = await _ask_all(node, channels, new_seeds, request, limit_s)
    votes[:] = [node.bootstrap_vote, *(item.vote for item in promises)]
    granted = [promise for promise in promises if promise.granted]
    if len(granted) < needed:
        return False
    replicas = choose_replicas(granted)
    if replicas is None:
        _LOG.error("agreement: two seeds have the same name; cannot bootstrap")
        return False
    request = attrs.evolve(request, replicas=replicas)
    accepted = await _ask_all(node, channels, new_seeds, request, limit_s)
    if sum(response.granted for response in accepted) < needed:
        return False
    async with node.lock:
        if node.log.last_index > 0:
            return True
        node.log.append(
            LogEntry(1, kind=EntryKind.REPLICAS, replicas=replicas)
        )
        await node.sync_log()
    _LOG.info(
        "agreement: bootstraps a cluster of %d replicas",
        len(replicas.replicas),
    )
    return True


async def _ask_all(node, channels, new_seeds, request, limit_s):
    """Return the responses of this seed and of the others that respond."""
    responses = await asyncio.gather(
        handle_bootstrap_request(node, request),
        *(
            _ask(node, channels, address, request, limit_s)
            for address in new_seeds
        ),
    )
    return [response for response in responses if response is not None]


async def _ask(node, channels, address, request, limit_s):
    stub = RaftStub(channels.get(address))
    try:
        response = await call(stub.Bootstrap, request, limit_s)
    except _RPC_ERRORS:
        channels.drop(address)
        return None
    if response.vote is None or response.replica is None:
        return None
    # The address at which this seed reaches the other one.
    replica = attrs.evolve(response.replica, address=address)
    return attrs.evolve(response, replica=replica)


async def _fetch_status(node, channels, address):
    timeout_s = node.settings.control.election_timeout_s
    stub = ControlStub(channels.get(address))
    try:
        return await call(stub.Status, StatusRequest(), timeout_s)
    except _RPC_ERRORS:
        channels.drop(address)
        return None
