"""Client for the token allocators, used by entry VMs."""

import asyncio
import functools
import logging

import attrs

from .. import clock
from .sources import list_sources
from .token_stream import TokenStream

__all__ = ["AllocatorClient"]

_LOG = logging.getLogger(__name__)
# Several round trips between regions (40 ms each), one of them to connect.
_CALL_TIMEOUT_S = 0.25
# The same within a data centre, where a round trip takes a few milliseconds.
_LOCAL_CALL_TIMEOUT_S = 0.1
# Exponential backoff for an allocator that did not respond. The first delay
# is short, so that after one lost response a request can still be admitted
# within its wait limit.
_MIN_BACKOFF_S = 0.25
_MAX_BACKOFF_S = 2.0
# Consecutive failures after which an allocator counts as lost.
_LOST_AFTER_FAILURES = 2


@attrs.frozen
class _Failures:
    """Failures of an allocator since its last response."""

    count: int
    retry_at: float


class AllocatorClient:
    """Request tokens from allocators and skip unresponsive ones.

    Parameters
    ----------
    settings : Settings
        Sections ``vm``, ``peer`` and ``limits`` are read.
    state_cache : FleetStateCache
        Replicated state that lists the allocators.
    channels : Channels
        Connections to them.
    allocator : ShareAllocator or None
        Allocator of this VM, called directly.

    Notes
    -----
    A call that times out stays open until the lease of its tokens would
    expire. The allocator counts the tokens as outstanding for that long, so
    dropping a late response would withhold them from the whole account.
    """

    def __init__(self, settings, state_cache, channels, allocator=None):
        self._settings = settings
        self._state_cache = state_cache
        self._channels = channels
        self._allocator = allocator
        # The allocators, and the state and revision they were read from.
        self._sources = []
        self._sources_revision = (None, 0)
        self._failures = {}
        self._last_response_at = {}
        self._streams = {}
        self._late_calls = set()

    def sources(self, now):
        """Return the allocators that may be called now, nearest first.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of TokenSource
            Without those that are backed off.
        """
        self._refresh_sources()
        if not self._failures:
            return self._sources
        return [
            source
            for source in self._sources
            if source not in self._failures
            or self._failures[source].retry_at <= now
        ]

    def share_sources(self, account, now):
        """Return the allocators that may have tokens of an account.

        Parameters
        ----------
        account : str
            Name of the account.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of TokenSource
            Those of :meth:`sources` whose data centre has a share.
        """
        return [
            source
            for source in self.sources(now)
            if self.has_share(account, source.data_centre)
        ]

    def has_share(self, account, data_centre):
        """Return whether a data centre has a share of an account.

        Parameters
        ----------
        account, data_centre : str
            Their names.
        """
        share = self._state_cache.state.shares.get((account, data_centre))
        return share is not None and share.burst > 0

    def is_superseded(self, data_centre, epoch):
        """Return whether a later allocator is known than that of an epoch.

        Parameters
        ----------
        data_centre : str
            Data centre of the allocator.
        epoch : int
            Epoch of its appointment.
        """
        allocator = self._state_cache.state.allocators.get(data_centre)
        return allocator is not None and epoch < allocator.epoch

    def has_complete_view(self):
        """Return whether the tokens of every allocator are known.

        An allocator that failed once may still have tokens. After more
        failures it counts as lost, together with its tokens.
        """
        return all(
            failures.count >= _LOST_AFTER_FAILURES
            for failures in self._failures.values()
        )

    async def acquire(self, source, request, on_late_response):
        """Request tokens from one allocator.

        Parameters
        ----------
        source : TokenSource
            The allocator.
        request : TokenRequest
            Tokens requested, and reports on earlier batches.
        on_late_response : callable
            Called with the `TokenResponse` if it arrives after None was
            returned.

        Returns
        -------
        TokenResponse or None
            None if it timed out, failed or is not the allocator.
        """
        if source.vm == self._settings.vm.name and self._allocator:
            response = self._allocator.acquire(request, clock.monotonic())
            return self._check_response(source, response)
        started_at = clock.monotonic()
        timeout_s = _CALL_TIMEOUT_S
        if source.data_centre == self._settings.vm.data_centre:
            timeout_s = _LOCAL_CALL_TIMEOUT_S
        call = self._start_call(source, request, started_at)
        try:
            await asyncio.wait({call}, timeout=timeout_s)
        except asyncio.CancelledError:
            call.cancel()
            raise
        if call.done() and call.result() is not None:
            return self._check_response(source, call.result())
        self._record_failure(source, started_at)
        if not call.done():
            _LOG.info("limits: response of allocator %s is late", source.vm)
            self._await_late_response(
                source, call, timeout_s, on_late_response
            )
        return None

    def close_idle(self, now):
        """Close idle and failed streams.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        for address, stream in list(self._streams.items()):
            if stream.is_idle(now) or not stream.is_open:
                self._streams.pop(address).close()

    def close(self):
        """Cancel pending calls and close all streams."""
        for call in self._late_calls:
            call.cancel()
        for stream in self._streams.values():
            stream.close()

    def _refresh_sources(self):
        """Reload the allocators if the replicated state has changed."""
        state = self._state_cache.state
        if self._sources_revision == (state, state.revision):
            return
        self._sources_revision = (state, state.revision)
        self._sources = list_sources(state, self._settings.vm)
        self._failures = {
            source: self._failures[source]
            for source in self._sources
            if source in self._failures
        }

    def _start_call(self, source, request, now):
        stream = self._streams.get(source.address)
        if stream is None or not stream.is_open:
            stream = self._streams[source.address] = TokenStream(
                self._settings.peer, self._channels, source.address
            )
        request = attrs.evolve(
            request, traceparent=self._channels.trace_context()
        )
        call = stream.submit(request, now)
        call.add_done_callback(
            functools.partial(self._record_response, source.address)
        )
        return call

    def _record_response(self, address, call):
        if not call.cancelled() and call.result() is not None:
            self._last_response_at[address] = clock.monotonic()

    def _await_late_response(self, source, call, elapsed_s, on_late_response):
        """Accept a response until the lease of its tokens expires."""
        self._late_calls.add(call)
        call.add_done_callback(
            functools.partial(self._finish_late_call, source, on_late_response)
        )
        remaining_s = self._settings.limits.batch_lease_s - elapsed_s
        asyncio.get_running_loop().call_later(remaining_s, call.cancel)

    def _finish_late_call(self, source, on_late_response, call):
        self._late_calls.discard(call)
        if not call.cancelled() and call.result() is not None:
            response = self._check_response(source, call.result())
            if response is not None:
                on_late_response(response)

    def _check_response(self, source, response):
        if response.failure is None:
            self._failures.pop(source, None)
            return response
        self._back_off(source, clock.monotonic())
        return None

    def _back_off(self, source, now):
        previous = self._failures.get(source)
        count = previous.count + 1 if previous else 1
        backoff_s = _MIN_BACKOFF_S * 2 ** min(count - 1, 10)
        retry_at = now + min(backoff_s, _MAX_BACKOFF_S)
        self._failures[source] = _Failures(count, retry_at)

    def _record_failure(self, source, started_at):
        """Back off from an allocator; drop a connection without responses."""
        now = clock.monotonic()
        self._back_off(source, now)
        last_at = self._last_response_at.setdefault(source.address, started_at)
        if now - last_at > self._settings.peer.silence_timeout_s:
            self._channels.drop(source.address)
            self._last_response_at[source.address] = now
