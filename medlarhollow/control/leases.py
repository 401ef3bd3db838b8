"""Leases of allocators, as the leader estimates them from VM reports."""

import attrs

from ..configuration.leases import account_lease_s
from ..configuration.leases import effective_allocator_lease_s

__all__ = ["LeaseMonitor"]

# Safety margin, as a fraction of the lease. The lease of an allocator starts
# with the request that carries its report, which may be delayed by 0.5 s at
# each of two relays; clocks also differ in rate.
_MARGIN_FRACTION = 0.5
# Reports are discarded after this number of leases.
_RETENTION_LEASES = 20.0
# Upper bound of the difference in rate between the clocks of two VMs.
_MAX_CLOCK_DRIFT = 0.01


@attrs.define
class _LastReport:
    """Latest report of one process."""

    made_at: float
    share_epoch: int
    revision: int


class LeaseMonitor:
    """Determine when allocators have certainly lost their authority.

    Parameters
    ----------
    settings : Settings
        Section ``limits`` gives the lease.
    now : float
        Monotonic time in seconds at which this replica became leader. Leases
        renewed under an earlier leader may last for a full lease from then.
    """

    def __init__(self, settings, now):
        self._limits = settings.limits
        self._lease_s = settings.limits.allocator_lease_s
        self._share_epochs = {}
        self._leader_since = now
        self._last_reports = {}
        # Monotonic time since which each departed VM is known, by name.
        self._departed_since = {}

    def update(self, reports, now):
        """Record reports of VMs.

        Parameters
        ----------
        reports : iterable of VmReport
            Their ages are taken into account.
        now : float
            Monotonic time in seconds.
        """
        for report in reports:
            key = (report.vm.name, report.vm.incarnation)
            made_at = now - report.report_age_s
            previous = self._last_reports.get(key)
            if previous is None:
                self._last_reports[key] = _LastReport(
                    made_at, report.share_epoch, report.revision
                )
            else:
                previous.made_at = max(previous.made_at, made_at)
                previous.share_epoch = max(
                    previous.share_epoch, report.share_epoch
                )
                previous.revision = max(previous.revision, report.revision)
        retention_s = _RETENTION_LEASES * self._lease_s
        for key in [
            key
            for key, record in self._last_reports.items()
            if now - record.made_at > retention_s
        ]:
            del self._last_reports[key]

    def has_expired(self, allocator, now):
        """Return whether an allocator can no longer grant tokens.

        Parameters
        ----------
        allocator : Allocator
            Names a VM and its incarnation.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            True if its latest report is older than the lease and a safety
            margin. A new incarnation counts as another process.
        """
        record = self._last_reports.get((allocator.vm, allocator.incarnation))
        last = (
            self._leader_since
            if record is None
            else max(self._leader_since, record.made_at)
        )
        return now - last > self._lease_s * (1 + _MARGIN_FRACTION)

    def is_reporting(self, vm, now):
        """Return whether a VM has reported within the lease and the margin.

        Parameters
        ----------
        vm : Vm
            Its record in the roster.
        now : float
            Monotonic time in seconds.
        """
        record = self._last_reports.get((vm.name, vm.incarnation))
        if record is None:
            return False
        return now - record.made_at <= self._lease_s * (1 + _MARGIN_FRACTION)

    def have_all_applied(self, revision, state, now):
        """Return whether all VMs that may spend tokens know a revision.

        Parameters
        ----------
        revision : int
            Revision of the state.
        state : FleetState
            Its roster lists the VMs.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            True if each entry VM has reported it, and none has left the
            roster so recently that it may be alive, partitioned from control
            together with an allocator.
        """
        departed = state.departed_vms - set(self.list_ended(state, now))
        return not departed and all(
            self._reported_revision(vm) >= revision
            for vm in state.vms.values()
            if vm.caller_address
        )

    def list_ended(self, state, now):
        """Return the departed VMs that cannot spend tokens any more.

        Parameters
        ----------
        state : FleetState
            Lists the departed VMs.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of str
            Those that this leader has known as departed for longer than the
            leases of allocators and batches together.
        """
        self._departed_since = {
            name: self._departed_since.get(name, now)
            for name in state.departed_vms
        }
        lease_s = effective_allocator_lease_s(state, self._limits)
        wait_s = lease_s + self._limits.batch_lease_s
        limit_s = wait_s * (1 + _MAX_CLOCK_DRIFT)
        return sorted(
            name
            for name, since in self._departed_since.items()
            if now - since > limit_s
        )

    def _reported_revision(self, vm):
        record = self._last_reports.get((vm.name, vm.incarnation))
        return -1 if record is None else record.revision

    def earlier_shares_expired(self, share, state, now):
        """Return whether earlier versions of a share are no longer in use.

        Parameters
        ----------
        share : Share
            The current share, as in the state.
        state : FleetState
            Provides the routes, which may extend the lease of allocators.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            True if this replica has known the share for longer than the lease
            of an allocator and the lease of a batch of tokens together. From
            then on no token of an earlier share is granted or spent.

        Notes
        -----
        A process that does not know the share has no proof of authority
        newer than the commit of the share, whatever path the proof took.
        Reports alone are no evidence, since they may be lost on a path that
        still delivers proof of authority.
        """
        key = (share.account, share.data_centre)
        epoch, since = self._share_epochs.get(key, (None, now))
        if epoch != share.epoch:
            epoch, since = self._share_epochs[key] = (share.epoch, now)
        lease_s = account_lease_s(state, self._limits, share.account)
        wait_s = lease_s + self._limits.batch_lease_s
        return now - since > wait_s * (1 + _MAX_CLOCK_DRIFT)

    def share_epoch(self, allocator):
        """Return the epoch of the shares that an allocator has applied.

        Parameters
        ----------
        allocator : Allocator
            Names a VM and its incarnation.

        Returns
        -------
        int
            0 if it has reported none.
        """
        record = self._last_reports.get((allocator.vm, allocator.incarnation))
        return 0 if record is None else record.share_epoch
