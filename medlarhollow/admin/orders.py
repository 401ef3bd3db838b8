"""Orders whose sender may have given up waiting for them.

An order that waited in a socket or on the network may be older than another
one about the same subject, which its sender sent elsewhere since and which was
acknowledged. Nothing in the order tells its age, so four things together do:

- a caller that has closed its connection has given up;
- after this process was suspended, the age of what lay in its sockets is
  unknown;
- an order that was held here for longer than senders wait is out of date;
- the order is bound to the revision that the fleet state had before these
  checks, so that it does not execute over a later one, however long the
  proposal takes.

`medlarhollow.modelcheck` explores what each of them is needed for.
"""

import asyncio

import attrs
from result import Ok

from .. import clock
from ..errors import fail
from ..messages.records import ErrorKind

__all__ = ["OrderSender", "check_sender", "wait_to_settle"]

# Time for which senders wait for a response before they turn elsewhere.
SENDER_PATIENCE_S = 1.0
# Time after the arrival of an order within which the end of its connection
# arrives as well, if both were delayed on the network: several round trips
# between regions.
SETTLE_S = 0.1


@attrs.frozen
class OrderSender:
    """Sender of an order.

    Attributes
    ----------
    received_at : float
        Monotonic time in seconds at which the order was read.
    has_left : callable
        Returns whether it has closed its connection.
    """

    received_at: float
    has_left: object = lambda: False


def check_sender(sender, resumed_at, now):
    """Return whether the sender of an order still waits for it.

    Parameters
    ----------
    sender : OrderSender
        Sender of the order.
    resumed_at : float
        Monotonic time in seconds at which this process last resumed after a
        suspension.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    result.Result
        ``Ok(None)`` or ``STALE_AUTHORITY``: the order has not run here.
    """
    if sender.has_left():
        return fail(
            ErrorKind.STALE_AUTHORITY, "the sender of the order has left"
        )
    if sender.received_at - resumed_at < SENDER_PATIENCE_S:
        return fail(
            ErrorKind.STALE_AUTHORITY,
            "this process was suspended when the order arrived",
        )
    if now - sender.received_at > SENDER_PATIENCE_S:
        return fail(
            ErrorKind.STALE_AUTHORITY,
            f"the order waited for {now - sender.received_at:.1f} s",
        )
    return Ok(None)


async def wait_to_settle(sender):
    """Wait until the end of a connection that has ended would be known."""
    left_s = sender.received_at + SETTLE_S - clock.monotonic()
    if left_s > 0:
        await asyncio.sleep(left_s)
