"""Issue the tokens of a data centre's shares to entry VMs."""

import logging

from ..configuration.leases import account_lease_s
from ..configuration.leases import effective_allocator_lease_s
from ..configuration.leases import undivided_lease_s
from ..messages.records import ErrorKind
from ..messages.records import Failure
from ..messages.records import TokenResponse
from .escrow import EscrowBucket

__all__ = ["CLOCK_DRIFT_MARGIN", "ShareAllocator"]

_LOG = logging.getLogger(__name__)
# Monotonic clocks drift apart by less than 0.1%, since NTP corrects a clock by
# at most 0.05%. The holder shortens a lease by 1%, and waits for the end of a
# lease are extended by 1%.
CLOCK_DRIFT_MARGIN = 0.01
# Lease of tokens that count as spent when they are issued: several round trips
# between regions. They may be spent as much later than the bucket counts them.
IMMEDIATE_LEASE_S = 0.25


class ShareAllocator:
    """Token buckets of a data centre while this VM is its allocator.

    Parameters
    ----------
    settings : Settings
        Sections ``vm`` and ``limits`` are read.
    state_cache : FleetStateCache
        The replicated state and its freshness age.
    incarnation : str
        Incarnation of this VM.
    now : float
        Monotonic time in seconds at which this process started.

    Notes
    -----
    A VM becomes allocator by a committed record. It then waits until its
    predecessor can hold no proof of freshness that is still valid, unless the
    predecessor was an earlier process of the same VM, which has ended. It
    also waits until the leases of all batches issued so far have expired.
    Its buckets start empty. So two allocators are never active at the same
    time, whenever control appoints the second. Accounts with one bucket in
    the fleet have a shorter lease, and their buckets start earlier. All start
    at once when control has established that no VM spends tokens of an
    earlier epoch any more.
    """

    def __init__(self, settings, state_cache, incarnation, now):
        self._local_vm = settings.vm
        self._limits = settings.limits
        self._state_cache = state_cache
        self._incarnation = incarnation
        # No process of this VM, earlier or current, has issued a batch since.
        self._last_batch_at = now
        self._epoch = None
        self._starts_at = float("inf")
        self._undivided_starts_at = float("inf")
        self._buckets = {}
        self._applied_revision = None
        self._last_batch_id = 0
        self._share_epoch = 0

    def acquire(self, request, now):
        """Apply reports on earlier batches and issue another.

        Parameters
        ----------
        request : TokenRequest
            Request of a VM in any data centre.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        TokenResponse
            Its lease starts when the VM sent the request. Without tokens,
            `wait_s` is the time after which to retry. The failure is
            ``NOT_LEADER`` if another VM is the allocator and
            ``STALE_AUTHORITY`` if this VM's state is too old to tell.
        """
        self._sync_with_state(now)
        if self._epoch is None:
            return _failure_response(
                ErrorKind.NOT_LEADER, "this VM is not the allocator"
            )
        if not self._is_fresh(request.account, now):
            return _failure_response(
                ErrorKind.STALE_AUTHORITY, "the allocator lease has expired"
            )
        bucket = self._buckets.get(request.account)
        wait_s = self._start_of(request.account) - now
        if wait_s > 0:
            return TokenResponse(
                wait_s=wait_s, epoch=self._epoch, is_starting=True
            )
        if bucket is None:
            return TokenResponse(
                wait_s=self._limits.batch_lease_s, epoch=self._epoch
            )
        if request.epoch == self._epoch:
            for report in request.batches:
                bucket.settle(
                    report.batch_id, report.spent, report.closed, now
                )
        if request.immediate:
            return self._issue_spent(bucket, request.tokens, now)
        return self._issue_batch(bucket, request.tokens, now)

    def share_epoch(self, now):
        """Return the epoch of the shares in force on this VM.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        int
            Epoch of the newest shares that every bucket complies with,
            outstanding tokens included. 0 if this VM is not the allocator or
            still waits for its predecessor's leases to expire.
        """
        self._sync_with_state(now)
        if self._epoch is None or now < self._starts_at:
            return 0
        for bucket in self._buckets.values():
            bucket.refill(now)
        if all(bucket.is_within_burst for bucket in self._buckets.values()):
            self._share_epoch = max(
                (share.epoch for share in self._shares()), default=0
            )
        return self._share_epoch

    def _issue_spent(self, bucket, tokens, now):
        issued = bucket.issue_spent(tokens, now)
        if issued:
            self._last_batch_at = now
        return TokenResponse(
            tokens=issued,
            lease_s=min(IMMEDIATE_LEASE_S, self._limits.batch_lease_s),
            wait_s=self._wait_s(bucket, tokens, issued),
            epoch=self._epoch,
            settle_soon=bucket.is_refill_limited,
        )

    def _wait_s(self, bucket, tokens, issued):
        if issued >= tokens:
            return 0.0
        return min(bucket.wait_s(1.0), self._limits.batch_lease_s)

    def _issue_batch(self, bucket, tokens, now):
        self._last_batch_id += 1
        lease_s = self._limits.batch_lease_s
        issued = bucket.issue(self._last_batch_id, tokens, lease_s, now)
        if issued:
            self._last_batch_at = now
        return TokenResponse(
            tokens=issued,
            lease_s=lease_s,
            wait_s=self._wait_s(bucket, tokens, issued),
            epoch=self._epoch,
            batch_id=self._last_batch_id if issued else 0,
            settle_soon=bucket.is_refill_limited,
        )

    def _is_fresh(self, account, now):
        age_s = self._state_cache.freshness_age_s(now)
        return age_s < account_lease_s(
            self._state_cache.state, self._limits, account
        )

    def _start_of(self, account):
        """Return when the bucket of an account starts to issue tokens."""
        if account in self._state_cache.state.divided_accounts:
            return self._starts_at
        return self._undivided_starts_at

    def _shares(self):
        return [
            share
            for share in self._state_cache.state.shares.values()
            if share.data_centre == self._local_vm.data_centre
        ]

    def _sync_with_state(self, now):
        """Apply changes of the allocator record and of the shares."""
        state = self._state_cache.state
        appointment = state.allocators.get(self._local_vm.data_centre)
        if (
            appointment is None
            or appointment.vm != self._local_vm.name
            or appointment.incarnation != self._incarnation
        ):
            if self._epoch is not None:
                _LOG.info(
                    "limits: no longer the allocator of %s; epoch %d ended",
                    self._local_vm.data_centre,
                    self._epoch,
                )
            self._epoch = None
            self._buckets.clear()
            self._share_epoch = 0
            return
        if appointment.epoch != self._epoch:
            self._start_epoch(appointment, now)
        elif appointment.is_confirmed and self._starts_at > now:
            self._end_wait(now)
        if self._applied_revision != (state, state.revision):
            self._apply_shares(now)
            self._applied_revision = (state, state.revision)

    def _start_epoch(self, appointment, now):
        self._epoch = appointment.epoch
        self._buckets.clear()
        self._applied_revision = None
        self._share_epoch = 0
        state, limits = self._state_cache.state, self._limits
        self._starts_at = self._earliest_start(
            appointment, effective_allocator_lease_s(state, limits), now
        )
        self._undivided_starts_at = self._earliest_start(
            appointment, undivided_lease_s(state, limits), now
        )
        _LOG.info(
            "limits: allocator of %s in epoch %d; issuing tokens in %.2f s, "
            "of accounts with one bucket in %.2f s",
            self._local_vm.data_centre,
            appointment.epoch,
            self._starts_at - now,
            self._undivided_starts_at - now,
        )

    def _end_wait(self, now):
        """Start all buckets, since earlier tokens cannot be spent any more."""
        _LOG.info(
            "limits: all VMs have confirmed epoch %d; issuing tokens of all "
            "accounts, %.2f s earlier",
            self._epoch,
            self._starts_at - now,
        )
        for account in list(self._buckets):
            if self._start_of(account) > now:
                # It would refill from the end of the wait only.
                del self._buckets[account]
        self._starts_at = self._undivided_starts_at = now
        self._applied_revision = None

    def _earliest_start(self, appointment, lease_s, now):
        """Return when no token of a predecessor can be spent any more.

        The lease is that of the predecessor, from its proof of authority.
        """
        if not appointment.has_predecessor or appointment.is_confirmed:
            return now
        wait_s = self._limits.batch_lease_s
        last_batch_at = now
        if appointment.predecessor_may_run:
            wait_s += lease_s
        else:
            # The predecessor had ended when this process started; only
            # batches issued before can still be spent.
            last_batch_at = self._last_batch_at
        return max(now, last_batch_at + wait_s * (1 + CLOCK_DRIFT_MARGIN))

    def _apply_shares(self, now):
        shares = {share.account: share for share in self._shares()}
        for account, share in shares.items():
            bucket = self._buckets.get(account)
            if bucket is None:
                # The bucket refills from the start of the epoch only.
                start = max(now, self._start_of(account))
                self._buckets[account] = EscrowBucket(
                    share.rate_per_s, share.burst, start
                )
            elif bucket.share != (share.rate_per_s, share.burst):
                bucket.set_share(share.rate_per_s, share.burst, now)
        for account in [name for name in self._buckets if name not in shares]:
            # Kept until its batches have expired: the share may return.
            bucket = self._buckets[account]
            bucket.set_share(0.0, 0.0, now)
            if not bucket.outstanding:
                del self._buckets[account]


def _failure_response(kind, detail):
    return TokenResponse(failure=Failure(kind=kind, detail=detail))
