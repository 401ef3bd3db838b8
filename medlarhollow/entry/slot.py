"""Slot of a backend server, held for one attempt."""

from .. import clock
from ..requests import Answered
from ..requests import may_have_run
from ..requests import NotSent
from ..requests import Refused
from ..requests import Unanswered
from ..steering import AttemptResult

__all__ = ["Slot"]

_SERVER_ERROR = 500
_RESULTS = {
    NotSent: AttemptResult.NOT_SENT,
    Refused: AttemptResult.NOT_SENT,
    Unanswered: AttemptResult.UNANSWERED,
}
_UNRESPONSIVE = (AttemptResult.UNANSWERED, AttemptResult.NOT_SENT)


class Slot:
    """Hold an assignment and release it with the result of the attempt.

    Parameters
    ----------
    vm : EntryVm
        Its dispatcher gets the slot back; its version selector gets the
        result as a sample; its usage counter counts the attempt.
    slot_request : SlotRequest
        Route and account of the request.
    assignment : Assignment
        Assignment by the dispatcher.
    """

    def __init__(self, vm, slot_request, assignment):
        self._vm = vm
        self._route = slot_request.route
        self._account = slot_request.account
        self._assignment = assignment
        self._selected_at = self._started_at = clock.monotonic()
        self._result = AttemptResult.CANCELLED
        self._latency_s = None
        self._usage_attempt = None
        self._is_released = False

    @property
    def address(self):
        """Address of the server."""
        return self._assignment.server.address

    @property
    def server_id(self):
        """Identifier of the server."""
        return self._assignment.server.server_id

    @property
    def assignment(self):
        """Assignment of the slot."""
        return self._assignment

    @property
    def remote(self):
        """Whether the server is an entry VM of another data centre."""
        return self._assignment.remote

    @property
    def started_at(self):
        """Monotonic time in seconds at which the attempt was started."""
        return self._started_at

    @property
    def latency_s(self):
        """Float or None : seconds until the response head or the end."""
        return self._latency_s

    def describe_selection(self):
        """Return what the selection of the server relied on, for the log."""
        if self.remote:
            return "on credit"
        assignment = self._assignment
        state = "cold" if assignment.is_cold else "warm"
        delay_ms = (self._started_at - self._selected_at) * 1000
        reason = f", {assignment.reason}" if assignment.reason else ""
        return (
            f"{state}, record {assignment.record_age_s:.2f} s old, "
            f"lease {assignment.lease_left_s:.2f} s left, "
            f"sent after {delay_ms:.1f} ms{reason}"
        )

    def start_timer(self):
        """Start the latency timer; a reserved slot may have been idle."""
        self._started_at = clock.monotonic()
        counter = self._vm.usage_counter
        # A remote entry VM counts the attempts that it makes for this one.
        if counter is not None and self._account and not self.remote:
            self._usage_attempt = counter.start(
                self._account, self._started_at
            )

    def record_outcome(self, outcome):
        """Record the outcome, known from the response head or its absence."""
        self._latency_s = clock.monotonic() - self._started_at
        self._result = _RESULTS.get(type(outcome), AttemptResult.OK)
        if isinstance(outcome, Refused) and not self.remote:
            self._result = AttemptResult.REFUSED
        if isinstance(outcome, Answered) and outcome.status >= _SERVER_ERROR:
            self._result = AttemptResult.ERROR
        self._end_usage(may_have_run(outcome))
        if not self.remote:
            self._vm.hedging.record_outcome(
                self._route.service,
                self._assignment.version,
                outcome,
                clock.monotonic(),
            )

    def mark_truncated(self):
        """Record that the response ended early."""
        self._result = AttemptResult.ERROR

    def mark_superseded(self, is_slow):
        """Record that the other attempt of the request was answered first.

        Parameters
        ----------
        is_slow : bool
            Whether the attempt took longer than most of its kind, so that its
            time so far counts as a sample.
        """
        self._latency_s = clock.monotonic() - self._started_at
        if is_slow:
            self._result = AttemptResult.SUPERSEDED

    def release(self):
        """Release the slot and report the result, unless that was done."""
        if self._is_released:
            return
        self._is_released = True
        # Without an outcome, the attempt was cancelled after it was started.
        self._end_usage(True)
        now = clock.monotonic()
        latency_s = self._latency_s
        if latency_s is None:
            latency_s = now - self._started_at
        self._vm.dispatcher.release(
            self._assignment, self._result, latency_s, now
        )
        if self.remote or self._result is AttemptResult.CANCELLED:
            return
        is_slow = latency_s > self._vm.settings.entry.slow_answer_s
        if self._result is AttemptResult.SUPERSEDED and not is_slow:
            # Whether it would have become slow is unknown.
            return
        self._vm.version_selector.record_attempt(
            self._route.service,
            self._assignment.version,
            self._route.path_prefix,
            self._result is AttemptResult.ERROR,
            is_slow,
            self._result in _UNRESPONSIVE,
        )

    def _end_usage(self, has_run):
        if self._usage_attempt is not None:
            self._vm.usage_counter.end(self._usage_attempt, has_run)
            self._usage_attempt = None
