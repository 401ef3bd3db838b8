"""Pipelined responses of one connection, kept in request order."""

import asyncio
import collections

__all__ = ["PipelinedResponse", "ResponsePipeline", "observe_status"]

# Bytes of responses that wait for earlier ones, above which no more of them
# are accepted.
_BUFFER_LIMIT_BYTES = 65536


class PipelinedResponse:
    """Transport and flow control of one response.

    The response is buffered until it is first in line.

    Parameters
    ----------
    pipeline : ResponsePipeline
        Pipeline of the connection.
    cycle : uvicorn.protocols.http.httptools_impl.RequestResponseCycle
        Writes the response.
    """

    def __init__(self, pipeline, cycle):
        self._pipeline = pipeline
        self._buffer = []
        self._must_close = False
        self._turn = asyncio.Event()
        self.cycle = cycle
        self.is_started = False
        self.is_done = False
        self.is_aborted = False
        self.status = 0
        self._is_forwarded = False

    @property
    def is_refusal(self):
        """Whether this process refused the request."""
        return not self._is_forwarded and (
            400 <= self.status < 500 or self.status == 503
        )

    @property
    def shows_truncation(self):
        """Whether a regular close shows that the response is incomplete.

        To HTTP/1.0, it marks the end of a response without a length.
        """
        cycle = self.cycle
        return (
            not cycle.response_started
            or cycle.chunked_encoding is False
            or cycle.scope["http_version"] != "1.0"
        )

    @property
    def write_paused(self):
        """Whether the writer has to wait in :meth:`drain`."""
        if self._pipeline.is_first(self):
            return self._pipeline.flow.write_paused
        return self._pipeline.is_full and not self._turn.is_set()

    def mark_forwarded(self):
        """Note that the response is one of a backend server."""
        self._is_forwarded = True

    def write(self, data):
        """Write data, or buffer it while earlier responses are pending."""
        if self._pipeline.connection.is_ending:
            return
        if self._pipeline.is_first(self):
            self._pipeline.transport.write(data)
        else:
            self._buffer.append(data)
            self._pipeline.buffered_bytes += len(data)

    async def drain(self):
        """Wait until more may be written or the connection has ended."""
        await self.wait_turn()
        await self._pipeline.flow.drain()

    async def wait_turn(self):
        """Wait for earlier responses, unless the buffer has space."""
        if not self._pipeline.is_first(self) and self._pipeline.is_full:
            await self._turn.wait()

    def resume_reading(self):
        """Continue to read the connection where its limits permit."""
        self._pipeline.connection.resume_reading()

    def close(self):
        """Close the connection after this response."""
        if self._pipeline.is_first(self):
            self._pipeline.connection.end_gracefully()
        else:
            self._must_close = True

    def withdraw(self):
        """Take back the response, so that another one can be sent.

        Returns
        -------
        bool
            False if a part of it may have reached the peer.
        """
        if self._pipeline.is_first(self):
            return not self.cycle.response_started
        self._clear_buffer()
        self.status = 0
        self._is_forwarded = False
        self.cycle.response_started = False
        self.cycle.chunked_encoding = None
        self.cycle.expected_content_length = 0
        return True

    def abort(self):
        """End the connection instead of this response.

        Earlier responses are sent first; the peer then sees the end of the
        connection where this response would start or go on.
        """
        if self._pipeline.is_first(self):
            self._pipeline.connection.abort()
        else:
            self._clear_buffer()
            self.is_aborted = True

    def is_closing(self):
        """Return whether the connection is closed or closing."""
        return self._pipeline.connection.is_closed()

    def flush(self):
        """Write the buffered data after the response has become first."""
        if self.is_aborted:
            self._pipeline.connection.end_gracefully()
            return
        data = self._clear_buffer()
        if data:
            self.write(data)
        if self._must_close:
            self._pipeline.connection.end_gracefully()
        self.wake()

    def wake(self):
        """End the waits for earlier responses."""
        self._turn.set()

    def _clear_buffer(self):
        data = b"".join(self._buffer)
        self._buffer.clear()
        self._pipeline.buffered_bytes -= len(data)
        return data


class ResponsePipeline:
    """Pending responses of one connection, in the order of the requests.

    Parameters
    ----------
    connection : HttpProtocol
        The connection, whose transport and flow control are used.
    """

    def __init__(self, connection):
        self.connection = connection
        self.transport = connection.transport
        self.flow = connection.flow
        self.buffered_bytes = 0
        self._pending = collections.deque()

    def __len__(self):
        return len(self._pending)

    def __iter__(self):
        return iter(self._pending)

    @property
    def shows_truncation(self):
        """Whether a regular close makes no incomplete response look whole."""
        return not self._pending or self._pending[0].shows_truncation

    @property
    def last(self):
        """PipelinedResponse : response to the most recent request."""
        return self._pending[-1]

    @property
    def is_full(self):
        """Whether responses that wait for earlier ones fill the buffer."""
        return self.buffered_bytes >= _BUFFER_LIMIT_BYTES

    def add(self, cycle):
        """Append the response of a new request and return it."""
        response = PipelinedResponse(self, cycle)
        self._pending.append(response)
        return response

    def is_first(self, response):
        """Return whether a response may be written now."""
        return bool(self._pending) and self._pending[0] is response

    def finish(self, response):
        """Mark a response as complete and flush those that follow it."""
        response.is_done = True
        while self._pending and self._pending[0].is_done:
            self._pending.popleft()
            if self._pending:
                self._pending[0].flush()


def observe_status(app, response):
    """Return an application whose status is kept with its response."""

    async def observe(scope, receive, send):
        async def send_and_observe(message):
            if message["type"] == "http.response.start":
                response.status = message["status"]
            await send(message)

        await app(scope, receive, send_and_observe)

    return observe
