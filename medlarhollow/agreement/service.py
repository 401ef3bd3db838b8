"""Serve votes and replication to the other replicas."""

import asyncio

from grpclib.const import Status
from grpclib.exceptions import GRPCError

from ..messages.services import RaftBase
from ..storage import StorageError

__all__ = ["RaftService"]


class RaftService(RaftBase):
    """Answer the other control replicas.

    Parameters
    ----------
    replica : Replica
        The replica of this process.
    """

    def __init__(self, replica):
        self._replica = replica

    async def Vote(self, stream):
        """Answer a request for a vote."""
        await self._answer(stream, self._replica.take_vote_request)

    async def Append(self, stream):
        """Take log entries from the leader."""
        await self._answer(stream, self._replica.take_entries)

    async def InstallSnapshot(self, stream):
        """Take a part of a snapshot from the leader."""
        await self._answer(stream, self._replica.take_snapshot_part)

    async def _answer(self, stream, take):
        request = await stream.recv_message()
        if request is None:
            return
        own = self._replica.cluster
        if request.cluster != own:
            raise GRPCError(
                Status.FAILED_PRECONDITION,
                f"this is '{own}', not '{request.cluster}'",
            )
        if not self._replica.is_started:
            raise GRPCError(Status.UNAVAILABLE, "not ready")
        # The work goes on when the caller gives up, so that what is in
        # memory and what is on the disk stay together.
        work = asyncio.create_task(take(request))
        try:
            response = await asyncio.shield(work)
        except StorageError as error:
            raise GRPCError(Status.UNAVAILABLE, str(error)) from error
        await stream.send_message(response)
