"""Limit the rate of requests to cold backend servers across all VMs.

A cold server tolerates only a few requests per second in total. The VM that
receives its announcements selects a few sender VMs, and each sends its
fraction of the rate. VMs that are partitioned or out of date may act on an
earlier selection, so the fractions leave room for two selections.
"""

from ...membership import is_overdue
from .cold_senders import select_cold_senders

__all__ = ["ColdServerPacer"]

# Time over which a sender spreads its requests of one second. The excess
# covers the difference between the delays of two requests on their way.
_WINDOW_S = 1.2


class ColdServerPacer:
    """Decide when this VM may send a request to a cold server.

    Parameters
    ----------
    settings : Settings
        Section ``vm`` names this VM; section ``backends`` gives the lease.
    state_cache : FleetStateCache
        Provides the entry VMs and the rates of services.
    """

    def __init__(self, settings, state_cache):
        self._vm_name = settings.vm.name
        self._lease_s = settings.backends.lease_s
        self._state_cache = state_cache
        self._next_at = {}
        # Senders by server and region, valid for one revision of the roster.
        self._selected = {}
        self._selection_roster = None
        # Monotonic time in seconds of the last failed connection, by server.
        self._unreachable_at = {}
        self._evacuated = frozenset()
        self._ended_evacuations = frozenset()
        # Monotonic time in seconds at which this VM learned of the end, by
        # data centre.
        self._evacuation_ended_at = {}

    def track_evacuations(self, now):
        """Record the data centres whose evacuation has ended.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        state = self._state_cache.state
        evacuated = frozenset(state.evacuations)
        ended = frozenset(state.ended_evacuations.values())
        # A VM that started or was partitioned meanwhile missed the start.
        missed = {
            evacuation.data_centre
            for evacuation in ended - self._ended_evacuations
            if state.time_s - evacuation.ended_at_s <= self._lease_s
        }
        for data_centre in (self._evacuated - evacuated) | missed:
            self._evacuation_ended_at[data_centre] = now
        self._evacuated = evacuated
        self._ended_evacuations = ended

    def is_cold(self, view, now):
        """Return whether a server is cold.

        Parameters
        ----------
        view : ServerView
            The server.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            True if its last announcement says so or it may have turned cold
            since then.

        Notes
        -----
        What a VM knows of a server may be out of date because either of them
        is partitioned or was suspended. A server is therefore taken for warm
        only in the first half of its lease, within which at least two
        renewals are due.

        A server that refused a connection may be restarting. It is taken for
        cold until it has announced itself, for half a lease at most.

        During an evacuation, an idle server may turn cold. It is taken for
        cold afterwards until it has announced itself, for a lease at most.
        """
        server = view.server
        if now < view.load_at + server.cold_left_s:
            return True
        if not self._rate_per_s(server):
            return False
        if is_overdue(view, self._lease_s, now):
            return True
        unreachable_at = self._unreachable_at.get(server.server_id)
        if unreachable_at is not None and (
            view.load_at < unreachable_at
            and now < unreachable_at + self._lease_s / 2
        ):
            return True
        ended_at = self._evacuation_ended_at.get(server.data_centre)
        return (
            ended_at is not None
            and view.load_at < ended_at
            and now < ended_at + self._lease_s
        )

    def may_send(self, server, now):
        """Return whether this VM may send a request to a cold server now.

        Parameters
        ----------
        server : BackendServer
            The server.
        now : float
            Monotonic time in seconds.
        """
        if not self._rate_per_s(server):
            return True
        if self._next_at.get(server.server_id, now) > now:
            return False
        return self._vm_name in self._senders(server)

    def record_sent(self, server, now):
        """Record a request to a cold server and delay the next one."""
        rate = self._rate_per_s(server)
        if rate:
            # Requests of this VM that any second may contain.
            count = max(1, int(rate / len(self._senders(server))))
            self._next_at[server.server_id] = now + _WINDOW_S / count

    def record_unreachable(self, server_id, now):
        """Record that no connection to a server could be established."""
        self._unreachable_at[server_id] = now

    def retain(self, server_ids):
        """Discard the records of all servers but the given ones."""
        self._unreachable_at = {
            server_id: unreachable_at
            for server_id, unreachable_at in self._unreachable_at.items()
            if server_id in server_ids
        }
        self._next_at = {
            server_id: next_at
            for server_id, next_at in self._next_at.items()
            if server_id in server_ids
        }
        self._selected = {
            key: names
            for key, names in self._selected.items()
            if key[0] in server_ids
        }

    def _rate_per_s(self, server):
        service = self._state_cache.state.services.get(server.service)
        return service.cold_rate_per_s if service is not None else 0.0

    def _senders(self, server):
        """Return the names of the VMs that may send to a cold server."""
        if server.cold_senders:
            return server.cold_senders
        state = self._state_cache.state
        roster = (state, state.roster_changes)
        if self._selection_roster != roster:
            self._selection_roster = roster
            self._selected.clear()
        key = (server.server_id, server.region)
        if key not in self._selected:
            self._selected[key] = select_cold_senders(state, server) or (
                self._vm_name,
            )
        return self._selected[key]
