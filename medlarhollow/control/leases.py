"""Signs of life of the allocators of data centres."""

import attrs

from ..configuration.leases import effective_allocator_lease_s

__all__ = ["LeaseWatch"]

# An allocator counts its lease from its request, which carries its report. A
# report may wait 0.5 s at each of two relays, and clocks differ in rate.
_MARGIN_PART = 0.5
_FORGET_LEASES = 20.0
# Clocks of two VMs differ in rate by less than this.
_DRIFT = 0.01


@attrs.define
class _Sign:
    """Last sign of life of one process."""

    at: float
    share_epoch: int


class LeaseWatch:
    """Know whether the lease of an allocator has certainly expired.

    Parameters
    ----------
    settings : Settings
        Section ``limits`` gives the lease.
    now : float
        Monotonic time in seconds at which this replica began to lead. What
        was renewed under an earlier leader may last for a lease from now.
    """

    def __init__(self, settings, now):
        self._limits = settings.limits
        self._lease_s = settings.limits.allocator_lease_s
        self._shares = {}
        self._since = now
        self._signs = {}

    def update(self, reports, now):
        """Take reports of VMs.

        Parameters
        ----------
        reports : iterable of VmReport
            With their ages.
        now : float
            Monotonic time in seconds.
        """
        for report in reports:
            place = (report.vm.name, report.vm.incarnation)
            at = now - report.report_age_s
            known = self._signs.get(place)
            if known is None:
                self._signs[place] = _Sign(at, report.share_epoch)
            else:
                known.at = max(known.at, at)
                known.share_epoch = max(known.share_epoch, report.share_epoch)
        limit_s = _FORGET_LEASES * self._lease_s
        for place in [
            place
            for place, sign in self._signs.items()
            if now - sign.at > limit_s
        ]:
            del self._signs[place]

    def is_over(self, allocator, now):
        """Tell whether an allocator can no longer hand out tokens.

        Parameters
        ----------
        allocator : Allocator
            Names a VM and its incarnation.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            True if its last sign of life is older than the lease and a
            margin. A new incarnation is another process.
        """
        sign = self._signs.get((allocator.vm, allocator.incarnation))
        last = self._since if sign is None else max(self._since, sign.at)
        return now - last > self._lease_s * (1 + _MARGIN_PART)

    def is_superseded(self, share, state, now):
        """Tell whether nothing is handed out or spent on an earlier share.

        Parameters
        ----------
        share : Share
            As the state holds it.
        state : FleetState
            Its routes extend the lease of allocators.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            True if it was agreed on longer ago than an allocator's lease and
            that of a batch.

        Notes
        -----
        Whoever does not know of the share has no proof of authority that is
        younger than the agreement, whatever path its proof took. Signs of
        life alone may be lost on a path that brings proof.
        """
        place = (share.account, share.data_centre)
        epoch, since = self._shares.get(place, (None, now))
        if epoch != share.epoch:
            epoch, since = self._shares[place] = (share.epoch, now)
        lease_s = effective_allocator_lease_s(state, self._limits)
        wait_s = lease_s + self._limits.batch_lease_s
        return now - since > wait_s * (1 + _DRIFT)

    def share_epoch(self, allocator):
        """Return the epoch of the shares that an allocator has taken over.

        Parameters
        ----------
        allocator : Allocator
            Names a VM and its incarnation.

        Returns
        -------
        int
            0 if it has not reported any.
        """
        sign = self._signs.get((allocator.vm, allocator.incarnation))
        return 0 if sign is None else sign.share_epoch
