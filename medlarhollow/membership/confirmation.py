"""Confirmation by other VMs of what this VM has shared with them."""

import asyncio
import contextlib

import attrs

__all__ = ["ConfirmationTracker", "StreamProgress"]

# All VMs have this long to confirm: a round trip between regions, and a lost
# packet that is sent again.
_ALL_LIMIT_S = 0.45
# After it, enough of them do. Backend servers wait a second for an
# acknowledgement.
_ENOUGH_LIMIT_S = 0.75


@attrs.define(eq=False)
class StreamProgress:
    """Progress of one stream to another VM.

    Attributes
    ----------
    wake_event : asyncio.Event
        Set to send an update before the next interval.
    name : str
        The other VM; empty until it is known.
    sent : int
        Sequence number of the last update sent.
    received : int
        Sequence number of the last update received.
    confirmed : int
        Last update that the other VM confirmed.
    urgent : asyncio.Event
        Set while one of the two VMs waits for a confirmation.
    """

    wake_event: asyncio.Event = attrs.field(factory=asyncio.Event)
    name: str = ""
    sent: int = 0
    received: int = 0
    confirmed: int = 0
    urgent: asyncio.Event = attrs.field(factory=asyncio.Event)

    def record(self, update):
        """Record a received update."""
        self.name = update.vm.name
        self.received = update.sequence
        self.confirmed = max(self.confirmed, update.confirmed)
        if update.wants_confirmation:
            self.wake()

    def wake(self):
        """Send an update at once."""
        self.urgent.set()
        self.wake_event.set()


class ConfirmationTracker:
    """Wait until other VMs have received the present state of this VM."""

    def __init__(self):
        self._streams = set()
        self._waiting = 0
        self._changed = asyncio.Event()

    @property
    def is_waiting(self):
        """Whether updates should ask for a prompt confirmation."""
        return self._waiting > 0

    def open(self):
        """Return the `StreamProgress` of a new stream."""
        progress = StreamProgress()
        self._streams.add(progress)
        return progress

    def close(self, progress):
        """Remove a stream that has ended."""
        self._streams.discard(progress)

    def record(self, progress, update):
        """Record an update that was received on a stream.

        Parameters
        ----------
        progress : StreamProgress
            The stream.
        update : ExchangeUpdate
            The update, completed with the record of its sender.
        """
        progress.record(update)
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait(self, names, needed):
        """Wait until VMs have confirmed an update that is built from now on.

        Parameters
        ----------
        names : frozenset of str
            VMs that should confirm.
        needed : int
            Number of them that suffices if the others are late.

        Returns
        -------
        bool
            Whether at least `needed` have confirmed, after 0.75 s at most.
        """
        # A stream that opens later starts with a complete update.
        targets = {stream: stream.sent + 1 for stream in self._streams}
        self._waiting += 1
        for stream in self._streams:
            if stream.name in names:
                stream.wake()
        try:
            if await self._wait_for(names, len(names), targets, _ALL_LIMIT_S):
                return True
            left_s = _ENOUGH_LIMIT_S - _ALL_LIMIT_S
            return await self._wait_for(names, needed, targets, left_s)
        finally:
            self._waiting -= 1

    async def _wait_for(self, names, count, targets, limit_s):
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                while len(self._list_confirmed(names, targets)) < count:
                    await self._changed.wait()
        return len(self._list_confirmed(names, targets)) >= count

    def _list_confirmed(self, names, targets):
        return {
            stream.name
            for stream in self._streams
            if stream.name in names
            and stream.confirmed >= targets.get(stream, 1)
        }
