"""Follow an upstream: one task that keeps the copy of this VM fresh."""

import asyncio
import logging
import time

import attrs
from grpclib.exceptions import GRPCError
from grpclib.exceptions import StreamTerminatedError

from ..messages.records import SyncRequest
from ..messages.services import FleetStub
from .serve import build_sync_response
from .serve import HOLD_S
from .upstreams import choose_upstream
from .upstreams import is_usable
from .upstreams import list_upstreams
from .upstreams import next_failure
from .upstreams import RECONSIDER_S

__all__ = ["follow"]

_LOG = logging.getLogger(__name__)
_RETRY_S = 0.2
_LONGEST_RETRY_S = 1.0
_MIRROR_S = 0.25
# An upstream answers within its hold and a round trip; a relay that went
# silent must be replaced within 2 s.
_ANSWER_S = HOLD_S + 1.0
# After so many silent upstreams in a row it is more likely that the answer
# takes longer than the limit, on a narrow link, than that all are lost: the
# limit is doubled, at most to so many times itself.
_SILENT_UPSTREAMS = 3
_LONGEST_PATIENCE = 8


@attrs.define
class _Follower:
    """What the steps of one VM share."""

    state_cache: object
    channels: object
    reports: object
    own_report: object
    settings: object
    replica: object
    failures: dict = attrs.field(factory=dict)
    # Upstreams in a row that did not answer in time.
    silent: int = 0

    @property
    def leads(self):
        """Whether the control replica of this process leads."""
        return self.replica is not None and self.replica.is_leader

    @property
    def answer_s(self):
        """Limit for one answer of an upstream in seconds."""
        patience = 2 ** (self.silent // _SILENT_UPSTREAMS)
        return min(self.settings.peer.silence_timeout_s, _ANSWER_S) * min(
            patience, _LONGEST_PATIENCE
        )

    def is_replica(self, address):
        """Tell whether an upstream is a control replica."""
        control = self.settings.control
        return self.replica is not None or address in control.replicas

    def upstreams(self):
        """Return the upstream addresses in order of preference."""
        leader = self.replica.leader_address if self.replica else ""
        return list_upstreams(self.settings, self.state_cache.state, leader)


async def follow(
    state_cache, channels, reports, own_report, settings, replica=None
):
    """Follow upstreams in order of preference, for as long as the VM runs.

    Parameters
    ----------
    state_cache : FleetStateCache
        Takes the changes.
    channels : Channels
        Connections to other processes.
    reports : Reports
        Reports to pass on.
    own_report : callable
        Returns this VM's `VmReport`, given the monotonic time.
    settings : Settings
        The settings of the process.
    replica : Replica or None
        The control replica of this process, which is followed without a
        connection while it leads.
    """
    vm = _Follower(
        state_cache, channels, reports, own_report, settings, replica
    )
    pause_s = _RETRY_S
    while True:
        while vm.leads:
            await _mirror(vm)
        now = time.monotonic()
        address = choose_upstream(vm.upstreams(), vm.failures, now)
        if address is None:
            await asyncio.sleep(_RETRY_S)
            continue
        waits = address in vm.failures and vm.failures[address].until > now
        if waits:
            await asyncio.sleep(pause_s)
        if await _follow_one(vm, address):
            pause_s = _RETRY_S
        elif waits:
            pause_s = min(2 * pause_s, _LONGEST_RETRY_S)


async def _mirror(vm):
    """Take what the leading replica of this process has."""
    now = time.monotonic()
    vm.reports.add(SyncRequest(reports=(vm.own_report(now),)), now)
    request = SyncRequest(
        cluster=vm.settings.vm.cluster, revision=vm.state_cache.state.revision
    )
    await vm.replica.wait_for_revision(request.revision, _MIRROR_S)
    now = time.monotonic()
    response = build_sync_response(request, vm.replica, vm.settings, now, now)
    result = await vm.state_cache.apply_response(response, now)
    if result.is_err():
        _LOG.error("sync: mirror failed: %s", result.err_value.detail)
        await asyncio.sleep(_RETRY_S)


async def _follow_one(vm, address):
    """Follow one upstream; return whether it was ever usable."""
    search = asyncio.create_task(_find_better(vm, address))
    usable = False
    try:
        async with asyncio.timeout(None) as limit:
            limit.reschedule(_limit(vm))
            stub = FleetStub(vm.channels.get(address))
            async with stub.Sync.open() as stream:
                sequence = 0
                while not vm.leads and not search.done():
                    sequence += 1
                    limit.reschedule(_limit(vm))
                    await _exchange(vm, stream, sequence)
                    if not usable:
                        _LOG.info("sync: follows %s", address)
                    usable = True
                    vm.failures.pop(address, None)
                if sequence:
                    # A stream on which nothing was sent cannot be cancelled.
                    await stream.cancel()
    except TimeoutError:
        vm.silent += 1
        _fail(vm, address, "silent")
    except (GRPCError, StreamTerminatedError, OSError) as error:
        _fail(vm, address, error)
    finally:
        search.cancel()
    return usable


def _limit(vm):
    return asyncio.get_running_loop().time() + vm.answer_s


def _fail(vm, address, reason):
    _LOG.info("sync: upstream %s failed: %s", address, reason)
    vm.channels.drop(address)
    vm.failures[address] = next_failure(
        vm.failures.get(address), vm.is_replica(address), time.monotonic()
    )


async def _exchange(vm, stream, sequence):
    """Send one request and take its answer."""
    requested_at = time.monotonic()
    own = vm.own_report(requested_at)
    vm.reports.add(SyncRequest(reports=(own,)), requested_at)
    await stream.send_message(_request(vm, sequence, requested_at))
    response = await stream.recv_message()
    vm.silent = 0
    if response is None:
        raise StreamTerminatedError("upstream closed the stream")
    if response.sequence != sequence:
        raise StreamTerminatedError("upstream answered another request")
    result = await vm.state_cache.apply_response(response, requested_at)
    if result.is_err():
        raise StreamTerminatedError(result.err_value.detail)
    if not is_usable(response, vm.settings.vm.cluster):
        raise StreamTerminatedError("upstream has no fresh proof")


async def _find_better(vm, address):
    """Return when an upstream that is preferred to this one is usable.

    The earlier ones are asked as often as a failed one is tried again.

    The stream in use goes on meanwhile, so that an earlier upstream that
    does not answer costs no freshness.
    """
    while True:
        await asyncio.sleep(RECONSIDER_S)
        upstreams = vm.upstreams()
        rank = len(upstreams)
        if address in upstreams:
            rank = upstreams.index(address)
        for earlier in upstreams[:rank]:
            if await _probe(vm, earlier):
                vm.failures.pop(earlier, None)
                return


async def _probe(vm, address):
    """Return whether an upstream gives a fresh proof."""
    request = SyncRequest(
        cluster=vm.settings.vm.cluster, revision=vm.state_cache.state.revision
    )
    try:
        async with asyncio.timeout(vm.answer_s):
            stub = FleetStub(vm.channels.get(address))
            async with stub.Sync.open() as stream:
                await stream.send_message(request)
                response = await stream.recv_message()
                await stream.cancel()
    except (GRPCError, StreamTerminatedError, OSError, TimeoutError):
        vm.channels.drop(address)
        return False
    return response is not None and is_usable(response, vm.settings.vm.cluster)


def _request(vm, sequence, now):
    versions, demands = vm.reports.drain_samples()
    return SyncRequest(
        cluster=vm.settings.vm.cluster,
        revision=vm.state_cache.state.revision,
        reports=vm.reports.list_recent(now, vm.settings.control.vm_lease_s),
        versions=versions,
        demands=demands,
        sequence=sequence,
    )
