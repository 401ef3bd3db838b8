"""Give each request a slot of a backend server."""

import asyncio
import logging
import math
import random
import time

from result import Ok

from ..errors import fail
from ..messages.records import BackendServer
from ..messages.records import CreditResponse
from ..messages.records import ErrorKind
from ..moves import VersionSelector
from .assignment import Assignment
from .assignment import AttemptResult
from .load_report import LoadReport
from .placement import is_allowed
from .placement import list_own
from .placement import Placement
from .pool import Waiting
from .pools import Pools
from .slots import Slots
from .spill import Spill

__all__ = ["Dispatcher"]

_LOG = logging.getLogger(__name__)
# Leases, ejections and slow starts end without an event.
_TICK_S = 0.1
# Longest wait for credit when the data centre has no server of a service.
_CREDIT_WAIT_S = 1.0
# Time between two looks for what is out of use.
_FORGET_S = 1.0


class Dispatcher:
    """Queue requests and assign them to backend servers.

    Parameters
    ----------
    settings : Settings
        The settings of the process.
    copy : FleetCopy
        The agreed state.
    directory : Directory
        Backend servers of the data centre.
    channels : Channels
        Connections to VMs of other data centres.
    versions : VersionSelector or None
        Chooses versions; None for one of its own.
    """

    def __init__(self, settings, copy, directory, channels, versions=None):
        self._settings = settings
        self._copy = copy
        self._directory = directory
        self._versions = versions or VersionSelector(settings, copy)
        self._pools = Pools(settings, copy, directory, self._versions)
        self._placement = Placement(settings, copy)
        self._slots = Slots(settings, directory, copy)
        self._is_fleet_wide = settings.backends.scope == "fleet"
        self._spill = Spill(settings, copy, channels)
        self._generator = random.Random()
        self._asking = {}
        self._load = LoadReport(self._pools, self._slots)
        self._forget_at = -math.inf
        directory.subscribe(self._pump_all)

    async def run(self):
        """Serve waiting requests and keep credit until cancelled."""
        try:
            while True:
                await asyncio.sleep(_TICK_S)
                now = time.monotonic()
                self._pump_all()
                for pool in self._pools.list():
                    self._seek_credit(pool, now)
                self._forget(now)
        finally:
            for task in self._asking.values():
                task.cancel()

    async def acquire(self, demand):
        """Wait for a slot.

        Parameters
        ----------
        demand : Demand
            What the request needs.

        Returns
        -------
        result.Result
            ``Ok`` with an `Assignment`, or ``NO_BACKEND``, ``OVERLOADED`` or
            ``DEADLINE_EXCEEDED``. Each assignment must be released.
        """
        now = time.monotonic()
        if demand.route.service not in self._copy.state.services:
            return fail(
                ErrorKind.NO_BACKEND, f"no service '{demand.route.service}'"
            )
        pool = self._pools.find(demand, now)
        assignment = self._send_away(pool, demand, now)
        if assignment is not None:
            return Ok(assignment)
        candidates = self._candidates(pool, now)
        servers = self._list_own_servers(candidates, demand)
        if not pool.has_ahead(demand, servers):
            assignment = self._assign(pool, demand, candidates, now)
            if assignment is not None:
                return Ok(assignment)
        limit_at = demand.deadline_at
        if not self._has_server(pool, demand, now):
            if demand.local_only or not self._may_spill():
                return pool.no_backend()
            limit_at = min(limit_at, now + _CREDIT_WAIT_S)
        elif self._is_too_late(pool, demand, servers, now):
            return pool.too_late()
        limit_at = min(limit_at, pool.last_start(demand))
        return await self._wait(
            pool, Waiting(demand, None, now, servers), limit_at, now
        )

    def release(self, assignment, result, latency_s, now):
        """Give a slot back and learn from the attempt.

        Parameters
        ----------
        assignment : Assignment
            From :meth:`acquire`.
        result : AttemptResult
            How the attempt ended.
        latency_s : float
            Seconds until the answer's head, or until the attempt ended.
        now : float
            Monotonic time in seconds.
        """
        server = assignment.server
        if assignment.remote:
            held_credit = self._spill.held_credit
            held_credit.give_back(server.service, server.server_id)
            if result in (AttemptResult.NOT_SENT, AttemptResult.UNANSWERED):
                held_credit.drop(server.service, server.server_id)
            return
        self._slots.give_back(server, assignment.version, result, now)
        pool = self._pools.get(server.service, assignment.version)
        if pool is None:
            return
        pool.in_flight = max(0, pool.in_flight - 1)
        if result in (AttemptResult.OK, AttemptResult.ERROR):
            pool.note_latency(latency_s)
            self._slots.note_wait(assignment, now)
        self._pump(pool, now)

    def record_load(self, assignment, load, now):
        """Take the load that a server reported with an answer.

        Parameters
        ----------
        assignment : Assignment
            Of the request that was answered; not released yet.
        load : ServerLoad
            The report.
        now : float
            Monotonic time in seconds.
        """
        self._slots.record_load(assignment.server.server_id, load, now)

    def local_load(self, now):
        """Return what the other VMs of the data centre should know.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        OwnLoad
            Requests in flight and servers that are waited for, as they were
            a moment ago.
        """
        return self._load.read(now)

    def grant_credit(self, request, now):
        """Grant credit for requests from another data centre.

        Parameters
        ----------
        request : CreditRequest
            Of an entry VM there.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        CreditResponse
            What is granted.
        """
        service = self._copy.state.services.get(request.service)
        if service is None:
            return CreditResponse(
                failure=fail(
                    ErrorKind.NOT_FOUND, f"no service '{request.service}'"
                ).err_value
            )
        place = (service.name, service.version)
        slots, in_flight = self._slots.headroom(*place, now)
        pool = self._pools.get(*place)
        queued = len(pool.queue) if pool else 0
        return self._spill.grant(
            request,
            slots,
            in_flight + queued,
            self._slots.vms(now),
            pool.latency_s if pool else None,
            now,
        )

    def _send_away(self, pool, demand, now):
        """Send the preset's part of new work to other regions, on credit."""
        if demand.local_only or self._is_fleet_wide:
            return None
        weights = self._spill.weights()
        away = 1 - weights.get(self._settings.vm.region, 0.0)
        if self._generator.random() >= away:
            return None
        pool.wants_away = away
        others = set(weights) - {self._settings.vm.region}
        return self._take_credit(pool, demand, now, others)

    def _take_credit(self, pool, demand, now, regions=None):
        taken = self._spill.held_credit.take(
            pool.service, demand.excluded, now, regions
        )
        if taken is None:
            return None
        vm, credit_id = taken
        server = BackendServer(
            server_id=vm.name,
            service=pool.service,
            version=pool.version,
            address=vm.caller_address,
        )
        return Assignment(server, pool.version, True, credit_id)

    def _assign(self, pool, demand, candidates, now, wait_s=0.0):
        """Return a local slot, or else one on credit, or None."""
        chosen = self._placement.choose(candidates, demand, now)
        if chosen is not None:
            server = chosen.view.server
            self._slots.take(chosen.view, now)
            pool.in_flight += 1
            return Assignment(server, pool.version, wait_s=wait_s)
        if demand.local_only or self._is_fleet_wide:
            return None
        return self._take_credit(pool, demand, now)

    def _may_spill(self):
        """Tell whether other data centres may grant credit."""
        return not self._is_fleet_wide and self._spill.has_others()

    def _candidates(self, pool, now):
        return self._slots.candidates(pool.service, pool.version, now)

    def _has_server(self, pool, demand, now):
        return any(
            is_allowed(server, demand)
            for server in self._slots.servers(pool.service, pool.version, now)
        )

    def _list_own_servers(self, candidates, demand):
        """Return the servers of a request's object; none without one."""
        if not demand.affinity:
            return ()
        return tuple(
            candidate.view.server.server_id
            for candidate in list_own(candidates, demand)
        )

    def _is_too_late(self, pool, demand, servers, now):
        own = {
            server_id: self._slots.count_own(server_id)
            for server_id in servers
        }
        wait_s = pool.expected_wait_s(demand, own)
        return now + wait_s >= pool.last_start(demand)

    async def _wait(self, pool, waiting, limit_at, now):
        demand = waiting.demand
        future = asyncio.get_running_loop().create_future()
        waiting.future = future
        ticket, evicted = pool.push(waiting)
        if evicted is not None and not evicted.item.future.done():
            evicted.item.future.set_result(pool.overloaded())
        if ticket is None:
            return pool.overloaded()
        self._seek_credit(pool, now)
        try:
            async with asyncio.timeout(max(0.0, limit_at - now)):
                return await future
        except TimeoutError:
            if _has_result(future):
                return future.result()
            if not self._has_server(pool, demand, time.monotonic()):
                return pool.no_backend()
            if limit_at < demand.deadline_at:
                return pool.too_late()
            return fail(
                ErrorKind.DEADLINE_EXCEEDED,
                f"no free slot of '{pool.service}' before the deadline",
            )
        except asyncio.CancelledError:
            # The slot came as the caller went away.
            if _has_result(future) and future.result().is_ok():
                self.release(
                    future.result().ok_value,
                    AttemptResult.CANCELLED,
                    0.0,
                    time.monotonic(),
                )
            raise
        finally:
            pool.leave(ticket)
            if not _has_result(future):
                # Others may have waited behind this one.
                self._pump(pool, time.monotonic())

    def _pump_all(self):
        now = time.monotonic()
        for pool in self._pools.list():
            self._pump(pool, now)

    def _pump(self, pool, now):
        """Serve waiting requests while there are slots for them."""
        while len(pool.queue):
            candidates = self._candidates(pool, now)
            if not any(one.free > 0 for one in candidates) and not (
                self._spill.held_credit.free(pool.service, now)
            ):
                return
            found = []

            def can_take(waiting, candidates=candidates, found=found):
                if waiting.future.done():
                    return False
                found.append(
                    self._assign(
                        pool,
                        waiting.demand,
                        candidates,
                        now,
                        now - waiting.since,
                    )
                )
                return found[-1] is not None

            ticket = pool.queue.pop(can_take)
            if ticket is None:
                return
            ticket.item.future.set_result(Ok(found[-1]))

    def _seek_credit(self, pool, now):
        """Ask for credit if requests wait or the preset sends some away."""
        wanted = len(pool.queue)
        if pool.wants_away:
            wanted += math.ceil(pool.in_flight * pool.wants_away) + 1
        wanted += self._spill.held_credit.in_flight(pool.service)
        is_asking = pool.service in self._asking
        if not wanted or is_asking or not self._may_spill():
            return

        def pump():
            self._pump(pool, time.monotonic())

        asking = self._spill.ask(pool.service, wanted, now, pump)
        task = asyncio.create_task(asking)
        self._asking[pool.service] = task
        task.add_done_callback(lambda task: self._asked(pool, task))

    def _asked(self, pool, task):
        self._asking.pop(pool.service, None)
        if not task.cancelled() and task.exception() is not None:
            _LOG.error("steering: asking failed: %r", task.exception())
        else:
            self._pump(pool, time.monotonic())

    def _forget(self, now):
        self._spill.held_credit.forget(now)
        if now >= self._forget_at:
            self._forget_at = now + _FORGET_S
            self._slots.forget()
        self._pools.forget(now)


def _has_result(future):
    return future.done() and not future.cancelled()
