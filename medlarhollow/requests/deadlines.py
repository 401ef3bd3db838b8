"""Deadlines of requests."""

import re

from result import Ok

from ..errors import fail
from ..messages.records import ErrorKind

__all__ = ["choose_timeout", "format_remaining"]

# Ten digits are 115 days, far above every allowed route timeout.
_MILLISECONDS = re.compile("[0-9]{1,10}", re.ASCII)


def choose_timeout(header, route, settings):
    """Return the timeout of a request.

    Parameters
    ----------
    header : str or None
        Value of ``X-Deadline-Ms``: remaining time in milliseconds.
    route : Route
        Its `timeout_s` is the upper limit; 0 selects the default.
    settings : Settings
        Section ``entry`` gives the default timeout.

    Returns
    -------
    result.Result
        ``Ok(seconds)``, ``BAD_REQUEST`` or, if no time is left,
        ``DEADLINE_EXCEEDED``.
    """
    limit_s = route.timeout_s or settings.entry.default_timeout_s
    if header is None:
        return Ok(limit_s)
    if not _MILLISECONDS.fullmatch(header):
        return fail(
            ErrorKind.BAD_REQUEST,
            "X-Deadline-Ms must be a whole number of milliseconds",
        )
    if not int(header):
        return fail(ErrorKind.DEADLINE_EXCEEDED, "the deadline has passed")
    return Ok(min(limit_s, int(header) / 1000))


def format_remaining(deadline_at, now):
    """Return the remaining time as a value of ``X-Deadline-Ms``.

    Parameters
    ----------
    deadline_at, now : float
        Monotonic times in seconds.

    Returns
    -------
    str
        Whole milliseconds, at least 1.
    """
    return str(max(1, int((deadline_at - now) * 1000)))
