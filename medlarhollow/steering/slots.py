"""Slots of the backend servers of a data centre, as one VM uses them."""

import collections
import logging

from .choice import list_candidates
from .health import OutlierDetector

__all__ = ["Slots"]

_LOG = logging.getLogger(__name__)


class Slots:
    """Count the requests of this VM and find servers with a free slot.

    Parameters
    ----------
    settings : Settings
        Section ``backends`` is read.
    directory : Directory
        Servers and the counts of the other VMs.
    """

    def __init__(self, settings, directory):
        self._settings = settings.backends
        self._directory = directory
        self._in_flight = collections.Counter()
        self._outliers = OutlierDetector(settings)

    @property
    def in_flight(self):
        """Dict of str to int : requests of this VM by server."""
        return dict(self._in_flight)

    def candidates(self, service, version, now):
        """Return the servers of a pool as `Candidate` records.

        Parameters
        ----------
        service, version : str
            The pool.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of Candidate
            Those that are not ejected.
        """
        return list_candidates(
            self._usable(service, version, now),
            self._in_flight,
            self.vms(now),
            lambda view: max(view.since, self._outliers.returned_at(view)),
            now,
            self._settings.slow_start_s,
        )

    def take(self, server_id):
        """Count a request that begins."""
        self._in_flight[server_id] += 1

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
        views = self._directory.views(server.service, version, now)
        for view in views:
            if view.server.server_id == server_id and (
                self._outliers.note(view, views, result, now)
            ):
                _LOG.warning("steering: ejected %s", server_id)

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
        views = self._usable(service, version, now)
        slots = sum(view.server.slots for view in views)
        in_flight = sum(
            view.peers_in_flight + self._in_flight[view.server.server_id]
            for view in views
        )
        return slots, in_flight

    def vms(self, now):
        """Return the number of live VMs of the data centre."""
        return 1 + len(self._directory.peers.live(now))

    def forget(self):
        """Drop statistics of servers that are gone."""
        self._outliers.forget(self._directory.known())

    def _usable(self, service, version, now):
        views = self._directory.views(service, version, now)
        return self._outliers.usable(views, now)
