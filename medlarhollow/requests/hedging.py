"""Decide whether a request gets a second attempt while the first one runs.

References
----------
Dean and Barroso, The Tail at Scale, Communications of the ACM 56 (2), 2013.
"""

import enum

import attrs
from result import Err
from result import Ok

from .retries import Answered
from .retries import Refused

__all__ = [
    "MIN_SAMPLES",
    "SLOW_FRACTION",
    "FirstAttempt",
    "Hedging",
    "HedgeVerdict",
]

# A first attempt is slow if it takes longer than this part of the recent runs
# of its kind, of which at least this many are required: a 95th percentile of
# fewer is their maximum.
SLOW_FRACTION = 0.95
MIN_SAMPLES = 20
# Part of the tokens of the retry budget that hedging may use.
_BUDGET_PART = 0.5
# The hedge limit may be used up at once for this many requests, so that a few
# slow responses in a row are hedged.
_BURST_REQUESTS = 100
# Time without hedging after a server of the pool rejected a request: it is
# full or about to be.
_REJECTION_S = 1.0
# There is no hedging while more than this part of the recent requests of a
# pool waited for their slots. Random arrivals leave moments without a queue at
# 90 % of the capacity, in which second attempts would delay the next requests.
_WAITING_PART = 0.1
# Weight of a request in the moving average of that part.
_WAITING_WEIGHT = 1 / 64
_UNAVAILABLE = 503
# Pools whose waiting part is kept.
_MAX_POOLS = 1024


class HedgeVerdict(enum.Enum):
    """Whether a request got a second attempt, or why it did not."""

    HEDGED = "hedged"
    NOT_IDEMPOTENT = "not_idempotent"
    CLAIMED = "claimed"
    ON_CREDIT = "on_credit"
    FIRST_FAILED = "first_failed"
    RETRIED = "retried"
    BODY_NOT_KEPT = "body_not_kept"
    NO_ATTEMPT_LEFT = "no_attempt_left"
    FEW_SAMPLES = "few_samples"
    NOT_SLOW = "not_slow"
    KEY_REVOKED = "key_revoked"
    QUEUED = "queued"
    REJECTIONS = "rejections"
    HEDGE_LIMIT = "hedge_limit"
    RETRY_BUDGET = "retry_budget"
    NO_SLOT = "no_slot"
    NO_TIME = "no_time"


@attrs.frozen
class FirstAttempt:
    """Properties of a request and of its first attempt.

    Attributes
    ----------
    service, version : str
        Pool of the server.
    sent_at : float
        Monotonic time in seconds at which the attempt was started.
    due_at : float
        Monotonic time in seconds of the objective of the request; of its
        deadline if it has no objective.
    is_idempotent : bool
        Whether the request may run more than once.
    is_claimed : bool
        Whether it has an idempotency claim.
    is_on_credit : bool
        Whether it came from or went to another data centre on credit.
    is_retried : bool
        Whether a retry is being prepared, since the server is silent.
    is_buffered : bool
        Whether its whole body is kept.
    may_send_again : bool
        Whether its route and deadline permit one more attempt.
    """

    service: str
    version: str
    sent_at: float
    due_at: float
    is_idempotent: bool = True
    is_claimed: bool = False
    is_on_credit: bool = False
    is_retried: bool = False
    is_buffered: bool = True
    may_send_again: bool = True


class Hedging:
    """Decide on second attempts, within a limit for each service.

    Parameters
    ----------
    settings : Settings
        ``entry.hedge_limit`` is the part of the requests of a service that
        may be hedged.
    retry_budget : RetryBudget
        Each second attempt consumes one of its tokens.

    Notes
    -----
    A token bucket for each service gets the hedge limit with each request,
    but no more than half of what the retry budget gets. The bucket starts
    empty, so that the limit also holds over the first requests. Hedging takes
    no token of the retry budget beyond half of its capacity either, so that a
    failed server finds that half unused. A retry budget of one token, in
    fleets of many VMs, can only be shared over time.
    """

    def __init__(self, settings, retry_budget):
        self._limit = settings.entry.hedge_limit
        self._retry_budget = retry_budget
        self._levels = {}
        # Monotonic time of the last rejection by a server, by pool.
        self._rejected_at = {}
        # Part of the recent requests that waited for their slots, by pool.
        self._waiting_parts = {}

    @property
    def is_enabled(self):
        """Bool : whether second attempts are permitted at all."""
        return self._limit > 0

    @property
    def tokens(self):
        """Dict of str to float : second attempts left, by service."""
        # Metrics are exported by another thread.
        return {
            service: self.tokens_of(service) for service in tuple(self._levels)
        }

    def tokens_of(self, service):
        """Return the second attempts to a service that may start now."""
        budget = self._retry_budget
        # In retry budgets of less than two tokens, half is no whole attempt.
        reserve = min(budget.capacity * _BUDGET_PART, budget.capacity - 1.0)
        return max(
            0.0,
            min(
                self._levels.get(service, 0.0), budget.level(service) - reserve
            ),
        )

    def count_request(self, service):
        """Add the tokens of one request of a caller to a service."""
        if not self.is_enabled:
            return
        budget = self._retry_budget
        income = min(self._limit, budget.fraction * _BUDGET_PART)
        capacity = min(
            self._limit * _BURST_REQUESTS, budget.capacity * _BUDGET_PART
        )
        self._levels[service] = min(
            max(1.0, capacity), self._levels.get(service, 0.0) + income
        )

    def record_outcome(self, service, version, outcome, now):
        """Record whether a server rejected a request.

        Parameters
        ----------
        service, version : str
            Pool of the server.
        outcome : NotSent, Refused, Unanswered or Answered
            Outcome of any attempt at it.
        now : float
            Monotonic time in seconds.
        """
        if not self.is_enabled or not _is_rejection(outcome):
            return
        times = self._rejected_at
        for pool in [key for key in times if now - times[key] >= _REJECTION_S]:
            del times[pool]
        times[(service, version)] = now

    def record_start(self, service, version, wait_s):
        """Record whether a request waited for its slot.

        Parameters
        ----------
        service, version : str
            Pool of the server.
        wait_s : float
            Seconds that it waited in the queue.
        """
        if not self.is_enabled:
            return
        part = self._waiting_parts.pop((service, version), 0.0)
        part += ((wait_s > 0) - part) * _WAITING_WEIGHT
        self._waiting_parts[(service, version)] = part
        if len(self._waiting_parts) > _MAX_POOLS:
            # The pool that was used least recently.
            del self._waiting_parts[next(iter(self._waiting_parts))]

    def plan(self, first, slow_s):
        """Return when a second attempt may start.

        Parameters
        ----------
        first : FirstAttempt
            The attempt, which has just started.
        slow_s : float or None
            The `SLOW_FRACTION` quantile of the recent runs of its kind; None
            if there are less than `MIN_SAMPLES`.

        Returns
        -------
        result.Result
            ``Ok`` with a monotonic time in seconds, or ``Err`` with a
            `HedgeVerdict`.
        """
        if not first.is_idempotent:
            return Err(HedgeVerdict.NOT_IDEMPOTENT)
        if first.is_claimed:
            return Err(HedgeVerdict.CLAIMED)
        if first.is_on_credit:
            return Err(HedgeVerdict.ON_CREDIT)
        if first.is_retried:
            return Err(HedgeVerdict.RETRIED)
        if slow_s is None:
            return Err(HedgeVerdict.FEW_SAMPLES)
        if first.sent_at + slow_s >= first.due_at:
            return Err(HedgeVerdict.NO_TIME)
        return Ok(first.sent_at + slow_s)

    def check(self, first, queued, now):
        """Return whether a second attempt may look for a slot.

        Parameters
        ----------
        first : FirstAttempt
            The attempt, which is slow.
        queued : int
            Requests of its pool that wait for slots at this VM.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        HedgeVerdict
            ``HEDGED`` if it may.
        """
        if first.is_retried:
            return HedgeVerdict.RETRIED
        if not first.is_buffered:
            return HedgeVerdict.BODY_NOT_KEPT
        if not first.may_send_again:
            return HedgeVerdict.NO_ATTEMPT_LEFT
        pool = (first.service, first.version)
        if queued or self._waiting_parts.get(pool, 0.0) > _WAITING_PART:
            return HedgeVerdict.QUEUED
        rejected_at = self._rejected_at.get(pool)
        if rejected_at is not None and now - rejected_at < _REJECTION_S:
            return HedgeVerdict.REJECTIONS
        if self._levels.get(first.service, 0.0) < 1.0:
            return HedgeVerdict.HEDGE_LIMIT
        if self.tokens_of(first.service) < 1.0:
            return HedgeVerdict.RETRY_BUDGET
        return HedgeVerdict.HEDGED

    def try_start(self, first, answer_s, now):
        """Consume the tokens of a second attempt that has a slot.

        Parameters
        ----------
        first : FirstAttempt
            The attempt for which :meth:`check` was ``HEDGED`` at this time.
        answer_s : float or None
            Typical time of a run at the second server; None if it is
            unknown.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        HedgeVerdict
            ``HEDGED`` if the second attempt must be sent now.
        """
        if answer_s is None:
            return HedgeVerdict.FEW_SAMPLES
        if now + answer_s > first.due_at:
            return HedgeVerdict.NO_TIME
        if not self._retry_budget.try_consume(first.service):
            return HedgeVerdict.RETRY_BUDGET
        self._levels[first.service] -= 1.0
        return HedgeVerdict.HEDGED


def _is_rejection(outcome):
    if isinstance(outcome, Answered):
        return outcome.status == _UNAVAILABLE
    return isinstance(outcome, Refused)
