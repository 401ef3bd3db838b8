"""Idempotency keys: version 7 UUIDs, which contain their creation time."""

import re

import attrs
from result import Ok

from ..errors import fail
from ..messages.records import ErrorKind

__all__ = [
    "IdempotencyKey",
    "accepted_key_times",
    "check_age",
    "parse_idempotency_key",
]

# RFC 9562: version 7 in the 13th hexadecimal digit, variant 10 in the 17th.
_VERSION_7 = re.compile(
    "[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}"
)
_TIME_DIGITS = 12
# Tolerance for callers whose clock is ahead of the control leader's.
_MAX_FUTURE_S = 300.0
# Maximum clock difference between successive leaders. With a larger one, a key
# whose record expired under one leader could be claimed again under the next.
_MAX_MARGIN_S = 3600.0
_MARGIN_FRACTION = 0.1


@attrs.frozen
class IdempotencyKey:
    """A well-formed idempotency key.

    Attributes
    ----------
    text : str
        Canonical form, lower case.
    time_s : float
        Unix time in seconds at which the caller created the key.
    """

    text: str
    time_s: float


def parse_idempotency_key(text):
    """Parse the value of an ``Idempotency-Key`` header.

    Parameters
    ----------
    text : str
        A version 7 UUID, with or without double quotes.

    Returns
    -------
    result.Result
        ``Ok(IdempotencyKey)`` or ``BAD_REQUEST``.

    Examples
    --------
    >>> parse_idempotency_key("not a UUID").is_err()
    True
    """
    canonical = text.strip().strip('"').lower()
    if not _VERSION_7.fullmatch(canonical):
        return fail(
            ErrorKind.BAD_REQUEST,
            "Idempotency-Key must be a UUID of version 7, because its "
            "timestamp gives the age of the request",
        )
    milliseconds = int(canonical.replace("-", "")[:_TIME_DIGITS], 16)
    return Ok(IdempotencyKey(canonical, milliseconds / 1000))


def accepted_key_times(now, retention_s):
    """Return the range of key times that are accepted.

    Parameters
    ----------
    now : float
        Unix time in seconds.
    retention_s : float
        Retention of claims in seconds.

    Returns
    -------
    tuple of (float, float)
        Oldest and newest accepted time of a key.

    Notes
    -----
    A claim is retained at least until its key's time plus the retention. The
    oldest accepted key is younger than the retention by a margin (a tenth of
    the retention, at most an hour), so a key whose claim may have expired is
    never accepted.
    """
    margin_s = min(_MAX_MARGIN_S, _MARGIN_FRACTION * retention_s)
    return now - retention_s + margin_s, now + _MAX_FUTURE_S


def check_age(key, now, retention_s):
    """Check that an earlier claim on a key would still be stored.

    Parameters
    ----------
    key : IdempotencyKey
        The key.
    now : float
        Unix time in seconds.
    retention_s : float
        Retention of claims in seconds.

    Returns
    -------
    result.Result
        ``Ok(key)`` or ``BAD_REQUEST``.
    """
    oldest, newest = accepted_key_times(now, retention_s)
    if key.time_s < oldest:
        return fail(
            ErrorKind.BAD_REQUEST,
            f"the Idempotency-Key is {now - key.time_s:.0f} s old; at most "
            f"{now - oldest:.0f} s are allowed",
        )
    if key.time_s > newest:
        return fail(
            ErrorKind.BAD_REQUEST,
            f"the Idempotency-Key is {key.time_s - now:.0f} s in the "
            f"future; at most {newest - now:.0f} s are allowed",
        )
    return Ok(key)
