"""Failures as values and, where a task must unwind, as an exception."""

from result import Err

from ..messages.records import Failure

__all__ = ["FailureError", "fail"]


class FailureError(Exception):
    """Carry a failure out of a task that handles one request.

    Parameters
    ----------
    failure : Failure
        Kind and detail of the failure.
    """

    def __init__(self, failure):
        super().__init__(failure.detail)
        self._failure = failure

    @property
    def failure(self):
        """Failure : the kind and detail that the caller is told."""
        return self._failure


def fail(kind, detail, **more):
    """Return an error value.

    Parameters
    ----------
    kind : ErrorKind
        Kind of the error, from the closed list.
    detail : str
        One sentence that says what is wrong and what is allowed.
    **more
        Further attributes of the failure.

    Returns
    -------
    result.Err
        The failure, wrapped.

    Examples
    --------
    >>> from medlarhollow.messages.records import ErrorKind
    >>> fail(ErrorKind.NOT_FOUND, "no account 'a'").err_value.detail
    "no account 'a'"
    """
    return Err(Failure(kind=kind, detail=detail, **more))
