"""Requests of one client account that wait for tokens on an entry VM."""

import asyncio
import collections

import attrs

from .leased_tokens import LeasedTokens
from .shortage import Silent
from .shortage import Starting
from .shortage import UsedUp

__all__ = ["AccountQueue", "Waiter"]


@attrs.frozen
class Waiter:
    """Waiting request; its future is True if it received a token."""

    future: asyncio.Future
    enqueued_at: float


@attrs.define
class AccountQueue:
    """Waiting requests and leased tokens of one account.

    Attributes
    ----------
    tokens : LeasedTokens
        Batches that are leased.
    waiters : collections.deque of Waiter
        In the order in which they receive tokens.
    fetch_task : asyncio.Task or None
        Requests tokens for them.
    late_response : asyncio.Event
        Set when a response arrived after its call had timed out.
    remote_call_at : float
        Monotonic time in seconds of the last calls to remote data centres.
    exhausted_until : float
        Monotonic time in seconds until which no allocator has tokens.
    shortages : dict
        Why the allocator of a data centre gave no tokens when last asked.
    arrivals, rejections : int
        Requests since the last demand sample.
    """

    tokens: LeasedTokens
    waiters: collections.deque = attrs.field(factory=collections.deque)
    fetch_task: object = None
    late_response: asyncio.Event = attrs.field(factory=asyncio.Event)
    remote_call_at: float = float("-inf")
    exhausted_until: float = float("-inf")
    shortages: dict = attrs.field(factory=dict)
    arrivals: int = 0
    rejections: int = 0

    def record_shortage(self, data_centre, response, now):
        """Record why an allocator gave no tokens, or that it gave some.

        Parameters
        ----------
        data_centre : str
            Of the allocator.
        response : TokenResponse or None
            None if it did not respond.
        now : float
            Monotonic time in seconds.
        """
        if response is None:
            known = self.shortages.get(data_centre)
            if not isinstance(known, Silent):
                self.shortages[data_centre] = Silent(data_centre, now)
        elif response.is_starting:
            starts_at = now + response.wait_s
            self.shortages[data_centre] = Starting(data_centre, starts_at)
        elif response.tokens:
            self.shortages.pop(data_centre, None)
        else:
            self.shortages[data_centre] = UsedUp(now + response.wait_s)
