"""Directory of the backend servers of a data centre."""

import collections
import math

import attrs

from .addresses import AddressIndex
from .changes import ServerChangeLog
from .lease import Lease
from .lease import overdue_servers
from .lease import pool_key
from .lease import ServerView
from .order import has_left
from .order import is_first_of_process
from .order import is_newer
from .order import is_other_process
from .peers import PeerTable

__all__ = ["Directory", "ServerView"]


# Higher than any sequence number that a process reaches by counting.
_FINAL_SEQUENCE = 1 << 62
# Interval in seconds between removals of records past their retention.
_DISCARD_INTERVAL_S = 1.0
# A record is retained for this many lease durations after its lease ends.
_RETENTION_LEASES = 10


class Directory:
    """Track the leases of backend servers.

    Parameters
    ----------
    settings : Settings
        Sections ``vm``, ``peer`` and ``backends`` are read.

    Notes
    -----
    The VM that received the last announcement of a server owns its lease.
    Each announcement raises the server's sequence number above any that is
    known here, so that an update that arrives out of order is recognised
    without comparing clocks.
    """

    def __init__(self, settings):
        self._settings = settings.backends
        self._vm_name = settings.vm.name
        self._leases = {}
        self._generation = 0
        self._last_resend_number = 0
        self._addresses = AddressIndex(self._leases)
        self._peers = PeerTable(settings)
        self._callbacks = []
        self._changes = ServerChangeLog()
        # Records of the servers that each other VM currently reports, by VM.
        self._records_by_vm = {}
        self._next_discard_at = -math.inf

    @property
    def peers(self):
        """PeerTable : the VMs that exchange updates with this one."""
        return self._peers

    @property
    def generation(self):
        """Int : changes whenever a server joins, leaves or changes pool.

        A lease that expires does not change it.
        """
        return self._generation

    def subscribe(self, callback):
        """Register a callback, called without arguments on urgent changes."""
        self._callbacks.append(callback)

    def announce(self, server, now):
        """Apply an announcement, which renews the server's lease.

        Parameters
        ----------
        server : BackendServer
            A validated announcement.
        now : float
            Monotonic time in seconds.
        """
        if self._addresses.is_superseded(server, now):
            return
        lease = self._leases.get(server.server_id)
        if not server.started_at_ms:
            sequence = lease.server.sequence + 1 if lease else 1
            server = attrs.evolve(server, sequence=sequence)
        server = attrs.evolve(server, in_flight=0)
        is_change = (
            lease is None
            or lease.expires_at <= now
            or lease.owner != self._vm_name
            or is_other_process(lease.server, server)
            or lease.server.leaving != server.leaving
            or (server.cold_left_s > 0 and not lease.server.cold_left_s)
        )
        expires_at = now + self._settings.lease_s
        load_at = now - server.load_age_s
        self._put(server, self._vm_name, expires_at, now, load_at)
        self._changes.flush(self._vm_name)
        if is_change:
            for callback in self._callbacks:
                callback()

    def mark_leaving(self, server_id, now):
        """Mark a server as leaving; its later announcements are ignored.

        Parameters
        ----------
        server_id : str
            Identifier of a server.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether the server is known.
        """
        lease = self._leases.get(server_id)
        if lease is None:
            return False
        leaving = attrs.evolve(
            lease.server,
            leaving=True,
            sequence=max(lease.server.sequence + 1, _FINAL_SEQUENCE),
        )
        self._put(
            leaving, self._vm_name, now + self._settings.lease_s, now, now
        )
        self._changes.flush(self._vm_name)
        for callback in self._callbacks:
            callback()
        return True

    def find(self, server_id):
        """Return the latest record of a server, or None."""
        lease = self._leases.get(server_id)
        return None if lease is None else lease.server

    def count_versions(self, service, now):
        """Count the servers of a service by version.

        Parameters
        ----------
        service : str
            Name of the service.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        collections.Counter
            Servers with a current lease that are not leaving, by version.
        """
        return collections.Counter(
            lease.server.version
            for lease in self._leases.values()
            if lease.server.service == service
            and not lease.server.leaving
            and lease.expires_at > now
        )

    def servers(self, service, version, now):
        """Return the servers that may receive new requests.

        Parameters
        ----------
        service, version : str
            Service and version that they must serve.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of BackendServer
            Servers with a current lease that are not leaving.
        """
        return [lease.server for lease in self.leases(service, version, now)]

    def views(self, service, version, now):
        """Return a `ServerView` of each of the :meth:`leases`."""
        return [
            self.view(lease, now)
            for lease in self.leases(service, version, now)
        ]

    def leases(self, service, version, now):
        """Return the leases of the servers that may receive new requests.

        Parameters
        ----------
        service, version : str
            Service and version that they must serve.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of Lease
            Valid until the generation changes or the first of them expires.
        """
        return [
            lease
            for lease in self._leases.values()
            if lease.server.service == service
            and lease.server.version == version
            and not lease.server.leaving
            and lease.expires_at > now
        ]

    def view(self, lease, now):
        """Return a view of one server.

        Parameters
        ----------
        lease : Lease
            From :meth:`leases`.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        ServerView
            Its record and the other VMs' requests in flight and queued there.
        """
        server_id = lease.server.server_id
        return ServerView(
            lease.server,
            lease.first_seen_at,
            lease.load_at,
            self._peers.in_flight(server_id, now),
            self._peers.is_in_demand(server_id, now),
            lease.expires_at,
        )

    def has_servers(self, now):
        """Return whether any server has a current lease."""
        return any(lease.expires_at > now for lease in self._leases.values())

    def known_ids(self):
        """Return the identifiers of all servers with a retained record."""
        return set(self._leases)

    def owned(self, now):
        """Return the current leases that this VM owns.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of Lease
            Includes those of leaving servers.
        """
        self._discard_expired(now)
        return [
            lease
            for lease in self._leases.values()
            if lease.owner == self._vm_name and lease.expires_at > now
        ]

    def merge(self, update, now):
        """Merge an update from another VM.

        Parameters
        ----------
        update : ExchangeUpdate
            Message of its stream, completed with the sender's record.
        now : float
            Monotonic time in seconds.
        """
        name = update.vm.name
        if self._peers.record_update(update, now):
            self._reset_sequences(name)
        records = self._records_by_vm.setdefault(name, {})
        if update.sequence == 1:
            records.clear()
        for server_id in update.released:
            records.pop(server_id, None)
        for server_id in update.removed:
            records.pop(server_id, None)
            lease = self._leases.get(server_id)
            if lease is not None and lease.owner == name:
                # The record is retained for a while, so that a late
                # announcement of a process that left does not restore it.
                lease.expires_at = min(lease.expires_at, now)
                self._generation += 1
        self._renew_leases(records, name, now, frozenset(update.overdue))
        for server in update.servers:
            if server.address:
                records[server.server_id] = server
                self._merge_record(server, name, now)
        self._changes.flush(name)

    def list_overdue(self, leases, now):
        """Return the identifiers of servers whose renewals are overdue."""
        return overdue_servers(leases, self._settings.lease_s, now)

    def is_owned_elsewhere(self, server_id):
        """Return whether another VM owns the lease of a server."""
        lease = self._leases.get(server_id)
        return lease is not None and lease.owner != self._vm_name

    def _reset_sequences(self, name):
        """Accept all updates of a VM that restarted its sequence numbers."""
        for lease in self._leases.values():
            if lease.owner == name and not lease.server.started_at_ms:
                lease.server = attrs.evolve(lease.server, sequence=0)

    def _renew_leases(self, records, name, now, overdue):
        """Renew the leases of the servers that another VM reports.

        The leases of overdue servers become overdue here as well.

        If a server's lease expired under the VM that received its latest
        announcement, the VM that still reports the server becomes its owner.
        """
        for server in records.values():
            lease = self._leases.get(server.server_id)
            is_current = lease is not None and lease.expires_at > now
            expires_at = now + self._settings.lease_s
            if server.server_id in overdue:
                expires_at = now + self._settings.lease_s / 2
                if is_current:
                    expires_at = min(expires_at, lease.expires_at)
            if is_current:
                if lease.owner == name:
                    lease.expires_at = expires_at
                continue
            previous = None if lease is None else lease.server
            if not has_left(
                previous, server
            ) and not self._addresses.is_superseded(server, now):
                load_at = now - server.load_age_s
                self._put(server, name, expires_at, now, load_at)

    def _merge_record(self, server, name, now):
        lease = self._leases.get(server.server_id)
        if lease is not None and not is_newer(server, lease, now):
            if lease.owner == self._vm_name and lease.expires_at > now:
                # The other VM lacks the latest sequence number.
                self._mark_for_resend(lease)
            return
        if self._addresses.is_superseded(server, now):
            return
        lease_s = min(server.lease_left_s, self._settings.lease_s)
        self._put(server, name, now + lease_s, now, now - server.load_age_s)

    def _put(self, server, owner, expires_at, now, load_at):
        lease = self._leases.get(server.server_id)
        previous = None if lease is None else lease.server
        self._changes.record(previous, server)
        if lease is None or lease.expires_at <= now:
            self._generation += 1
            lease = self._leases[server.server_id] = Lease(
                server, owner, expires_at, now, load_at
            )
            self._mark_for_resend(lease)
        else:
            if is_other_process(previous, server):
                lease.first_seen_at = now
            if pool_key(previous) != pool_key(server):
                self._generation += 1
            if lease.owner != owner:
                self._mark_for_resend(lease)
            lease.renew(server, owner, expires_at, load_at)
        if is_first_of_process(previous, server) and self._addresses.assign(
            server, now
        ):
            self._generation += 1

    def _mark_for_resend(self, lease):
        self._last_resend_number += 1
        lease.resend_number = self._last_resend_number

    def _discard_expired(self, now):
        if now < self._next_discard_at:
            return
        self._next_discard_at = now + _DISCARD_INTERVAL_S
        retention_s = _RETENTION_LEASES * self._settings.lease_s
        for server_id in [
            server_id
            for server_id, lease in self._leases.items()
            if lease.expires_at + retention_s <= now
        ]:
            self._addresses.discard(self._leases.pop(server_id).server)
