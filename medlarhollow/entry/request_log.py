"""Access log: one line per request, with the reasons for its outcome."""

import logging

import attrs

from ..requests import HedgeVerdict
from ..telemetry import LogRateLimiter

__all__ = ["HedgeTrace", "RequestLog", "RequestTrace"]

_LOG = logging.getLogger(__name__)
_SERVED = "ok"


@attrs.define
class HedgeTrace:
    """What became of the second attempt of a request.

    Attributes
    ----------
    verdict : HedgeVerdict
        Whether there was a second attempt, or why there was none.
    winner : str
        ``first`` or ``second``, by the attempt that was used; empty if there
        was no second attempt, or if both failed.
    saved_s : float
        Estimated time saved, in seconds.
    tokens_left : float
        Second attempts that the limits of the service still permitted.
    """

    verdict: HedgeVerdict = HedgeVerdict.NOT_SLOW
    winner: str = ""
    saved_s: float = 0.0
    tokens_left: float = 0.0

    @property
    def is_hedged(self):
        """Bool : whether there was a second attempt."""
        return self.verdict is HedgeVerdict.HEDGED


@attrs.define
class RequestTrace:
    """Timings and attempts of one request.

    Attributes
    ----------
    token_wait_s : float
        Time spent waiting for a token of the account, in seconds.
    slot_wait_s : float
        Time spent waiting for slots over all attempts, in seconds.
    attempts : list of str
        Description of each attempt.
    detail : str
        Reason for a refusal or failure.
    hedge : HedgeTrace or None
        None if second attempts are off or the request was not sent.
    """

    token_wait_s: float = 0.0
    slot_wait_s: float = 0.0
    attempts: list = attrs.field(factory=list)
    detail: str = ""
    hedge: HedgeTrace | None = None

    def add_attempt(self, slot, outcome):
        """Add an attempt.

        Parameters
        ----------
        slot : Slot
            Slot of the backend server, with the time to the response head or
            to the end of the attempt.
        outcome : object
            `Answered`, `Refused`, `NotSent` or `Unanswered`.
        """
        name = type(outcome).__name__.lower()
        text = getattr(outcome, "detail", "") or getattr(outcome, "status", "")
        self._add(slot, f"{name} {text}")

    def add_superseded(self, slot):
        """Add an attempt that was closed since the other was answered."""
        self._add(slot, "superseded")

    def _add(self, slot, end):
        self.attempts.append(
            f"{slot.server_id} {end} "
            f"{_milliseconds(slot.latency_s)} ms, {slot.describe_selection()}"
        )


class RequestLog:
    """Log one line per request, with a rate limit.

    Parameters
    ----------
    settings : Settings
        ``telemetry.request_lines_per_s`` limits the lines of served requests
        and, separately, those of all others.
    state_cache : FleetStateCache
        Its revision and freshness age, on which each decision depends, are
        logged with each request.

    Notes
    -----
    The field ``lines_skipped`` counts the lines that the rate limit
    suppressed before a line.
    """

    def __init__(self, settings, state_cache):
        lines_per_s = settings.telemetry.request_lines_per_s
        self._state_cache = state_cache
        self._served = LogRateLimiter(lines_per_s)
        self._unserved = LogRateLimiter(lines_per_s)

    def record_request(
        self, outcome, request_id, trace, started_at, now, slot_request=None
    ):
        """Log a request that has ended.

        Parameters
        ----------
        outcome : str
            ``ok``, ``cut``, ``abandoned`` or the name of an error kind.
        request_id : str
            Identifier as forwarded, or as received if it was not admitted.
        trace : RequestTrace
            Timings and attempts.
        started_at : float
            Monotonic time in seconds at which the request head was read.
        now : float
            Monotonic time in seconds.
        slot_request : SlotRequest or None
            Route, account and deadline; None if it was not admitted.
        """
        limiter = self._served if outcome == _SERVED else self._unserved
        if not limiter.try_consume(now) or not _LOG.isEnabledFor(logging.INFO):
            return
        fields = {
            "request_id": request_id,
            "outcome": outcome,
            "total_ms": _milliseconds(now - started_at),
            "token_wait_ms": _milliseconds(trace.token_wait_s),
            "slot_wait_ms": _milliseconds(trace.slot_wait_s),
            "attempts": trace.attempts,
            "revision": self._state_cache.state.revision,
        }
        if self._state_cache.has_proof:
            age_s = self._state_cache.freshness_age_s(now)
            fields["revision_age_ms"] = _milliseconds(age_s)
        if trace.detail:
            fields["detail"] = trace.detail
        if trace.hedge is not None:
            fields |= _describe_hedge(trace.hedge)
        if slot_request is not None:
            fields["service"] = slot_request.route.service
            fields["route"] = slot_request.route.path_prefix
            fields["account"] = slot_request.account
            if slot_request.affinity:
                fields["object"] = slot_request.affinity
            fields["left_ms"] = _milliseconds(slot_request.deadline_at - now)
        skipped = limiter.pop_skipped()
        if skipped:
            fields["lines_skipped"] = skipped
        _LOG.info("entry: request %s", outcome, extra=fields)


def _describe_hedge(hedge):
    fields = {
        "hedge": hedge.verdict.value,
        "hedges_left": round(hedge.tokens_left, 2),
    }
    if hedge.is_hedged:
        fields["hedge_winner"] = hedge.winner or "none"
        fields["hedge_saved_ms"] = _milliseconds(hedge.saved_s)
    return fields


def _milliseconds(seconds):
    return round(seconds * 1000, 1)
