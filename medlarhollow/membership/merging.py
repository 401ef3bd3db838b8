"""Merge of the updates of other VMs into the leases."""

import attrs

from .order import has_left
from .order import is_newer
from .vouching import owner_of
from .vouching import VouchTable

__all__ = ["UpdateMerger"]


class UpdateMerger:
    """Apply the updates of other VMs.

    Parameters
    ----------
    settings : Settings
        Sections ``vm`` and ``backends`` are read.
    table : LeaseTable
        The leases.
    """

    def __init__(self, settings, table):
        self._settings = settings.backends
        self._vm_name = settings.vm.name
        self._is_registry = "registry" in settings.vm.roles
        self._table = table
        self._leases = table.leases
        self._vouching = VouchTable()
        self._incarnations = {}
        # Records of the servers that each other VM currently reports, by VM.
        self._records_by_vm = {}
        self._overdue_by_vm = {}

    def vouched_at(self, name):
        """Return the monotonic time of a VM's last vouch; -inf for none."""
        return self._vouching.vouched_at(name)

    def merge(self, update, now):
        """Merge an update from another VM.

        Parameters
        ----------
        update : ExchangeUpdate
            Message of its stream, completed with the sender's record.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        tuple of (bool, bool)
            Whether the VMs that follow this one must know of a change at
            once, and whether all VMs must.
        """
        name = update.vm.name
        incarnation = update.vm.incarnation
        if self._incarnations.get(name) != incarnation:
            self._incarnations[name] = incarnation
            self._reset_sequences(name)
        ages = self._vouching.record(update, now)
        records = self._records_by_vm.setdefault(name, {})
        if update.sequence == 1:
            records.clear()
        for server_id in update.released:
            records.pop(server_id, None)
        for server_id in update.removed:
            record = records.pop(server_id, None)
            owner = name if record is None else owner_of(record, name)
            lease = self._leases.get(server_id)
            if lease is not None and lease.owner == owner and owner in ages:
                self._table.end(lease, now)
        overdue = frozenset(update.overdue)
        self._renew_leases(records, name, now, overdue, ages)
        is_change = bool(overdue - self._overdue_by_vm.get(name, frozenset()))
        self._overdue_by_vm[name] = overdue
        changed_owners = set()
        for server in update.servers:
            if server.address:
                records[server.server_id] = server
                owner = owner_of(server, name)
                if self._takes_over(server, update.vm):
                    owner = self._vm_name
                if self._merge_record(server, owner, now):
                    changed_owners.add(owner)
        self._table.log_changes(name)
        return is_change or bool(changed_owners), (
            self._vm_name in changed_owners
        )

    def _reset_sequences(self, name):
        """Accept all updates of a VM that restarted its sequence numbers."""
        for lease in self._leases.values():
            if lease.owner == name and not lease.server.started_at_ms:
                lease.server = attrs.evolve(lease.server, sequence=0)

    def _renew_leases(self, records, name, now, overdue, ages):
        """Renew the leases of the servers that another VM reports.

        The leases of overdue servers become overdue here as well. Those of
        VMs of which another VM relayed a later update are left alone.

        If a server's lease expired under the VM that received its latest
        announcement, the VM that still reports the server becomes its owner.
        """
        for server in records.values():
            owner = owner_of(server, name)
            if owner not in ages or owner == self._vm_name:
                continue
            lease = self._leases.get(server.server_id)
            is_current = lease is not None and lease.expires_at > now
            expires_at = now + self._settings.lease_s - ages[owner]
            if server.server_id in overdue:
                expires_at = min(expires_at, now + self._settings.lease_s / 2)
                if is_current:
                    expires_at = min(expires_at, lease.expires_at)
            if is_current:
                if lease.owner == owner:
                    lease.expires_at = expires_at
                continue
            if expires_at <= now:
                continue
            previous = None if lease is None else lease.server
            if not has_left(
                previous, server
            ) and not self._table.is_superseded(server, now):
                load_at = now - server.load_age_s
                self._table.put(server, owner, expires_at, now, load_at)

    def _takes_over(self, server, sender):
        """Return whether this VM reports a server in place of the sender.

        A VM that accepts no announcements learns from a response that a
        server is leaving, and tells the few registries that it follows.
        """
        return (
            self._is_registry
            and server.leaving
            and not sender.announce_address
        )

    def _merge_record(self, server, owner, now):
        """Apply a record unless it is outdated; return if it is urgent."""
        lease = self._leases.get(server.server_id)
        if lease is not None and not is_newer(server, lease, now):
            if lease.owner == self._vm_name and lease.expires_at > now:
                # The other VM lacks the latest sequence number.
                self._table.mark_for_resend(lease)
            return False
        if self._table.is_superseded(server, now):
            return False
        expires_at = now + min(server.lease_left_s, self._settings.lease_s)
        load_at = now - server.load_age_s
        return self._table.put(server, owner, expires_at, now, load_at)
