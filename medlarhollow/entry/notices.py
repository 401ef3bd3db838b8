"""What a backend server tells of itself besides its answer."""

import logging
import math
import re

import attrs

__all__ = ["ServerNotice", "read_notice"]

_LOG = logging.getLogger(__name__)
_UNAVAILABLE = 503
_LEAVING = "1"
_SECONDS = re.compile(r"[0-9]+(?:\.[0-9]*)?|\.[0-9]+", re.ASCII)
# Pause for a value that cannot be read, and the longest that is kept to.
_DEFAULT_PAUSE_S = 1.0
_MAX_PAUSE_S = 600.0


@attrs.frozen
class ServerNotice:
    """Notice in the head of a response.

    Attributes
    ----------
    is_leaving : bool
        Whether the server is leaving.
    pause_s : float
        Time in seconds for which it wants no requests from this VM.
    """

    is_leaving: bool = False
    pause_s: float = 0.0


def read_notice(address, status, headers, dialect):
    """Read the notice in the head of a response.

    Parameters
    ----------
    address : str
        Address of the server, for the log.
    status : int
        HTTP status.
    headers : Mapping
        Headers by case-insensitive name.
    dialect : Dialect
        Names the headers.

    Returns
    -------
    ServerNotice
        With a pause of a second if its length cannot be read.
    """
    is_leaving = bool(dialect.leaving) and (
        headers.get(dialect.leaving, "").strip() == _LEAVING
    )
    pause_s = 0.0
    if dialect.pause and status == _UNAVAILABLE and dialect.pause in headers:
        pause_s = _read_pause(address, headers[dialect.pause].strip())
    return ServerNotice(is_leaving, pause_s)


def _read_pause(address, text):
    if _SECONDS.fullmatch(text) and math.isfinite(float(text)):
        pause_s = float(text)
        if pause_s <= _MAX_PAUSE_S:
            return pause_s
        accepted_s = _MAX_PAUSE_S
    else:
        accepted_s = _DEFAULT_PAUSE_S
    _LOG.warning(
        "entry: %s asked for a pause of %.40r s; it gets %g s",
        address,
        text,
        accepted_s,
    )
    return accepted_s
