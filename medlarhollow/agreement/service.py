"""RPC service for votes and replication between the replicas."""

import asyncio

from grpclib.const import Status
from grpclib.exceptions import GRPCError

from ..messages.services import RaftBase
from ..storage import StorageError

__all__ = ["RaftService"]


class RaftService(RaftBase):
    """Serve the Raft requests of the other control replicas.

    Parameters
    ----------
    replica : Replica
        The replica of this process.
    """

    def __init__(self, replica):
        self._replica = replica

    async def Bootstrap(self, stream):
        """Serve a proposal of the first replica set."""
        await self._serve(stream, self._replica.handle_bootstrap_request)

    async def Vote(self, stream):
        """Serve a vote request."""
        await self._serve(stream, self._replica.handle_vote_request)

    async def Append(self, stream):
        """Serve an append request of the leader."""
        await self._serve(stream, self._replica.append_entries)

    async def InstallSnapshot(self, stream):
        """Serve one chunk of a snapshot of the leader."""
        await self._serve(stream, self._replica.install_snapshot_chunk)

    async def _serve(self, stream, handle):
        request = await stream.recv_message()
        if request is None:
            return
        cluster = self._replica.cluster
        if request.cluster != cluster:
            raise GRPCError(
                Status.FAILED_PRECONDITION,
                f"this is cluster '{cluster}', not '{request.cluster}'",
            )
        if not self._replica.is_started:
            raise GRPCError(
                Status.UNAVAILABLE, "the replica has not read its log yet"
            )
        # Continues when the caller cancels, so that memory and disk stay
        # consistent.
        task = asyncio.create_task(handle(request))
        try:
            response = await asyncio.shield(task)
        except StorageError as error:
            raise GRPCError(Status.UNAVAILABLE, str(error)) from error
        await stream.send_message(response)
