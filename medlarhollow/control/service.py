"""gRPC service of a control replica."""

from grpclib.const import Status
from grpclib.exceptions import GRPCError

from .. import clock
from ..messages.records import ProposeResponse
from ..messages.services import ControlBase

__all__ = ["ControlService"]

# Timeout of a leadership check: several round trips between regions.
_CONFIRM_TIMEOUT_S = 0.5


class ControlService(ControlBase):
    """Handle change proposals and status requests of other processes.

    Parameters
    ----------
    replica : Replica
        The replica of this process.
    """

    def __init__(self, replica):
        self._replica = replica

    async def Propose(self, stream):
        """Propose one change to the quorum and return the outcome."""
        request = await stream.recv_message()
        if request is None:
            return
        result = await self._replica.propose(request.change, request.forwarded)
        await stream.send_message(
            ProposeResponse(applied=result.ok(), failure=result.err())
        )

    async def Status(self, stream):
        """Return the status of this replica."""
        request = await stream.recv_message()
        if request is None:
            return
        if request.confirmed and not await self._replica.confirm_leadership(
            _CONFIRM_TIMEOUT_S
        ):
            raise GRPCError(
                Status.UNAVAILABLE, "leadership was not confirmed by a quorum"
            )
        await stream.send_message(self._replica.status(clock.monotonic()))

    async def SetReplicas(self, stream):
        """Add or remove one control replica, or change its address."""
        request = await stream.recv_message()
        if request is None:
            return
        result = await self._replica.set_replicas(request)
        await stream.send_message(
            ProposeResponse(applied=result.ok(), failure=result.err())
        )
