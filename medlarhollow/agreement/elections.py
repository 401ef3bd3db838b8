"""Leader election."""

import asyncio
import logging

import attrs
from grpclib.exceptions import GRPCError
from grpclib.exceptions import StreamTerminatedError

from .. import clock
from ..messages.records import VoteRequest
from ..messages.services import RaftStub
from ..transport import call
from .leader import become_leader
from .leader import lead
from .node import Role
from .replica_set import voters_of
from .votes import counts_as_vote
from .votes import decide_vote
from .votes import quorum_size
from .votes import VoterState

__all__ = ["handle_vote_request", "run_elections"]

_LOG = logging.getLogger(__name__)


async def run_elections(node, channels, random):
    """Start an election whenever there is no leader, and lead if it is won.

    Parameters
    ----------
    node : Node
        This replica.
    channels : Channels
        Connections to the other replicas.
    random : random.Random
        Randomises the timeouts, so that split votes are rare.
    """
    while not node.failed:
        await _wait_for_election_timeout(node, random)
        if node.may_campaign and await _campaign(node, channels):
            await lead(node, channels)


async def handle_vote_request(node, request):
    """Decide a vote request and sync the vote before responding.

    Parameters
    ----------
    node : Node
        This replica.
    request : VoteRequest
        Request of a candidate.

    Returns
    -------
    VoteResponse
        Whether the vote is granted.
    """
    async with node.lock:
        now = clock.monotonic()
        voter = VoterState(
            incarnation=node.identity.incarnation,
            hard=node.hard,
            last_index=node.log.last_index,
            last_term=node.log.last_term,
            has_leader=node.has_leader(now),
        )
        hard, response = decide_vote(voter, request)
        await node.save_hard_state(hard)
        if response.granted and not request.pre_vote:
            node.leader_contact_at = now
        return response


async def _wait_for_election_timeout(node, random):
    shortest_s = node.settings.control.election_timeout_s
    timeout_s = random.uniform(shortest_s, 2 * shortest_s)
    started_at = clock.monotonic()
    # A sole voter need not wait for a leader.
    if [*map(node.is_self, voters_of(node.log.replicas))] == [True]:
        return
    while True:
        now = clock.monotonic()
        left_s = max(started_at, node.leader_contact_at) + timeout_s - now
        if left_s <= 0:
            return
        await asyncio.sleep(left_s)


async def _campaign(node, channels):
    term = node.hard.term
    leader_contact_at = node.leader_contact_at
    if not await _collect_votes(
        node, channels, _make_vote_request(node, pre_vote=True)
    ):
        return False
    async with node.lock:
        changed = (node.hard.term, node.leader_contact_at) != (
            term,
            leader_contact_at,
        )
        if changed or not node.may_campaign:
            return False
        await node.sync_log()
        await node.save_hard_state(node.self_vote())
        node.role = Role.CANDIDATE
        node.leader = node.leader_address = ""
    _LOG.info("agreement: candidate in term %d", node.hard.term)
    request = _make_vote_request(node, pre_vote=False)
    won = await _collect_votes(node, channels, request)
    async with node.lock:
        if node.role is not Role.CANDIDATE or node.hard.term != request.term:
            return False
        if not won:
            node.role = Role.FOLLOWER
            return False
        become_leader(node, clock.monotonic())
    return True


def _make_vote_request(node, pre_vote):
    return VoteRequest(
        cluster=node.identity.cluster,
        candidate=node.identity.name,
        candidate_incarnation=node.identity.incarnation,
        term=node.hard.term + (1 if pre_vote else 0),
        last_index=node.log.last_index,
        last_term=node.log.last_term,
        pre_vote=pre_vote,
    )


async def _collect_votes(node, channels, request):
    """Return whether a majority of the voters, with this one, agrees."""
    voters = voters_of(node.log.replicas)
    needed = quorum_size(len(voters)) - sum(map(node.is_self, voters))
    tasks = {
        asyncio.create_task(_request_vote(node, channels, voter, request))
        for voter in voters
        if not node.is_self(voter)
    }
    pending = tasks
    try:
        while pending and needed > 0:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            needed -= sum(task.result() for task in done)
        return needed <= 0
    finally:
        for task in tasks:
            task.cancel()


async def _request_vote(node, channels, voter, request):
    """Return 1 if the voter grants its vote, else 0."""
    timeout_s = node.settings.control.election_timeout_s
    addressed = attrs.evolve(request, voter_incarnation=voter.incarnation)
    stub = RaftStub(channels.get(voter.address))
    try:
        response = await call(stub.Vote, addressed, timeout_s)
    except (GRPCError, StreamTerminatedError, OSError, TimeoutError):
        channels.drop(voter.address)
        return 0
    await node.observe_term(response.term)
    return int(counts_as_vote(response, voter))
