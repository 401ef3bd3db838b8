"""Table of the leases of backend servers."""

import math

from .addresses import AddressIndex
from .changes import ServerChangeLog
from .lease import Lease
from .lease import pool_key
from .order import is_first_of_process
from .order import is_other_process
from .record_shares import RecordShares

__all__ = ["LeaseTable"]

# Interval in seconds between removals of records past their retention.
_DISCARD_INTERVAL_S = 1.0
# A record is retained for this many lease durations after its lease ends.
_RETENTION_LEASES = 10


class LeaseTable:
    """Store the latest record of each server with its lease.

    Parameters
    ----------
    settings : Settings
        Section ``backends`` is read.
    """

    def __init__(self, settings):
        self._settings = settings.backends
        self._leases = {}
        self._generation = 0
        self._last_resend_number = 0
        self._addresses = AddressIndex(self._leases)
        self._changes = ServerChangeLog()
        self._shares = RecordShares(settings)
        self._next_discard_at = -math.inf

    @property
    def leases(self):
        """Dict of str to Lease : by server, ended ones for a while too."""
        return self._leases

    @property
    def generation(self):
        """Int : changes whenever a server joins, leaves or changes pool.

        A lease that expires does not change it.
        """
        return self._generation

    def list_current(self, now):
        """Return the leases that have not ended.

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
            lease for lease in self._leases.values() if lease.expires_at > now
        ]

    def check_capacity(self, server, source):
        """Check whether a server may be added; see `RecordShares.check`."""
        return self._shares.check(server, source)

    def is_superseded(self, server, now):
        """Return whether a later process now uses a server's address."""
        return self._addresses.is_superseded(server, now)

    def end(self, lease, now):
        """End a lease, of which the record is retained for a while.

        A late announcement of a process that left thus does not restore it.
        """
        lease.expires_at = min(lease.expires_at, now)
        self._generation += 1

    def log_changes(self, sender):
        """Log the changes since the last call, with the VM they are from."""
        self._changes.flush(sender)

    def put(self, server, owner, expires_at, now, load_at, source=""):
        """Store a record and renew its lease.

        Parameters
        ----------
        server : BackendServer
            The record.
        owner : str
            Name of the VM that vouches for it.
        expires_at, now, load_at : float
            Monotonic times in seconds: end of the lease, the present, and
            that of the load in the record.
        source : str
            Network address that announced it to this VM, if it did.

        Returns
        -------
        bool
            Whether other VMs must know of it at once.
        """
        lease = self._leases.get(server.server_id)
        previous = None if lease is None else lease.server
        is_urgent = (
            lease is None
            or lease.expires_at <= now
            or lease.owner != owner
            or is_other_process(previous, server)
            or previous.leaving != server.leaving
            or (server.cold_left_s > 0 and not previous.cold_left_s)
        )
        self._changes.record(previous, server)
        self._shares.add(server, source)
        if lease is None or lease.expires_at <= now:
            self._generation += 1
            lease = self._leases[server.server_id] = Lease(
                server, owner, expires_at, now, load_at
            )
            self.mark_for_resend(lease)
        else:
            if is_other_process(previous, server):
                lease.first_seen_at = now
            if pool_key(previous) != pool_key(server):
                self._generation += 1
            if lease.owner != owner:
                self.mark_for_resend(lease)
            lease.renew(server, owner, expires_at, load_at)
        if is_first_of_process(previous, server) and self._addresses.assign(
            server, now
        ):
            self._generation += 1
        return is_urgent

    def mark_for_resend(self, lease):
        """Have the record of a lease sent to the other VMs again."""
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
            self._shares.discard(server_id)
