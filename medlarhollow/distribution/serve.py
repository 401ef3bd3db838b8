"""Serve the agreed state to one downstream VM."""

import asyncio
import logging
import math
import time

import attrs

from ..configuration import count_records
from ..messages.records import ErrorKind
from ..messages.records import Failure
from ..messages.records import PutConfiguration
from ..messages.records import SyncResponse
from .upstreams import STALE_PROOF_S

__all__ = ["HOLD_S", "build_sync_response", "serve_sync"]

_LOG = logging.getLogger(__name__)
HOLD_S = 0.5
# A change waits this long for others that follow it, at each relay.
_GATHER_S = 0.05
# Time between looks for a proof while this VM has none.
_PROOF_CHECK_S = 0.05


async def serve_sync(stream, source, reports, settings):
    """Answer one downstream VM until it goes away.

    Parameters
    ----------
    stream : grpclib.server.Stream
        Its Sync stream.
    source : Replica or FleetStateCache
        Holds the state served.
    reports : Reports
        Takes the reports of the downstream VM.
    settings : Settings
        Section ``vm`` is read.

    Notes
    -----
    The task holds a request for up to 0.5 s when there is nothing new, so
    that a change need not wait and an idle stream costs two messages a
    second. Changes within a moment share an answer, since a fleet that starts
    makes one for each VM, and each goes to all VMs. Without a proof of
    authority the request is held for that instead, since an answer without
    one is of no use. A downstream VM asks again at once, so one that is silent
    for longer than its own limit is gone, even if its connection looks open.
    """
    limit_s = HOLD_S + 2 * settings.peer.silence_timeout_s
    while True:
        try:
            async with asyncio.timeout(limit_s):
                request = await stream.recv_message()
        except TimeoutError:
            _LOG.info("sync: a downstream VM is silent")
            return
        if request is None:
            return
        received_at = time.monotonic()
        reports.add(request, received_at)
        if request.cluster == settings.vm.cluster:
            await _wait_for_news(source, request.revision)
        await stream.send_message(
            build_sync_response(
                request, source, settings, time.monotonic(), received_at
            )
        )


async def _wait_for_news(source, revision):
    """Wait for a change or, without a proof of authority, for a proof."""
    now = time.monotonic()
    if _has_fresh_proof(source, now):
        is_behind = revision < source.state.revision
        await source.wait_for_revision(revision, HOLD_S)
        if not is_behind and revision < source.state.revision:
            await asyncio.sleep(_GATHER_S)
        return
    until = now + HOLD_S
    while now < until and not _has_fresh_proof(source, now):
        await asyncio.sleep(_PROOF_CHECK_S)
        now = time.monotonic()


def _has_fresh_proof(source, now):
    return source.freshness_age_s(now) <= STALE_PROOF_S


def build_sync_response(request, source, settings, now, received_at):
    """Decide what a downstream VM is told.

    Parameters
    ----------
    request : SyncRequest
        Names the cluster and the revision that the downstream VM holds.
    source : Replica or FleetStateCache
        Holds the state served.
    settings : Settings
        Section ``vm`` is read.
    now : float
        Monotonic time in seconds.
    received_at : float
        Monotonic time in seconds when the request arrived.

    Returns
    -------
    SyncResponse
        The changes after that revision, or a snapshot if the history does
        not reach back so far, if the snapshot says the same in fewer records
        or if the downstream VM is ahead.
    """
    cluster = settings.vm.cluster
    if request.cluster != cluster:
        failure = Failure(
            kind=ErrorKind.WRONG_CLUSTER,
            detail=f"this is '{cluster}', not '{request.cluster}'",
        )
        return SyncResponse(
            cluster=cluster, sequence=request.sequence, failure=failure
        )
    age = source.freshness_age_s(now)
    commits, snapshot = (), None
    if request.revision < source.state.revision:
        commits = source.history.after(request.revision)
        if commits is None or _is_longer(commits, source.state):
            commits = ()
            snapshot = attrs.evolve(source.state.snapshot(), document=b"")
        commits = tuple(map(_without_document, commits))
    # A downstream VM that is ahead must not count this upstream's proof for
    # a state that the proof does not cover.
    covered = request.revision <= source.state.revision
    return SyncResponse(
        cluster=cluster,
        sequence=request.sequence,
        freshness_age_s=age if covered and math.isfinite(age) else -1.0,
        held_s=max(0.0, now - received_at),
        commits=commits,
        snapshot=snapshot,
    )


def _is_longer(commits, state):
    """Tell whether changes hold more records than the state they lead to.

    A VM that restarts knows nothing, and each whole configuration since the
    start of the fleet would come with the next one that replaces it.
    """
    limit = state.count_records()
    total = 0
    for commit in commits:
        total += count_records(commit.change.body)
        if total > limit:
            return True
    return False


def _without_document(commit):
    """Return a commit without what only control replicas keep."""
    body = commit.change.body
    if not isinstance(body, PutConfiguration):
        return commit
    bare = attrs.evolve(body.configuration, document=b"")
    return attrs.evolve(
        commit,
        change=attrs.evolve(
            commit.change, body=attrs.evolve(body, configuration=bare)
        ),
    )
