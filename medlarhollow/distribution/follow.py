"""Follow an upstream: the task that keeps a VM's cached state fresh."""

import asyncio
import logging

from .. import clock
from ..messages.records import SyncRequest
from ..messages.records import VmState
from .follower import Follower
from .search import find_fresher
from .search import find_preferred
from .search import find_session
from .serve import build_sync_response

__all__ = ["follow"]

_LOG = logging.getLogger(__name__)
_RETRY_INTERVAL_S = 0.2
_MAX_RETRY_INTERVAL_S = 1.0
_MIRROR_INTERVAL_S = 0.25


async def follow(
    state_cache,
    channels,
    reports,
    local_report,
    settings,
    replica=None,
    fleet_clock=None,
    usage_counter=None,
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
    fleet_clock : FleetClock or None
        Follows the fleet time of the upstream, or derives it from the reports
        while the local replica is the leader; None if the fleet needs none.
    usage_counter : UsageCounter or None
        Counts the requests of this VM; None if it counts none.
    """
    follower = Follower(
        state_cache,
        channels,
        reports,
        local_report,
        settings,
        replica,
        fleet_clock,
        usage_counter,
    )
    retry_s = _RETRY_INTERVAL_S
    while True:
        while follower.is_local_leader:
            await _mirror_local_replica(follower)
        began_at = clock.monotonic()
        session = await find_session(follower)
        if session is None:
            if follower.responded_at >= began_at:
                retry_s = _RETRY_INTERVAL_S
            await asyncio.sleep(retry_s)
            retry_s = min(2 * retry_s, _MAX_RETRY_INTERVAL_S)
            continue
        retry_s = _RETRY_INTERVAL_S
        while session is not None:
            _LOG.info("sync: following upstream %s", session.address)
            session = await _follow_session(follower, session)


async def _mirror_local_replica(follower):
    """Apply the state of this process's replica, which is the leader."""
    now = clock.monotonic()
    follower.collect_local(now)
    _derive_fleet_time(follower, now)
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


def _derive_fleet_time(follower, now):
    """Derive fleet time from the wall clocks in the reports of VMs."""
    if (
        follower.fleet_clock is None
        or now - follower.clock_derived_at < _MIRROR_INTERVAL_S
    ):
        return
    follower.clock_derived_at = now
    offsets = follower.reports.list_clock_offsets(
        now, follower.settings.control.vm_lease_s
    )
    vms = follower.replica.state.vms.values()
    vm_count = sum(vm.state is not VmState.GONE for vm in vms)
    follower.fleet_clock.add_offsets(offsets, vm_count, now)


async def _follow_session(follower, session):
    """Follow a session; return the one that replaces it, or None."""
    preferred = asyncio.create_task(find_preferred(follower, session.address))
    aged = asyncio.create_task(session.aged.wait())
    try:
        while not session.task.done():
            now = clock.monotonic()
            late_in_s = session.requested_at + follower.late_response_s - now
            if late_in_s <= 0:
                replacement = await _replace_late(follower, session)
                if replacement is not None:
                    return replacement
                continue
            await asyncio.wait(
                {session.task, aged},
                timeout=late_in_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if aged.done() and not session.task.done():
                replacement = await _replace_aging(follower, session)
                if replacement is not None:
                    return replacement
                session.aged.clear()
                aged = asyncio.create_task(session.aged.wait())
            if preferred.done():
                preferred.result()
                session.is_superseded = True
            if follower.should_follow_leader(
                session.address, clock.monotonic()
            ):
                session.is_superseded = True
        if not session.task.cancelled():
            session.task.result()
        return None
    finally:
        tasks = (preferred, aged, session.task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _replace_late(follower, session):
    """Ask others while the response of an upstream is late.

    Returns the session with the first usable one; None if the upstream
    responds before, or if there is none.
    """
    if follower.is_local_leader:
        session.task.cancel()
        await asyncio.wait({session.task})
        return None
    session.responded.clear()
    search = asyncio.create_task(find_session(follower, session.address))
    responded = asyncio.create_task(session.responded.wait())
    try:
        await asyncio.wait(
            {search, responded, session.task},
            return_when=asyncio.FIRST_COMPLETED,
        )
        if session.responded.is_set() and not search.done():
            follower.consecutive_late += 1
            return None
        replacement = await search
        if replacement is None:
            await asyncio.wait({session.task}, timeout=_RETRY_INTERVAL_S)
            return None
        _LOG.info(
            "sync: upstream %s has not responded for %.3f s",
            session.address,
            clock.monotonic() - session.requested_at,
        )
        follower.record_failure(session.address, clock.monotonic())
        return replacement
    finally:
        responded.cancel()
        search.cancel()
        await asyncio.gather(search, responded, return_exceptions=True)


async def _replace_aging(follower, session):
    """Return a session that renews its proof, unlike this one, or None."""
    replacement = await find_fresher(follower, session.address)
    if replacement is not None:
        _LOG.info(
            "sync: upstream %s does not renew its proof of authority",
            session.address,
        )
        follower.record_failure(session.address, clock.monotonic())
    return replacement
