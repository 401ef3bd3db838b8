"""Admit the requests of client accounts on one entry VM."""

import asyncio
import collections
import contextlib
import functools
import logging
import math
import time

import attrs
from result import Ok

from ..errors import fail
from ..messages.records import DemandSample
from ..messages.records import ErrorKind
from ..messages.records import TokenRequest
from ..telemetry import set_activity
from .allocator_client import AllocatorClient
from .leased_tokens import LeasedTokens

__all__ = ["DEMAND_PERIOD_S", "Limiter"]

_LOG = logging.getLogger(__name__)
_SHORTEST_WAIT_S = 0.005
_LONGEST_WAIT_S = 0.25
# Bounds the calls for one account that has used up its rate.
_REMOTE_ROUND_S = 0.1
# Parts of a batch's lease: time between settlements, and the end in which
# unspent tokens are given back.
_SETTLE_PART = 0.1
_GIVE_BACK_PART = 0.35
# Time that one sample of demand covers.
DEMAND_PERIOD_S = 1.0


@attrs.define
class _Line:
    """The requests of one account that wait, and its tokens."""

    held_tokens: LeasedTokens
    waiters: collections.deque = attrs.field(factory=collections.deque)
    fetching: object = None
    # Set when an answer came that nobody waited for any more.
    late_answer: asyncio.Event = attrs.field(factory=asyncio.Event)
    remote_at: float = float("-inf")
    # Until then all allocators are known to have no tokens.
    empty_until: float = float("-inf")
    arrivals: int = 0
    refusals: int = 0


@attrs.frozen
class _Waiter:
    """A request that waits; its future tells whether it got a token."""

    future: asyncio.Future
    since: float


class Limiter:
    """Admit requests within their account's rate and burst.

    Parameters
    ----------
    settings : Settings
        The settings of the process.
    copy : FleetCopy
        The agreed state.
    channels : Channels
        Connections to the allocators.
    allocator : ShareAllocator or None
        Allocator of this VM, asked without a connection.
    incarnation : str
        Incarnation of this VM.
    """

    def __init__(
        self, settings, copy, channels, allocator=None, incarnation=""
    ):
        self._settings = settings
        self._client = AllocatorClient(settings, copy, channels, allocator)
        self._incarnation = incarnation
        self._lines = {}
        self._demands_at = time.monotonic()

    async def run(self):
        """Settle batches until cancelled."""
        lease_s = self._settings.limits.batch_lease_s
        try:
            while True:
                await asyncio.sleep(lease_s * _SETTLE_PART)
                await self._settle(lease_s * _GIVE_BACK_PART)
                self._client.close_idle(time.monotonic())
        finally:
            for line in self._lines.values():
                if line.fetching is not None:
                    line.fetching.cancel()
            self._client.close()

    async def admit(self, account, deadline_at):
        """Take one token of an account, waiting a short while for it.

        Parameters
        ----------
        account : str
            Name of the account.
        deadline_at : float
            Monotonic time in seconds after which the token is of no use.

        Returns
        -------
        result.Result
            ``Ok(None)`` or ``RATE_LIMITED``.
        """
        now = time.monotonic()
        line = self._lines.get(account)
        if line is None:
            line = self._lines[account] = _Line(LeasedTokens(now))
        line.held_tokens.note_demand(now)
        line.arrivals += 1
        if not line.waiters and line.held_tokens.spend(now):
            if line.held_tokens.wanted(0, now) > 0:
                self._start_fetching(account, line)
            return Ok(None)
        if line.empty_until - now > self._settings.limits.refill_wait_s:
            return _refuse(account, line)
        limit_at = min(deadline_at, now + self._settings.limits.wait_limit_s)
        future = asyncio.get_running_loop().create_future()
        waiter = _Waiter(future, now)
        line.waiters.append(waiter)
        self._start_fetching(account, line)
        try:
            async with asyncio.timeout(max(0.0, limit_at - now)):
                is_admitted = await future
        except TimeoutError:
            is_admitted = (
                future.done() and not future.cancelled() and future.result()
            )
        finally:
            if waiter in line.waiters:
                line.waiters.remove(waiter)
        return Ok(None) if is_admitted else _refuse(account, line)

    def pop_demand_samples(self, now):
        """Return the demand since the last call that returned some.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        tuple of DemandSample
            For the control leader, at most one for each account and second,
            so that the samples of one second can be added up over VMs.
        """
        elapsed_s = now - self._demands_at
        if elapsed_s < DEMAND_PERIOD_S:
            return ()
        self._demands_at = now
        samples = []
        for account, line in list(self._lines.items()):
            if line.arrivals:
                samples.append(
                    DemandSample(
                        account=account,
                        data_centre=self._settings.vm.data_centre,
                        rate_per_s=line.arrivals / elapsed_s,
                        unmet_per_s=line.refusals / elapsed_s,
                    )
                )
            elif self._is_idle(line, now):
                del self._lines[account]
            line.arrivals = line.refusals = 0
        return tuple(samples)

    def _is_idle(self, line, now):
        line.held_tokens.forget(now)
        return (
            not line.waiters
            and line.fetching is None
            and line.held_tokens.is_empty
        )

    def _start_fetching(self, account, line):
        if line.fetching is None:
            line.fetching = asyncio.create_task(self._fetch(account, line))
            line.fetching.add_done_callback(
                lambda task: self._fetched(account, line, task)
            )

    def _fetched(self, account, line, task):
        line.fetching = None
        if not task.cancelled() and task.exception() is not None:
            _LOG.error("limits: fetching tokens failed: %r", task.exception())
        elif not task.cancelled() and line.waiters:
            self._start_fetching(account, line)

    async def _fetch(self, account, line):
        """Draw tokens until no request of the account waits."""
        set_activity("tokens")
        while True:
            line.late_answer.clear()
            now = time.monotonic()
            sources = self._client.holders(account, now)
            near = [
                source
                for source in sources
                if source.data_centre == self._settings.vm.data_centre
            ]
            waits = [
                await self._draw_near(account, line, source) for source in near
            ]
            far = [source for source in sources if source not in near]
            has_asked_far = self._may_draw_far(line)
            if has_asked_far:
                waits += await self._draw_far(account, line, far)
            self._serve(line)
            if not line.waiters:
                return
            waits = [wait_s for wait_s in waits if wait_s is not None]
            if not has_asked_far or 0 in waits:
                # One that was not asked, or gave all that it was asked for,
                # may have tokens for requests that came since.
                waits.append(line.remote_at + _REMOTE_ROUND_S - now)
            elif waits and self._client.hears_all():
                self._note_empty(line, min(waits), time.monotonic())
                if not line.waiters:
                    return
            wait_s = min(waits, default=_LONGEST_WAIT_S)
            wait_s = max(_SHORTEST_WAIT_S, min(wait_s, _LONGEST_WAIT_S))
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await line.late_answer.wait()
            self._serve(line)

    async def _draw_near(self, account, line, source):
        """Draw until nothing more is given; return when to ask again.

        Returns None if the allocator did not answer. The last of these
        requests reports what was spent, so that a small burst refills while
        the other requests wait.
        """
        while True:
            wanted = line.held_tokens.wanted(
                len(line.waiters), time.monotonic()
            )
            response = await self._draw(account, line, source, wanted)
            if response is None:
                return None
            if not response.tokens or not line.waiters:
                return response.wait_s

    def _may_draw_far(self, line):
        """Tell whether other data centres may be asked again."""
        return time.monotonic() - line.remote_at >= _REMOTE_ROUND_S

    async def _draw_far(self, account, line, sources):
        """Look for tokens in other data centres for requests that wait.

        All are asked before a request is refused, since any of them may hold
        the tokens. Returns when to ask those again that answered.
        """
        now = time.monotonic()
        if not line.waiters:
            return []
        line.remote_at = now
        waiting = len(line.waiters)
        missing = waiting - line.held_tokens.available(now)
        # What the next moments need comes from all of them together.
        ahead = line.held_tokens.wanted(waiting, now) - missing
        wanted = missing + ahead / max(1, len(sources))
        waits = []
        for batch in _batch(sources, missing):
            responses = await asyncio.gather(
                *(
                    self._draw(account, line, source, wanted)
                    for source in batch
                )
            )
            waits += [each.wait_s for each in responses if each is not None]
            if not line.waiters:
                break
        return waits

    def _note_empty(self, line, wait_s, now):
        """Refuse the requests that have waited for a refill long enough.

        Further ones are refused at once until the refill, or until the
        allocators of other data centres may be asked again.
        """
        line.empty_until = now + min(wait_s, _REMOTE_ROUND_S)
        refill_wait_s = self._settings.limits.refill_wait_s
        while line.waiters and now - line.waiters[0].since >= refill_wait_s:
            waiter = line.waiters.popleft()
            if not waiter.future.done():
                waiter.future.set_result(False)

    async def _draw(self, account, line, source, tokens):
        """Ask one allocator and serve requests; return its answer or None."""
        requested_at = time.monotonic()
        response = await self._client.acquire(
            source,
            TokenRequest(
                account=account,
                tokens=max(0.0, tokens),
                vm=self._settings.vm.name,
                incarnation=self._incarnation,
                epoch=source.epoch,
                batches=line.held_tokens.reports(
                    source.data_centre, source.epoch, requested_at
                ),
            ),
            functools.partial(self._take_late, line, source, requested_at),
        )
        if response is not None:
            self._take(line, source, requested_at, response)
        return response

    def _take(self, line, source, requested_at, response):
        line.held_tokens.add(source.data_centre, response, requested_at)
        self._serve(line)

    def _take_late(self, line, source, requested_at, response):
        self._take(line, source, requested_at, response)
        line.late_answer.set()

    def _serve(self, line):
        while line.waiters:
            if line.waiters[0].future.done():
                line.waiters.popleft()
            elif line.held_tokens.spend(time.monotonic()):
                line.waiters.popleft().future.set_result(True)
            else:
                return

    async def _settle(self, close_within_s):
        """Report spending and give back tokens that would expire."""
        now = time.monotonic()
        sources = {
            (source.data_centre, source.epoch): source
            for source in self._client.sources(now)
        }
        calls = []
        for account, line in list(self._lines.items()):
            for place in line.held_tokens.sources_to_settle(
                now, close_within_s
            ):
                if place in sources:
                    calls.append(
                        self._settle_one(
                            account, line, sources[place], close_within_s
                        )
                    )
        await asyncio.gather(*calls)

    async def _settle_one(self, account, line, source, close_within_s):
        now = time.monotonic()
        batches = line.held_tokens.reports(
            source.data_centre, source.epoch, now, close_within_s
        )
        response = await self._client.acquire(
            source,
            TokenRequest(
                account=account,
                vm=self._settings.vm.name,
                incarnation=self._incarnation,
                epoch=source.epoch,
                batches=batches,
            ),
            functools.partial(self._take_late, line, source, now),
        )
        if response is not None:
            self._take(line, source, now, response)


def _batch(sources, missing):
    """Divide sources into those that are asked at the same time.

    At first as many as tokens are missing: what others gave would be held
    here and be missing elsewhere. Then twice as many each time, so that a
    request which cannot be served is refused after a few round trips.
    """
    first = 0
    size = max(1, math.ceil(missing))
    while first < len(sources):
        yield sources[first : first + size]
        first += size
        size *= 2


def _refuse(account, line):
    line.refusals += 1
    return fail(
        ErrorKind.RATE_LIMITED,
        f"account '{account}' has used up its rate and burst",
    )
