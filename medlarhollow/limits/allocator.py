"""Hand out a data centre's shares to its VMs."""

import logging

from ..configuration.leases import allocator_hold_s
from ..messages.records import ErrorKind
from ..messages.records import Failure
from ..messages.records import TokenResponse
from .escrow import EscrowBucket

__all__ = ["LEASE_DRIFT", "ShareAllocator"]

_LOG = logging.getLogger(__name__)
# Monotonic clocks run at rates that differ by less than 0.1%, the limit of
# NTP's correction being 0.05%; waits for the end of a lease are 1% longer.
LEASE_DRIFT = 0.01


class ShareAllocator:
    """Hold the buckets of a data centre while this VM is its allocator.

    Parameters
    ----------
    settings : Settings
        Sections ``vm`` and ``limits`` are read.
    state_cache : FleetStateCache
        The agreed state and the age of its proof.
    incarnation : str
        Incarnation of this VM.
    now : float
        Monotonic time in seconds at which this process began.

    Notes
    -----
    A VM is named allocator by a committed record. Once named it waits until
    every proof of freshness from before the naming is too old for its
    predecessor, unless that was an earlier process of the same VM, which has
    ended; and until the batches handed out by then have ended. Its buckets
    start empty. So two allocators are never active together, whenever
    control names the second.
    """

    def __init__(self, settings, state_cache, incarnation, now):
        self._own = settings.vm
        self._limits = settings.limits
        self._state_cache = state_cache
        self._incarnation = incarnation
        # From then on, neither an earlier process of this VM nor this one has
        # handed out a batch.
        self._batches_since = now
        self._epoch = None
        self._starts_at = float("inf")
        self._buckets = {}
        self._seen = None
        self._last_batch_id = 0
        self._share_epoch = 0

    def acquire(self, request, now):
        """Take reports on earlier batches and hand out another.

        Parameters
        ----------
        request : TokenRequest
            Of a VM in any data centre.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        TokenResponse
            Its lease counts from the time at which the VM sent its request.
            Without tokens, `wait_s` says when to ask again. The failure is
            ``NOT_LEADER`` if another VM is the allocator and
            ``STALE_AUTHORITY`` if this one cannot know.
        """
        self._follow(now)
        if self._epoch is None:
            return _refuse(ErrorKind.NOT_LEADER, "not the allocator")
        if not self._is_fresh(now):
            return _refuse(ErrorKind.STALE_AUTHORITY, "lease has expired")
        bucket = self._buckets.get(request.account)
        if now < self._starts_at:
            wait_s = self._starts_at - now
            return TokenResponse(wait_s=wait_s, epoch=self._epoch)
        if bucket is None:
            return TokenResponse(
                wait_s=self._limits.batch_lease_s, epoch=self._epoch
            )
        if request.epoch == self._epoch:
            for report in request.batches:
                bucket.settle(
                    report.batch_id, report.spent, report.closed, now
                )
        return self._hand_out(bucket, request.tokens, now)

    def share_epoch(self, now):
        """Return the epoch of the shares in force here.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        int
            Epoch of the newest shares that every bucket keeps to, counting
            what is outstanding; 0 if this VM is not the allocator or still
            waits for the end of its predecessor's leases.
        """
        self._follow(now)
        if self._epoch is None or now < self._starts_at:
            return 0
        for bucket in self._buckets.values():
            bucket.refill(now)
        if all(bucket.is_settled for bucket in self._buckets.values()):
            self._share_epoch = max(
                (share.epoch for share in self._shares()), default=0
            )
        return self._share_epoch

    def _hand_out(self, bucket, tokens, now):
        self._last_batch_id += 1
        lease_s = self._limits.batch_lease_s
        given = bucket.hand_out(self._last_batch_id, tokens, lease_s, now)
        if given:
            self._batches_since = now
        wait_s = 0.0
        if given < tokens:
            wait_s = min(bucket.wait_s(1.0), lease_s)
        return TokenResponse(
            tokens=given,
            lease_s=lease_s,
            wait_s=wait_s,
            epoch=self._epoch,
            batch_id=self._last_batch_id if given else 0,
            settle_soon=bucket.is_tight,
        )

    def _is_fresh(self, now):
        age_s = self._state_cache.freshness_age_s(now)
        return age_s < allocator_hold_s(self._state_cache.state, self._limits)

    def _shares(self):
        return [
            share
            for share in self._state_cache.state.shares.values()
            if share.data_centre == self._own.data_centre
        ]

    def _follow(self, now):
        """Follow the naming of the allocator and its shares."""
        state = self._state_cache.state
        named = state.allocators.get(self._own.data_centre)
        if (
            named is None
            or named.vm != self._own.name
            or named.incarnation != self._incarnation
        ):
            if self._epoch is not None:
                _LOG.info(
                    "limits: no longer allocator of %s, epoch %d ended",
                    self._own.data_centre,
                    self._epoch,
                )
            self._epoch = None
            self._buckets.clear()
            self._share_epoch = 0
            return
        if named.epoch != self._epoch:
            self._begin(named, now)
        if self._seen != (state, state.revision):
            self._follow_shares(now)
            self._seen = (state, state.revision)

    def _begin(self, named, now):
        self._epoch = named.epoch
        self._buckets.clear()
        self._seen = None
        self._share_epoch = 0
        self._starts_at = self._find_start(named, now)
        _LOG.info(
            "limits: allocator of %s in epoch %d, hands out tokens in %.2f s",
            self._own.data_centre,
            named.epoch,
            self._starts_at - now,
        )

    def _find_start(self, named, now):
        """Return when no predecessor's tokens are spent any more."""
        if not named.has_predecessor:
            return now
        wait_s = self._limits.batch_lease_s
        since = now
        if named.predecessor_may_run:
            wait_s += allocator_hold_s(self._state_cache.state, self._limits)
        else:
            # It had ended when this process began; only what was handed out
            # before is still spent.
            since = self._batches_since
        return max(now, since + wait_s * (1 + LEASE_DRIFT))

    def _follow_shares(self, now):
        shares = {share.account: share for share in self._shares()}
        for account, share in shares.items():
            bucket = self._buckets.get(account)
            if bucket is None:
                # Tokens collect from the start, not while waiting for it.
                start = max(now, self._starts_at)
                self._buckets[account] = EscrowBucket(
                    share.rate_per_s, share.burst, start
                )
            elif bucket.share != (share.rate_per_s, share.burst):
                bucket.set_share(share.rate_per_s, share.burst, now)
        for account in [name for name in self._buckets if name not in shares]:
            # Kept until its batches ended, since the share may come back.
            bucket = self._buckets[account]
            bucket.set_share(0.0, 0.0, now)
            if not bucket.outstanding:
                del self._buckets[account]


def _refuse(kind, detail):
    return TokenResponse(failure=Failure(kind=kind, detail=detail))
