"""Slots of backend servers, as used by one VM."""

import collections
import logging
import math

import attrs

from ..assignment import AttemptResult
from ..placement.placement import is_allowed
from ..placement.rendezvous import RendezvousRanking
from ..placement.server_selection import effective_slots
from ..placement.server_selection import LazyCandidates
from ..placement.server_selection import make_candidate
from ..regions.fleet_balancing import make_balancer
from ..regions.region_balancing import count_region_slots
from .cold_servers import ColdServerPacer
from .outlier_detection import OutlierDetector
from .pauses import ServerPauses
from .pool_snapshot import PoolSnapshot
from .reported_load import ServerLoadReports

__all__ = ["SlotTracker"]

_LOG = logging.getLogger(__name__)
# Minimum age of a snapshot before it is rebuilt, so that a burst of changes to
# its pool does not rebuild it for each.
_REFRESH_INTERVAL_S = 0.02
# Time between rebuilds while slow start raises the slots of a server.
_RAMP_INTERVAL_S = 0.1


class SlotTracker:
    """Count the requests of this VM and the free slots of servers.

    Parameters
    ----------
    settings : Settings
        Sections ``vm`` and ``backends`` are read.
    directory : Directory
        Provides the servers and the requests of other VMs.
    state_cache : FleetStateCache
        Provides the evacuated data centres.
    """

    def __init__(self, settings, directory, state_cache):
        self._settings = settings.backends
        self._data_centre = settings.vm.data_centre
        self._directory = directory
        self._state_cache = state_cache
        self._reports = ServerLoadReports()
        self._pacer = ColdServerPacer(settings, state_cache)
        self._in_flight = collections.Counter()
        self._outliers = OutlierDetector(settings)
        self._pauses = ServerPauses()
        self._balancer = make_balancer(settings, state_cache)
        self._pools = {}
        directory.subscribe(self._pools.clear)

    @property
    def in_flight(self):
        """Dict of str to int : requests of this VM by server."""
        return dict(self._in_flight)

    def local_in_flight(self, server_id):
        """Return the requests of this VM at a server."""
        return self._in_flight.get(server_id, 0)

    def candidates(self, service, version, now):
        """Return the usable servers of a pool with their free slots.

        Parameters
        ----------
        service, version : str
            The pool.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        LazyCandidates
            Candidates that are not ejected.
        """
        snapshot = self._snapshot(service, version, now)

        def make(index):
            view = self._with_reported_load(
                self._directory.view(snapshot.usable[index], now), now
            )
            local = self._in_flight.get(view.server.server_id, 0)
            candidate = make_candidate(
                view, snapshot.slots[index], local, self.count_vms(now)
            )
            return self._apply_pacing(
                self._apply_trial(candidate, local, now), now
            )

        return LazyCandidates(snapshot.ranking, make)

    def acquire(self, view, now):
        """Record the start of a request at the server of a view."""
        self._in_flight[view.server.server_id] += 1
        if self._pacer.is_cold(view, now):
            self._pacer.record_sent(view.server, now)

    def release(self, server, version, result, now):
        """Record the end of a request and its result.

        Parameters
        ----------
        server : BackendServer
            The server that handled it.
        version : str
            Version of the pool.
        result : AttemptResult
            Result of the attempt.
        now : float
            Monotonic time in seconds.
        """
        server_id = server.server_id
        self._in_flight[server_id] -= 1
        if self._in_flight[server_id] <= 0:
            del self._in_flight[server_id]
        if result is AttemptResult.NOT_SENT:
            self._pacer.record_unreachable(server_id, now)
        if result in (AttemptResult.OK, AttemptResult.ERROR):
            self._pauses.record_answered(server, now)
        if result is AttemptResult.REFUSED:
            # Refusing is correct for a full server, but counts as a failure
            # of one that reports a free slot and does not say when to return.
            if self._pauses.paused_until(server, now) > now:
                return
            if not self._reports.has_free_slot(server_id, now):
                return
            result = AttemptResult.ERROR
        leases = self._snapshot(server.service, version, now).leases
        lease = leases.get(server_id)
        if lease is not None and self._outliers.record(
            lease, leases.values(), result, now
        ):
            self._pools.clear()
            _LOG.warning("steering: ejected %s", server_id)

    def record_load(self, server_id, load, now):
        """Record the load that a server reported with a response."""
        local = self._in_flight[server_id]
        self._reports.record(server_id, load, local, now)

    def record_pause(self, server, pause_s, spread, now):
        """Record that a server asked for a pause.

        Parameters
        ----------
        server : BackendServer
            Record under which the request was sent to it.
        pause_s : float
            Length of the pause in seconds.
        spread : float
            Random value from 0 to 1 that spreads the return of the VMs.
        now : float
            Monotonic time in seconds.
        """
        self._pauses.record(server, pause_s, spread, now)
        self._pools.clear()

    def paused_until(self, server, now):
        """Return the end of a server's pause; -inf if it is not paused."""
        return self._pauses.paused_until(server, now)

    def resume_at(self, service, version, request, now):
        """Return when the first of the paused servers of a request returns.

        Parameters
        ----------
        service, version : str
            The pool.
        request : SlotRequest
            The request.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        float or None
            Monotonic time in seconds; None unless all servers that may serve
            the request are paused.
        """
        if not self._pauses.has_paused(now):
            return None
        ends = [
            self._pauses.paused_until(server, now)
            for server in self.servers(service, version, now)
            if is_allowed(server, request)
        ]
        if not ends or min(ends) <= now:
            return None
        return min(ends)

    def is_withdrawn(self, server, now):
        """Return whether a server must not get a request held for it.

        Parameters
        ----------
        server : BackendServer
            Record of the server when its slot was acquired.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            True if it has reported since then that it is leaving or asked
            for a pause.
        """
        current = self._directory.find(server.server_id)
        return (
            current is not None and current.leaving and not server.leaving
        ) or self._pauses.paused_until(server, now) > now

    def record_wait(self, assignment, now):
        """Record the queueing time of a completed request."""
        server = assignment.server
        pool = (server.service, assignment.version)
        self._balancer.record_wait(pool, server.region, assignment.wait_s, now)

    def servers(self, service, version, now):
        """Return the servers that are eligible for new requests.

        Parameters
        ----------
        service, version : str
            The pool.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        iterator of BackendServer
            Includes ejected servers.
        """
        leases = self._snapshot(service, version, now).leases
        return (lease.server for lease in leases.values())

    def headroom(self, service, version, now):
        """Return the slots and the requests in flight of a pool.

        Parameters
        ----------
        service, version : str
            The pool.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        tuple of (int, int)
            Summed over the servers that are not ejected, with the requests
            of all VMs of the data centre.
        """
        snapshot = self._snapshot(service, version, now)
        in_flight = 0
        for lease in snapshot.usable:
            server_id = lease.server.server_id
            in_flight += self._in_flight.get(server_id, 0) + max(
                self._directory.peers.in_flight(server_id, now),
                round(self._reports.others_in_flight(server_id, now)),
            )
        return sum(snapshot.region_slots.values()), in_flight

    def count_vms(self, now):
        """Return the number of live VMs of the data centre."""
        peers = self._directory.peers
        return 1 + peers.count_entry_vms(self._data_centre, now)

    def evict_removed(self):
        """Discard the records of removed servers and services."""
        known_ids = self._directory.known_ids()
        self._outliers.retain(known_ids)
        self._reports.retain(known_ids)
        self._pacer.retain(known_ids)
        self._pauses.retain(known_ids)
        services = self._state_cache.state.services
        self._balancer.retain_services(services)
        for pool_id in [key for key in self._pools if key[0] not in services]:
            del self._pools[pool_id]

    def _snapshot(self, service, version, now):
        """Return the snapshot of a pool, rebuilt only if it is out of date.

        Each request needs it several times, so a call must not take time
        proportional to the number of servers.
        """
        pool_id = (service, version)
        snapshot = self._pools.get(pool_id)
        if snapshot is None or not self._is_current(snapshot, now):
            self._pacer.track_evacuations(now)
            snapshot = self._pools[pool_id] = self._build(
                pool_id, snapshot, now
            )
        weights = self._balancer.weights_for_slots(
            pool_id, snapshot.region_slots, now
        )
        if weights != snapshot.ranking.weights:
            snapshot.ranking = snapshot.ranking.with_weights(weights)
        return snapshot

    def _is_current(self, snapshot, now):
        if 0 <= now - snapshot.built_at < _REFRESH_INTERVAL_S:
            return True
        return (
            snapshot.built_at <= now < snapshot.valid_until
            and snapshot.key == self._snapshot_key()
        )

    def _snapshot_key(self):
        state = self._state_cache.state
        return (
            self._directory.generation,
            frozenset(state.evacuations),
            frozenset(state.ended_evacuations.values()),
        )

    def _build(self, pool_id, previous, now):
        key = self._snapshot_key()
        leases = {
            lease.server.server_id: lease
            for lease in self._directory.leases(*pool_id, now)
            if lease.server.data_centre not in key[1]
        }
        usable = self._outliers.list_usable(leases.values(), now)
        paused = {
            lease.server.server_id: self._pauses.paused_until(
                lease.server, now
            )
            for lease in usable
        }
        usable = [
            lease for lease in usable if paused[lease.server.server_id] <= now
        ]
        slots = effective_slots(
            usable,
            lambda lease: max(
                lease.first_seen_at, self._outliers.last_ejection_end(lease)
            ),
            now,
            self._settings.slow_start_s,
        )
        servers = [lease.server for lease in usable]
        region_slots = count_region_slots(servers)
        weights = self._balancer.weights_for_slots(pool_id, region_slots, now)
        ranking = RendezvousRanking(servers, weights)
        if previous is not None and previous.ranking.is_equivalent(ranking):
            # Keeps the cached rankings of objects.
            ranking = previous.ranking
        valid_until = min(
            (lease.expires_at for lease in leases.values()),
            default=math.inf,
        )
        valid_until = min(
            valid_until, self._outliers.next_ejection_end(leases.values(), now)
        )
        valid_until = min(
            [valid_until, *(end for end in paused.values() if end > now)]
        )
        if any(
            effective < lease.server.slots
            for effective, lease in zip(slots, usable, strict=True)
        ):
            valid_until = min(valid_until, now + _RAMP_INTERVAL_S)
        return PoolSnapshot(
            key, now, valid_until, leases, usable, slots, region_slots, ranking
        )

    def _apply_trial(self, candidate, local_in_flight, now):
        """Limit a candidate that asked for a pause, which has ended."""
        free_slots = self._pauses.limit_trial(
            candidate.view.server, candidate.free_slots, local_in_flight, now
        )
        if free_slots == candidate.free_slots:
            return candidate
        return attrs.evolve(candidate, free_slots=free_slots)

    def _apply_pacing(self, candidate, now):
        """Mark a cold candidate, and clear its free slots if it is paced."""
        view = candidate.view
        if not self._pacer.is_cold(view, now):
            return candidate
        if self._pacer.may_send(view.server, now):
            return attrs.evolve(candidate, is_cold=True)
        return attrs.evolve(candidate, free_slots=0, is_cold=True)

    def _with_reported_load(self, view, now):
        """Raise the peers' requests of a view to the reported load."""
        others = round(
            self._reports.others_in_flight(view.server.server_id, now)
        )
        if others <= view.peers_in_flight:
            return view
        return attrs.evolve(view, peers_in_flight=others)
