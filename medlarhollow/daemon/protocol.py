"""HTTP connections of callers, backend servers and operators."""

import asyncio
import functools
import itertools

from .head_limits import HeadLimitProtocol
from .peer_watch import PeerWatch
from .response_pipeline import observe_status
from .response_pipeline import ResponsePipeline

__all__ = ["HttpProtocol"]

# Safe methods (RFC 9110, section 9.2.1), whose requests run concurrently with
# earlier ones, and the limit of concurrent requests per connection.
_SAFE_METHODS = frozenset({"GET", "HEAD"})
_MAX_CONCURRENT = 8
# Limit of queued requests per connection above which reading is paused.
_MAX_READ_AHEAD = 32
# Data parsed at once, after which the limits are checked.
_PARSE_STEP_BYTES = 2048
# Consecutive refusals with further requests behind them, from which on the
# requests of a connection are delayed.
_MAX_PROMPT_REFUSALS = 8
# Interval between the refusals of all connections that are delayed for them.
_REFUSAL_INTERVAL_S = 0.005
# Headers and pieces of bodies in one step, above which each takes the
# interval; data between them counts as a piece for every 16 bytes.
_MAX_PROMPT_PIECES = 64
_PIECE_INTERVAL_S = 0.00002
_PIECE_BYTES = 16
# Data that is read and dropped after a refusal.
_MAX_DROPPED_BYTES = 65536


class HttpProtocol(HeadLimitProtocol):
    """Serve pipelined requests concurrently and keep few of them.

    Parameters
    ----------
    limits : EntrySettings or ConnectionLimits
        Provides `header_limit_bytes`, `head_timeout_s`, `keep_alive_s` and
        `stall_timeout_s`.
    read_ahead : SharedReadAhead
        Counts the queued requests of all connections of the listener.
    pacer : WorkPacer
        Delays requests behind refused ones, and data in small pieces.
    **options
        For the base class.

    Notes
    -----
    The HTTP server serves pipelined requests one after the other. Here,
    requests with a safe method run concurrently, and their responses are
    buffered to keep the order. Other requests wait until all earlier ones are
    answered, because a caller resends them if the connection ends before.

    A connection is read only as far as its requests can be started, its
    responses are read and the body of its last request is taken, so that a
    peer cannot make this process keep more than a few requests.
    """

    def __init__(self, limits, read_ahead, pacer, **options):
        super().__init__(limits, **options)
        self._read_ahead = read_ahead
        self._pacer = pacer
        self._unparsed = bytearray()
        self._held_body_bytes = 0
        self._refusals = 0
        self._pieces = 0
        self._dropped_bytes = 0
        self._delay_timer = None
        self._parse_timer = None
        self._watch = PeerWatch(self, limits.stall_timeout_s)
        self._closed_event = asyncio.Event()
        self._responses = None
        self._refusal = b""
        self._has_responded = False
        self._defer_start = False

    def connection_made(self, transport):
        """Prepare the responses and the timeout of idle connections."""
        super().connection_made(transport)
        self._responses = ResponsePipeline(self)
        self.timeout_keep_alive = self._limits.keep_alive_s

    def connection_lost(self, exc):
        """Notify running requests; the HTTP server notifies only the last."""
        self._watch.stop()
        for timer in (self._delay_timer, self._parse_timer):
            if timer is not None:
                timer.cancel()
        super().connection_lost(exc)
        self._end_requests()

    def data_received(self, data):
        """Parse data as far as the limits permit."""
        if self._is_refused:
            self._dropped_bytes += len(data)
            if self._dropped_bytes > _MAX_DROPPED_BYTES:
                self.flow.pause_reading()
                self._watch.watch_disconnect()
            return
        if self.transport.is_closing():
            return
        self._unparsed += data
        self._parse_received()

    def pause_writing(self):
        """Limit the time for which the peer reads nothing."""
        super().pause_writing()
        self._watch.watch_unread()

    def resume_writing(self):
        """Continue with requests that waited for the peer to read."""
        super().resume_writing()
        self._start_waiting()
        self._parse_received()

    def timeout_keep_alive_handler(self):
        """Close an idle connection, even if its peer reads nothing."""
        self.end_gracefully()

    def on_message_begin(self):
        """Reset the byte counts and start the timeout of a new head."""
        super().on_message_begin()
        if self._is_resuming:
            return
        self.scope["extensions"] = {
            "medlarhollow.has_left": self.has_left,
            "medlarhollow.is_closed": self.is_closed,
            "medlarhollow.may_close": self.may_close,
            "medlarhollow.wait_closed": self._closed_event.wait,
        }

    def on_header(self, name, value):
        """Count and store a header."""
        self._pieces += 1
        super().on_header(name, value)

    def on_headers_complete(self):
        """Queue the request and start it if permitted."""
        if self._is_resuming:
            return
        self._dropped_bytes = 0
        self._defer_start = True
        try:
            super().on_headers_complete()
        finally:
            self._defer_start = False
        self._add_response()

    def on_body(self, body):
        """Count and store a piece of a body."""
        self._pieces += 1
        super().on_body(body)

    def on_response_complete(self):
        """Do nothing; `_finish_response` replaces the base method."""

    def shutdown(self):
        """Close the connection after the pending responses."""
        if not len(self._responses):
            if self._has_responded:
                self.end_gracefully()
            else:
                self.transport.close()
            return
        last = self._responses.last
        if last.is_done:
            last.close()
        else:
            last.cycle.keep_alive = False

    def end_gracefully(self):
        """Close after the peer has had time to read the responses."""
        super().end_gracefully()
        self._end_requests()
        self._watch.watch_unread()

    def abort(self):
        """End the connection, so that no response appears complete.

        A reset discards the earlier responses that the peer has not read.
        Where only a reset shows that a response is incomplete, it follows
        once the peer has had time to read them.
        """
        if self.is_ending:
            return
        if not self._has_responded:
            self.reset()
        elif self._responses.shows_truncation:
            self.end_gracefully()
        else:
            self._linger(self.reset)
            self._end_requests()

    def may_close(self):
        """Return whether no request after the first one is running.

        A response that closes the connection would abort those.
        """
        return sum(response.is_started for response in self._responses) <= 1

    def resume_reading(self):
        """Continue to read the connection where its limits permit."""
        self._parse_received()

    def _end_requests(self):
        """Notify running requests; the HTTP server notifies only the last."""
        self._closed_event.set()
        self._unparsed.clear()
        self._read_ahead.waiting -= len(self.pipeline)
        self._read_ahead.body_bytes -= self._held_body_bytes
        self._held_body_bytes = 0
        self.pipeline.clear()
        for response in self._responses:
            if not response.cycle.response_complete:
                response.cycle.disconnected = True
                response.cycle.message_event.set()
            response.wake()

    def _parse_received(self):
        """Parse what was received and read on, both as far as permitted."""
        if self.transport.is_closing() or self._is_refused:
            self._unparsed.clear()
            return
        self._count_held_body()
        while self._unparsed and self._may_parse():
            data = bytes(self._unparsed[:_PARSE_STEP_BYTES])
            del self._unparsed[:_PARSE_STEP_BYTES]
            self._pieces = 0
            started_in_head = self._in_head
            super().data_received(data)
            if not started_in_head and not self._pieces:
                self._pieces = len(data) // _PIECE_BYTES
            self._drop_body(len(data))
            self._count_held_body()
            self._delay_after_pieces()
            if self._is_refused or self.transport.is_closing():
                self._unparsed.clear()
                return
        if self._may_parse():
            self._resume_head_timer()
            self.flow.resume_reading()
            return
        self._suspend_head_timer()
        self.flow.pause_reading()
        self._watch.watch_disconnect()

    def _count_held_body(self):
        """Count what this connection holds of bodies that nobody took."""
        held = sum(len(response.cycle.body) for response in self._responses)
        self._read_ahead.body_bytes += held - self._held_body_bytes
        self._held_body_bytes = held

    def _may_parse(self):
        if self._parse_timer is not None:
            return False
        if not self._read_ahead.may_hold_body(self._held_body_bytes):
            return False
        if self.cycle is not None and self.cycle.more_body:
            return True
        if self.flow.write_paused:
            return False
        if not self.pipeline:
            return True
        return (
            len(self.pipeline) < _MAX_READ_AHEAD
            and not self._read_ahead.is_exhausted
        )

    def _has_pending_requests(self):
        return bool(len(self._responses))

    def _abort_last(self):
        """Abort the last request after the responses to earlier ones."""
        last = self._responses.last
        self._stop_reading()
        if last.is_done:
            last.close()
            return
        last.abort()
        last.cycle.disconnected = True
        last.cycle.message_event.set()

    def _refuse(self, response):
        """Refuse a head after the responses to earlier requests."""
        if not len(self._responses):
            self._has_responded = True
            super()._refuse(response)
            return
        self._refusal = response
        self._stop_reading()

    def _stop_reading(self):
        """Take no further requests from the connection."""
        self._is_refused = True
        self._stop_head_timer()

    def _add_response(self):
        """Queue the response of a request and start it if permitted."""
        cycle = self.cycle
        response = self._responses.add(cycle)
        cycle.transport = cycle.flow = response
        cycle.on_response = functools.partial(self._finish_response, response)
        cycle.scope["extensions"].update(
            {
                "medlarhollow.abort": response.abort,
                "medlarhollow.mark_forwarded": response.mark_forwarded,
                "medlarhollow.wait_turn": response.wait_turn,
                "medlarhollow.withdraw": response.withdraw,
            }
        )
        self._read_ahead.waiting += 1
        self._start_waiting()

    def _start_waiting(self):
        """Start the waiting requests that may start now."""
        if self.is_ending:
            return
        for response in list(self._responses):
            if response.is_started:
                continue
            if response.is_aborted:
                return
            if self._delay_timer is not None or self.flow.write_paused:
                return
            if not self._responses.is_first(response) and not self._may_start(
                response
            ):
                return
            self._start_next(response)

    def _may_start(self, response):
        return (
            self._refusals < _MAX_PROMPT_REFUSALS
            and response.cycle.scope["method"] in _SAFE_METHODS
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
        self._read_ahead.waiting -= 1
        cycle, app = self.pipeline.pop()
        self._start_asgi_task(cycle, observe_status(app, response))

    def _finish_response(self, response):
        self.server_state.total_requests += 1
        self._has_responded = True
        self._responses.finish(response)
        if self.is_closed():
            self._watch.watch_unread()
            return
        self._unset_keepalive_if_required()
        self._delay_after_refusal(response)
        self._start_waiting()
        self._parse_received()
        if len(self._responses):
            return
        if self._refusal:
            self._refuse(self._refusal)
        else:
            self.timeout_keep_alive_task = self.loop.call_later(
                self.timeout_keep_alive, self.timeout_keep_alive_handler
            )

    def _delay_after_refusal(self, response):
        """Delay further requests if one after the other is refused."""
        if not response.is_refusal:
            self._refusals = 0
        elif self.pipeline or self._unparsed:
            self._refusals += 1
        if self._refusals >= _MAX_PROMPT_REFUSALS and not self._delay_timer:
            self._delay_timer = self.loop.call_later(
                self._pacer.reserve(_REFUSAL_INTERVAL_S, self.loop.time()),
                self._end_delay,
            )

    def _delay_after_pieces(self):
        """Delay data whose pieces cost more than their bytes."""
        if self._pieces > _MAX_PROMPT_PIECES and not self.is_closed():
            interval_s = self._pieces * _PIECE_INTERVAL_S
            self._parse_timer = self.loop.call_later(
                self._pacer.reserve(interval_s, self.loop.time()),
                self._end_parse_delay,
            )

    def _drop_body(self, size):
        """Close a connection whose body goes on after the response."""
        cycle = self.cycle
        if (
            cycle is None
            or not (cycle.response_complete and cycle.more_body)
            or self._in_head
            or len(self._responses)
        ):
            return
        self._dropped_bytes += size
        if self._dropped_bytes > _MAX_DROPPED_BYTES and not self._is_refused:
            self.end_gracefully()

    def _end_parse_delay(self):
        self._parse_timer = None
        self._parse_received()

    def _end_delay(self):
        self._delay_timer = None
        self._start_waiting()
        self._parse_received()
