"""Search for a usable upstream among several at once."""

import asyncio
import collections

from .. import clock
from .session import probe
from .session import run_session
from .session import Session
from .upstreams import order_upstreams
from .upstreams import RETRY_FAILED_S

__all__ = ["find_preferred", "find_session"]

# Time for a response before further upstreams are asked as well: a connection
# and a request between regions take two round trips of 40 ms.
_STAGGER_S = 0.25
# Bounds the messages of all VMs while no control replica has a proof.
_MAX_CONCURRENT = 8
_MAX_TRIED = 16


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
    The preferred upstream is asked first. Each time that none has responded
    for a while, as many again are asked while the earlier ones may still
    respond, so that the time does not grow with the number of those that are
    gone; compare the staggered connection attempts of RFC 8305. One that
    fails is followed by the next one at once. The state cache is updated with
    every response, also with those of upstreams that are not selected.
    """
    now = clock.monotonic()
    ordered = order_upstreams(follower.upstreams(), follower.failures, now)
    waiting = collections.deque(
        [address for address in ordered if address != excluded][:_MAX_TRIED]
    )
    sessions = []
    count = 1
    try:
        while waiting or sessions:
            for _ in range(min(count, len(waiting))):
                sessions.append(_start_session(follower, waiting.popleft()))
            await _wait_for_first(sessions, is_last=not waiting)
            for session in sessions:
                if session.usable.done() and session.usable.result():
                    sessions.remove(session)
                    return session
            ended = [session for session in sessions if session.usable.done()]
            for session in ended:
                sessions.remove(session)
                await session.task
            count = len(ended) or min(
                len(sessions), _MAX_CONCURRENT - len(sessions)
            )
        return None
    finally:
        await _give_up(follower, sessions)


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


def _start_session(follower, address):
    session = Session(address)
    session.task = asyncio.create_task(run_session(follower, session))
    return session


async def _wait_for_first(sessions, is_last):
    """Wait until a session is usable or ends, or others are to be asked."""
    await asyncio.wait(
        {session.usable for session in sessions},
        timeout=None if is_last else _STAGGER_S,
        return_when=asyncio.FIRST_COMPLETED,
    )


async def _give_up(follower, sessions):
    """End the sessions that were slower than the selected one."""
    now = clock.monotonic()
    for session in sessions:
        session.task.cancel()
        if now - session.requested_at >= _STAGGER_S:
            follower.record_failure(session.address, now)
    tasks = [session.task for session in sessions]
    await asyncio.gather(*tasks, return_exceptions=True)
