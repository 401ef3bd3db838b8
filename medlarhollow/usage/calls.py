"""Calls to the receiver of usage reports, independent of their encoding."""

import enum

import attrs

from ..messages.records import UsageWindow

__all__ = ["SendUsage", "UsageResponse"]


class UsageResponse(enum.Enum):
    """Result of a call; the values are labels of metrics."""

    ACCEPTED = "accepted"
    # The token is lower than one that the receiver has already seen.
    FENCED = "fenced"
    THROTTLED = "throttled"
    # Any other response, or none; the call may still be executed later.
    FAILED = "failed"


@attrs.frozen
class SendUsage:
    """A call with the report of one window.

    Attributes
    ----------
    holder : str
        Name of the VM that sends it.
    token : int
        Fencing token of the holder.
    window : UsageWindow
        The committed counts.
    """

    holder: str
    token: int
    window: UsageWindow
