"""Token bucket that hands out batches under a lease."""

import heapq

import attrs

__all__ = ["EscrowBucket"]

# Allows for rounding in sums of fractions of tokens.
_ROUNDING = 1e-9


@attrs.define
class _Batch:
    unspent: float
    spent: float = 0.0


class EscrowBucket:
    """Token bucket with the invariant ``level + outstanding <= burst``.

    Parameters
    ----------
    rate_per_s : float
        Refill in tokens per second.
    burst : float
        Greatest sum of the level and the unspent tokens handed out.
    now : float
        Monotonic time in seconds.

    Notes
    -----
    The bucket starts empty. A batch counts as outstanding until its holder
    reports what it spent, gives the rest back or its lease ends. Whatever is
    spent between two moments was either outstanding or in the level at the
    first moment, at most `burst` together, or was refilled since. So at most
    ``burst + rate_per_s * interval`` tokens are spent in any interval,
    whichever requests, answers or reports are lost.
    """

    def __init__(self, rate_per_s, burst, now):
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._level = 0.0
        self._outstanding = 0.0
        self._refilled_at = now
        self._batches = {}
        self._ends = []

    @property
    def level(self):
        """Float : tokens that can be handed out, as of the last call."""
        return self._level

    @property
    def outstanding(self):
        """Float : tokens handed out and perhaps not spent yet."""
        return self._outstanding

    @property
    def share(self):
        """Tuple of (float, float) : rate in tokens per second and burst."""
        return self._rate_per_s, self._burst

    @property
    def is_settled(self):
        """Bool : whether the invariant holds under the present share."""
        total = self._level + self._outstanding
        return total <= self._burst + _ROUNDING

    @property
    def is_tight(self):
        """Bool : whether outstanding tokens may hold back the refill."""
        return self._outstanding > self._burst / 2

    def set_share(self, rate_per_s, burst, now):
        """Change rate and burst.

        A decrease takes effect at once on the level; batches handed out
        before stay outstanding, and nothing more is handed out until they
        fit the new burst. An increase adds no tokens but by refill.
        """
        self.refill(now)
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._level = min(self._level, max(0.0, burst - self._outstanding))

    def hand_out(self, batch_id, tokens, lease_s, now):
        """Hand out a batch.

        Parameters
        ----------
        batch_id : int
            Identifier that was not used before.
        tokens : float
            Tokens asked for.
        lease_s : float
            Seconds after which the batch counts as spent.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        float
            Tokens in the batch, at most those asked for; 0 for no batch.
        """
        self.refill(now)
        given = min(tokens, self._level)
        # A fraction of a token is of use only where the burst allows no more.
        if given <= 0 or given < min(1.0, tokens, self._burst) - _ROUNDING:
            return 0.0
        self._level -= given
        self._outstanding += given
        self._batches[batch_id] = _Batch(given)
        heapq.heappush(self._ends, (now + lease_s, batch_id))
        return given

    def settle(self, batch_id, spent, closed, now):
        """Take a report of a holder on one of its batches.

        Parameters
        ----------
        batch_id : int
            From :meth:`hand_out`; unknown and ended batches are ignored.
        spent : float
            Tokens spent since the batch was handed out.
        closed : bool
            Whether the holder gives the rest back.
        now : float
            Monotonic time in seconds.
        """
        self.refill(now)
        batch = self._batches.get(batch_id)
        if batch is None:
            return
        newly = min(max(0.0, spent - batch.spent), batch.unspent)
        batch.spent += newly
        batch.unspent -= newly
        self._reduce(newly)
        if closed:
            del self._batches[batch_id]
            self._reduce(batch.unspent)
            space = max(0.0, self._burst - self._outstanding - self._level)
            self._level += min(batch.unspent, space)

    def wait_s(self, tokens):
        """Return the seconds of refill until `tokens` are in the level."""
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
        Ends of leases are handled one after the other: until a batch ends,
        its unspent tokens hold back the refill.
        """
        while self._ends and self._ends[0][0] <= now:
            end, batch_id = heapq.heappop(self._ends)
            self._refill_until(end)
            batch = self._batches.pop(batch_id, None)
            if batch is not None:
                self._reduce(batch.unspent)
        self._refill_until(now)

    def _refill_until(self, moment):
        if moment <= self._refilled_at:
            return
        space = self._burst - self._outstanding - self._level
        refill = self._rate_per_s * (moment - self._refilled_at)
        self._level += max(0.0, min(space, refill))
        self._refilled_at = moment

    def _reduce(self, tokens):
        self._outstanding -= tokens
        if not self._batches or self._outstanding < 0:
            self._outstanding = sum(
                batch.unspent for batch in self._batches.values()
            )
