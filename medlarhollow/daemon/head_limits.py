"""Limits of the request heads of a connection."""

import json
import socket
import struct

import httptools
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from .disconnect import has_disconnected

__all__ = ["HeadLimitProtocol"]

# SO_LINGER enabled with a timeout of 0: close() resets the connection.
_ZERO_LINGER = struct.pack("ii", 1, 0)
# Time for a refused caller to read the response and close.
_REFUSAL_LINGER_S = 1.0
_REFUSALS = {
    "too large": (b"431 Request Header Fields Too Large", "too_large"),
    "slow": (b"408 Request Timeout", "deadline_exceeded"),
    "malformed": (b"400 Bad Request", "bad_request"),
}


class HeadLimitProtocol(HttpToolsProtocol):
    """Limit the size and the duration of request heads.

    Parameters
    ----------
    limits : EntrySettings or ConnectionLimits
        Provides `header_limit_bytes` and `head_timeout_s`.
    **options
        For the base class.

    Notes
    -----
    The base class limits neither. The refusals of such heads state an outcome
    like all others; it is "not-run", because they are sent before the request
    runs.
    """

    def __init__(self, limits, **options):
        super().__init__(**options)
        self._limits = limits
        self._head_timer = None
        self._in_head = False
        self._received_head_bytes = 0
        self._parsed_head_bytes = 0
        self._fault = "malformed"
        self._is_refused = False
        self._is_head_suspended = False
        # Whether the parser reads a head that only describes a body.
        self._is_resuming = False

    def connection_made(self, transport):
        """Start the timeout of the first head."""
        super().connection_made(transport)
        self._start_head_timer()

    def connection_lost(self, exc):
        """Stop the timeout of the head."""
        self._stop_head_timer()
        super().connection_lost(exc)

    def data_received(self, data):
        """Parse data and enforce the size limit on an incomplete head."""
        started_in_head = self._in_head
        self._unset_keepalive_if_required()
        self._parse(data)
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
        if self._is_resuming:
            return
        super().on_message_begin()
        self._in_head = True
        self._received_head_bytes = self._parsed_head_bytes = 0
        if self._head_timer is None:
            self._start_head_timer()

    def on_url(self, url):
        """Count and store a part of the request target."""
        if self._is_resuming:
            return
        self._count_head_bytes(len(url))
        super().on_url(url)

    def on_header(self, name, value):
        """Count and store a header."""
        if self._is_resuming:
            return
        self._count_head_bytes(len(name) + len(value))
        super().on_header(name, value)

    def on_headers_complete(self):
        """Stop the timeout of the head."""
        if self._is_resuming:
            return
        self._check_framing()
        self._in_head = False
        self._stop_head_timer()
        super().on_headers_complete()

    def on_message_complete(self):
        """End the request unless its body is still to be read."""
        if not self.parser.should_upgrade():
            super().on_message_complete()

    def send_400_response(self, msg):
        """Refuse a head, or abort the request whose body is malformed."""
        if self._has_pending_requests() and self._is_in_body():
            # The request may be running, so no outcome stated here would be
            # reliable.
            self._abort_last()
            return
        status, kind = _REFUSALS[self._fault]
        body = json.dumps(
            {
                "error": kind,
                "outcome": "not-run",
                "detail": f"the request head is {self._fault}",
            }
        ).encode()
        self._refuse(
            b"HTTP/1.1 %b\r\ncontent-type: application/json\r\n"
            b"x-medlarhollow-outcome: not-run\r\ncontent-length: %d\r\n"
            b"connection: close\r\n\r\n%b" % (status, len(body), body)
        )

    def end_gracefully(self):
        """Close after the peer has had time to read the responses.

        Closing while received data is unread resets the connection.
        """
        self._is_refused = True
        self._stop_head_timer()
        self.transport.write_eof()
        self.loop.call_later(_REFUSAL_LINGER_S, self.transport.close)

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

    def _parse(self, data):
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.send_400_response("")
        except httptools.HttpParserUpgrade as upgrade:
            (head_bytes,) = upgrade.args
            self._read_body()
            self._parse(data[head_bytes:])

    def _read_body(self):
        """Read the body of a request that asks for an upgrade.

        The parser ends such a request at its head. This server does not
        upgrade, so the request has the body that its head declares (RFC 9110,
        section 7.8).
        """
        declared = b"".join(
            b"%b: %b\r\n" % (name, value)
            for name, value in self.scope["headers"]
            if name in (b"content-length", b"transfer-encoding")
        )
        if not self.parser.should_keep_alive():
            declared += b"connection: close\r\n"
        self.parser = httptools.HttpRequestParser(self)
        self._is_resuming = True
        self.parser.feed_data(b"POST / HTTP/1.1\r\n%b\r\n" % declared)
        self._is_resuming = False

    def _check_framing(self):
        """Raise ValueError if the end of the request is not certain."""
        if self.parser.get_method() == b"CONNECT":
            raise ValueError("CONNECT is not supported")
        for name, value in self.scope["headers"]:
            if name == b"transfer-encoding" and value.lower() != b"chunked":
                raise ValueError("the transfer encoding is not supported")

    def _has_pending_requests(self):
        return self.cycle is not None and not self.cycle.response_complete

    def _is_in_body(self):
        cycle = self.cycle
        return not self._in_head and cycle is not None and cycle.more_body

    def _abort_last(self):
        """Abort the request that is being read."""
        self.abort()

    def _refuse(self, response):
        """Send the response to a refused head and end the connection."""
        self.transport.write(response)
        self.end_gracefully()

    def _count_head_bytes(self, size):
        self._parsed_head_bytes += size
        if self._parsed_head_bytes > self._limits.header_limit_bytes:
            self._fault = "too large"
            raise ValueError("the request head is too large")

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

    def _suspend_head_timer(self):
        """Stop the timeout while this process reads nothing."""
        self._is_head_suspended |= self._head_timer is not None
        self._stop_head_timer()

    def _resume_head_timer(self):
        if self._is_head_suspended:
            self._is_head_suspended = False
            self._start_head_timer()
