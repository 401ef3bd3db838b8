"""Pace the requests to cold backend servers over all VMs.

A cold server tolerates few requests a second, whoever sends them. A few VMs
are chosen for each cold server, by rendezvous hashing over the roster, and
each sends its part of the rate, without a message between them.
"""

import hashlib

__all__ = ["ColdPacer"]

# VMs that share the rate of one cold server: each may send one request at
# once, and the sum of those must stay small against the rate.
_RATE_OF_SENDER_PER_S = 2.0


class ColdPacer:
    """Tell when this VM may send to a cold server.

    Parameters
    ----------
    settings : Settings
        Section ``vm`` names this VM; section ``backends`` gives the lease.
    state_cache : FleetStateCache
        Gives the entry VMs and the rates of services.
    """

    def __init__(self, settings, state_cache):
        self._own = settings.vm.name
        self._lease_s = settings.backends.lease_s
        self._state_cache = state_cache
        self._next_at = {}
        # Senders by server, for the roster from which they were chosen.
        self._chosen = {}
        self._chosen_for = None
        self._evacuated = frozenset()
        self._returned_at = {}

    def follow(self, now):
        """Note the data centres whose evacuation has ended.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        evacuated = frozenset(self._state_cache.state.evacuations)
        for data_centre in self._evacuated - evacuated:
            self._returned_at[data_centre] = now
        self._evacuated = evacuated

    def is_cold(self, view, now):
        """Tell whether a server is cold.

        Parameters
        ----------
        view : ServerView
            The server.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            By its last record; also true after an evacuation, since it may
            have become cold while it had nothing to do, until it has had the
            time to announce that.
        """
        server = view.server
        if now < view.load_at + server.cold_left_s:
            return True
        returned_at = self._returned_at.get(server.data_centre)
        return (
            returned_at is not None
            and view.load_at < returned_at
            and now < returned_at + self._lease_s
        )

    def may_send(self, server, now):
        """Tell whether this VM may send a request to a cold server now.

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
        return self._own in self._senders(server)

    def note_sent(self, server, now):
        """Count a request that is sent to a cold server."""
        rate = self._rate_per_s(server)
        if rate:
            part = rate / len(self._senders(server))
            self._next_at[server.server_id] = now + 1 / part

    def forget(self, server_ids):
        """Keep only the given servers."""
        self._next_at = {
            server_id: at
            for server_id, at in self._next_at.items()
            if server_id in server_ids
        }
        self._chosen = {
            place: names
            for place, names in self._chosen.items()
            if place[0] in server_ids
        }

    def _rate_per_s(self, server):
        service = self._state_cache.state.services.get(server.service)
        return service.cold_rate_per_s if service is not None else 0.0

    def _senders(self, server):
        """Return the names of the VMs that share a server's rate."""
        state = self._state_cache.state
        roster = (state, state.roster_changes)
        if self._chosen_for != roster:
            self._chosen_for = roster
            self._chosen.clear()
        place = (server.server_id, server.region)
        if place not in self._chosen:
            self._chosen[place] = self._rank_vms(server)
        count = max(1, int(self._rate_per_s(server) / _RATE_OF_SENDER_PER_S))
        return self._chosen[place][:count]

    def _rank_vms(self, server):
        entries = [
            vm
            for vm in self._state_cache.state.vms.values()
            if vm.caller_address
        ]
        near = [vm for vm in entries if vm.region == server.region]
        names = [vm.name for vm in near or entries] or [self._own]
        return sorted(names, key=lambda name: _hash(name, server.server_id))


def _hash(name, server_id):
    text = f"{name} {server_id}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
