"""Limits of the request heads of a connection."""

import json
import math
import socket
import struct

import httptools
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from .disconnect import count_unacknowledged_bytes
from .disconnect import has_disconnected

__all__ = ["HeadLimitProtocol"]

# SO_LINGER enabled with a timeout of 0: close() resets the connection.
_ZERO_LINGER = struct.pack("ii", 1, 0)
# Time for a caller to read the responses and close; it goes on while the
# caller receives them.
_LINGER_S = 1.0
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
        self._is_ending = False
        self._linger_timer = None
        self._finish_ending = None
        self._is_head_suspended = False
        # Whether the parser reads a head that only describes a body.
        self._is_resuming = False

    @property
    def is_ending(self):
        """Whether the connection only waits for its peer to read."""
        return self._is_ending

    def connection_made(self, transport):
        """Start the timeout of the first head."""
        super().connection_made(transport)
        self._start_head_timer()

    def connection_lost(self, exc):
        """Stop the timeouts of the head and of a close."""
        self._stop_head_timer()
        self._stop_linger_timer()
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

        A close while received data is unread, or data that arrives after it,
        resets the connection; a reset discards what the peer has not read
        (RFC 9112, section 9.6). So this sends the end of the connection,
        drops what it receives, and closes later.
        """
        if self._is_ending or self.transport.is_closing():
            return
        self.transport.write_eof()
        self._linger(self.transport.close)

    def finish_ending(self):
        """Close a connection that ends, without waiting for its peer."""
        if self._is_ending:
            self._stop_linger_timer()
            self._finish_ending()

    def has_left(self):
        """Return whether the peer has closed the connection.

        This reads the state of the socket, so that a close counts before the
        event loop has processed it.
        """
        if self.is_closed():
            return True
        connection = self.transport.get_extra_info("socket")
        return connection is not None and has_disconnected(connection)

    def is_closed(self):
        """Return whether the connection is closed or closing."""
        return self._is_ending or self.transport.is_closing()

    def reset(self):
        """Reset the connection and discard what its peer has not read."""
        connection = self.transport.get_extra_info("socket")
        if connection is not None and not self.transport.is_closing():
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _ZERO_LINGER
            )
        self.transport.abort()

    def _linger(self, finish):
        """Call a function once the peer has had time to read all data."""
        self._is_refused = self._is_ending = True
        self._stop_head_timer()
        self._finish_ending = finish
        self.flow.resume_reading()
        self._start_linger_timer(math.inf)

    def _start_linger_timer(self, unsent_bytes):
        self._linger_timer = self.loop.call_later(
            _LINGER_S, self._handle_linger_timeout, unsent_bytes
        )

    def _stop_linger_timer(self):
        if self._linger_timer is not None:
            self._linger_timer.cancel()
            self._linger_timer = None

    def _handle_linger_timeout(self, previous_bytes):
        unsent_bytes = self.transport.get_write_buffer_size()
        connection = self.transport.get_extra_info("socket")
        if connection is not None:
            unsent_bytes += count_unacknowledged_bytes(connection)
        if 0 < unsent_bytes < previous_bytes:
            self._start_linger_timer(unsent_bytes)
        else:
            self._finish_ending()

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
        self.reset()

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
