"""Directory of the backend servers of a data centre."""

import collections

import attrs

from .lease import overdue_servers
from .lease import ServerView
from .lease_table import LeaseTable
from .merging import UpdateMerger
from .order import has_left
from .order import is_other_process
from .peers import PeerTable

__all__ = ["Directory", "ServerView"]


# Higher than any sequence number that a process reaches by counting.
_FINAL_SEQUENCE = 1 << 62


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
        self._table = LeaseTable(settings)
        self._leases = self._table.leases
        self._peers = PeerTable(settings)
        self._callbacks = []
        self._relay_callbacks = []
        self._merger = UpdateMerger(settings, self._table)

    @property
    def peers(self):
        """PeerTable : the VMs that exchange updates with this one."""
        return self._peers

    @property
    def generation(self):
        """Int : changes whenever a server joins, leaves or changes pool.

        A lease that expires does not change it.
        """
        return self._table.generation

    def subscribe(self, callback):
        """Register a callback, called without arguments on urgent changes."""
        self._callbacks.append(callback)

    def subscribe_relayed(self, callback):
        """Register a callback for urgent changes that other VMs report."""
        self._relay_callbacks.append(callback)

    def vouched_at(self, name):
        """Return the monotonic time of a VM's last vouch; -inf for none."""
        return self._merger.vouched_at(name)

    def check_capacity(self, server, source):
        """Check whether a server may be added.

        Parameters
        ----------
        server : BackendServer
            A validated announcement.
        source : str
            Network address that it was received from.

        Returns
        -------
        result.Result
            ``Ok(server)`` or ``OVERLOADED``.
        """
        return self._table.check_capacity(server, source)

    def announce(self, server, now, source=""):
        """Apply an announcement, which renews the server's lease.

        Parameters
        ----------
        server : BackendServer
            A validated announcement.
        now : float
            Monotonic time in seconds.
        source : str
            Network address that it was received from.
        """
        if self._table.is_superseded(server, now):
            return
        lease = self._leases.get(server.server_id)
        if not server.started_at_ms:
            sequence = lease.server.sequence + 1 if lease else 1
            server = attrs.evolve(server, sequence=sequence)
        server = attrs.evolve(server, in_flight=0)
        expires_at = now + self._settings.lease_s
        load_at = now - server.load_age_s
        is_change = self._table.put(
            server, self._vm_name, expires_at, now, load_at, source
        )
        self._table.log_changes(self._vm_name)
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
        self._table.put(
            leaving, self._vm_name, now + self._settings.lease_s, now, now
        )
        self._table.log_changes(self._vm_name)
        for callback in self._callbacks:
            callback()
        return True

    def mark_left(self, server, now):
        """Mark a server as leaving because of a response that it sent.

        Parameters
        ----------
        server : BackendServer
            Record under which the request was sent to it.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            False if it is known to be leaving, or if its identifier belongs
            to another process by now.
        """
        lease = self._leases.get(server.server_id)
        if lease is None or lease.server.leaving:
            return False
        if is_other_process(lease.server, server):
            return False
        return self.mark_leaving(server.server_id, now)

    def renew_left(self, server, now):
        """Renew the record of a leaving server that still announces itself.

        It would otherwise be forgotten after a while, and a later
        announcement would restore the server.

        Parameters
        ----------
        server : BackendServer
            The announcement.
        now : float
            Monotonic time in seconds.
        """
        lease = self._leases.get(server.server_id)
        if lease is not None and has_left(lease.server, server):
            expires_at = now + self._settings.lease_s
            left = lease.server
            self._table.put(left, self._vm_name, expires_at, now, now)

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
        return [
            lease
            for lease in self._table.list_current(now)
            if lease.owner == self._vm_name
        ]

    def current(self, now):
        """Return all current leases; see :meth:`LeaseTable.list_current`."""
        return self._table.list_current(now)

    def merge(self, update, now):
        """Merge an update from another VM.

        Parameters
        ----------
        update : ExchangeUpdate
            Message of its stream, completed with the sender's record.
        now : float
            Monotonic time in seconds.
        """
        self._peers.record_update(update, now)
        is_change, is_own = self._merger.merge(update, now)
        if is_change:
            for callback in self._relay_callbacks:
                callback()
        if is_own:
            for callback in self._callbacks:
                callback()

    def list_overdue(self, leases, now):
        """Return the identifiers of servers whose renewals are overdue."""
        return overdue_servers(leases, self._settings.lease_s, now)

    def is_owned_elsewhere(self, server_id):
        """Return whether another VM owns the lease of a server."""
        lease = self._leases.get(server_id)
        return lease is not None and lease.owner != self._vm_name
