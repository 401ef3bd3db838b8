"""Serve the fleet state to a downstream VM."""

import asyncio
import logging
import math

import attrs

from .. import clock
from ..configuration import count_records
from ..messages.records import ErrorKind
from ..messages.records import Failure
from ..messages.records import PutConfiguration
from ..messages.records import SyncResponse
from .upstreams import STALE_PROOF_S

__all__ = ["MAX_HOLD_S", "build_sync_response", "serve_sync"]

_LOG = logging.getLogger(__name__)
MAX_HOLD_S = 0.5
# Delay for batching changes, at each relay.
_BATCH_DELAY_S = 0.05
# Polling interval for a proof while this VM has none.
_PROOF_POLL_S = 0.05


async def serve_sync(stream, source, reports, settings, fleet_clock=None):
    """Serve the Sync stream of one downstream VM until it ends.

    Parameters
    ----------
    stream : grpclib.server.Stream
        Its Sync stream.
    source : Replica or FleetStateCache
        Supplies the state.
    reports : Reports
        Collects the reports of the downstream VM.
    settings : Settings
        Sections ``vm`` and ``peer`` are read.
    fleet_clock : FleetClock or None
        Supplies the fleet time; None if the fleet needs none.

    Notes
    -----
    This is long polling: a request is held for up to 0.5 s while there is
    nothing new, so that changes are sent without delay and an idle stream
    costs two messages a second. Changes within a short delay are batched into
    one response, because a fleet that starts makes one change for each VM,
    and each is sent to all VMs. While this VM has no proof of authority, the
    request is held until there is one, for the same time at most, because a
    response without it is useless. A downstream VM that compares upstreams
    requests an immediate response, so that it can tell those that are gone
    within a round trip. A downstream VM sends its next request at
    once, so one that sends nothing for longer than its timeout is no longer
    connected, even if its connection appears open.
    """
    limit_s = MAX_HOLD_S + 2 * settings.peer.silence_timeout_s
    while True:
        try:
            async with asyncio.timeout(limit_s):
                request = await stream.recv_message()
        except TimeoutError:
            _LOG.info("sync: downstream VM sent no request; ending its stream")
            return
        if request is None:
            return
        received_at = clock.monotonic()
        reports.add(request, received_at)
        if request.cluster == settings.vm.cluster:
            await _wait_for_change(source, request)
        await stream.send_message(
            build_sync_response(
                request,
                source,
                settings,
                clock.monotonic(),
                received_at,
                fleet_clock,
            )
        )


async def _wait_for_change(source, request):
    """Wait for a change or, while there is no proof, for a proof."""
    now = clock.monotonic()
    if _has_fresh_proof(source, now):
        if request.immediate:
            return
        revision = request.revision
        is_behind = revision < source.state.revision
        await source.wait_for_revision(revision, MAX_HOLD_S)
        if not is_behind and revision < source.state.revision:
            await asyncio.sleep(_BATCH_DELAY_S)
        return
    deadline_at = now + MAX_HOLD_S
    while now < deadline_at and not _has_fresh_proof(source, now):
        await asyncio.sleep(_PROOF_POLL_S)
        now = clock.monotonic()


def _has_fresh_proof(source, now):
    return source.freshness_age_s(now) <= STALE_PROOF_S


def build_sync_response(
    request, source, settings, now, received_at, fleet_clock=None
):
    """Build the response to a downstream VM.

    Parameters
    ----------
    request : SyncRequest
        Contains the cluster and the revision of the downstream VM.
    source : Replica or FleetStateCache
        Supplies the state.
    settings : Settings
        Section ``vm`` is read.
    now : float
        Monotonic time in seconds.
    received_at : float
        Monotonic time in seconds when the request arrived.
    fleet_clock : FleetClock or None
        Supplies the fleet time; None if the fleet needs none.

    Returns
    -------
    SyncResponse
        The changes after that revision, or a snapshot if the history does
        not reach back that far or if the snapshot has fewer records than the
        changes. A downstream VM that is ahead receives neither, and no proof.
    """
    cluster = settings.vm.cluster
    if request.cluster != cluster:
        failure = Failure(
            kind=ErrorKind.WRONG_CLUSTER,
            detail=f"this is cluster '{cluster}', not '{request.cluster}'",
        )
        return SyncResponse(
            cluster=cluster, sequence=request.sequence, failure=failure
        )
    age = source.freshness_age_s(now)
    commits, snapshot = (), None
    if request.revision < source.state.revision:
        commits = source.history.after(request.revision)
        if commits is None or _exceeds_state(commits, source.state):
            commits = ()
            snapshot = attrs.evolve(source.state.snapshot(), document=b"")
        commits = tuple(map(_without_document, commits))
    # A downstream VM that is ahead must not apply this upstream's proof to a
    # state that the proof does not cover.
    is_covered = request.revision <= source.state.revision
    return SyncResponse(
        cluster=cluster,
        sequence=request.sequence,
        freshness_age_s=age if is_covered and math.isfinite(age) else -1.0,
        held_s=max(0.0, now - received_at),
        commits=commits,
        snapshot=snapshot,
        fleet_time_s=_fleet_time(fleet_clock, now),
    )


def _fleet_time(fleet_clock, now):
    """Return the fleet time, or 0 if it is unknown.

    The wall-clock time of one VM is not passed on.
    """
    if fleet_clock is None or not fleet_clock.is_synchronized:
        return 0.0
    return fleet_clock.fleet_time(now)


def _exceeds_state(commits, state):
    """Return whether changes contain more records than the resulting state.

    A VM that restarts has no state; otherwise it would receive each complete
    configuration since the start of the fleet, although the next one
    replaces it.
    """
    limit = state.count_records()
    total = 0
    for commit in commits:
        total += count_records(commit.change.body)
        if total > limit:
            return True
    return False


def _without_document(commit):
    """Return a commit without the document, which only replicas need."""
    body = commit.change.body
    if not isinstance(body, PutConfiguration):
        return commit
    stripped = attrs.evolve(body.configuration, document=b"")
    return attrs.evolve(
        commit,
        change=attrs.evolve(
            commit.change, body=attrs.evolve(body, configuration=stripped)
        ),
    )
