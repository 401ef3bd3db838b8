"""Progress of a request over its attempts."""

import attrs

from ..requests import may_have_run
from .request_log import RequestTrace

__all__ = ["RequestProgress"]


@attrs.define
class RequestProgress:
    """Progress of a request over its attempts.

    Attributes
    ----------
    excluded : frozenset of str
        Backend servers that were already tried.
    attempt_count : int
        Number of attempts started.
    running_count : int
        Number of attempts without an outcome.
    has_run : bool
        Whether an attempt with an outcome may have run.
    claim : ClaimClient or None
        Granted claim of a non-idempotent request.
    reserved : Slot or None
        Slot reserved for the next attempt.
    is_reserving : bool
        Whether a slot for the next attempt is being waited for.
    caller_disconnected : bool
        Whether the caller disconnected or stalled while the response to a
        claimed request was streamed.
    trace : RequestTrace
        Timings and attempts for the request log.
    """

    excluded: frozenset = frozenset()
    attempt_count: int = 0
    running_count: int = 0
    has_run: bool = False
    claim: object = None
    reserved: object = None
    is_reserving: bool = False
    caller_disconnected: bool = False
    trace: RequestTrace = attrs.field(factory=RequestTrace)

    @property
    def sent(self):
        """Bool : whether the request may have run on a backend server."""
        return self.has_run or self.running_count > 0

    def start_attempt(self, slot):
        """Record that the request is sent to the server of a slot."""
        self.attempt_count += 1
        self.running_count += 1
        self.excluded |= {slot.server_id}
        slot.start_timer()

    def end_attempt(self, slot, outcome):
        """Record the outcome of an attempt.

        Parameters
        ----------
        slot : Slot
            Slot of its server.
        outcome : NotSent, Refused, Unanswered or Answered
            How it ended.
        """
        slot.record_outcome(outcome)
        self.trace.add_attempt(slot, outcome)
        self.running_count -= 1
        self.has_run |= may_have_run(outcome)

    def abandon_attempt(self, slot):
        """Record that an attempt was closed since another was answered."""
        self.trace.add_superseded(slot)
        self.running_count -= 1
        self.has_run = True
