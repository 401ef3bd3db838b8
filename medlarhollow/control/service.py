"""Serve changes and status to other processes."""

from ..messages.records import ProposeResponse
from ..messages.records import ReplicaStatus
from ..messages.services import ControlBase

__all__ = ["ControlService"]


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
        result = await self._replica.propose(request.change)
        await stream.send_message(
            ProposeResponse(applied=result.ok(), failure=result.err())
        )

    async def Status(self, stream):
        """Answer the status of this replica."""
        await stream.recv_message()
        await stream.send_message(
            ReplicaStatus(revision=self._replica.state.revision)
        )

    async def SetReplicas(self, stream):
        """Add or remove one control replica."""
        await stream.recv_message()
        await stream.send_message(ProposeResponse())
