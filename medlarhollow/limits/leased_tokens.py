"""Tokens that an entry VM holds for one client account."""

import math

import attrs

from ..messages.records import BatchReport
from .allocator import LEASE_DRIFT

__all__ = ["LeasedTokens"]

_ROUNDING = 1e-9
# Demand is averaged over this time, and batches cover demand for the other.
_DEMAND_WINDOW_S = 0.5
_BATCH_PERIOD_S = 0.2


@attrs.define
class _Held:
    source: str
    epoch: int
    batch_id: int
    left: float
    ends_at: float
    spent: float = 0.0
    reported: float = 0.0


class LeasedTokens:
    """Hold batches of tokens and spend from them.

    Parameters
    ----------
    now : float
        Monotonic time in seconds.
    """

    def __init__(self, now):
        self._held = []
        self._demand_per_s = 0.0
        self._demand_at = now
        self._tight = set()

    @property
    def is_empty(self):
        """Bool : whether nothing is held, spent batches included."""
        return not self._held

    def note_demand(self, now):
        """Count one request in the average of the demand."""
        self._demand_per_s = self.demand_per_s(now) + 1 / _DEMAND_WINDOW_S
        self._demand_at = now

    def demand_per_s(self, now):
        """Return the recent demand in requests per second."""
        age_s = max(0.0, now - self._demand_at)
        return self._demand_per_s * math.exp(-age_s / _DEMAND_WINDOW_S)

    def add(self, source, response, requested_at):
        """Take a batch.

        Parameters
        ----------
        source : str
            Data centre of the allocator.
        response : TokenResponse
            Its answer.
        requested_at : float
            Monotonic time in seconds before the request was sent. The lease
            counts from here, so it ends before the allocator counts it as
            ended, however long the answer took.
        """
        if response.settle_soon:
            self._tight.add(source)
        else:
            self._tight.discard(source)
        if response.tokens > 0:
            lease_s = response.lease_s * (1 - LEASE_DRIFT)
            self._held.append(
                _Held(
                    source,
                    response.epoch,
                    response.batch_id,
                    response.tokens,
                    requested_at + lease_s,
                )
            )
            self._held.sort(key=lambda held: held.ends_at)

    def available(self, now):
        """Return the tokens that can be spent now."""
        return sum(held.left for held in self._held if held.ends_at > now)

    def spend(self, now):
        """Spend one token, from the batches that end first.

        Returns
        -------
        bool
            False, with nothing spent, if less than one token is held.
        """
        self.forget(now)
        if self.available(now) < 1 - _ROUNDING:
            return False
        missing = 1.0
        for held in self._held:
            part = min(missing, held.left)
            held.left -= part
            held.spent += part
            missing -= part
        return True

    def wanted(self, waiting, now):
        """Return the tokens to ask the nearest allocator for.

        Parameters
        ----------
        waiting : int
            Requests that wait for a token.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        float
            What the requests and the demand of the next moments need
            beyond the tokens held; 0 while enough is held.
        """
        ahead = math.floor(self.demand_per_s(now) * _BATCH_PERIOD_S)
        available = self.available(now)
        if waiting == 0 and available >= ahead / 2:
            return 0.0
        return max(0.0, waiting + ahead - available)

    def reports(self, source, epoch, now, close_within_s=0.0):
        """Return what became of the batches of one allocator.

        Parameters
        ----------
        source : str
            Data centre of the allocator.
        epoch : int
            Its epoch; batches of others are not reported.
        now : float
            Monotonic time in seconds.
        close_within_s : float
            Batches that end within this time are given back: they are not
            spent from any more, whether the report arrives or not.

        Returns
        -------
        tuple of BatchReport
            Cumulative, so that a repeated report changes nothing.
        """
        reports = []
        for held in list(self._held):
            if held.source != source or held.epoch != epoch:
                continue
            closed = held.ends_at - now <= close_within_s
            used_up = held.left <= 0
            reports.append(BatchReport(held.batch_id, held.spent, closed))
            held.reported = held.spent
            if closed or used_up:
                self._held.remove(held)
        return tuple(reports)

    def sources_to_settle(self, now, close_within_s):
        """Return the allocators that should hear of batches now.

        Returns
        -------
        set of (str, int)
            Data centres and epochs: of batches with unspent tokens that end
            within `close_within_s`, and of unreported spending where it
            holds back the refill.
        """
        return {
            (held.source, held.epoch)
            for held in self._held
            if (held.left > 0 and held.ends_at - now <= close_within_s)
            or (held.source in self._tight and held.spent > held.reported)
        }

    def forget(self, now):
        """Drop batches whose lease ended."""
        self._held = [held for held in self._held if held.ends_at > now]
