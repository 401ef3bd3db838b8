"""Connections of callers and backend servers to the front doors."""

import json
import socket
import struct

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

__all__ = ["FrontDoorProtocol"]

# On, with no time to linger: close() then resets the connection.
_RESET_AT_CLOSE = struct.pack("ii", 1, 0)
# Time for a refused caller to read the refusal and close.
_LINGER_S = 1.0
_REFUSALS = {
    "too large": (b"431 Request Header Fields Too Large", "too_large"),
    "slow": (b"408 Request Timeout", "deadline_exceeded"),
    "malformed": (b"400 Bad Request", "bad_request"),
}


class FrontDoorProtocol(HttpToolsProtocol):
    """Bound the size and the duration of request heads.

    Parameters
    ----------
    limits : EntrySettings
        Gives `header_limit_bytes` and `head_timeout_s`.
    **options
        For the base class.

    Notes
    -----
    The base class limits neither. Refusals made here name their outcome
    like all others; they are made before a request is run.
    """

    def __init__(self, limits, **options):
        super().__init__(**options)
        self._limits = limits
        self._head_timer = None
        self._in_head = False
        self._head_bytes = 0
        self._parsed_bytes = 0
        self._running = None
        self._fault = "malformed"
        self._refused = False

    def connection_made(self, transport):
        """Start to wait for the first head."""
        super().connection_made(transport)
        self._start_head_timer()

    def connection_lost(self, exc):
        """Tell the running request; the base class tells the last one."""
        self._stop_head_timer()
        super().connection_lost(exc)
        running = self._running
        if running is not None and not running.response_complete:
            running.disconnected = True
            running.message_event.set()

    def data_received(self, data):
        """Parse data and bound a head that is not complete yet."""
        if self._refused or self.transport.is_closing():
            return
        started_in_head = self._in_head
        super().data_received(data)
        if not (started_in_head and self._in_head):
            return
        self._head_bytes += len(data)
        if (
            self._head_bytes > self._limits.header_limit_bytes
            and not self._refused
        ):
            self._fault = "too large"
            self.send_400_response("")

    def on_message_begin(self):
        """Start a head."""
        super().on_message_begin()
        self.scope["extensions"] = {"medlarhollow.abort": self.abort}
        self._in_head = True
        self._head_bytes = self._parsed_bytes = 0
        if self._head_timer is None:
            self._start_head_timer()

    def on_url(self, url):
        """Take a part of the request target."""
        self._count(len(url))
        super().on_url(url)

    def on_header(self, name, value):
        """Take a header."""
        self._count(len(name) + len(value))
        super().on_header(name, value)

    def on_headers_complete(self):
        """End a head."""
        self._in_head = False
        self._stop_head_timer()
        super().on_headers_complete()

    def send_400_response(self, msg):
        """Refuse a head, or abort in the middle of a request."""
        cycle = self.cycle
        if cycle is not None and not cycle.response_complete:
            # The request may be running, so no answer here would be true.
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
        # A close with data still unread would reset the connection before
        # the caller has read the refusal.
        self._refused = True
        self._stop_head_timer()
        self.transport.write_eof()
        self.loop.call_later(_LINGER_S, self.transport.close)

    def abort(self):
        """Reset the connection, so that an answer cannot seem whole.

        A plain close would end an answer to HTTP/1.0 as if complete.
        """
        connection = self.transport.get_extra_info("socket")
        if connection is not None and not self.transport.is_closing():
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_AT_CLOSE
            )
        self.transport.abort()

    def _start_asgi_task(self, cycle, app):
        self._running = cycle
        super()._start_asgi_task(cycle, app)

    def _count(self, size):
        self._parsed_bytes += size
        if self._parsed_bytes > self._limits.header_limit_bytes:
            self._fault = "too large"
            raise ValueError("the request head is too large")

    def _start_head_timer(self):
        self._head_timer = self.loop.call_later(
            self._limits.head_timeout_s, self._refuse_slow_head
        )

    def _stop_head_timer(self):
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _refuse_slow_head(self):
        self._head_timer = None
        if self._refused or self.transport.is_closing():
            return
        if self._in_head:
            self._fault = "slow"
            self.send_400_response("")
        else:
            self.transport.close()
