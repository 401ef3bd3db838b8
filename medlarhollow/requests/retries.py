"""Outcomes of an attempt at a backend server, and the retry rule."""

import functools

import attrs

__all__ = [
    "Answered",
    "NotSent",
    "Refused",
    "Unanswered",
    "may_have_run",
    "may_retry",
]

# Bad gateway, unavailable (including load shedding) and gateway timeout are
# conditions of one server. Any other status would be the same on all servers.
_RETRIED_STATUSES = frozenset({502, 503, 504})


@attrs.frozen
class NotSent:
    """No connection was established: no byte reached a backend server."""

    detail: str


@attrs.frozen
class Refused:
    """A backend server or remote entry VM reported that nothing was run."""

    detail: str


@attrs.frozen
class Unanswered:
    """Bytes may have been sent; no complete response head arrived."""

    detail: str


@attrs.frozen
class Answered:
    """The head of a response arrived.

    Attributes
    ----------
    status : int
        HTTP status.
    """

    status: int


@functools.singledispatch
def may_retry(outcome, idempotent):
    """Return whether a request may be sent again after an attempt.

    Parameters
    ----------
    outcome : NotSent, Refused, Unanswered or Answered
        Outcome of the attempt.
    idempotent : bool
        Whether the request may run more than once.

    Returns
    -------
    bool
        Non-idempotent requests are retried only if the attempt certainly
        did not run.
    """
    raise TypeError(f"not the outcome of an attempt: {outcome!r}")


@may_retry.register(NotSent)
@may_retry.register(Refused)
def _always(outcome, idempotent):
    return True


@may_retry.register
def _unanswered(outcome: Unanswered, idempotent):
    return idempotent


@may_retry.register
def _answered(outcome: Answered, idempotent):
    return idempotent and outcome.status in _RETRIED_STATUSES


def may_have_run(outcome):
    """Return whether the request may have run in an attempt.

    Parameters
    ----------
    outcome : NotSent, Refused, Unanswered or Answered
        Outcome of the attempt.

    Returns
    -------
    bool
        False only if it certainly did not run.
    """
    return not isinstance(outcome, NotSent | Refused)
