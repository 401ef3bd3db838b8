"""Token bucket that issues batches of tokens under a lease."""

import heapq

import attrs

__all__ = ["EscrowBucket"]

# Tolerance for rounding in sums of fractional tokens.
_ROUNDING = 1e-9


@attrs.define
class _Batch:
    unspent: float
    spent: float = 0.0


class EscrowBucket:
    """Escrow token bucket with the invariant ``level + outstanding <= burst``.

    Parameters
    ----------
    rate_per_s : float
        Refill rate in tokens per second.
    burst : float
        Upper bound of the level plus the unspent tokens issued.
    now : float
        Monotonic time in seconds.

    Notes
    -----
    The bucket starts empty. Tokens of a batch are outstanding until the VM
    that received it reports them as spent or returns them, or until the lease
    expires. Those that are issued as spent are never outstanding; they count
    at the time of their issue. Tokens spent in an interval were either
    outstanding or in the level at its start, together at most `burst`, or were
    refilled since. So
    at most ``burst + rate_per_s * interval`` tokens are spent in any
    interval, whichever requests, responses or reports are lost.
    """

    def __init__(self, rate_per_s, burst, now):
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._level = 0.0
        self._outstanding = 0.0
        self._refilled_at = now
        self._batches = {}
        self._expirations = []

    @property
    def level(self):
        """Float : tokens that can be issued, as of the last call."""
        return self._level

    @property
    def outstanding(self):
        """Float : tokens issued that may still be unspent."""
        return self._outstanding

    @property
    def share(self):
        """Tuple of (float, float) : rate in tokens per second and burst."""
        return self._rate_per_s, self._burst

    @property
    def is_within_burst(self):
        """Bool : whether the invariant holds under the current share."""
        total = self._level + self._outstanding
        return total <= self._burst + _ROUNDING

    @property
    def is_refill_limited(self):
        """Bool : whether outstanding tokens may limit the refill."""
        return self._outstanding > self._burst / 2

    def set_share(self, rate_per_s, burst, now):
        """Change rate and burst.

        A decrease lowers the level immediately. Batches issued before stay
        outstanding, and no more tokens are issued until those fit the new
        burst. An increase adds tokens only through the refill.
        """
        self.refill(now)
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._level = min(self._level, max(0.0, burst - self._outstanding))

    def issue(self, batch_id, tokens, lease_s, now):
        """Issue a batch.

        Parameters
        ----------
        batch_id : int
            Unique identifier.
        tokens : float
            Tokens requested.
        lease_s : float
            Seconds after which the batch counts as spent.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        float
            Tokens in the batch, at most those requested; 0 for no batch.
        """
        self.refill(now)
        issued = self._choose_amount(tokens)
        if not issued:
            return 0.0
        self._level -= issued
        self._outstanding += issued
        self._batches[batch_id] = _Batch(issued)
        heapq.heappush(self._expirations, (now + lease_s, batch_id))
        return issued

    def issue_spent(self, tokens, now):
        """Issue tokens that count as spent at once.

        Outstanding tokens limit the refill of a small bucket until they are
        reported; these do not.

        Parameters
        ----------
        tokens : float
            Tokens requested.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        float
            Tokens issued, at most those requested.
        """
        self.refill(now)
        issued = self._choose_amount(tokens)
        self._level -= issued
        return issued

    def settle(self, batch_id, spent, closed, now):
        """Apply a report on a batch.

        Parameters
        ----------
        batch_id : int
            From :meth:`issue`; unknown and expired batches are ignored.
        spent : float
            Total tokens spent since the batch was issued.
        closed : bool
            Whether the remaining tokens are returned.
        now : float
            Monotonic time in seconds.
        """
        self.refill(now)
        batch = self._batches.get(batch_id)
        if batch is None:
            return
        newly_spent = min(max(0.0, spent - batch.spent), batch.unspent)
        batch.spent += newly_spent
        batch.unspent -= newly_spent
        self._release(newly_spent)
        if closed:
            del self._batches[batch_id]
            self._release(batch.unspent)
            headroom = max(0.0, self._burst - self._outstanding - self._level)
            self._level += min(batch.unspent, headroom)

    def wait_s(self, tokens):
        """Return the seconds until the level has refilled to `tokens`."""
        missing = min(tokens, self._burst) - self._level
        if missing <= 0:
            return 0.0
        if self._rate_per_s <= 0:
            return float("inf")
        return missing / self._rate_per_s

    def refill(self, now):
        """Bring the level up to date.

        Notes
        -----
        Expired leases are handled in order of time: until a batch expires,
        its unspent tokens limit the refill.
        """
        while self._expirations and self._expirations[0][0] <= now:
            expires_at, batch_id = heapq.heappop(self._expirations)
            self._refill_until(expires_at)
            batch = self._batches.pop(batch_id, None)
            if batch is not None:
                self._release(batch.unspent)
        self._refill_until(now)

    def _choose_amount(self, tokens):
        issued = min(tokens, self._level)
        # A fraction of a token is useful only if the burst allows no more.
        if issued <= 0 or issued < min(1.0, tokens, self._burst) - _ROUNDING:
            return 0.0
        return issued

    def _refill_until(self, until):
        if until <= self._refilled_at:
            return
        headroom = self._burst - self._outstanding - self._level
        refill = self._rate_per_s * (until - self._refilled_at)
        self._level += max(0.0, min(headroom, refill))
        self._refilled_at = until

    def _release(self, tokens):
        self._outstanding -= tokens
        if not self._batches or self._outstanding < 0:
            self._outstanding = sum(
                batch.unspent for batch in self._batches.values()
            )
