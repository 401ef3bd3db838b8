"""One log line for each request, with what decided its outcome."""

import logging

import attrs

from ..telemetry import LineBudget

__all__ = ["RequestLog", "Trail"]

_LOG = logging.getLogger(__name__)
_SERVED = "ok"


@attrs.define
class Trail:
    """What happened to a request on its way.

    Attributes
    ----------
    token_wait_s : float
        Seconds in which it waited for a token of its account.
    slot_wait_s : float
        Seconds in which it waited for slots, over all attempts.
    attempts : list of str
        For each backend server that was tried, what came of it.
    detail : str
        Why it was refused or failed.
    """

    token_wait_s: float = 0.0
    slot_wait_s: float = 0.0
    attempts: list = attrs.field(factory=list)
    detail: str = ""

    def add_attempt(self, server_id, end, latency_s):
        """Note an attempt.

        Parameters
        ----------
        server_id : str
            Where it was sent.
        end : object
            `Answered`, `Refused`, `NotSent` or `Unanswered`.
        latency_s : float
            Seconds until the head of the answer, or until it ended.
        """
        name = type(end).__name__.lower()
        text = getattr(end, "detail", "") or getattr(end, "status", "")
        self.attempts.append(
            f"{server_id} {name} {text} {_milliseconds(latency_s)} ms"
        )


class RequestLog:
    """Write one line for each request, within a budget.

    Parameters
    ----------
    settings : Settings
        ``telemetry.request_lines_per_s`` bounds the lines of served requests
        and, by itself, those of the others.
    state_cache : FleetStateCache
        Its revision and age are inputs of each decision.

    Notes
    -----
    A line that follows others which were left out says how many in its field
    ``lines_skipped``.
    """

    def __init__(self, settings, state_cache):
        lines_per_s = settings.telemetry.request_lines_per_s
        self._state_cache = state_cache
        self._served = LineBudget(lines_per_s)
        self._unserved = LineBudget(lines_per_s)

    def note(self, outcome, request_id, trail, started_at, now, demand=None):
        """Write the line of a request that has ended.

        Parameters
        ----------
        outcome : str
            ``ok``, ``cut``, ``abandoned`` or the name of an error kind.
        request_id : str
            Its identifier, as passed on or as the caller sent it.
        trail : Trail
            What happened to it.
        started_at : float
            Monotonic time in seconds at which its head was read.
        now : float
            Monotonic time in seconds.
        demand : Demand or None
            Route, account and deadline; None if it was not admitted.
        """
        budget = self._served if outcome == _SERVED else self._unserved
        if not budget.take(now) or not _LOG.isEnabledFor(logging.INFO):
            return
        fields = {
            "request_id": request_id,
            "outcome": outcome,
            "total_ms": _milliseconds(now - started_at),
            "token_wait_ms": _milliseconds(trail.token_wait_s),
            "slot_wait_ms": _milliseconds(trail.slot_wait_s),
            "attempts": trail.attempts,
            "revision": self._state_cache.state.revision,
        }
        if self._state_cache.has_proof:
            age_s = self._state_cache.freshness_age_s(now)
            fields["revision_age_ms"] = _milliseconds(age_s)
        if trail.detail:
            fields["detail"] = trail.detail
        if demand is not None:
            fields["service"] = demand.route.service
            fields["route"] = demand.route.path_prefix
            fields["account"] = demand.account
            if demand.affinity:
                fields["object"] = demand.affinity
            fields["left_ms"] = _milliseconds(demand.deadline_at - now)
        skipped = budget.take_skipped()
        if skipped:
            fields["lines_skipped"] = skipped
        _LOG.info("entry: request %s", outcome, extra=fields)


def _milliseconds(seconds):
    return round(seconds * 1000, 1)
