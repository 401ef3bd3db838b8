"""Stream of token requests from a VM to an allocator."""

import asyncio
import logging

import attrs
from grpclib.exceptions import GRPCError
from grpclib.exceptions import StreamTerminatedError

from .. import clock
from ..messages.records import TokenRequests
from ..messages.records import TokenResponses
from ..messages.services import FleetStub
from ..telemetry import set_activity

__all__ = ["STREAM_IDLE_S", "TokenStream", "serve_tokens"]

_LOG = logging.getLogger(__name__)
# A VM closes a stream after this time without a request. The allocator waits
# longer, so that a request never arrives on a stream that is being closed.
STREAM_IDLE_S = 20.0
_SERVER_IDLE_S = 60.0


class TokenStream:
    """Multiplex the token requests to one allocator on one stream.

    Parameters
    ----------
    settings : PeerSettings
        Gives the connect timeout.
    channels : Channels
        Connections to other processes.
    address : str
        ``host:port`` of the allocator.

    Notes
    -----
    A unary call opens and closes an HTTP/2 stream of its own, whose headers
    cost both sides more than the token request. Requests made in the same
    iteration of the event loop, or while a message is being sent, share the
    next message. Responses carry the identifier of their call, so a late or
    lost one causes no head-of-line blocking.
    """

    def __init__(self, settings, channels, address):
        self._settings = settings
        self._channels = channels
        self._address = address
        self._pending = {}
        self._outgoing = []
        self._has_outgoing = asyncio.Event()
        self._last_call_id = 0
        self._last_request_at = float("-inf")
        self._task = asyncio.create_task(self._run())

    @property
    def is_open(self):
        """Bool : whether requests may be sent; False after a failure."""
        return not self._task.done()

    def submit(self, request, now):
        """Send a request.

        Parameters
        ----------
        request : TokenRequest
            Its call identifier is assigned here.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        asyncio.Future
            Its result is the `TokenResponse`, or None if the stream ended
            before the response arrived. Cancel it to abandon the call.
        """
        self._last_request_at = now
        self._last_call_id += 1
        call_id = self._last_call_id
        future = asyncio.get_running_loop().create_future()
        future.add_done_callback(lambda _: self._pending.pop(call_id, None))
        self._pending[call_id] = future
        self._outgoing.append(attrs.evolve(request, call_id=call_id))
        self._has_outgoing.set()
        return future

    def is_idle(self, now):
        """Return whether the stream has been unused for a while."""
        return (
            not self._pending and now - self._last_request_at > STREAM_IDLE_S
        )

    def close(self):
        """Close the stream; pending calls end with None."""
        self._task.cancel()

    async def _run(self):
        set_activity("tokens")
        try:
            await self._exchange_messages()
        except (GRPCError, StreamTerminatedError, OSError) as error:
            _LOG.info(
                "limits: stream to allocator %s failed: %s",
                self._address,
                error or "timed out",
            )
        finally:
            for future in list(self._pending.values()):
                if not future.done():
                    future.set_result(None)

    async def _exchange_messages(self):
        stub = FleetStub(self._channels.get(self._address))
        async with stub.AcquireTokens.open() as stream:
            async with asyncio.timeout(self._settings.connect_timeout_s):
                await stream.send_request()
            tasks = {
                asyncio.create_task(self._send(stream)),
                asyncio.create_task(self._receive(stream)),
            }
            try:
                done, _ = await asyncio.wait(
                    tasks, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    task.result()
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)

    async def _send(self, stream):
        while True:
            await self._has_outgoing.wait()
            self._has_outgoing.clear()
            requests, self._outgoing = tuple(self._outgoing), []
            await stream.send_message(TokenRequests(requests))

    async def _receive(self, stream):
        while True:
            message = await stream.recv_message()
            if message is None:
                raise StreamTerminatedError("the allocator closed the stream")
            for response in message.responses:
                future = self._pending.get(response.call_id)
                if future is not None and not future.done():
                    future.set_result(response)


async def serve_tokens(stream, allocator, telemetry):
    """Serve the token requests of one VM until it closes the stream.

    Parameters
    ----------
    stream : grpclib.server.Stream
        Its AcquireTokens stream.
    allocator : ShareAllocator
        Issues the tokens.
    telemetry : Telemetry
        Records a span for each request with a trace context.
    """
    while True:
        try:
            async with asyncio.timeout(_SERVER_IDLE_S):
                message = await stream.recv_message()
        except TimeoutError:
            return
        if message is None:
            return
        responses = tuple(
            _respond(request, allocator, telemetry)
            for request in message.requests
        )
        await stream.send_message(TokenResponses(responses))


def _respond(request, allocator, telemetry):
    headers = {}
    if request.traceparent:
        headers["traceparent"] = request.traceparent
    with telemetry.span("allocator.tokens", headers):
        response = allocator.acquire(request, clock.monotonic())
    return attrs.evolve(response, call_id=request.call_id)
