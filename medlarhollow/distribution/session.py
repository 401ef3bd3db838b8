"""Sync stream to one upstream."""

import asyncio
import logging

import attrs
from grpclib.exceptions import GRPCError
from grpclib.exceptions import StreamTerminatedError

from .. import clock
from ..messages.records import SyncRequest
from ..messages.services import FleetStub
from .upstreams import is_usable

__all__ = ["Session", "probe", "run_session"]

_LOG = logging.getLogger(__name__)


@attrs.define(eq=False)
class Session:
    """Sync stream to one upstream, run by a task of its own.

    Attributes
    ----------
    address : str
        Of the upstream.
    usable : asyncio.Future
        True when the first response contains a fresh proof of authority,
        False if the stream ends without one.
    task : asyncio.Task or None
        Runs :func:`run_session`.
    requested_at : float
        Monotonic time in seconds of the request that waits for a response.
    responded : asyncio.Event
        Set at each response.
    aged : asyncio.Event
        Set at a response with a proof that no longer advances.
    is_superseded : bool
        Whether the stream ends after its next response.
    must_be_fresher : bool
        Whether such an upstream is not usable.
    """

    address: str
    usable: object = attrs.field(
        factory=lambda: asyncio.get_running_loop().create_future()
    )
    task: object = None
    requested_at: float = float("inf")
    responded: asyncio.Event = attrs.field(factory=asyncio.Event)
    aged: asyncio.Event = attrs.field(factory=asyncio.Event)
    is_superseded: bool = False
    must_be_fresher: bool = False


async def run_session(follower, session):
    """Follow one upstream until it fails or this VM leaves it.

    Parameters
    ----------
    follower : Follower
        Context; its state cache is updated at each response.
    session : Session
        The stream to run.
    """
    started_at = clock.monotonic()
    try:
        async with asyncio.timeout(None) as limit:
            limit.reschedule(_deadline(follower))
            stub = FleetStub(follower.channels.get(session.address))
            async with stub.Sync.open() as stream:
                sequence = 0
                while not (follower.is_local_leader or session.is_superseded):
                    sequence += 1
                    limit.reschedule(_deadline(follower))
                    await _exchange(follower, session, stream, sequence)
                if sequence:
                    # grpclib cannot cancel a stream before a first message.
                    await stream.cancel()
    except TimeoutError:
        follower.consecutive_timeouts += 1
        _record_failure(follower, session, "timed out", started_at)
    except (GRPCError, StreamTerminatedError, OSError) as error:
        _record_failure(follower, session, error, started_at)
    finally:
        if not session.usable.done():
            session.usable.set_result(False)


async def probe(follower, address):
    """Return whether an upstream responds with a fresh proof.

    Parameters
    ----------
    follower : Follower
        Context; its state cache is not updated.
    address : str
        Of the upstream.
    """
    request = SyncRequest(
        cluster=follower.settings.vm.cluster,
        revision=follower.state_cache.state.revision,
        immediate=True,
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


def _deadline(follower):
    return asyncio.get_running_loop().time() + follower.response_timeout_s


def _record_failure(follower, session, reason, started_at):
    now = clock.monotonic()
    _LOG.info(
        "sync: upstream %s failed after %.3f s: %s",
        session.address,
        now - started_at,
        reason,
    )
    follower.channels.drop(session.address)
    follower.record_failure(session.address, now)


async def _exchange(follower, session, stream, sequence):
    """Send one request and apply its response."""
    now = session.requested_at = clock.monotonic()
    report = follower.local_report(now)
    follower.reports.add(SyncRequest(reports=(report,)), now)
    await stream.send_message(_build_request(follower, sequence, now))
    response = await stream.recv_message()
    follower.consecutive_timeouts = 0
    follower.responded_at = clock.monotonic()
    session.responded.set()
    if response is None:
        raise StreamTerminatedError("upstream closed the Sync stream")
    if response.sequence != sequence:
        raise StreamTerminatedError(
            "response of the upstream is out of sequence"
        )
    result = await follower.state_cache.apply_response(response, now)
    if result.is_err():
        raise StreamTerminatedError(result.err_value.detail)
    if not is_usable(response, follower.settings.vm.cluster):
        raise StreamTerminatedError("upstream has no fresh proof of authority")
    if follower.is_aging(session.address, response.freshness_age_s):
        if session.must_be_fresher:
            raise StreamTerminatedError("upstream does not renew its proof")
        session.aged.set()
    session.must_be_fresher = False
    follower.record_response(session.address, clock.monotonic() - now)
    if not session.usable.done():
        session.usable.set_result(True)


def _build_request(follower, sequence, now):
    """Build a request; the first one only finds out whether it is answered.

    Samples are sent once and are lost with a request that is not answered.
    """
    request = SyncRequest(
        cluster=follower.settings.vm.cluster,
        revision=follower.state_cache.state.revision,
        sequence=sequence,
    )
    if sequence == 1:
        return attrs.evolve(request, immediate=True)
    samples = follower.reports.drain_samples()
    return attrs.evolve(
        request,
        reports=follower.reports.list_recent(
            now, follower.settings.control.vm_lease_s
        ),
        versions=samples.versions,
        demands=samples.demands,
        waits=samples.waits,
    )
