"""Leased tokens of one client account on an entry VM."""

import math

import attrs

from ..messages.records import BatchReport
from .allocator import CLOCK_DRIFT_MARGIN

__all__ = ["LeasedTokens"]

# Tolerance for rounding in sums of fractional tokens.
_ROUNDING = 1e-9
# Time constant of the moving average of the demand.
_DEMAND_WINDOW_S = 0.5
# Time for which a batch covers the expected demand.
_BATCH_PERIOD_S = 0.2


@attrs.define
class _Batch:
    source: str
    epoch: int
    batch_id: int
    unspent: float
    expires_at: float
    spent: float = 0.0
    reported: float = 0.0


class LeasedTokens:
    """Leased batches of tokens that requests spend from.

    Parameters
    ----------
    now : float
        Monotonic time in seconds.
    """

    def __init__(self, now):
        self._batches = []
        self._demand_per_s = 0.0
        self._demand_updated_at = now
        self._refill_limited = set()

    @property
    def is_empty(self):
        """Bool : whether there are no batches, spent ones included."""
        return not self._batches

    def record_request(self, now):
        """Add one request to the moving average of the demand."""
        self._demand_per_s = self.demand_per_s(now) + 1 / _DEMAND_WINDOW_S
        self._demand_updated_at = now

    def demand_per_s(self, now):
        """Return the recent demand in requests per second."""
        age_s = max(0.0, now - self._demand_updated_at)
        return self._demand_per_s * math.exp(-age_s / _DEMAND_WINDOW_S)

    def add(self, source, response, requested_at):
        """Add a batch.

        Parameters
        ----------
        source : str
            Data centre of the allocator.
        response : TokenResponse
            The allocator's response.
        requested_at : float
            Monotonic time in seconds before the request was sent. The lease
            starts here, so it expires on this VM before it does at the
            allocator, however long the response took.
        """
        if response.settle_soon:
            self._refill_limited.add(source)
        else:
            self._refill_limited.discard(source)
        if response.tokens > 0:
            lease_s = response.lease_s * (1 - CLOCK_DRIFT_MARGIN)
            self._batches.append(
                _Batch(
                    source,
                    response.epoch,
                    response.batch_id,
                    response.tokens,
                    requested_at + lease_s,
                )
            )
            self._batches.sort(key=lambda batch: batch.expires_at)

    def available(self, now):
        """Return the tokens that can be spent now."""
        return sum(
            batch.unspent for batch in self._batches if batch.expires_at > now
        )

    def spend(self, now):
        """Spend one token, from the batches that expire first.

        Returns
        -------
        bool
            False, with nothing spent, if less than one token is left.
        """
        self.discard_expired(now)
        if self.available(now) < 1 - _ROUNDING:
            return False
        missing = 1.0
        for batch in self._batches:
            amount = min(missing, batch.unspent)
            batch.unspent -= amount
            batch.spent += amount
            missing -= amount
        return True

    def deficit(self, waiting, now):
        """Return the tokens to request from the nearest allocator.

        Parameters
        ----------
        waiting : int
            Number of requests that wait for a token.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        float
            Tokens that the waiting requests and the demand expected in the
            next batch period need beyond those available; 0 if enough
            are available.
        """
        anticipated = math.floor(self.demand_per_s(now) * _BATCH_PERIOD_S)
        available = self.available(now)
        if waiting == 0 and available >= anticipated / 2:
            return 0.0
        return max(0.0, waiting + anticipated - available)

    def collect_reports(self, source, epoch, now, close_within_s=0.0):
        """Return reports on the batches of one allocator.

        Parameters
        ----------
        source : str
            Data centre of the allocator.
        epoch : int
            Its epoch; batches of other epochs are not reported.
        now : float
            Monotonic time in seconds.
        close_within_s : float
            Batches that expire within this time are returned: nothing more
            is spent from them, whether the report arrives or not.

        Returns
        -------
        tuple of BatchReport
            Cumulative, so that a repeated report has no effect.
        """
        reports = []
        for batch in list(self._batches):
            if batch.source != source or batch.epoch != epoch:
                continue
            closed = batch.expires_at - now <= close_within_s
            is_exhausted = batch.unspent <= 0
            reports.append(BatchReport(batch.batch_id, batch.spent, closed))
            batch.reported = batch.spent
            if closed or is_exhausted:
                self._batches.remove(batch)
        return tuple(reports)

    def sources_to_settle(self, now, close_within_s):
        """Return the allocators that need reports on batches now.

        Returns
        -------
        set of (str, int)
            Data centres and epochs of batches with unspent tokens that
            expire within `close_within_s`, and of unreported spending that
            limits the refill.
        """
        return {
            (batch.source, batch.epoch)
            for batch in self._batches
            if (batch.unspent > 0 and batch.expires_at - now <= close_within_s)
            or (
                batch.source in self._refill_limited
                and batch.spent > batch.reported
            )
        }

    def discard_superseded(self, is_superseded):
        """Discard the batches of allocators that have been replaced.

        Parameters
        ----------
        is_superseded : callable
            Given the data centre and the epoch of an allocator.
        """
        self._batches = [
            batch
            for batch in self._batches
            if not is_superseded(batch.source, batch.epoch)
        ]

    def discard_expired(self, now):
        """Discard batches whose lease has expired."""
        self._batches = [
            batch for batch in self._batches if batch.expires_at > now
        ]
