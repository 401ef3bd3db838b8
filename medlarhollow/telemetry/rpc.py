"""Tracing and byte counting of RPCs between processes."""

from grpclib.events import listen
from grpclib.events import RecvRequest

from ..messages import RecordCodec
from ..messages.records import SyncRequest
from ..messages.records import SyncResponse

__all__ = ["CountingCodec", "trace_server"]

# Span names of RPCs that are part of a caller's request, unlike Sync and Raft.
_TRACED_CALLS = {
    "/medlarhollow.peer.Control/Propose": "control.propose",
    "/medlarhollow.peer.Fleet/AcquireCredit": "grantor.credit",
}
_SYNC_TYPES = (SyncRequest, SyncResponse)


class CountingCodec(RecordCodec):
    """Codec that counts the bytes of Sync messages.

    Parameters
    ----------
    telemetry : Telemetry
        Accumulates the counts.
    """

    def __init__(self, telemetry):
        self._telemetry = telemetry

    def encode(self, message, message_type):
        """Encode a record."""
        data = super().encode(message, message_type)
        if message_type in _SYNC_TYPES:
            self._telemetry.count_sync_bytes(len(data), "sent")
        return data

    def decode(self, data, message_type):
        """Decode a record of `message_type`."""
        if message_type in _SYNC_TYPES:
            self._telemetry.count_sync_bytes(len(data), "received")
        return super().decode(data, message_type)


def trace_server(server, telemetry):
    """Trace the RPCs to a server that are part of a caller's request.

    Parameters
    ----------
    server : grpclib.server.Server
        Server that has not been started.
    telemetry : Telemetry
        Records the spans.
    """

    async def trace(event):
        name = _TRACED_CALLS.get(event.method_name)
        if name is None:
            return
        serve, headers = event.method_func, dict(event.metadata)

        async def serve_traced(stream):
            with telemetry.span(name, headers):
                await serve(stream)

        event.method_func = serve_traced

    listen(server, RecvRequest, trace)
