"""Reasons for which an allocator has given no tokens to an account."""

import functools

import attrs

from ..errors import fail
from ..messages.records import ErrorKind

__all__ = ["Silent", "Starting", "UsedUp", "reject_account"]

# A bucket may have a token sooner, which then goes to a request that waits.
_MIN_RETRY_S = 0.1
# Control usually confirms a successor sooner than its wait ends.
_CONFIRMATION_S = 1.0


@attrs.frozen
class UsedUp:
    """The bucket is empty.

    Attributes
    ----------
    refilled_at : float
        Monotonic time in seconds at which it has a token again.
    """

    refilled_at: float


@attrs.frozen
class Starting:
    """The allocator waits, since its predecessor may still issue tokens.

    Attributes
    ----------
    data_centre : str
        Of the allocator.
    starts_at : float
        Monotonic time in seconds at which it starts at the latest.
    """

    data_centre: str
    starts_at: float


@attrs.frozen
class Silent:
    """The allocator has not responded.

    Attributes
    ----------
    data_centre : str
        Of the allocator.
    since : float
        Monotonic time in seconds of the first request without a response.
    """

    data_centre: str
    since: float


@functools.singledispatch
def _explain(shortage, now):
    """Return what is missing, and the seconds until it ends; 0 if unknown."""
    raise TypeError(f"not a shortage: {shortage!r}")


@_explain.register
def _(shortage: UsedUp, now):
    return "", max(_MIN_RETRY_S, shortage.refilled_at - now)


@_explain.register
def _(shortage: Starting, now):
    left_s = max(0.0, shortage.starts_at - now)
    text = f"that of {shortage.data_centre} starts within {left_s:.2f} s"
    return text, min(left_s, _CONFIRMATION_S)


@_explain.register
def _(shortage: Silent, now):
    silent_s = now - shortage.since
    text = f"that of {shortage.data_centre} is silent for {silent_s:.2f} s"
    return text, 0.0


def reject_account(account, shortages, now):
    """Return the failure of a request that got no token.

    Parameters
    ----------
    account : str
        Name of the account.
    shortages : iterable of UsedUp, Starting or Silent
        One for each allocator with a share of the account that gave none.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    result.Err
        ``TOKENS_UNAVAILABLE`` if an allocator cannot be asked for its share,
        otherwise ``RATE_LIMITED``; with the time after which to retry, if it
        is known.

    Examples
    --------
    >>> reject_account("crew", [UsedUp(2.5)], 2.0).err_value.retry_after_s
    0.5
    """
    explained = [_explain(shortage, now) for shortage in shortages]
    missing = [text for text, _ in explained if text]
    retry_after_s = min((left_s for _, left_s in explained), default=0.0)
    if not missing:
        return fail(
            ErrorKind.RATE_LIMITED,
            f"account '{account}' has used up its rate and burst",
            retry_after_s=retry_after_s,
        )
    return fail(
        ErrorKind.TOKENS_UNAVAILABLE,
        f"an allocator has no tokens of account '{account}': "
        + ", ".join(missing),
        retry_after_s=retry_after_s,
    )
