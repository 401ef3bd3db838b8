"""Admission control for the client accounts on one entry VM."""

import asyncio
import contextlib
import functools
import logging
import math

from result import Ok

from .. import clock
from ..messages.records import DemandSample
from ..messages.records import TokenRequest
from ..telemetry import set_activity
from .account_queue import AccountQueue
from .account_queue import Waiter
from .allocator_client import AllocatorClient
from .leased_tokens import LeasedTokens
from .shortage import reject_account

__all__ = ["DEMAND_PERIOD_S", "Limiter"]

_LOG = logging.getLogger(__name__)
_MIN_WAIT_S = 0.005
_MAX_WAIT_S = 0.25
# Minimum interval between requests to remote data centres for one account;
# it bounds the calls for an account that has used up its rate.
_REMOTE_INTERVAL_S = 0.1
# Fractions of a batch's lease: the interval between settlements, and the time
# before expiry at which unspent tokens are returned.
_SETTLE_FRACTION = 0.1
_RETURN_FRACTION = 0.35
# Time that one demand sample covers.
DEMAND_PERIOD_S = 1.0


class Limiter:
    """Admit requests within the rate and burst of their account.

    Parameters
    ----------
    settings : Settings
        Settings of the process.
    state_cache : FleetStateCache
        The replicated state.
    channels : Channels
        Connections to the allocators.
    allocator : ShareAllocator or None
        Allocator of this VM, called directly.
    incarnation : str
        Incarnation of this VM.
    """

    def __init__(
        self, settings, state_cache, channels, allocator=None, incarnation=""
    ):
        self._settings = settings
        self._client = AllocatorClient(
            settings, state_cache, channels, allocator
        )
        self._incarnation = incarnation
        self._queues = {}
        self._demand_sampled_at = clock.monotonic()

    async def run(self):
        """Settle batches until cancelled."""
        lease_s = self._settings.limits.batch_lease_s
        try:
            while True:
                await asyncio.sleep(lease_s * _SETTLE_FRACTION)
                await self._settle(lease_s * _RETURN_FRACTION)
                self._client.close_idle(clock.monotonic())
        finally:
            for queue in self._queues.values():
                if queue.fetch_task is not None:
                    queue.fetch_task.cancel()
            self._client.close()

    async def admit(self, account, deadline_at):
        """Consume one token of an account, waiting briefly if needed.

        Parameters
        ----------
        account : str
            Name of the account.
        deadline_at : float
            Monotonic time in seconds after which a token is of no use.

        Returns
        -------
        result.Result
            ``Ok(None)``; ``RATE_LIMITED`` if the account has used up its
            rate and burst, or ``TOKENS_UNAVAILABLE`` if an allocator of it
            does not respond or does not issue tokens yet.
        """
        now = clock.monotonic()
        queue = self._queues.get(account)
        if queue is None:
            queue = self._queues[account] = AccountQueue(LeasedTokens(now))
        queue.tokens.record_request(now)
        queue.arrivals += 1
        if not queue.waiters and queue.tokens.spend(now):
            if queue.tokens.deficit(0, now) > 0:
                self._start_fetch(account, queue)
            return Ok(None)
        if queue.exhausted_until - now > self._settings.limits.refill_wait_s:
            return self._reject(account, queue, now)
        give_up_at = min(deadline_at, now + self._settings.limits.wait_limit_s)
        future = asyncio.get_running_loop().create_future()
        waiter = Waiter(future, now)
        queue.waiters.append(waiter)
        self._start_fetch(account, queue)
        try:
            async with asyncio.timeout(max(0.0, give_up_at - now)):
                is_admitted = await future
        except TimeoutError:
            is_admitted = (
                future.done() and not future.cancelled() and future.result()
            )
        finally:
            if waiter in queue.waiters:
                queue.waiters.remove(waiter)
        if is_admitted:
            return Ok(None)
        return self._reject(account, queue, clock.monotonic())

    def discard_superseded(self):
        """Discard all tokens of allocators that have been replaced.

        A VM must do so before it reports a revision: once all VMs have
        reported the appointment of a successor, it issues the same tokens.
        """
        for queue in self._queues.values():
            queue.tokens.discard_superseded(self._client.is_superseded)

    def pop_demand_samples(self, now):
        """Return the demand since the last call that returned samples.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        tuple of DemandSample
            For the control leader: at most one for each account and second,
            so that the samples of one second can be summed over VMs.
        """
        elapsed_s = now - self._demand_sampled_at
        if elapsed_s < DEMAND_PERIOD_S:
            return ()
        self._demand_sampled_at = now
        samples = []
        for account, queue in list(self._queues.items()):
            if queue.arrivals:
                samples.append(
                    DemandSample(
                        account=account,
                        data_centre=self._settings.vm.data_centre,
                        rate_per_s=queue.arrivals / elapsed_s,
                        unmet_per_s=queue.rejections / elapsed_s,
                    )
                )
            elif self._is_idle(queue, now):
                del self._queues[account]
            queue.arrivals = queue.rejections = 0
        return tuple(samples)

    def _is_idle(self, queue, now):
        queue.tokens.discard_expired(now)
        return (
            not queue.waiters
            and queue.fetch_task is None
            and queue.tokens.is_empty
        )

    def _start_fetch(self, account, queue):
        if queue.fetch_task is None:
            queue.fetch_task = asyncio.create_task(self._fetch(account, queue))
            queue.fetch_task.add_done_callback(
                lambda task: self._on_fetch_done(account, queue, task)
            )

    def _on_fetch_done(self, account, queue, task):
        queue.fetch_task = None
        if not task.cancelled() and task.exception() is not None:
            _LOG.error("limits: token request failed: %r", task.exception())
        elif not task.cancelled() and queue.waiters:
            self._start_fetch(account, queue)

    async def _fetch(self, account, queue):
        """Acquire tokens until no request of the account waits."""
        set_activity("tokens")
        while True:
            queue.late_response.clear()
            now = clock.monotonic()
            sources = self._client.share_sources(account, now)
            local = [
                source
                for source in sources
                if source.data_centre == self._settings.vm.data_centre
            ]
            waits_s = [
                await self._acquire_local(account, queue, source)
                for source in local
            ]
            remote = [source for source in sources if source not in local]
            has_called_remote = self._may_call_remote(queue)
            if has_called_remote:
                waits_s += await self._acquire_remote(account, queue, remote)
            self._admit_waiters(queue)
            if not queue.waiters:
                return
            waits_s = [wait_s for wait_s in waits_s if wait_s is not None]
            if not has_called_remote or 0 in waits_s:
                # An allocator that was not called, or that granted all that
                # was requested, may have tokens for newer requests.
                waits_s.append(queue.remote_call_at + _REMOTE_INTERVAL_S - now)
            elif waits_s and self._client.has_complete_view():
                self._record_exhaustion(queue, min(waits_s), clock.monotonic())
                if not queue.waiters:
                    return
            wait_s = min(waits_s, default=_MAX_WAIT_S)
            wait_s = max(_MIN_WAIT_S, min(wait_s, _MAX_WAIT_S))
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await queue.late_response.wait()
            self._admit_waiters(queue)

    async def _acquire_local(self, account, queue, source):
        """Acquire until no more is granted; return the wait before a retry.

        Returns None if the allocator did not respond. The last call reports
        what was spent, so that a small burst refills while the others wait.
        """
        while True:
            need = queue.tokens.deficit(len(queue.waiters), clock.monotonic())
            response = await self._acquire(account, queue, source, need)
            if response is None:
                return None
            if not response.tokens or not queue.waiters:
                return response.wait_s

    def _may_call_remote(self, queue):
        """Return whether remote data centres may be called again."""
        return clock.monotonic() - queue.remote_call_at >= _REMOTE_INTERVAL_S

    async def _acquire_remote(self, account, queue, sources):
        """Acquire tokens from remote data centres for waiting requests.

        All are called before a request is rejected, since any of them may
        have tokens. Returns the retry waits of those that responded.
        """
        now = clock.monotonic()
        if not queue.waiters:
            return []
        queue.remote_call_at = now
        waiting = len(queue.waiters)
        missing = waiting - queue.tokens.available(now)
        # The expected demand is divided among all of them.
        anticipated = queue.tokens.deficit(waiting, now) - missing
        tokens = missing + anticipated / max(1, len(sources))
        waits_s = []
        for group in _group_sources(sources, missing):
            responses = await asyncio.gather(
                *(
                    self._acquire(account, queue, source, tokens)
                    for source in group
                )
            )
            waits_s += [
                response.wait_s
                for response in responses
                if response is not None
            ]
            if not queue.waiters:
                break
        return waits_s

    def _record_exhaustion(self, queue, wait_s, now):
        """Reject the requests that have reached the refill wait limit.

        New requests are rejected immediately until the refill, or until the
        allocators of remote data centres may be called again.
        """
        queue.exhausted_until = now + min(wait_s, _REMOTE_INTERVAL_S)
        limit_s = self._settings.limits.refill_wait_s
        while queue.waiters and now - queue.waiters[0].enqueued_at >= limit_s:
            waiter = queue.waiters.popleft()
            if not waiter.future.done():
                waiter.future.set_result(False)

    async def _acquire(self, account, queue, source, tokens):
        """Call one allocator, admit waiters; return the response or None."""
        called_at = clock.monotonic()
        missing = len(queue.waiters) - queue.tokens.available(called_at)
        response = await self._client.acquire(
            source,
            TokenRequest(
                account=account,
                tokens=max(0.0, tokens),
                immediate=0 < tokens <= missing,
                vm=self._settings.vm.name,
                incarnation=self._incarnation,
                epoch=source.epoch,
                batches=queue.tokens.collect_reports(
                    source.data_centre, source.epoch, called_at
                ),
            ),
            functools.partial(self._add_late_batch, queue, source, called_at),
        )
        if response is not None:
            self._add_batch(queue, source, called_at, response)
        queue.record_shortage(source.data_centre, response, clock.monotonic())
        return response

    def _reject(self, account, queue, now):
        queue.rejections += 1
        shortages = [
            shortage
            for data_centre, shortage in queue.shortages.items()
            if self._client.has_share(account, data_centre)
        ]
        return reject_account(account, shortages, now)

    def _add_batch(self, queue, source, called_at, response):
        if self._client.is_superseded(source.data_centre, response.epoch):
            return
        queue.tokens.add(source.data_centre, response, called_at)
        self._admit_waiters(queue)

    def _add_late_batch(self, queue, source, called_at, response):
        self._add_batch(queue, source, called_at, response)
        queue.late_response.set()

    def _admit_waiters(self, queue):
        while queue.waiters:
            if queue.waiters[0].future.done():
                queue.waiters.popleft()
            elif queue.tokens.spend(clock.monotonic()):
                queue.waiters.popleft().future.set_result(True)
            else:
                return

    async def _settle(self, lead_s):
        """Report spending and return tokens that expire within `lead_s`."""
        now = clock.monotonic()
        sources = {
            (source.data_centre, source.epoch): source
            for source in self._client.sources(now)
        }
        calls = []
        for account, queue in list(self._queues.items()):
            for key in queue.tokens.sources_to_settle(now, lead_s):
                if key in sources:
                    calls.append(
                        self._settle_one(account, queue, sources[key], lead_s)
                    )
        await asyncio.gather(*calls)

    async def _settle_one(self, account, queue, source, lead_s):
        now = clock.monotonic()
        batches = queue.tokens.collect_reports(
            source.data_centre, source.epoch, now, lead_s
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
            functools.partial(self._add_late_batch, queue, source, now),
        )
        if response is not None:
            self._add_batch(queue, source, now, response)


def _group_sources(sources, missing):
    """Divide sources into groups that are called concurrently.

    The first group has as many sources as tokens are missing: surplus tokens
    leased here would be missing elsewhere. Each next group is twice as large,
    so that a request is rejected after few round trips if none has tokens.
    """
    start = 0
    size = max(1, math.ceil(missing))
    while start < len(sources):
        yield sources[start : start + size]
        start += size
        size *= 2
