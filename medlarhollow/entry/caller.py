"""Read a request from a caller and write the response."""

import asyncio
import collections
import functools
import re
from urllib.parse import unquote

from starlette.datastructures import Headers

from ..requests import BodyRedactor

__all__ = [
    "BodyTooLargeError",
    "Caller",
    "CallerDisconnectedError",
    "ForwardedBody",
]

# Escapes of a slash and of a percent sign.
_SEGMENT_DATA = re.compile("%(2[Ff]|25)")


class BodyTooLargeError(Exception):
    """The body of the request exceeds the limit of the configuration."""


class CallerDisconnectedError(Exception):
    """The caller disconnected, or paused longer than the stall timeout."""


class Caller:
    """Stream a request from a caller and the response to it.

    Parameters
    ----------
    scope, receive, send
        Arguments of an ASGI application.
    settings : Settings
        Section ``entry`` sets the limit of buffered bytes and the stall
        timeout.
    body_limit_bytes : int
        Size limit of the body in bytes; 0 for none.

    Notes
    -----
    The task :meth:`read_ahead` buffers up to `body_keep_bytes` of the body,
    so that it detects a disconnect while the request is queued. A body of
    at most that size stays in memory and can be read again for a retry.
    """

    def __init__(self, scope, receive, send, settings, body_limit_bytes=0):
        self._scope = scope
        self._receive = receive
        self._send = send
        self._settings = settings.entry
        self._headers = Headers(scope=scope)
        self._chunks = collections.deque()
        self._first_index = 0
        self._buffered_bytes = 0
        self._body_limit_bytes = body_limit_bytes
        self._received_bytes = 0
        self._is_replayable = True
        self._complete = not self.has_body
        self._disconnected = False
        self._response_ended = False
        self._changed = asyncio.Condition()

    @property
    def method(self):
        """HTTP method."""
        return self._scope["method"]

    @property
    def path(self):
        """Percent-decoded path."""
        return self._scope["path"]

    @property
    def segment_path(self):
        """Percent-decoded path, which is matched against the routes.

        An escaped slash stays escaped, since it is part of a segment (RFC
        3986, section 2.2); so does a percent sign, so that no other path
        looks the same.
        """
        if "%" not in self.raw_path:
            return self._scope["path"]
        return unquote(_SEGMENT_DATA.sub(r"%25\1", self.raw_path))

    @property
    def raw_path(self):
        """Path as received, percent-encoded."""
        return self._scope["raw_path"].decode("latin-1")

    @property
    def query(self):
        """Query string as received, without the question mark."""
        return self._scope["query_string"].decode("latin-1")

    @property
    def headers(self):
        """Headers of the request."""
        return self._headers

    @property
    def has_body(self):
        """Whether the request has a body."""
        length = self._headers.get("content-length", "0")
        return "transfer-encoding" in self._headers or length != "0"

    @property
    def body_length(self):
        """Length of the body in bytes, or None if it is unknown.

        The length of a chunked body is known once it is buffered whole.
        """
        if "transfer-encoding" not in self._headers:
            return int(self._headers.get("content-length", "0"))
        fits = self._buffered_bytes <= self._settings.body_keep_bytes
        return self._buffered_bytes if self.is_buffered and fits else None

    @property
    def is_declared_too_large(self):
        """Whether the head declares a body above the limit."""
        declared = int(self._headers.get("content-length", "0"))
        return 0 < self._body_limit_bytes < declared

    @property
    def can_replay(self):
        """Whether the start of the body is still available."""
        return self._first_index == 0

    @property
    def is_buffered(self):
        """Whether the whole body is buffered and can be read repeatedly."""
        return (
            self._complete and self._is_replayable and self._first_index == 0
        )

    async def check_connected(self):
        """Check that the caller is still connected.

        A request and the close of its connection may arrive together, so
        the event loop processes pending socket events before the check.

        Raises
        ------
        CallerDisconnectedError
            If the connection is closed.
        """
        await asyncio.sleep(0)
        is_closed = self._scope.get("extensions", {}).get(
            "medlarhollow.is_closed"
        )
        if is_closed is not None and is_closed():
            raise CallerDisconnectedError

    async def read_ahead(self):
        """Read from the caller until it disconnects or the response ends.

        Raises
        ------
        CallerDisconnectedError
            If the caller disconnected before the response was complete.
        BodyTooLargeError
            If a body of undeclared length exceeds the limit.
        """
        while True:
            if not self._has_capacity():
                await self._wait_for_capacity_or_close()
            message = await self._receive()
            async with self._changed:
                self._apply_message(message)
                self._changed.notify_all()
            if self._response_ended:
                return
            if self._disconnected:
                raise CallerDisconnectedError

    async def wait_for_body(self):
        """Wait until the body is buffered or exceeds the buffer limit."""
        keep_bytes = self._settings.body_keep_bytes
        await self._wait_until(
            lambda: self._complete or self._buffered_bytes >= keep_bytes
        )

    async def body(self):
        """Yield the body from its start.

        Raises
        ------
        CallerDisconnectedError
            If the caller disconnected or stalled within the body.
        """
        index = 0
        while True:
            await self._wait_until(functools.partial(self._can_read, index))
            if not self._has_chunk(index):
                return
            yield self._chunks[index - self._first_index]
            index += 1
            await self._discard_read_chunks(index)

    async def start_response(self, status, headers):
        """Send the status and the headers of a backend server's response."""
        mark_forwarded = self._scope.get("extensions", {}).get(
            "medlarhollow.mark_forwarded"
        )
        if mark_forwarded is not None:
            mark_forwarded()
        await self._start(status, headers)

    async def write_body(self, chunk):
        """Send a chunk of the response body.

        Raises
        ------
        CallerDisconnectedError
            If the caller reads nothing for the stall timeout.
        """
        await self._write(
            {"type": "http.response.body", "body": chunk, "more_body": True}
        )

    async def end_response(self):
        """End the response."""
        self._response_ended = True
        await self._write({"type": "http.response.body", "body": b""})

    async def send_response(self, response):
        """Send a `CompleteResponse`."""
        await self._start(response.status, list(response.headers))
        body = b"" if self.method == "HEAD" else response.body
        self._response_ended = True
        await self._write({"type": "http.response.body", "body": body})

    def withdraw_response(self):
        """Take back an incomplete response, so that another can be sent.

        Returns
        -------
        bool
            False if a part of it may have reached the caller.
        """
        withdraw = self._scope.get("extensions", {}).get(
            "medlarhollow.withdraw"
        )
        return withdraw is not None and withdraw()

    async def abort(self):
        """Reset the connection, so that the response is seen as truncated.

        While responses to earlier requests are pending, nothing of this one
        has been sent; the connection then ends after them.

        Raises
        ------
        ConnectionAbortedError
            If the HTTP server does not provide ``medlarhollow.abort``.
        """
        extensions = self._scope.get("extensions", {})
        abort = extensions.get("medlarhollow.abort")
        if abort is None:
            raise ConnectionAbortedError("the response was truncated")
        abort()
        await extensions["medlarhollow.wait_closed"]()

    async def _start(self, status, headers):
        if not self._complete:
            # Otherwise the rest of the request body would have to be read.
            headers = [*headers, (b"connection", b"close")]
        await self._write(
            {
                "type": "http.response.start",
                "status": status,
                "headers": headers,
            }
        )

    def _has_capacity(self):
        return (
            self._complete
            or not self._chunks
            or self._buffered_bytes < self._settings.body_keep_bytes
        )

    async def _wait_for_capacity_or_close(self):
        """Wait until more can be buffered or the connection is closed."""
        wait_closed = self._scope.get("extensions", {}).get(
            "medlarhollow.wait_closed"
        )
        waits = [self._wait_for_capacity()]
        if wait_closed is not None:
            waits.append(wait_closed())
        tasks = {asyncio.create_task(wait) for wait in waits}
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()

    async def _wait_for_capacity(self):
        async with self._changed:
            await self._changed.wait_for(self._has_capacity)

    def _has_chunk(self, index):
        return index < self._first_index + len(self._chunks)

    def _can_read(self, index):
        return self._complete or self._has_chunk(index)

    def _apply_message(self, message):
        if message["type"] == "http.disconnect":
            self._disconnected = True
            return
        chunk = message.get("body", b"")
        if chunk:
            self._chunks.append(chunk)
            self._buffered_bytes += len(chunk)
            self._received_bytes += len(chunk)
            if 0 < self._body_limit_bytes < self._received_bytes:
                raise BodyTooLargeError
        self._complete = not message.get("more_body", False)

    async def _discard_read_chunks(self, index):
        async with self._changed:
            keep_bytes = self._settings.body_keep_bytes
            if self._buffered_bytes >= keep_bytes and not self._complete:
                self._is_replayable = False
            while not self._is_replayable and self._first_index < index:
                self._buffered_bytes -= len(self._chunks.popleft())
                self._first_index += 1
            self._changed.notify_all()

    async def _wait_until(self, check):
        try:
            async with (
                asyncio.timeout(self._settings.stall_timeout_s),
                self._changed,
            ):
                await self._changed.wait_for(
                    lambda: self._disconnected or check()
                )
        except TimeoutError:
            raise CallerDisconnectedError from None
        if self._disconnected and not check():
            raise CallerDisconnectedError

    async def _write(self, message):
        wait_turn = self._scope.get("extensions", {}).get(
            "medlarhollow.wait_turn"
        )
        if wait_turn is not None:
            # The caller does not stall while earlier responses are pending.
            await wait_turn()
        try:
            async with asyncio.timeout(self._settings.stall_timeout_s):
                await self._send(message)
        except TimeoutError:
            raise CallerDisconnectedError from None


class ForwardedBody:
    """Iterate over a caller's body as it is forwarded.

    Each iteration starts at the beginning of the body.

    Parameters
    ----------
    caller : Caller
        Source of the body.
    masks_keys : bool
        Whether all keys in it are redacted.
    """

    def __init__(self, caller, masks_keys):
        self._caller = caller
        self._masks_keys = masks_keys

    async def __aiter__(self):
        """Yield the chunks."""
        if not self._masks_keys:
            async for chunk in self._caller.body():
                yield chunk
            return
        redactor = BodyRedactor()
        async for chunk in self._caller.body():
            clean = redactor.feed(chunk)
            if clean:
                yield clean
        rest = redactor.finish()
        if rest:
            yield rest
