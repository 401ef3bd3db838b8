"""Directory of the backend servers of a data centre."""

import collections
import math

import attrs

from .addresses import AddressHolders
from .changes import ServerChanges
from .lease import Lease
from .lease import place_of
from .lease import ServerView
from .order import has_left
from .order import is_first
from .order import is_newer
from .order import is_other_process
from .peers import PeerTable

__all__ = ["Directory", "ServerView"]


# Follows every sequence number that a process counts up to.
_LEFT_SEQUENCE = 1 << 62
# Time in seconds between two looks for records that are kept no longer.
_FORGET_S = 1.0
# A record without a lease is kept for this many leases.
_KEPT_LEASES = 10


class Directory:
    """Hold the leases of backend servers.

    Parameters
    ----------
    settings : Settings
        Sections ``vm``, ``peer`` and ``backends`` are read.

    Notes
    -----
    The VM that received the last announcement owns a server's lease.
    Each announcement raises the server's sequence number above any that is
    known here, so that an update that was overtaken on its way is recognised
    without comparing clocks.
    """

    def __init__(self, settings):
        self._settings = settings.backends
        self._own_name = settings.vm.name
        self._entries = {}
        self._generation = 0
        self._last_claim = 0
        self._addresses = AddressHolders(self._entries)
        self._peers = PeerTable(settings)
        self._listeners = []
        self._changes = ServerChanges()
        # Record of each server by the VM that vouches for it.
        self._described = {}
        self._forget_at = -math.inf

    @property
    def peers(self):
        """PeerTable : the other VMs of the data centre."""
        return self._peers

    @property
    def generation(self):
        """Int : changes whenever servers come, go or change their place.

        The end of a lease in time is not counted.
        """
        return self._generation

    def subscribe(self, listener):
        """Call `listener` without arguments for updates that must not wait."""
        self._listeners.append(listener)

    def announce(self, server, now):
        """Take an announcement, which renews the server's lease.

        Parameters
        ----------
        server : BackendServer
            A checked announcement.
        now : float
            Monotonic time in seconds.
        """
        if self._addresses.is_displaced(server, now):
            return
        known = self._entries.get(server.server_id)
        if not server.started_at_ms:
            sequence = known.server.sequence + 1 if known else 1
            server = attrs.evolve(server, sequence=sequence)
        server = attrs.evolve(server, in_flight=0)
        is_change = (
            known is None
            or known.expires_at <= now
            or known.owner != self._own_name
            or is_other_process(known.server, server)
            or known.server.leaving != server.leaving
        )
        expires_at = now + self._settings.lease_s
        load_at = now - server.load_age_s
        self._put(server, self._own_name, expires_at, now, load_at)
        self._changes.log(self._own_name)
        if is_change:
            for listener in self._listeners:
                listener()

    def mark_leaving(self, server_id, now):
        """Take a server's word that it stops; later announcements are late.

        Parameters
        ----------
        server_id : str
            Identifier of a server.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether the server is known here.
        """
        known = self._entries.get(server_id)
        if known is None:
            return False
        left = attrs.evolve(
            known.server,
            leaving=True,
            sequence=max(known.server.sequence + 1, _LEFT_SEQUENCE),
        )
        self._put(left, self._own_name, now + self._settings.lease_s, now, now)
        self._changes.log(self._own_name)
        for listener in self._listeners:
            listener()
        return True

    def find(self, server_id):
        """Return the latest record of a server, or None."""
        entry = self._entries.get(server_id)
        return None if entry is None else entry.server

    def count_versions(self, service, now):
        """Return how many servers of a service run each version.

        Parameters
        ----------
        service : str
            Name of the service.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        collections.Counter
            By version, of the servers with a lease that are not leaving.
        """
        return collections.Counter(
            entry.server.version
            for entry in self._entries.values()
            if entry.server.service == service
            and not entry.server.leaving
            and entry.expires_at > now
        )

    def servers(self, service, version, now):
        """Return the servers that may get new work.

        Parameters
        ----------
        service, version : str
            What they must serve.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of BackendServer
            Those with a lease that are not leaving.
        """
        return [entry.server for entry in self.leases(service, version, now)]

    def views(self, service, version, now):
        """Return the servers that may get new work, with what is known.

        Parameters
        ----------
        service, version : str
            What they must serve.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of ServerView
            Those with a lease that are not leaving.
        """
        return [
            self.view(lease, now)
            for lease in self.leases(service, version, now)
        ]

    def leases(self, service, version, now):
        """Return the leases of the servers that may get new work.

        Parameters
        ----------
        service, version : str
            What they must serve.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of Lease
            Valid until the generation changes or the first of them ends.
        """
        return [
            lease
            for lease in self._entries.values()
            if lease.server.service == service
            and lease.server.version == version
            and not lease.server.leaving
            and lease.expires_at > now
        ]

    def view(self, lease, now):
        """Return one server with what is known.

        Parameters
        ----------
        lease : Lease
            From :meth:`leases`.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        ServerView
            Its record and the counts of the other VMs.
        """
        server_id = lease.server.server_id
        return ServerView(
            lease.server,
            lease.first_seen_at,
            lease.load_at,
            self._peers.in_flight(server_id, now),
            self._peers.is_in_demand(server_id, now),
        )

    def has_servers(self, now):
        """Tell whether any server holds a lease."""
        return any(entry.expires_at > now for entry in self._entries.values())

    def known_ids(self):
        """Return the identifiers of all servers that are remembered."""
        return set(self._entries)

    def owned(self, now):
        """Return the servers that this VM owns the lease of.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of Lease
            Leaving servers are included.
        """
        self._forget(now)
        return [
            lease
            for lease in self._entries.values()
            if lease.owner == self._own_name and lease.expires_at > now
        ]

    def merge(self, update, now):
        """Take an update of another VM of the data centre.

        Parameters
        ----------
        update : ExchangeUpdate
            From its stream, with the sender's record.
        now : float
            Monotonic time in seconds.
        """
        name = update.vm.name
        if self._peers.hear(update, now):
            self._forget_owner(name)
        described = self._described.setdefault(name, {})
        if update.sequence == 1:
            described.clear()
        for server_id in update.released:
            described.pop(server_id, None)
        for server_id in update.removed:
            described.pop(server_id, None)
            entry = self._entries.get(server_id)
            if entry is not None and entry.owner == name:
                # Kept for a while, so that a late announcement of a process
                # that left does not bring it back.
                entry.expires_at = min(entry.expires_at, now)
                self._generation += 1
        self._renew(described, name, now)
        for server in update.servers:
            if server.address:
                described[server.server_id] = server
                self._merge_server(server, name, now)
        self._changes.log(name)

    def is_owned_elsewhere(self, server_id):
        """Tell whether another VM owns the lease of a server now."""
        entry = self._entries.get(server_id)
        return entry is not None and entry.owner != self._own_name

    def _forget_owner(self, name):
        """Accept any updates of a VM that restarted and counts anew."""
        for entry in self._entries.values():
            if entry.owner == name and not entry.server.started_at_ms:
                entry.server = attrs.evolve(entry.server, sequence=0)

    def _renew(self, described, name, now):
        """Renew the leases of the servers that another VM vouches for.

        A server whose lease ended at another VM, which had heard of it last,
        is taken over from this one.
        """
        expires_at = now + self._settings.lease_s
        for server in described.values():
            lease = self._entries.get(server.server_id)
            if lease is not None and lease.expires_at > now:
                if lease.owner == name:
                    lease.expires_at = expires_at
                continue
            known = None if lease is None else lease.server
            if not has_left(
                known, server
            ) and not self._addresses.is_displaced(server, now):
                load_at = now - server.load_age_s
                self._put(server, name, expires_at, now, load_at)

    def _merge_server(self, server, name, now):
        known = self._entries.get(server.server_id)
        if known is not None and not is_newer(server, known, now):
            if known.owner == self._own_name and known.expires_at > now:
                # The other VM has not heard the latest number.
                self._claim(known)
            return
        if self._addresses.is_displaced(server, now):
            return
        lease_s = min(server.lease_left_s, self._settings.lease_s)
        self._put(server, name, now + lease_s, now, now - server.load_age_s)

    def _put(self, server, owner, expires_at, now, load_at):
        lease = self._entries.get(server.server_id)
        before = None if lease is None else lease.server
        self._changes.note(before, server)
        if lease is None or lease.expires_at <= now:
            self._generation += 1
            lease = self._entries[server.server_id] = Lease(
                server, owner, expires_at, now, load_at
            )
            self._claim(lease)
        else:
            if is_other_process(before, server):
                lease.first_seen_at = now
            if place_of(before) != place_of(server):
                self._generation += 1
            if lease.owner != owner:
                self._claim(lease)
            lease.renew(server, owner, expires_at, load_at)
        if is_first(before, server) and self._addresses.take(server, now):
            self._generation += 1

    def _claim(self, lease):
        self._last_claim += 1
        lease.claim = self._last_claim

    def _forget(self, now):
        if now < self._forget_at:
            return
        self._forget_at = now + _FORGET_S
        kept_s = _KEPT_LEASES * self._settings.lease_s
        for server_id in [
            server_id
            for server_id, entry in self._entries.items()
            if entry.expires_at + kept_s <= now
        ]:
            self._addresses.forget(self._entries.pop(server_id).server)
