"""Follow an upstream: one task that keeps the copy of this VM fresh."""

import asyncio
import logging
import time

from grpclib.exceptions import GRPCError
from grpclib.exceptions import StreamTerminatedError

from ..messages.records import SyncRequest
from ..messages.services import FleetStub
from .serve import answer_sync
from .upstreams import list_upstreams

__all__ = ["follow"]

_LOG = logging.getLogger(__name__)
_RETRY_S = 0.2
_MIRROR_S = 0.25
# An upstream whose own proof is older than this is no better than the next.
_STALE_S = 1.5
# A VM on a later choice of upstream tries the earlier ones again this often.
_RECONSIDER_S = 10.0


async def follow(copy, channels, reports, own_report, settings, replica=None):
    """Follow upstreams in order of preference, for as long as the VM runs.

    Parameters
    ----------
    copy : FleetCopy
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
    while True:
        while replica is not None and replica.is_leader:
            await _mirror(copy, replica, reports, own_report, settings)
        for rank, address in enumerate(list_upstreams(settings, copy.state)):
            try:
                await _follow_one(
                    address,
                    rank,
                    copy,
                    channels,
                    reports,
                    own_report,
                    settings,
                )
            except (GRPCError, StreamTerminatedError, OSError) as error:
                _LOG.info("sync: upstream %s failed: %s", address, error)
                channels.drop(address)
            except TimeoutError:
                _LOG.info("sync: upstream %s is silent", address)
                channels.drop(address)
            else:
                break
        await asyncio.sleep(_RETRY_S)


async def _mirror(copy, replica, reports, own_report, settings):
    """Take what the leading replica of this process has."""
    now = time.monotonic()
    reports.add(SyncRequest(reports=(own_report(now),)), now)
    request = SyncRequest(
        cluster=settings.vm.cluster, revision=copy.state.revision
    )
    await replica.wait_for_revision(request.revision, _MIRROR_S)
    now = time.monotonic()
    result = await copy.take(answer_sync(request, replica, settings, now), now)
    if result.is_err():
        _LOG.error("sync: mirror failed: %s", result.err_value.detail)
        await asyncio.sleep(_RETRY_S)


async def _follow_one(
    address, rank, copy, channels, reports, own_report, settings
):
    """Follow one upstream; return to reconsider, raise to try the next."""
    started = time.monotonic()
    timeout_s = settings.peer.silence_timeout_s
    stub = FleetStub(channels.get(address))
    async with stub.Sync.open() as stream:
        sequence = 0
        while True:
            sequence += 1
            requested_at = time.monotonic()
            if rank and requested_at - started > _RECONSIDER_S:
                await stream.cancel()
                return
            reports.add(
                SyncRequest(reports=(own_report(requested_at),)), requested_at
            )
            async with asyncio.timeout(timeout_s):
                await stream.send_message(
                    _request(copy, reports, settings, sequence, requested_at)
                )
                response = await stream.recv_message()
            if response is None:
                raise StreamTerminatedError("upstream closed the stream")
            result = await copy.take(response, requested_at)
            if result.is_err():
                raise StreamTerminatedError(result.err_value.detail)
            if not 0 <= response.freshness_age_s <= _STALE_S:
                raise StreamTerminatedError("upstream has no fresh proof")


def _request(copy, reports, settings, sequence, now):
    versions, demands = reports.take_samples()
    return SyncRequest(
        cluster=settings.vm.cluster,
        revision=copy.state.revision,
        reports=reports.vms(now, settings.control.vm_lease_s),
        versions=versions,
        demands=demands,
        sequence=sequence,
    )
