"""Serve changes and status to other processes."""

import time

from grpclib.const import Status
from grpclib.exceptions import GRPCError

from ..messages.records import ProposeResponse
from ..messages.services import ControlBase

__all__ = ["ControlService"]

# Limit for the proof of leadership, several round trips between regions.
_CONFIRM_S = 0.5


class ControlService(ControlBase):
    """Take changes from entry VMs and other replicas.

    Parameters
    ----------
    replica : Replica
        The replica of this process.
    """

    def __init__(self, replica):
        self._replica = replica

    async def Propose(self, stream):
        """Agree on one change and answer what became of it."""
        request = await stream.recv_message()
        if request is None:
            return
        result = await self._replica.propose(request.change, request.forwarded)
        await stream.send_message(
            ProposeResponse(applied=result.ok(), failure=result.err())
        )

    async def Status(self, stream):
        """Answer the status of this replica."""
        request = await stream.recv_message()
        if request is None:
            return
        if request.confirmed and not await self._replica.confirm_leadership(
            _CONFIRM_S
        ):
            raise GRPCError(Status.UNAVAILABLE, "no quorum follows")
        await stream.send_message(self._replica.status(time.monotonic()))

    async def SetReplicas(self, stream):
        """Add, move or remove one control replica."""
        request = await stream.recv_message()
        if request is None:
            return
        result = await self._replica.set_replicas(request)
        await stream.send_message(
            ProposeResponse(applied=result.ok(), failure=result.err())
        )
