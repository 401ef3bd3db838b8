"""Validate the names of records."""

import re

from result import Ok

from ..errors import fail
from ..messages.records import ErrorKind

__all__ = ["check_name"]

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")


def check_name(kind, name):
    """Check the name of a record.

    Parameters
    ----------
    kind : str
        Kind of the record, used in the error message.
    name : str
        The name.

    Returns
    -------
    result.Result
        ``Ok(name)`` or ``BAD_REQUEST``.

    Examples
    --------
    >>> check_name("account", "north bank").is_err()
    True
    """
    if _NAME.fullmatch(name):
        return Ok(name)
    return fail(
        ErrorKind.BAD_REQUEST,
        f"{kind} name '{name}': 1 to 63 letters, digits, '.', '_' or '-' "
        "are allowed, the first a letter or digit",
    )
