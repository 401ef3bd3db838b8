"""Failures as result values and as an exception."""

from result import Err

from ..messages.records import Failure

__all__ = ["FailureError", "fail"]


class FailureError(Exception):
    """Exception that propagates a failure to the handler of a request.

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
        """Failure : the kind and detail that are returned to the caller."""
        return self._failure


def fail(kind, detail, **attributes):
    """Return a failure as a result value.

    Parameters
    ----------
    kind : ErrorKind
        Kind of the error; the kinds are a closed list.
    detail : str
        One sentence that states what is wrong and what is allowed.
    **attributes
        Further attributes of the failure.

    Returns
    -------
    result.Err
        Contains the `Failure`.

    Examples
    --------
    >>> from medlarhollow.messages.records import ErrorKind
    >>> fail(ErrorKind.NOT_FOUND, "no account 'a'").err_value.detail
    "no account 'a'"
    """
    return Err(Failure(kind=kind, detail=detail, **attributes))
