"""HTTP connections of callers, backend servers and operators."""

import asyncio
import functools
import itertools
import json
import socket
import struct

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from .disconnect import has_disconnected
from .response_pipeline import ResponsePipeline

__all__ = ["HttpProtocol"]

# SO_LINGER enabled with a timeout of 0: close() resets the connection.
_ZERO_LINGER = struct.pack("ii", 1, 0)
# Safe methods (RFC 9110, section 9.2.1), whose requests run concurrently with
# earlier ones, and the limit of concurrent requests per connection.
_SAFE_METHODS = frozenset({"GET", "HEAD"})
_MAX_CONCURRENT = 8
# Limit of queued requests per connection above which reading is paused.
_MAX_READ_AHEAD = 32
# Time between disconnect checks of a connection whose reading is paused.
_DISCONNECT_CHECK_S = 0.1
# Time for a refused caller to read the response and close.
_REFUSAL_LINGER_S = 1.0
_REFUSALS = {
    "too large": (b"431 Request Header Fields Too Large", "too_large"),
    "slow": (b"408 Request Timeout", "deadline_exceeded"),
    "malformed": (b"400 Bad Request", "bad_request"),
}


class HttpProtocol(HttpToolsProtocol):
    """Limit request heads and serve pipelined requests concurrently.

    Parameters
    ----------
    limits : EntrySettings or ConnectionLimits
        Provides `header_limit_bytes`, `head_timeout_s` and `keep_alive_s`.
    **options
        For the base class.

    Notes
    -----
    The base class limits neither the size nor the duration of a head. The
    refusals of such heads state an outcome like all others; it is "not-run",
    because they are sent before the request runs.

    The base class serves pipelined requests one after the other. Here,
    requests with a safe method run concurrently, and their responses are
    buffered to keep the order. Other requests wait until all earlier ones are
    answered, because a caller resends them if the connection ends before.
    """

    def __init__(self, limits, **options):
        super().__init__(**options)
        self._limits = limits
        self._head_timer = None
        self._disconnect_timer = None
        self._closed_event = asyncio.Event()
        self._in_head = False
        self._received_head_bytes = 0
        self._parsed_head_bytes = 0
        self._responses = None
        self._defer_start = False
        self._fault = "malformed"
        self._is_refused = False

    def connection_made(self, transport):
        """Start the timeout of the first head."""
        super().connection_made(transport)
        self._responses = ResponsePipeline(transport)
        self.timeout_keep_alive = self._limits.keep_alive_s
        self._start_head_timer()

    def connection_lost(self, exc):
        """Notify running requests; the base class notifies only the last."""
        self._stop_head_timer()
        if self._disconnect_timer is not None:
            self._disconnect_timer.cancel()
        self._closed_event.set()
        super().connection_lost(exc)
        for response in self._responses:
            if not response.cycle.response_complete:
                response.cycle.disconnected = True
                response.cycle.message_event.set()

    def data_received(self, data):
        """Parse data and enforce the size limit on an incomplete head."""
        if self._is_refused or self.transport.is_closing():
            return
        started_in_head = self._in_head
        super().data_received(data)
        if self.flow.read_paused and self._disconnect_timer is None:
            self._start_disconnect_timer()
        if not (started_in_head and self._in_head):
            return
        self._received_head_bytes += len(data)
        if (
            self._received_head_bytes > self._limits.header_limit_bytes
            and not self._is_refused
        ):
            self._fault = "too large"
            self.send_400_response("")

    def on_message_begin(self):
        """Reset the byte counts and start the timeout of a new head."""
        super().on_message_begin()
        self.scope["extensions"] = {
            "medlarhollow.abort": self.abort,
            "medlarhollow.has_left": self.has_left,
            "medlarhollow.is_closed": self.is_closed,
            "medlarhollow.may_close": self.may_close,
            "medlarhollow.wait_closed": self._closed_event.wait,
        }
        self._in_head = True
        self._received_head_bytes = self._parsed_head_bytes = 0
        if self._head_timer is None:
            self._start_head_timer()

    def on_url(self, url):
        """Count and store a part of the request target."""
        self._count_head_bytes(len(url))
        super().on_url(url)

    def on_header(self, name, value):
        """Count and store a header."""
        self._count_head_bytes(len(name) + len(value))
        super().on_header(name, value)

    def on_headers_complete(self):
        """Queue the request and start it if permitted."""
        self._in_head = False
        self._stop_head_timer()
        self._defer_start = True
        super().on_headers_complete()
        self._defer_start = False
        self._add_response()

    def on_response_complete(self):
        """Do nothing; `_finish_response` replaces the base method."""

    def shutdown(self):
        """Close the connection after the pending responses."""
        if not len(self._responses):
            self.transport.close()
            return
        last = self._responses.last
        if last.is_done:
            last.close()
        else:
            last.cycle.keep_alive = False

    def may_close(self):
        """Return whether no request after the first one is running.

        A response that closes the connection would abort those.
        """
        return sum(response.is_started for response in self._responses) <= 1

    def has_left(self):
        """Return whether the peer has closed the connection.

        This reads the state of the socket, so that a close counts before the
        event loop has processed it.
        """
        if self.transport.is_closing():
            return True
        connection = self.transport.get_extra_info("socket")
        return connection is not None and has_disconnected(connection)

    def is_closed(self):
        """Return whether the connection is closed or closing."""
        return self.transport.is_closing()

    def send_400_response(self, msg):
        """Refuse a head, or abort if requests are pending."""
        if len(self._responses):
            # The request may be running, so no outcome stated here would be
            # reliable.
            self.abort()
            return
        status, kind = _REFUSALS[self._fault]
        body = json.dumps(
            {
                "error": kind,
                "outcome": "not-run",
                "detail": f"the request head is {self._fault}",
            }
        ).encode()
        self.transport.write(
            b"HTTP/1.1 %b\r\ncontent-type: application/json\r\n"
            b"x-medlarhollow-outcome: not-run\r\ncontent-length: %d\r\n"
            b"connection: close\r\n\r\n%b" % (status, len(body), body)
        )
        # Closing while received data is unread would reset the connection
        # before the caller has read the refusal.
        self._is_refused = True
        self._stop_head_timer()
        self.transport.write_eof()
        self.loop.call_later(_REFUSAL_LINGER_S, self.transport.close)

    def abort(self):
        """Reset the connection, so that no response appears complete.

        A regular close marks the end of a complete response to HTTP/1.0.
        """
        connection = self.transport.get_extra_info("socket")
        if connection is not None and not self.transport.is_closing():
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _ZERO_LINGER
            )
        self.transport.abort()

    def _add_response(self):
        """Queue the response of a request and start it if permitted."""
        cycle = self.cycle
        response = self._responses.add(cycle)
        cycle.transport = response
        cycle.on_response = functools.partial(self._finish_response, response)
        if len(self._responses) == 1 or self._may_start(response):
            self._start_next(response)
        elif len(self.pipeline) < _MAX_READ_AHEAD:
            # The base class pauses reading while a request is queued.
            self.flow.resume_reading()

    def _may_start(self, response):
        return (
            response.cycle.scope["method"] in _SAFE_METHODS
            and len(self._responses) <= _MAX_CONCURRENT
            and all(
                earlier.is_started
                for earlier in self._responses_before(response)
            )
        )

    def _responses_before(self, response):
        return itertools.takewhile(
            lambda earlier: earlier is not response, self._responses
        )

    def _start_asgi_task(self, cycle, app):
        if self._defer_start:
            # Whether it may start depends on all earlier requests.
            self.pipeline.appendleft((cycle, app))
        else:
            super()._start_asgi_task(cycle, app)

    def _start_next(self, response):
        response.is_started = True
        cycle, app = self.pipeline.pop()
        self._start_asgi_task(cycle, app)
        if not self.pipeline:
            self.flow.resume_reading()

    def _finish_response(self, response):
        self.server_state.total_requests += 1
        self._responses.finish(response)
        if self.transport.is_closing():
            return
        self._unset_keepalive_if_required()
        for waiting in list(self._responses):
            if waiting.is_started:
                continue
            if not self._responses.is_first(waiting) and not self._may_start(
                waiting
            ):
                break
            self._start_next(waiting)
        self.flow.resume_reading()
        if not len(self._responses):
            self.timeout_keep_alive_task = self.loop.call_later(
                self.timeout_keep_alive, self.timeout_keep_alive_handler
            )

    def _count_head_bytes(self, size):
        self._parsed_head_bytes += size
        if self._parsed_head_bytes > self._limits.header_limit_bytes:
            self._fault = "too large"
            raise ValueError("the request head is too large")

    def _start_disconnect_timer(self):
        self._disconnect_timer = self.loop.call_later(
            _DISCONNECT_CHECK_S, self._check_disconnect
        )

    def _check_disconnect(self):
        """Abort a connection closed by the caller while reading is paused."""
        self._disconnect_timer = None
        if self.transport.is_closing() or not self.flow.read_paused:
            return
        if has_disconnected(self.transport.get_extra_info("socket")):
            self.transport.abort()
        else:
            self._start_disconnect_timer()

    def _start_head_timer(self):
        self._head_timer = self.loop.call_later(
            self._limits.head_timeout_s, self._handle_head_timeout
        )

    def _stop_head_timer(self):
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _handle_head_timeout(self):
        self._head_timer = None
        if self._is_refused or self.transport.is_closing():
            return
        if self._in_head:
            self._fault = "slow"
            self.send_400_response("")
        else:
            self.transport.close()
