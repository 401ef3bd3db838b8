"""Slots of the backend servers of a data centre, as one VM uses them."""

import collections
import logging
import math

import attrs

from .affinity import Ranking
from .assignment import AttemptResult
from .choice import Candidates
from .choice import effective_slots
from .choice import make_candidate
from .cold import ColdPacer
from .health import OutlierDetector
from .reported_load import ReportedLoad
from .spread import count_slots
from .spread import RegionSpread

__all__ = ["Slots"]

_LOG = logging.getLogger(__name__)
# Changes of a pool are gathered for this time, so that a burst of them does
# not have it made anew for each.
_GATHER_S = 0.02
# The same for slots that rise in a slow start.
_RAMP_S = 0.1


@attrs.define(eq=False)
class _Pool:
    """Servers that may get work, until one of them changes.

    Attributes
    ----------
    key : tuple
        What it was made from.
    at : float
        Monotonic time in seconds at which it was made.
    until : float
        Monotonic time in seconds at which a lease, an ejection or a step of
        a slow start ends.
    leases : dict of str to Lease
        All that may get work, by server.
    usable : list of Lease
        Those that are not ejected.
    slots : list of float
        Effective slots of the usable ones.
    region_slots : collections.Counter
        Slots of the usable ones by region.
    ranking : Ranking
        Order of the usable ones for each object.
    """

    key: tuple
    at: float
    until: float
    leases: dict
    usable: list
    slots: list
    region_slots: object
    ranking: Ranking


class Slots:
    """Count the requests of this VM and find servers with a free slot.

    Parameters
    ----------
    settings : Settings
        Section ``backends`` is read.
    directory : Directory
        Servers and the counts of the other VMs.
    copy : FleetCopy
        Names the data centres that are evacuated.
    """

    def __init__(self, settings, directory, copy):
        self._settings = settings.backends
        self._data_centre = settings.vm.data_centre
        self._directory = directory
        self._copy = copy
        self._reported = ReportedLoad()
        self._cold = ColdPacer(settings, copy)
        self._in_flight = collections.Counter()
        self._outliers = OutlierDetector(settings)
        self._spread = RegionSpread(settings)
        self._pools = {}
        directory.subscribe(self._pools.clear)

    @property
    def in_flight(self):
        """Dict of str to int : requests of this VM by server."""
        return dict(self._in_flight)

    def count_own(self, server_id):
        """Return the requests of this VM at a server."""
        return self._in_flight.get(server_id, 0)

    def candidates(self, service, version, now):
        """Return the servers of a pool with their free slots.

        Parameters
        ----------
        service, version : str
            The pool.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        Candidates
            Those that are not ejected.
        """
        pool = self._look(service, version, now)

        def make(place):
            view = self._with_load(
                self._directory.view(pool.usable[place], now), now
            )
            own = self._in_flight.get(view.server.server_id, 0)
            candidate = make_candidate(
                view, pool.slots[place], own, self.vms(now)
            )
            return self._pace(candidate, now)

        return Candidates(pool.ranking, make)

    def take(self, view, now):
        """Count a request that begins at the server of a view."""
        self._in_flight[view.server.server_id] += 1
        if self._cold.is_cold(view, now):
            self._cold.note_sent(view.server, now)

    def give_back(self, server, version, result, now):
        """Count a request that ended and learn from it.

        Parameters
        ----------
        server : BackendServer
            Where it ran.
        version : str
            Version of the pool.
        result : AttemptResult
            How it ended.
        now : float
            Monotonic time in seconds.
        """
        server_id = server.server_id
        self._in_flight[server_id] -= 1
        if self._in_flight[server_id] <= 0:
            del self._in_flight[server_id]
        if result is AttemptResult.REFUSED:
            # A full server does as it should; one that refuses although it
            # has room fails like others.
            if not self._reported.has_room(server_id, now):
                return
            result = AttemptResult.ERROR
        leases = self._look(server.service, version, now).leases
        lease = leases.get(server_id)
        if lease is not None and self._outliers.note(
            lease, leases.values(), result, now
        ):
            self._pools.clear()
            _LOG.warning("steering: ejected %s", server_id)

    def record_load(self, server_id, load, now):
        """Take the load that a server reported with an answer."""
        own = self._in_flight[server_id]
        self._reported.note(server_id, load, own, now)

    def note_wait(self, assignment, now):
        """Take the wait of an answered request."""
        server = assignment.server
        pool = (server.service, assignment.version)
        self._spread.note(pool, server.region, assignment.wait_s, now)

    def servers(self, service, version, now):
        """Return the servers that may get new work.

        Parameters
        ----------
        service, version : str
            The pool.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        iterator of BackendServer
            Ejected ones are included.
        """
        leases = self._look(service, version, now).leases
        return (lease.server for lease in leases.values())

    def headroom(self, service, version, now):
        """Return slots and requests in flight of a pool.

        Parameters
        ----------
        service, version : str
            The pool.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        tuple of (int, int)
            Over the servers that are not ejected and all VMs of the data
            centre.
        """
        pool = self._look(service, version, now)
        in_flight = 0
        for lease in pool.usable:
            server_id = lease.server.server_id
            in_flight += self._in_flight.get(server_id, 0) + max(
                self._directory.peers.in_flight(server_id, now),
                round(self._reported.others(server_id, now)),
            )
        return sum(pool.region_slots.values()), in_flight

    def vms(self, now):
        """Return the number of live VMs of the data centre."""
        peers = self._directory.peers
        return 1 + peers.count_entries(self._data_centre, now)

    def forget(self):
        """Drop statistics of servers that are gone."""
        known = self._directory.known()
        self._outliers.forget(known)
        self._reported.forget(known)
        self._cold.forget(known)
        services = self._copy.state.services
        self._spread.forget(services)
        for place in [each for each in self._pools if each[0] not in services]:
            del self._pools[place]

    def _look(self, service, version, now):
        """Return a pool, made anew only if one of its servers changed.

        A look must not cost time for each server of the fleet, since each
        request takes several.
        """
        place = (service, version)
        known = self._pools.get(place)
        if known is None or not self._is_current(known, now):
            self._cold.follow(now)
            known = self._pools[place] = self._make(place, known, now)
        weights = self._spread.weights_of(place, known.region_slots, now)
        if weights != known.ranking.weights:
            known.ranking = known.ranking.reweigh(weights)
        return known

    def _is_current(self, pool, now):
        if 0 <= now - pool.at < _GATHER_S:
            return True
        return pool.at <= now < pool.until and pool.key == self._key()

    def _key(self):
        evacuated = self._copy.state.evacuations
        return (self._directory.generation, frozenset(evacuated))

    def _make(self, place, known, now):
        key = self._key()
        leases = {
            lease.server.server_id: lease
            for lease in self._directory.leases(*place, now)
            if lease.server.data_centre not in key[1]
        }
        usable = self._outliers.usable(leases.values(), now)
        slots = effective_slots(
            usable,
            lambda lease: max(lease.since, self._outliers.returned_at(lease)),
            now,
            self._settings.slow_start_s,
        )
        servers = [lease.server for lease in usable]
        region_slots = count_slots(servers)
        weights = self._spread.weights_of(place, region_slots, now)
        ranking = Ranking(servers, weights)
        if known is not None and known.ranking.is_alike(ranking):
            # Keeps the places of the objects that were looked for.
            ranking = known.ranking
        until = min(
            (lease.expires_at for lease in leases.values()),
            default=math.inf,
        )
        until = min(until, self._outliers.next_return(leases.values(), now))
        if any(
            part < lease.server.slots
            for part, lease in zip(slots, usable, strict=True)
        ):
            until = min(until, now + _RAMP_S)
        return _Pool(
            key, now, until, leases, usable, slots, region_slots, ranking
        )

    def _pace(self, candidate, now):
        """Return a candidate, not free while it is cold and was sent to."""
        view = candidate.view
        if not self._cold.is_cold(view, now):
            return candidate
        if self._cold.may_send(view.server, now):
            return attrs.evolve(candidate, is_cold=True)
        return attrs.evolve(candidate, free=0, is_cold=True)

    def _with_load(self, view, now):
        """Count what a server reported where that is more than peers said."""
        others = round(self._reported.others(view.server.server_id, now))
        if others <= view.peers_in_flight:
            return view
        return attrs.evolve(view, peers_in_flight=others)
