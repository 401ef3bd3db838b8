"""HTTP responses by error kind."""

import attrs

from ..messages.records import ErrorKind

__all__ = ["ErrorResponse", "outcome_of", "response_of"]


@attrs.frozen
class ErrorResponse:
    """HTTP response to an error kind.

    Attributes
    ----------
    status : int
        HTTP status.
    outcome : str
        ``not-run``: the request was certainly not executed; ``unknown``: it
        may have been executed; ``failed``: a backend server was reached and
        failed.
    retryable : bool
        Whether the same request may succeed if it is retried later.
    """

    status: int
    outcome: str
    retryable: bool = False


_RESPONSES = {
    ErrorKind.NONE: ErrorResponse(500, "unknown"),
    ErrorKind.BAD_REQUEST: ErrorResponse(400, "not-run"),
    ErrorKind.NOT_FOUND: ErrorResponse(404, "not-run"),
    ErrorKind.UNAUTHENTICATED: ErrorResponse(401, "not-run"),
    ErrorKind.FORBIDDEN: ErrorResponse(403, "not-run"),
    ErrorKind.CONFLICT: ErrorResponse(409, "not-run"),
    ErrorKind.RATE_LIMITED: ErrorResponse(429, "not-run", True),
    ErrorKind.TOKENS_UNAVAILABLE: ErrorResponse(503, "not-run", True),
    ErrorKind.OVERLOADED: ErrorResponse(503, "not-run", True),
    ErrorKind.NO_BACKEND: ErrorResponse(503, "not-run", True),
    ErrorKind.NO_REGION: ErrorResponse(503, "not-run"),
    ErrorKind.DEADLINE_EXCEEDED: ErrorResponse(504, "not-run"),
    ErrorKind.STALE_AUTHORITY: ErrorResponse(503, "not-run", True),
    ErrorKind.NOT_LEADER: ErrorResponse(503, "not-run", True),
    ErrorKind.NO_QUORUM: ErrorResponse(503, "not-run", True),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(502, "unknown"),
    ErrorKind.KEY_REUSED: ErrorResponse(422, "not-run"),
    ErrorKind.DRAINING: ErrorResponse(503, "not-run", True),
    ErrorKind.BACKEND_FAILED: ErrorResponse(502, "failed"),
    ErrorKind.STORAGE_DAMAGED: ErrorResponse(500, "not-run"),
    ErrorKind.WRONG_CLUSTER: ErrorResponse(403, "not-run"),
    ErrorKind.TOO_LARGE: ErrorResponse(413, "not-run"),
}


def response_of(kind):
    """Return the HTTP response to an error kind.

    Parameters
    ----------
    kind : ErrorKind
        Any error kind.

    Returns
    -------
    ErrorResponse
        Status, outcome and whether to retry.

    Examples
    --------
    >>> response_of(ErrorKind.RATE_LIMITED).status
    429
    """
    return _RESPONSES[kind]


def outcome_of(kind):
    """Return the outcome of a request that failed with an error kind.

    Parameters
    ----------
    kind : ErrorKind
        Any error kind.

    Returns
    -------
    str
        ``not-run``, ``unknown`` or ``failed``.
    """
    return _RESPONSES[kind].outcome
