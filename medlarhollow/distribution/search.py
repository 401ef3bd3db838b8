"""Search for a usable upstream among several at once."""

import asyncio
import functools

from .. import clock
from ..transport import first_result
from .session import probe
from .session import run_session
from .session import Session
from .upstreams import order_upstreams
from .upstreams import RETRY_FAILED_S

__all__ = ["find_fresher", "find_preferred", "find_session"]

# Time for a response before further upstreams are asked as well: a connection
# and a request between regions take two round trips of 40 ms.
_STAGGER_S = 0.25
# Bounds the messages of all VMs while no control replica has a proof.
_MAX_CONCURRENT = 8
_MAX_TRIED = 16
# Upstreams that a VM asks while its own still has a valid proof; in an
# election none of them has a fresher one.
_MAX_FRESHER_TRIED = 3


async def find_session(follower, excluded=None):
    """Ask upstreams until one of them is usable.

    Parameters
    ----------
    follower : Follower
        Context of the sessions.
    excluded : str or None
        Address of an upstream that is not asked.

    Returns
    -------
    Session or None
        A running session with the first usable upstream; None if all of
        them failed.

    Notes
    -----
    The preferred upstream is asked first. The state cache is updated with
    every response, also with those of upstreams that are not selected.
    """
    return await _ask(follower, excluded, _MAX_TRIED, Session)


async def find_fresher(follower, address):
    """Ask a few upstreams for a proof that the current one does not have.

    Parameters
    ----------
    follower : Follower
        Context of the sessions.
    address : str
        Of the upstream that is followed, which goes on meanwhile.

    Returns
    -------
    Session or None
        A running session, or None if none of them renews its proof.
    """
    return await _ask(
        follower,
        address,
        _MAX_FRESHER_TRIED,
        functools.partial(Session, must_be_fresher=True),
    )


async def _ask(follower, excluded, count, make_session):
    now = clock.monotonic()
    ordered = order_upstreams(follower.upstreams(), follower.failures, now)
    addresses = [address for address in ordered if address != excluded]
    return await first_result(
        lambda address: _try_upstream(follower, make_session(address)),
        addresses[:count],
        _STAGGER_S,
        _MAX_CONCURRENT,
        discard=lambda session: session.task.cancel(),
    )


async def find_preferred(follower, address):
    """Return once an upstream that is preferred to this one is usable.

    Preferred upstreams are probed as often as a failed one is retried. The
    current stream continues meanwhile, so that a preferred upstream that does
    not respond costs no freshness.

    Parameters
    ----------
    follower : Follower
        Context of the sessions.
    address : str
        Of the upstream that is followed.
    """
    while True:
        await asyncio.sleep(RETRY_FAILED_S)
        upstreams = follower.upstreams()
        rank = len(upstreams)
        if address in upstreams:
            rank = upstreams.index(address)
        for preferred in upstreams[:rank]:
            if await probe(follower, preferred):
                follower.failures.pop(preferred, None)
                return


async def _try_upstream(follower, session):
    """Return a session with an upstream once it is usable, or None."""
    session.task = asyncio.create_task(run_session(follower, session))
    asked_at = clock.monotonic()
    try:
        while not session.usable.done():
            await asyncio.wait({session.usable}, timeout=_STAGGER_S)
            if follower.is_gone(asked_at, clock.monotonic()):
                break
        if session.usable.done() and session.usable.result():
            return session
    except asyncio.CancelledError:
        await _give_up(follower, session)
        raise
    if not session.usable.done():
        await _give_up(follower, session)
        return None
    await session.task
    return None


async def _give_up(follower, session):
    """End a session that is slower than others."""
    session.task.cancel()
    now = clock.monotonic()
    if now - session.requested_at >= _STAGGER_S:
        follower.record_failure(session.address, now)
    await asyncio.gather(session.task, return_exceptions=True)
