"""Follow an upstream: the task that keeps a VM's cached state fresh."""

import asyncio
import logging

import attrs
from grpclib.exceptions import GRPCError
from grpclib.exceptions import StreamTerminatedError

from .. import clock
from ..messages.records import SyncRequest
from ..messages.services import FleetStub
from .serve import build_sync_response
from .serve import MAX_HOLD_S
from .upstreams import choose_upstream
from .upstreams import is_usable
from .upstreams import list_upstreams
from .upstreams import next_failure
from .upstreams import RETRY_FAILED_S
from .upstreams import STALE_PROOF_S

__all__ = ["follow"]

_LOG = logging.getLogger(__name__)
_RETRY_INTERVAL_S = 0.2
_MAX_RETRY_INTERVAL_S = 1.0
_MIRROR_INTERVAL_S = 0.25
# An upstream responds within its hold and a round trip; an unresponsive relay
# must be replaced within 2 s.
_RESPONSE_TIMEOUT_S = MAX_HOLD_S + 1.0
# After this many consecutive timeouts, a slow link that delays responses is
# more likely than the loss of all upstreams. Each such series doubles the
# response timeout, up to this factor.
_TIMEOUTS_BEFORE_BACKOFF = 3
_MAX_BACKOFF_FACTOR = 8


@attrs.define
class _Follower:
    """Context shared by the functions that follow upstreams."""

    state_cache: object
    channels: object
    reports: object
    local_report: object
    settings: object
    replica: object
    failures: dict = attrs.field(factory=dict)
    # Whether the loss of the proof of authority was logged.
    is_proof_lost: bool = False
    # Upstreams that did not respond in time, since the last response.
    consecutive_timeouts: int = 0

    @property
    def is_local_leader(self):
        """Whether the control replica of this process is the leader."""
        return self.replica is not None and self.replica.is_leader

    @property
    def response_timeout_s(self):
        """Timeout for one response of an upstream in seconds."""
        backoff_factor = 2 ** (
            self.consecutive_timeouts // _TIMEOUTS_BEFORE_BACKOFF
        )
        return min(
            self.settings.peer.silence_timeout_s, _RESPONSE_TIMEOUT_S
        ) * min(backoff_factor, _MAX_BACKOFF_FACTOR)

    def is_replica(self, address):
        """Return whether an upstream is a control replica."""
        control = self.settings.control
        return self.replica is not None or address in control.replicas

    def upstreams(self):
        """Return the upstream addresses in order of preference."""
        leader = self.replica.leader_address if self.replica else ""
        return list_upstreams(self.settings, self.state_cache.state, leader)


async def follow(
    state_cache, channels, reports, local_report, settings, replica=None
):
    """Follow upstreams in order of preference, for as long as the VM runs.

    Parameters
    ----------
    state_cache : FleetStateCache
        State that is updated.
    channels : Channels
        Connections to other processes.
    reports : Reports
        Reports to forward upstream.
    local_report : callable
        Returns this VM's `VmReport`, given the monotonic time.
    settings : Settings
        The settings of the process.
    replica : Replica or None
        The control replica of this process, which is read without a
        connection while it is the leader.
    """
    follower = _Follower(
        state_cache, channels, reports, local_report, settings, replica
    )
    retry_s = _RETRY_INTERVAL_S
    while True:
        while follower.is_local_leader:
            await _mirror_local_replica(follower)
        now = clock.monotonic()
        address = choose_upstream(follower.upstreams(), follower.failures, now)
        if address is None:
            await asyncio.sleep(_RETRY_INTERVAL_S)
            continue
        must_wait = (
            address in follower.failures
            and follower.failures[address].until > now
        )
        if must_wait:
            await asyncio.sleep(retry_s)
        if await _follow_upstream(follower, address):
            retry_s = _RETRY_INTERVAL_S
        elif must_wait:
            retry_s = min(2 * retry_s, _MAX_RETRY_INTERVAL_S)


async def _mirror_local_replica(follower):
    """Apply the state of this process's replica, which is the leader."""
    now = clock.monotonic()
    follower.reports.add(
        SyncRequest(reports=(follower.local_report(now),)), now
    )
    request = SyncRequest(
        cluster=follower.settings.vm.cluster,
        revision=follower.state_cache.state.revision,
    )
    await follower.replica.wait_for_revision(
        request.revision, _MIRROR_INTERVAL_S
    )
    now = clock.monotonic()
    response = build_sync_response(
        request, follower.replica, follower.settings, now, now
    )
    result = await follower.state_cache.apply_response(response, now)
    if result.is_err():
        _LOG.error(
            "sync: mirroring the local replica failed: %s",
            result.err_value.detail,
        )
        await asyncio.sleep(_RETRY_INTERVAL_S)


async def _follow_upstream(follower, address):
    """Follow one upstream and return whether it was ever usable."""
    search = asyncio.create_task(_find_preferred(follower, address))
    usable = False
    started_at = clock.monotonic()
    try:
        async with asyncio.timeout(None) as limit:
            limit.reschedule(_deadline(follower))
            stub = FleetStub(follower.channels.get(address))
            async with stub.Sync.open() as stream:
                sequence = 0
                while not follower.is_local_leader and not search.done():
                    sequence += 1
                    limit.reschedule(_deadline(follower))
                    await _exchange(follower, stream, sequence)
                    if not usable:
                        _LOG.info("sync: following upstream %s", address)
                        _log_regained_proof(follower, address)
                    usable = True
                    follower.failures.pop(address, None)
                if sequence:
                    # grpclib cannot cancel a stream before a first message.
                    await stream.cancel()
    except TimeoutError:
        follower.consecutive_timeouts += 1
        _record_failure(follower, address, "timed out", started_at)
    except (GRPCError, StreamTerminatedError, OSError) as error:
        _record_failure(follower, address, error, started_at)
    finally:
        search.cancel()
    return usable


def _deadline(follower):
    return asyncio.get_running_loop().time() + follower.response_timeout_s


def _record_failure(follower, address, reason, started_at):
    now = clock.monotonic()
    _LOG.info(
        "sync: upstream %s failed after %.3f s: %s",
        address,
        now - started_at,
        reason,
    )
    follower.channels.drop(address)
    follower.failures[address] = next_failure(
        follower.failures.get(address), follower.is_replica(address), now
    )
    _log_lost_proof(follower, now)


def _log_lost_proof(follower, now):
    """Log once that this VM has no fresh proof of authority."""
    age_s = follower.state_cache.freshness_age_s(now)
    if follower.is_proof_lost or age_s <= STALE_PROOF_S:
        return
    follower.is_proof_lost = True
    _LOG.warning(
        "sync: no fresh proof of authority; the last one is %.3f s old, at "
        "revision %d",
        age_s,
        follower.state_cache.state.revision,
    )


def _log_regained_proof(follower, address):
    """Log that an upstream has given a fresh proof after its loss."""
    if follower.is_proof_lost:
        follower.is_proof_lost = False
        _LOG.info(
            "sync: proof of authority regained from %s, at revision %d",
            address,
            follower.state_cache.state.revision,
        )


async def _exchange(follower, stream, sequence):
    """Send one request and apply its response."""
    requested_at = clock.monotonic()
    report = follower.local_report(requested_at)
    follower.reports.add(SyncRequest(reports=(report,)), requested_at)
    await stream.send_message(_build_request(follower, sequence, requested_at))
    response = await stream.recv_message()
    follower.consecutive_timeouts = 0
    if response is None:
        raise StreamTerminatedError("upstream closed the Sync stream")
    if response.sequence != sequence:
        raise StreamTerminatedError(
            "response of the upstream is out of sequence"
        )
    result = await follower.state_cache.apply_response(response, requested_at)
    if result.is_err():
        raise StreamTerminatedError(result.err_value.detail)
    if not is_usable(response, follower.settings.vm.cluster):
        raise StreamTerminatedError("upstream has no fresh proof of authority")


async def _find_preferred(follower, address):
    """Return once an upstream that is preferred to this one is usable.

    Preferred upstreams are probed as often as a failed one is retried. The
    current stream continues meanwhile, so that a preferred upstream that does
    not respond costs no freshness.
    """
    while True:
        await asyncio.sleep(RETRY_FAILED_S)
        upstreams = follower.upstreams()
        rank = len(upstreams)
        if address in upstreams:
            rank = upstreams.index(address)
        for preferred in upstreams[:rank]:
            if await _probe(follower, preferred):
                follower.failures.pop(preferred, None)
                return


async def _probe(follower, address):
    """Return whether an upstream responds with a fresh proof."""
    request = SyncRequest(
        cluster=follower.settings.vm.cluster,
        revision=follower.state_cache.state.revision,
    )
    try:
        async with asyncio.timeout(follower.response_timeout_s):
            stub = FleetStub(follower.channels.get(address))
            async with stub.Sync.open() as stream:
                await stream.send_message(request)
                response = await stream.recv_message()
                await stream.cancel()
    except (GRPCError, StreamTerminatedError, OSError, TimeoutError):
        follower.channels.drop(address)
        return False
    return response is not None and is_usable(
        response, follower.settings.vm.cluster
    )


def _build_request(follower, sequence, now):
    versions, demands = follower.reports.drain_samples()
    return SyncRequest(
        cluster=follower.settings.vm.cluster,
        revision=follower.state_cache.state.revision,
        reports=follower.reports.list_recent(
            now, follower.settings.control.vm_lease_s
        ),
        versions=versions,
        demands=demands,
        sequence=sequence,
    )
