"""Limit the rate of requests to cold backend servers across all VMs.

A cold server tolerates only a few requests per second in total. A few sender
VMs are selected for each cold server by rendezvous hashing over the roster,
and each sends its fraction of the rate. No messages are needed between VMs.
"""

import hashlib

__all__ = ["ColdServerPacer"]

# Rate of one sender, which determines the number of senders: each may send one
# request immediately, and the total of these must stay small against the rate.
_SENDER_RATE_PER_S = 2.0


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
        # VMs by server and region, valid for one revision of the roster.
        self._ranked_vms = {}
        self._ranked_roster = None
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
        for data_centre in self._evacuated - evacuated | missed:
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
            True if its last announcement says so. Also true after an
            evacuation, during which an idle server may have become cold,
            until the server has announced itself or a lease has passed.
        """
        server = view.server
        if now < view.load_at + server.cold_left_s:
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
            sender_rate = rate / len(self._senders(server))
            self._next_at[server.server_id] = now + 1 / sender_rate

    def retain(self, server_ids):
        """Discard the records of all servers but the given ones."""
        self._next_at = {
            server_id: next_at
            for server_id, next_at in self._next_at.items()
            if server_id in server_ids
        }
        self._ranked_vms = {
            key: names
            for key, names in self._ranked_vms.items()
            if key[0] in server_ids
        }

    def _rate_per_s(self, server):
        service = self._state_cache.state.services.get(server.service)
        return service.cold_rate_per_s if service is not None else 0.0

    def _senders(self, server):
        """Return the names of the VMs that may send to a cold server."""
        state = self._state_cache.state
        roster = (state, state.roster_changes)
        if self._ranked_roster != roster:
            self._ranked_roster = roster
            self._ranked_vms.clear()
        key = (server.server_id, server.region)
        if key not in self._ranked_vms:
            self._ranked_vms[key] = self._rank_vms(server)
        count = max(1, int(self._rate_per_s(server) / _SENDER_RATE_PER_S))
        return self._ranked_vms[key][:count]

    def _rank_vms(self, server):
        entry_vms = [
            vm
            for vm in self._state_cache.state.vms.values()
            if vm.caller_address
        ]
        local = [vm for vm in entry_vms if vm.region == server.region]
        names = [vm.name for vm in local or entry_vms] or [self._vm_name]
        return sorted(names, key=lambda name: _hash(name, server.server_id))


def _hash(name, server_id):
    text = f"{name} {server_id}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
