"""Connections of callers and backend servers to the front doors."""

import asyncio
import functools
import itertools
import json
import socket
import struct

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from .disconnect import has_disconnected
from .response_pipeline import Turns

__all__ = ["HttpProtocol"]

# On, with no time to linger: close() then resets the connection.
_RESET_AT_CLOSE = struct.pack("ii", 1, 0)
# Methods of requests that run beside those before them (RFC 9110, section
# 9.2.1), and how many of one connection do at most.
_SAFE_METHODS = frozenset({"GET", "HEAD"})
_SIDE_BY_SIDE = 8
# Requests of one connection that are read while those before them run.
_READ_AHEAD = 32
# Time between looks at a connection that is not read for a close.
_CLOSE_CHECK_S = 0.1
# Time for a refused caller to read the refusal and close.
_LINGER_S = 1.0
_REFUSALS = {
    "too large": (b"431 Request Header Fields Too Large", "too_large"),
    "slow": (b"408 Request Timeout", "deadline_exceeded"),
    "malformed": (b"400 Bad Request", "bad_request"),
}


class HttpProtocol(HttpToolsProtocol):
    """Bound request heads, and serve pipelined requests side by side.

    Parameters
    ----------
    limits : EntrySettings or ConnectionLimits
        Gives `header_limit_bytes`, `head_timeout_s` and `keep_alive_s`.
    **options
        For the base class.

    Notes
    -----
    The base class limits neither size nor duration of a head. Refusals made
    here name their outcome like all others; they are made before a request is
    run.

    The base class serves pipelined requests one after the other. Here those
    with a safe method run side by side, and their answers are held back until
    their turn; others wait until all before them are answered, since a caller
    sends them again if the connection ends before.
    """

    def __init__(self, limits, **options):
        super().__init__(**options)
        self._limits = limits
        self._head_timer = None
        self._close_timer = None
        self._closed = asyncio.Event()
        self._in_head = False
        self._head_bytes = 0
        self._parsed_bytes = 0
        self._turns = None
        self._defers = False
        self._fault = "malformed"
        self._refused = False

    def connection_made(self, transport):
        """Start to wait for the first head."""
        super().connection_made(transport)
        self._turns = Turns(transport)
        self.timeout_keep_alive = self._limits.keep_alive_s
        self._start_head_timer()

    def connection_lost(self, exc):
        """Tell the running requests; the base class tells the last one."""
        self._stop_head_timer()
        if self._close_timer is not None:
            self._close_timer.cancel()
        self._closed.set()
        super().connection_lost(exc)
        for turn in self._turns:
            if not turn.cycle.response_complete:
                turn.cycle.disconnected = True
                turn.cycle.message_event.set()

    def data_received(self, data):
        """Parse data and bound a head that is not complete yet."""
        if self._refused or self.transport.is_closing():
            return
        started_in_head = self._in_head
        super().data_received(data)
        if self.flow.read_paused and self._close_timer is None:
            self._start_close_timer()
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
        self.scope["extensions"] = {
            "medlarhollow.abort": self.abort,
            "medlarhollow.is_closed": self.is_closed,
            "medlarhollow.may_close": self.may_close,
            "medlarhollow.wait_closed": self._closed.wait,
        }
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
        self._defers = True
        super().on_headers_complete()
        self._defers = False
        self._add_turn()

    def on_response_complete(self):
        """Do nothing: the end of a turn takes the place of this."""

    def shutdown(self):
        """Close the connection after the answers that are due."""
        if not len(self._turns):
            self.transport.close()
            return
        last = self._turns.last
        if last.is_done:
            last.close()
        else:
            last.cycle.keep_alive = False

    def may_close(self):
        """Return whether no request behind the first one is running.

        An answer that closes the connection would cut those.
        """
        return sum(turn.is_started for turn in self._turns) <= 1

    def is_closed(self):
        """Return whether the caller has closed the connection, or is cut."""
        return self.transport.is_closing()

    def send_400_response(self, msg):
        """Refuse a head, or abort in the middle of a request."""
        if len(self._turns):
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

    def _add_turn(self):
        """Give the request whose head ended its turn, and start it if safe."""
        cycle = self.cycle
        turn = self._turns.add(cycle)
        cycle.transport = turn
        cycle.on_response = functools.partial(self._end_turn, turn)
        if len(self._turns) == 1 or self._may_start(turn):
            self._start_next(turn)
        elif len(self.pipeline) < _READ_AHEAD:
            # The base class stops to read behind a request that waits.
            self.flow.resume_reading()

    def _may_start(self, turn):
        return (
            turn.cycle.scope["method"] in _SAFE_METHODS
            and len(self._turns) <= _SIDE_BY_SIDE
            and all(other.is_started for other in self._turns_before(turn))
        )

    def _turns_before(self, turn):
        return itertools.takewhile(
            lambda other: other is not turn, self._turns
        )

    def _start_asgi_task(self, cycle, app):
        if self._defers:
            # Whether it may start depends on all requests before it.
            self.pipeline.appendleft((cycle, app))
        else:
            super()._start_asgi_task(cycle, app)

    def _start_next(self, turn):
        turn.is_started = True
        cycle, app = self.pipeline.pop()
        self._start_asgi_task(cycle, app)
        if not self.pipeline:
            self.flow.resume_reading()

    def _end_turn(self, turn):
        self.server_state.total_requests += 1
        self._turns.finish(turn)
        if self.transport.is_closing():
            return
        self._unset_keepalive_if_required()
        for waiting in list(self._turns):
            if waiting.is_started:
                continue
            if not self._turns.is_first(waiting) and not self._may_start(
                waiting
            ):
                break
            self._start_next(waiting)
        self.flow.resume_reading()
        if not len(self._turns):
            self.timeout_keep_alive_task = self.loop.call_later(
                self.timeout_keep_alive, self.timeout_keep_alive_handler
            )

    def _count(self, size):
        self._parsed_bytes += size
        if self._parsed_bytes > self._limits.header_limit_bytes:
            self._fault = "too large"
            raise ValueError("the request head is too large")

    def _start_close_timer(self):
        self._close_timer = self.loop.call_later(
            _CLOSE_CHECK_S, self._check_close
        )

    def _check_close(self):
        """End a connection that is not read and that its caller closed."""
        self._close_timer = None
        if self.transport.is_closing() or not self.flow.read_paused:
            return
        if has_disconnected(self.transport.get_extra_info("socket")):
            self.transport.abort()
        else:
            self._start_close_timer()

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
