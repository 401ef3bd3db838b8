"""Calls of one entry VM to the allocators of tokens."""

import asyncio
import functools
import logging
import time

import attrs

from .sources import list_sources
from .token_stream import TokenStream

__all__ = ["AllocatorClient"]

_LOG = logging.getLogger(__name__)
# Several round trips between regions (40 ms each), one of them to connect.
_CALL_TIMEOUT_S = 0.25
# The same inside a data centre, where a round trip takes a few milliseconds.
_NEAR_CALL_TIMEOUT_S = 0.1
# An allocator that did not answer is not asked again for the shorter time,
# doubled with each failure up to the longer one: after one lost answer a
# request can still be admitted within its wait limit.
_SHORTEST_AVOID_S = 0.25
_LONGEST_AVOID_S = 2.0
# Failures in a row after which an allocator counts as lost.
_LOST_FAILURES = 2


@attrs.frozen
class _Failures:
    """Failures of an allocator since its last answer."""

    count: int
    avoid_until: float


class AllocatorClient:
    """Ask allocators, and pass by those that do not answer.

    Parameters
    ----------
    settings : Settings
        Sections ``vm``, ``peer`` and ``limits`` are read.
    state_cache : FleetStateCache
        Names the allocators.
    channels : Channels
        Connections to them.
    allocator : ShareAllocator or None
        Allocator of this VM, asked without a connection.

    Notes
    -----
    A call whose answer is late goes on until the lease of its tokens would
    end. Its allocator counts them as handed out for that long, so dropping
    the answer would keep them from every request of the account.
    """

    def __init__(self, settings, state_cache, channels, allocator=None):
        self._settings = settings
        self._state_cache = state_cache
        self._channels = channels
        self._allocator = allocator
        # The allocators, and the state and revision that name them.
        self._found = []
        self._found_in = (None, 0)
        self._failures = {}
        self._answered_at = {}
        self._streams = {}
        self._late_calls = set()

    def sources(self, now):
        """Return the allocators that may be asked now, nearest first.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of Source
            Without those that failed a short while ago.
        """
        self._follow()
        if not self._failures:
            return self._found
        return [
            source
            for source in self._found
            if source not in self._failures
            or self._failures[source].avoid_until <= now
        ]

    def holders(self, account, now):
        """Return the allocators that may hold tokens of an account.

        Parameters
        ----------
        account : str
            Name of the account.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of Source
            Those of :meth:`sources` whose data centre has a share.
        """
        shares = self._state_cache.state.shares
        return [
            source
            for source in self.sources(now)
            if (account, source.data_centre) in shares
            and shares[account, source.data_centre].burst > 0
        ]

    def hears_all(self):
        """Tell whether no allocator's tokens are unknown.

        One that failed once may have tokens; after more failures it counts
        as lost, with its tokens.
        """
        return all(
            failures.count >= _LOST_FAILURES
            for failures in self._failures.values()
        )

    async def acquire(self, source, request, take_late):
        """Ask one allocator for tokens.

        Parameters
        ----------
        source : Source
            The allocator.
        request : TokenRequest
            Tokens wanted and what became of earlier ones.
        take_late : callable
            Called with the `TokenResponse` if it comes after None was
            returned.

        Returns
        -------
        TokenResponse or None
            None if it did not answer in time or is not the allocator.
        """
        if source.vm == self._settings.vm.name and self._allocator:
            response = self._allocator.acquire(request, time.monotonic())
            return self._check(source, response)
        started_at = time.monotonic()
        limit_s = _CALL_TIMEOUT_S
        if source.data_centre == self._settings.vm.data_centre:
            limit_s = _NEAR_CALL_TIMEOUT_S
        asking = self._ask(source, request, started_at)
        try:
            await asyncio.wait({asking}, timeout=limit_s)
        except asyncio.CancelledError:
            asking.cancel()
            raise
        if asking.done() and asking.result() is not None:
            return self._check(source, asking.result())
        self._note_failure(source, started_at)
        if not asking.done():
            _LOG.info("limits: answer of allocator %s is late", source.vm)
            self._wait_late(source, asking, limit_s, take_late)
        return None

    def close_idle(self, now):
        """Close the streams that are not needed.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        for address, stream in list(self._streams.items()):
            if stream.is_idle(now) or not stream.is_open:
                self._streams.pop(address).close()

    def close(self):
        """Give up the calls without an answer and close all streams."""
        for asking in self._late_calls:
            asking.cancel()
        for stream in self._streams.values():
            stream.close()

    def _follow(self):
        """Follow the naming of the allocators."""
        state = self._state_cache.state
        if self._found_in == (state, state.revision):
            return
        self._found_in = (state, state.revision)
        self._found = list_sources(state, self._settings.vm)
        self._failures = {
            source: self._failures[source]
            for source in self._found
            if source in self._failures
        }

    def _ask(self, source, request, now):
        stream = self._streams.get(source.address)
        if stream is None or not stream.is_open:
            stream = self._streams[source.address] = TokenStream(
                self._settings.peer, self._channels, source.address
            )
        request = attrs.evolve(
            request, traceparent=self._channels.trace_context()
        )
        asking = stream.ask(request, now)
        asking.add_done_callback(
            functools.partial(self._note_answer, source.address)
        )
        return asking

    def _note_answer(self, address, asking):
        if not asking.cancelled() and asking.result() is not None:
            self._answered_at[address] = time.monotonic()

    def _wait_late(self, source, asking, waited_s, take_late):
        """Take an answer that comes before the lease of its tokens ends."""
        self._late_calls.add(asking)
        asking.add_done_callback(
            functools.partial(self._end_late_call, source, take_late)
        )
        left_s = self._settings.limits.batch_lease_s - waited_s
        asyncio.get_running_loop().call_later(left_s, asking.cancel)

    def _end_late_call(self, source, take_late, asking):
        self._late_calls.discard(asking)
        if not asking.cancelled() and asking.result() is not None:
            response = self._check(source, asking.result())
            if response is not None:
                take_late(response)

    def _check(self, source, response):
        if response.failure is None:
            self._failures.pop(source, None)
            return response
        self._avoid(source, time.monotonic())
        return None

    def _avoid(self, source, now):
        known = self._failures.get(source)
        count = known.count + 1 if known else 1
        avoid_s = _SHORTEST_AVOID_S * 2 ** min(count - 1, 10)
        until = now + min(avoid_s, _LONGEST_AVOID_S)
        self._failures[source] = _Failures(count, until)

    def _note_failure(self, source, started_at):
        """Avoid an allocator; replace a connection that stays silent."""
        now = time.monotonic()
        self._avoid(source, now)
        last = self._answered_at.setdefault(source.address, started_at)
        if now - last > self._settings.peer.silence_timeout_s:
            self._channels.drop(source.address)
            self._answered_at[source.address] = now
