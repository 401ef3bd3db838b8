"""Connections to backend servers that may send more than their response."""

import functools

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import HttpProcessingError

from .framing_limits import FramingLimitError
from .response_boundary import ResponseBoundary

__all__ = ["ResponseConnector"]

# Bytes of one connection that are parsed before other connections and timers
# get their turn. Parsing takes time for each chunk, which can be as short as
# six bytes, so there are fewer bytes in a turn if they have many lines.
_TURN_BYTES = 16384
_TURN_LINES = 512
# Part of the time that all connections may spend on parsing responses without
# a length, since their framing can be as long as their sender likes.
_FRAMING_SHARE = 0.5
# Time by which they may run ahead of that share: what takes less needs no
# pause, which the event loop would round up to a millisecond.
_FRAMING_AHEAD_S = 0.01


class ResponseConnector(aiohttp.TCPConnector):
    """Open connections that end a response where its framing says.

    aiohttp parses all bytes of a read at once and discards a complete
    response if bytes after it are no response. Bytes after a response are
    discarded here instead, and the connection is not used again.

    A connection on which framing without end arrives is reset: it never fills
    the buffer of a body, so nothing else would stop reading.

    Parameters
    ----------
    pacer : WorkPacer
        Spreads the parsing of all connections that share it.
    **options
        For the base class.
    """

    def __init__(self, pacer, **options):
        super().__init__(**options)
        self._factory = functools.partial(
            _BoundedResponseHandler, loop=self._loop, pacer=pacer
        )


class _BoundedResponseHandler(ResponseHandler):
    def __init__(self, loop, pacer):
        super().__init__(loop)
        self._pacer = pacer
        # Event loop time before which no more of a response is parsed.
        self._next_turn_at = 0.0
        self._boundary = None
        self._is_head_read = False
        # Received bytes that wait for their turn.
        self._backlog = b""
        self._is_turn_scheduled = False
        # Whether the connection has ended behind the backlog, and its error.
        self._has_ended = False
        self._end_error = None

    @property
    def should_close(self):
        """Whether the connection cannot serve another request."""
        return bool(self._backlog) or super().should_close

    def set_response_params(self, **options):
        """Expect the response to a new request."""
        self._boundary = ResponseBoundary(not options.get("skip_payload"))
        self._is_head_read = False
        super().set_response_params(**options)

    async def read(self):
        """Return the head of the response."""
        message = await super().read()
        self._is_head_read = message[0].code >= 200
        return message

    def data_received(self, data):
        """Pass on the bytes of the response, a part in each turn."""
        if self._boundary is None or not data:
            super().data_received(data)
        elif (
            self._backlog
            or self._turn_size(data) < len(data)
            or self._loop.time() < self._next_turn_at
        ):
            self._backlog += data
            self._pause_transport_reading()
            self._schedule_turn()
        else:
            self._receive(data)

    def resume_reading(self, resume_parser=True):
        """Continue once the body has room again."""
        super().resume_reading(resume_parser)
        self._schedule_turn()

    def connection_lost(self, exc):
        """End the response after what was received before."""
        if self._backlog and self.transport is not None:
            self._has_ended = True
            self._end_error = exc
            self._schedule_turn()
        else:
            self._backlog = b""
            super().connection_lost(exc)

    def close(self):
        """Close the connection; what was received is of no use any more."""
        self._backlog = b""
        super().close()
        self._finish_end()

    def _resume_transport_reading(self):
        if not self._backlog:
            super()._resume_transport_reading()

    def _turn_size(self, data):
        """Return how many bytes of the data to parse in one turn."""
        if self._boundary.is_length_known:
            return _TURN_BYTES
        lines = data.count(b"\n", 0, _TURN_BYTES)
        if lines <= _TURN_LINES:
            return _TURN_BYTES
        return _TURN_BYTES * _TURN_LINES // lines

    def _schedule_turn(self):
        if self._backlog and not self._is_turn_scheduled:
            self._is_turn_scheduled = True
            pause_s = max(0.0, self._next_turn_at - self._loop.time())
            self._loop.call_later(pause_s, self._take_turn)

    def _take_turn(self):
        self._is_turn_scheduled = False
        if not self._backlog or self._reading_paused:
            return
        size = self._turn_size(self._backlog)
        data, self._backlog = self._backlog[:size], self._backlog[size:]
        self._receive(data)
        if self._backlog:
            self._schedule_turn()
        elif self._has_ended:
            self._finish_end()
        elif not (self._reading_paused or self._buffer_paused):
            self._resume_transport_reading()

    def _finish_end(self):
        if self._has_ended:
            self._has_ended = False
            super().connection_lost(self._end_error)

    def _receive(self, data):
        started_at = self._loop.time()
        try:
            own = self._boundary.count_own(data)
        except FramingLimitError as error:
            self._fail(error)
            return
        if own:
            super().data_received(data[:own])
        if not self._boundary.is_length_known:
            now = self._loop.time()
            interval_s = (now - started_at) / _FRAMING_SHARE
            delay_s = self._pacer.reserve(interval_s, now)
            self._next_turn_at = now + delay_s - _FRAMING_AHEAD_S
        if own == len(data):
            return
        self._backlog = b""
        self.force_close()
        if self._is_head_read:
            # The response is complete, so nothing is lost by closing.
            self.close()

    def _fail(self, error):
        """Reset the connection and fail the response or its body."""
        self._backlog = b""
        if self.transport is not None:
            self.transport.abort()
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(str(error)))
        self.set_exception(HttpProcessingError(message=str(error)))
