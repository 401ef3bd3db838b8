"""Table from error kind to HTTP response."""

import attrs

from ..messages.records import ErrorKind

__all__ = ["Response", "outcome_of", "response_of"]


@attrs.frozen
class Response:
    """HTTP response of an error kind.

    Attributes
    ----------
    status : int
        HTTP status.
    outcome : str
        ``not-run``: the request certainly did not run; ``unknown``: it may
        have run; ``failed``: a backend server was reached and failed.
    may_pass : bool
        Whether the same request may succeed some time later.
    """

    status: int
    outcome: str
    may_pass: bool = False


_RESPONSES = {
    ErrorKind.NONE: Response(500, "unknown"),
    ErrorKind.BAD_REQUEST: Response(400, "not-run"),
    ErrorKind.NOT_FOUND: Response(404, "not-run"),
    ErrorKind.UNAUTHENTICATED: Response(401, "not-run"),
    ErrorKind.FORBIDDEN: Response(403, "not-run"),
    ErrorKind.CONFLICT: Response(409, "not-run"),
    ErrorKind.RATE_LIMITED: Response(429, "not-run", True),
    ErrorKind.OVERLOADED: Response(503, "not-run", True),
    ErrorKind.NO_BACKEND: Response(503, "not-run", True),
    ErrorKind.DEADLINE_EXCEEDED: Response(504, "not-run"),
    ErrorKind.STALE_AUTHORITY: Response(503, "not-run", True),
    ErrorKind.NOT_LEADER: Response(503, "not-run", True),
    ErrorKind.NO_QUORUM: Response(503, "not-run", True),
    ErrorKind.OUTCOME_UNKNOWN: Response(502, "unknown"),
    ErrorKind.KEY_REUSED: Response(422, "not-run"),
    ErrorKind.DRAINING: Response(503, "not-run", True),
    ErrorKind.BACKEND_FAILED: Response(502, "failed"),
    ErrorKind.STORAGE_DAMAGED: Response(500, "not-run"),
    ErrorKind.WRONG_CLUSTER: Response(403, "not-run"),
    ErrorKind.TOO_LARGE: Response(413, "not-run"),
}


def response_of(kind):
    """Return the HTTP response of an error kind.

    Parameters
    ----------
    kind : ErrorKind
        Any kind of the closed list.

    Returns
    -------
    Response
        Status, outcome and whether to come again.

    Examples
    --------
    >>> response_of(ErrorKind.RATE_LIMITED).status
    429
    """
    return _RESPONSES[kind]


def outcome_of(kind):
    """Return what an error kind says of the request.

    Parameters
    ----------
    kind : ErrorKind
        Any kind of the closed list.

    Returns
    -------
    str
        ``not-run``, ``unknown`` or ``failed``.
    """
    return _RESPONSES[kind].outcome
