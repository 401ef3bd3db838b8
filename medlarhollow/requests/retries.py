"""Ends of an attempt at a backend server and which of them are retried."""

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

# Bad gateway, unavailable (also shed load) and gateway timeout are states of
# one server; other statuses would be the same elsewhere.
_RETRIED_STATUSES = frozenset({502, 503, 504})


@attrs.frozen
class NotSent:
    """No connection was made, so no byte reached a backend server."""

    detail: str


@attrs.frozen
class Refused:
    """A backend server, or an entry VM elsewhere, said that it did not run."""

    detail: str


@attrs.frozen
class Unanswered:
    """A byte may have been sent, and no complete head came back."""

    detail: str


@attrs.frozen
class Answered:
    """The head of an answer arrived.

    Attributes
    ----------
    status : int
        HTTP status.
    """

    status: int


@functools.singledispatch
def may_retry(end, idempotent):
    """Return whether a request may be sent again after an attempt.

    Parameters
    ----------
    end : NotSent, Refused, Unanswered or Answered
        How the attempt ended.
    idempotent : bool
        Whether the request may run more than once.

    Returns
    -------
    bool
        Non-idempotent requests are retried only if the attempt certainly
        did not run.
    """
    raise TypeError(f"not the end of an attempt: {end!r}")


@may_retry.register(NotSent)
@may_retry.register(Refused)
def _always(end, idempotent):
    return True


@may_retry.register
def _unanswered(end: Unanswered, idempotent):
    return idempotent


@may_retry.register
def _answered(end: Answered, idempotent):
    return idempotent and end.status in _RETRIED_STATUSES


def may_have_run(end):
    """Return whether the request may have run in an attempt.

    Parameters
    ----------
    end : NotSent, Refused, Unanswered or Answered
        How the attempt ended.

    Returns
    -------
    bool
        False only where it is certain.
    """
    return not isinstance(end, NotSent | Refused)
