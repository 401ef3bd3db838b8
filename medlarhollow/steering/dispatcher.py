"""Queue requests and assign them to slots of backend servers."""

import asyncio
import math
import random

from result import Ok

from .. import clock
from ..errors import fail
from ..messages.records import ErrorKind
from ..moves import VersionSelector
from .assigner import SlotAssigner
from .assignment import AttemptResult
from .placement.placement import identify_object_servers
from .queueing.pool import WaitingRequest
from .queueing.pools import Pools
from .queueing.refusals import Refusals
from .regions.credit_grants import CreditGrants
from .regions.credit_requests import CreditRequests
from .regions.spill import SpillCoordinator
from .regions.wait_sums import make_wait_sums
from .servers.local_load import LocalLoadSampler
from .servers.slot_tracker import SlotTracker

__all__ = ["Dispatcher"]

# The end of a lease, an ejection or a slow start raises no event, so the
# queues are polled as well.
_POLL_INTERVAL_S = 0.1
# Longest wait for credit if the data centre has no server of a service.
_CREDIT_WAIT_S = 1.0
# Time between two evictions of the records of removed servers.
_EVICTION_INTERVAL_S = 1.0


class Dispatcher:
    """Queue requests and assign them to backend servers.

    Parameters
    ----------
    settings : Settings
        The settings of the process.
    state_cache : FleetStateCache
        The replicated fleet state.
    directory : Directory
        Backend servers of the data centre.
    channels : Channels
        Connections to VMs of other data centres.
    versions : VersionSelector or None
        Chooses versions; None to create one.
    """

    def __init__(
        self, settings, state_cache, directory, channels, versions=None
    ):
        self._settings = settings
        self._state_cache = state_cache
        self._versions = versions or VersionSelector(settings, state_cache)
        self._pools = Pools(settings, state_cache, directory, self._versions)
        self._slots = SlotTracker(settings, directory, state_cache)
        self._refusals = Refusals(self._slots)
        self._wait_sums = make_wait_sums(settings)
        self._is_fleet_wide = settings.backends.scope == "fleet"
        self._spill = SpillCoordinator(settings, state_cache, channels)
        self._assigner = SlotAssigner(
            settings, state_cache, self._slots, self._spill
        )
        self._credit_grants = CreditGrants(
            state_cache, self._pools, self._slots, self._spill
        )
        self._credit_requests = CreditRequests(
            self._spill, self._may_spill, self._assigner.assign_waiting
        )
        self._generator = random.Random()
        self._local_load = LocalLoadSampler(self._pools, self._slots)
        self._next_eviction_at = -math.inf
        self._is_stopped = False
        directory.subscribe(self._dispatch_all)

    @property
    def answer_times(self):
        """AnswerTimes : recent times of answers by service and route."""
        return self._pools.answer_times

    @property
    def wait_sums(self):
        """WaitSums : waits and held slots since the last samples."""
        return self._wait_sums

    async def run(self):
        """Assign waiting requests and renew credit until cancelled."""
        try:
            while True:
                await asyncio.sleep(_POLL_INTERVAL_S)
                now = clock.monotonic()
                self._dispatch_all()
                for pool in self._pools.list():
                    self._credit_requests.start(pool, now)
                self._evict_unused(now)
        finally:
            self._credit_requests.cancel()

    async def acquire(self, request):
        """Wait for a slot.

        Parameters
        ----------
        request : SlotRequest
            The request.

        Returns
        -------
        result.Result
            ``Ok`` with an `Assignment`, or ``NO_BACKEND``, ``OVERLOADED`` or
            ``DEADLINE_EXCEEDED``. Each assignment must be released.
        """
        now = clock.monotonic()
        if request.route.service not in self._state_cache.state.services:
            return fail(
                ErrorKind.NO_BACKEND, f"no service '{request.route.service}'"
            )
        pool = self._pools.find(request, now)
        assignment = self._spill.route(pool, request, now)
        if assignment is not None:
            return Ok(assignment)
        candidates = self._assigner.candidates(pool, now)
        servers = identify_object_servers(candidates, request)
        if not pool.must_wait(request, servers, now):
            assignment = self._assigner.assign(pool, request, candidates, now)
            if assignment is not None:
                return Ok(assignment)
        if self._is_stopped:
            return pool.stopped()
        wait_until = request.deadline_at
        resume_at = self._refusals.resume_at(pool, request, now)
        has_server = self._refusals.has_server(pool, request, now)
        if resume_at is not None or not has_server:
            if request.local_only or not self._may_spill():
                return self._refusals.refuse_unavailable(pool, resume_at, now)
            wait_until = min(wait_until, now + _CREDIT_WAIT_S)
        else:
            refused = self._refusals.refuse_hopeless(
                pool, request, servers, now
            )
            if refused is not None:
                return refused
        wait_until = min(wait_until, pool.latest_start_at(request, now))
        return await self._wait(
            pool, WaitingRequest(request, None, now, servers), wait_until, now
        )

    def count_queued(self, service, version):
        """Return the number of requests of a pool that wait for a slot.

        Parameters
        ----------
        service, version : str
            The pool.
        """
        pool = self._pools.get(service, version)
        return 0 if pool is None else len(pool.queue)

    def try_acquire(self, request, now):
        """Take a slot for a second attempt if one is free now.

        Parameters
        ----------
        request : SlotRequest
            The request, which excludes the server of its first attempt.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        Assignment or None
            None if no slot of the other server of the object is free, or if
            requests wait for slots. Credit is not spent.
        """
        if request.route.service not in self._state_cache.state.services:
            return None
        pool = self._pools.find(request, now)
        if self._is_stopped or len(pool.queue):
            return None
        return self._assigner.assign_other(pool, request, now)

    def release(self, assignment, result, latency_s, now):
        """Release a slot and record the result of the attempt.

        Parameters
        ----------
        assignment : Assignment
            From :meth:`acquire`.
        result : AttemptResult
            How the attempt ended.
        latency_s : float
            Seconds until the head of the response or the end of the attempt.
        now : float
            Monotonic time in seconds.
        """
        server = assignment.server
        if assignment.remote:
            remote_credit = self._spill.remote_credit
            remote_credit.release(server.service, server.server_id)
            if result in (AttemptResult.NOT_SENT, AttemptResult.UNANSWERED):
                remote_credit.invalidate(server.service, server.server_id)
            return
        self._slots.release(server, assignment.version, result, now)
        self._wait_sums.record(assignment, now)
        pool = self._pools.get(server.service, assignment.version)
        if pool is None:
            return
        if result is AttemptResult.REFUSED:
            pool.concurrency.record_refusal(pool.in_flight)
        pool.in_flight = max(0, pool.in_flight - 1)
        # A superseded attempt took at least this long; without its time, the
        # slowest runs would be missing from the quantiles.
        if result in (
            AttemptResult.OK,
            AttemptResult.ERROR,
            AttemptResult.SUPERSEDED,
        ):
            self._pools.answer_times.record(
                assignment, result is not AttemptResult.ERROR, latency_s, now
            )
        if result in (AttemptResult.OK, AttemptResult.ERROR):
            pool.record_latency(latency_s)
            self._slots.record_wait(assignment, now)
        self._assigner.assign_waiting(pool, now)

    def record_load(self, assignment, load, now):
        """Record the load that a server reported with a response.

        Parameters
        ----------
        assignment : Assignment
            Assignment of the request, which is not released yet.
        load : ServerLoad
            The report.
        now : float
            Monotonic time in seconds.
        """
        self._slots.record_load(assignment.server.server_id, load, now)
        pool = self._pools.get(assignment.server.service, assignment.version)
        if pool is not None:
            pool.concurrency.record_load(load, pool.in_flight)

    def record_pause(self, assignment, pause_s, now):
        """Record that a server wants no requests from this VM for a while.

        Parameters
        ----------
        assignment : Assignment
            Assignment of the request that it rejected.
        pause_s : float
            Length of the pause in seconds.
        now : float
            Monotonic time in seconds.
        """
        spread = self._generator.random()
        self._slots.record_pause(assignment.server, pause_s, spread, now)
        pool = self._pools.get(assignment.server.service, assignment.version)
        if pool is None or self._may_spill():
            return
        for item in pool.list_waiting():
            resume_at = self._refusals.resume_at(pool, item.request, now)
            if resume_at is not None:
                failure = self._refusals.refuse_unavailable(
                    pool, resume_at, now
                )
                item.future.set_result(failure)

    def is_withdrawn(self, assignment, now):
        """Return whether a slot must not be used since its server withdrew.

        Parameters
        ----------
        assignment : Assignment
            Assignment of a request that was not sent yet.
        now : float
            Monotonic time in seconds.
        """
        return not assignment.remote and self._slots.is_withdrawn(
            assignment.server, now
        )

    def stop(self):
        """Reject the queued requests and all that would be queued."""
        self._is_stopped = True
        for pool in self._pools.list():
            for item in pool.list_waiting():
                item.future.set_result(pool.stopped())

    def local_load(self, now):
        """Return the load of this VM for the other VMs of the data centre.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        LocalLoad
            Requests in flight and servers for which requests wait; may be up
            to 0.1 s old.
        """
        return self._local_load.read(now)

    def list_concurrency_limits(self):
        """Return the limits of requests in flight that apply, by pool."""
        return self._pools.list_concurrency_limits()

    def grant_credit(self, request, now):
        """Grant credit for requests from another data centre.

        Parameters
        ----------
        request : CreditRequest
            Request of an entry VM there.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        CreditResponse
        """
        return self._credit_grants.grant(request, now)

    def _may_spill(self):
        """Return whether credit from other data centres can be used."""
        return not self._is_fleet_wide and self._spill.has_remote_vms()

    async def _wait(self, pool, waiting, wait_until, now):
        request = waiting.request
        future = asyncio.get_running_loop().create_future()
        waiting.future = future
        ticket, evicted = pool.push(waiting, now)
        if evicted is not None and not evicted.item.future.done():
            evicted.item.future.set_result(pool.overloaded())
        if ticket is None:
            return pool.overloaded()
        self._credit_requests.start(pool, now)
        try:
            if now < ticket.late_at < wait_until:
                await asyncio.wait({future}, timeout=ticket.late_at - now)
                now = clock.monotonic()
                if not future.done():
                    refused = self._refusals.refuse_hopeless(
                        pool, request, waiting.servers, now
                    )
                    if refused is not None:
                        return refused
            async with asyncio.timeout(max(0.0, wait_until - now)):
                return await future
        except TimeoutError:
            if _has_result(future):
                return future.result()
            if not self._refusals.has_server(pool, request, clock.monotonic()):
                return pool.no_backend()
            if wait_until < request.deadline_at:
                return pool.deadline_unreachable()
            return fail(
                ErrorKind.DEADLINE_EXCEEDED,
                f"no free slot of '{pool.service}' before the deadline",
            )
        except asyncio.CancelledError:
            # The slot was assigned at the moment of the cancellation.
            if _has_result(future) and future.result().is_ok():
                self.release(
                    future.result().ok_value,
                    AttemptResult.CANCELLED,
                    0.0,
                    clock.monotonic(),
                )
            raise
        finally:
            pool.remove(ticket)
            if not _has_result(future):
                # This request may have blocked others in the queue.
                self._assigner.assign_waiting(pool, clock.monotonic())

    def _dispatch_all(self):
        now = clock.monotonic()
        for pool in self._pools.list():
            self._assigner.assign_waiting(pool, now)

    def _evict_unused(self, now):
        self._spill.remote_credit.evict_expired(now)
        if now >= self._next_eviction_at:
            self._next_eviction_at = now + _EVICTION_INTERVAL_S
            self._slots.evict_removed()
            self._pools.answer_times.retain_services(
                self._state_cache.state.services
            )
        self._pools.evict_unused(now)


def _has_result(future):
    return future.done() and not future.cancelled()
