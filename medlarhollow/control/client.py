"""Propose changes from a VM that is not a control replica."""

import asyncio
import time

from grpclib.exceptions import GRPCError
from grpclib.exceptions import StreamTerminatedError
from result import Err
from result import Ok

from ..errors import fail
from ..messages.records import ErrorKind
from ..messages.records import ProposeRequest
from ..messages.services import ControlStub
from ..transport import call

__all__ = ["ControlClient"]

# After each replica was tried once, an election needs some time.
_ROUND_S = 0.1


class ControlClient:
    """Find the leader among the control replicas and propose to it.

    Parameters
    ----------
    settings : Settings
        Sections ``control`` and ``peer`` are read.
    channels : Channels
        Connections to the control replicas.
    """

    def __init__(self, settings, channels):
        self._settings = settings
        self._channels = channels
        self._leader_hint = ""

    @property
    def leader_hint(self):
        """Address of the replica that is asked first, empty for none."""
        return self._leader_hint

    async def propose(self, change, deadline_at):
        """Propose a change.

        Parameters
        ----------
        change : Change
            It must carry a request identifier, or be a claim, since it may
            be sent twice.
        deadline_at : float
            Monotonic time in seconds.

        Returns
        -------
        result.Result
            ``Ok`` with an `Applied`, the failure with which the change was
            rejected, or ``NO_QUORUM`` if no replica answered in time; after
            ``NO_QUORUM`` the change may or may not have been accepted.
        """
        request = ProposeRequest(change=change)
        last = "no control replica answered in time"
        while time.monotonic() < deadline_at:
            for address in self._order():
                left_s = deadline_at - time.monotonic()
                if left_s <= 0:
                    break
                result = await self._ask(address, request, left_s)
                if result is None:
                    continue
                if not _is_passing(result):
                    return result
                last = result.err_value.detail
            left_s = deadline_at - time.monotonic()
            await asyncio.sleep(max(0.0, min(_ROUND_S, left_s)))
        return fail(ErrorKind.NO_QUORUM, last)

    def _order(self):
        """Return the addresses in the order in which they are tried."""
        known = [self._leader_hint] if self._leader_hint else []
        return list(dict.fromkeys([*known, *self._settings.control.replicas]))

    async def _ask(self, address, request, left_s):
        """Return what a replica answered, or None if it did not."""
        stub = ControlStub(self._channels.get(address))
        # A replica that went silent must not use up the whole deadline.
        limit_s = min(left_s, self._settings.peer.silence_timeout_s)
        try:
            response = await call(stub.Propose, request, limit_s)
        except (GRPCError, StreamTerminatedError, OSError, TimeoutError):
            self._channels.drop(address)
            if self._leader_hint == address:
                self._leader_hint = ""
            return None
        failure = response.failure
        if failure is None:
            self._leader_hint = address
            return Ok(response.applied)
        if failure.kind is ErrorKind.NOT_LEADER and failure.leader:
            self._leader_hint = failure.leader
        elif _is_passing(Err(failure)) and self._leader_hint == address:
            self._leader_hint = ""
        return Err(failure)


def _is_passing(result):
    """Return whether another replica or a later time may do better."""
    passing = (ErrorKind.NOT_LEADER, ErrorKind.NO_QUORUM)
    return result.is_err() and result.err_value.kind in passing
