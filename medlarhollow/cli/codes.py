"""Stable exit codes for scripts."""

import enum

from ..messages.records import ErrorKind

__all__ = ["ExitCode", "exit_code_of"]


class ExitCode(enum.IntEnum):
    """Exit codes of the operator tool.

    The command-line library also exits with 1 for invalid usage.
    """

    DONE = 0
    USAGE = 1
    BAD_SETTINGS = 2
    NOT_FOUND = 3
    CONFLICT = 4
    REFUSED = 5
    NOT_ALLOWED = 6
    UNAVAILABLE = 7
    OUTCOME_UNKNOWN = 8
    ROLLED_BACK = 9
    OVERDUE = 10


_CODES = {
    ErrorKind.BAD_REQUEST: ExitCode.REFUSED,
    ErrorKind.TOO_LARGE: ExitCode.REFUSED,
    ErrorKind.KEY_REUSED: ExitCode.REFUSED,
    ErrorKind.NOT_FOUND: ExitCode.NOT_FOUND,
    ErrorKind.CONFLICT: ExitCode.CONFLICT,
    ErrorKind.UNAUTHENTICATED: ExitCode.NOT_ALLOWED,
    ErrorKind.FORBIDDEN: ExitCode.NOT_ALLOWED,
    ErrorKind.WRONG_CLUSTER: ExitCode.NOT_ALLOWED,
    ErrorKind.OUTCOME_UNKNOWN: ExitCode.OUTCOME_UNKNOWN,
}


def exit_code_of(failure):
    """Return the exit code of a failure.

    Parameters
    ----------
    failure : Failure
        Failure; its kind determines the code.

    Returns
    -------
    ExitCode
        ``UNAVAILABLE`` for kinds for which a later retry may succeed.
    """
    return _CODES.get(failure.kind, ExitCode.UNAVAILABLE)
