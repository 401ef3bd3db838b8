"""A slot of a backend server for one attempt."""

import time

from ..requests import Answered
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
_SILENT = (AttemptResult.UNANSWERED, AttemptResult.NOT_SENT)


class Slot:
    """Hold an assignment, which is released with its result.

    Parameters
    ----------
    vm : EntryVm
        Its dispatcher takes the slot back and its samples are counted.
    route : Route
        Route of the request.
    assignment : Assignment
        From the dispatcher.
    """

    def __init__(self, vm, route, assignment):
        self._vm = vm
        self._route = route
        self._assignment = assignment
        self._started_at = time.monotonic()
        self._result = AttemptResult.CANCELLED
        self._latency_s = None

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
        """Assignment that is held."""
        return self._assignment

    @property
    def remote(self):
        """Whether it is an entry VM of another data centre."""
        return self._assignment.remote

    @property
    def latency_s(self):
        """Float or None : seconds until the attempt ended or was answered."""
        return self._latency_s

    def begin(self):
        """Start to measure; a reserved slot may have waited."""
        self._started_at = time.monotonic()

    def finish(self, end):
        """Note how the attempt ended, at its head or without one."""
        self._latency_s = time.monotonic() - self._started_at
        self._result = _RESULTS.get(type(end), AttemptResult.OK)
        if isinstance(end, Refused) and not self.remote:
            self._result = AttemptResult.REFUSED
        if isinstance(end, Answered) and end.status >= _SERVER_ERROR:
            self._result = AttemptResult.ERROR

    def cut(self):
        """Note that the answer ended early."""
        self._result = AttemptResult.ERROR

    def release(self):
        """Give the slot back."""
        now = time.monotonic()
        latency_s = self._latency_s
        if latency_s is None:
            latency_s = now - self._started_at
        self._vm.dispatcher.release(
            self._assignment, self._result, latency_s, now
        )
        if self.remote or self._result is AttemptResult.CANCELLED:
            return
        self._vm.samples.record_attempt(
            self._route.service,
            self._assignment.version,
            self._route.path_prefix,
            self._result is AttemptResult.ERROR,
            latency_s > self._vm.settings.entry.slow_answer_s,
            self._result in _SILENT,
        )
