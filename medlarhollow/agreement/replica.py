"""A control replica."""

import asyncio
import time

from .ledger import Ledger

__all__ = ["Replica"]


class Replica:
    """Agree on changes and execute them.

    Parameters
    ----------
    settings : Settings
        The settings of the process.
    channels : Channels
        Connections to the other replicas.
    """

    def __init__(self, settings, channels):
        self._settings = settings
        self._channels = channels
        self._ledger = Ledger(settings)
        self._changed = asyncio.Condition()

    @property
    def state(self):
        """FleetState : the agreed state."""
        return self._ledger.state

    @property
    def history(self):
        """History : recent accepted changes."""
        return self._ledger.history

    @property
    def is_leader(self):
        """Whether this replica leads."""
        return True

    @property
    def leader_address(self):
        """Peer address of the leader, empty if unknown."""
        return self._settings.peer.listen

    def freshness_age_s(self, now):
        """Return the age of the last proof of a quorum's authority.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        float
            Infinite if there is no proof.
        """
        return 0.0

    async def start(self):
        """Read the log and join the other replicas."""

    async def stop(self):
        """Stop the tasks of this replica."""

    async def propose(self, change):
        """Agree on a change.

        Parameters
        ----------
        change : Change
            The change with its request identifier.

        Returns
        -------
        result.Result
            ``Ok`` with an `Applied` or a failure. ``NOT_LEADER`` and
            ``NO_QUORUM`` say that the change may be sent again under the
            same request identifier.
        """
        result = self._ledger.execute(change, time.time())
        async with self._changed:
            self._changed.notify_all()
        return result

    async def wait_for_revision(self, revision, timeout_s):
        """Wait until the state has a revision above the given one.

        Returns after `timeout_s` seconds in any case.
        """
        try:
            async with asyncio.timeout(timeout_s), self._changed:
                await self._changed.wait_for(
                    lambda: self.state.revision > revision
                )
        except TimeoutError:
            return
