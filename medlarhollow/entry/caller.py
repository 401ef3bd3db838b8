"""The caller's side of one request."""

import asyncio
import collections
import functools

from starlette.datastructures import Headers

from ..requests import BodyRedactor

__all__ = ["Caller", "CallerDisconnectedError", "RedactedBody"]


class CallerDisconnectedError(Exception):
    """The caller disconnected or stalled."""


class Caller:
    """Read a caller's request and write the answer, both streamed.

    Parameters
    ----------
    scope, receive, send
        Of the ASGI interface.
    settings : Settings
        Section ``entry`` bounds what is held in memory and how long a
        caller may pause.

    Notes
    -----
    The task :meth:`watch` reads ahead of the body by `body_keep_bytes`, so
    that it notices a disconnect while the request waits. A body of at most
    that size stays in memory and can be read again for a retry.
    """

    def __init__(self, scope, receive, send, settings):
        self._scope = scope
        self._receive = receive
        self._send = send
        self._settings = settings.entry
        self._headers = Headers(scope=scope)
        self._chunks = collections.deque()
        self._first = 0
        self._buffered_bytes = 0
        self._kept = True
        self._complete = not self.has_body
        self._gone = False
        self._ended = False
        self._changed = asyncio.Condition()

    @property
    def method(self):
        """HTTP method."""
        return self._scope["method"]

    @property
    def path(self):
        """Decoded path, by which the route is found."""
        return self._scope["path"]

    @property
    def raw_path(self):
        """Path as it was sent."""
        return self._scope["raw_path"].decode("latin-1")

    @property
    def query(self):
        """Query as it was sent, without the question mark."""
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
        """Length of the body in bytes, or None if it is not known.

        The length of a chunked body is known if it was read into memory.
        """
        if "transfer-encoding" not in self._headers:
            return int(self._headers.get("content-length", "0"))
        held = self._buffered_bytes <= self._settings.body_keep_bytes
        return self._buffered_bytes if self.is_buffered and held else None

    @property
    def can_replay(self):
        """Whether the body can be read from its start."""
        return self._first == 0

    @property
    def is_buffered(self):
        """Whether the whole body is in memory, to be read repeatedly."""
        return self._complete and self._kept and self._first == 0

    async def check_connected(self):
        """Check that the caller has not left.

        A request and the close behind it may arrive together, so the event
        loop looks at its connections once before the check.

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

    async def watch(self):
        """Read from the caller until it disconnects or is answered.

        Raises
        ------
        CallerDisconnectedError
            If the caller left before the answer was complete.
        """
        while True:
            if not self._has_room():
                await self._wait_for_room()
            message = await self._receive()
            async with self._changed:
                self._take(message)
                self._changed.notify_all()
            if self._ended:
                return
            if self._gone:
                raise CallerDisconnectedError

    async def wait_for_body(self):
        """Wait until the body is in memory or too large for it."""
        keep_bytes = self._settings.body_keep_bytes
        await self._wait(
            lambda: self._complete or self._buffered_bytes >= keep_bytes
        )

    async def body(self):
        """Yield the body from its start.

        Raises
        ------
        CallerDisconnectedError
            If the caller left or stalled before the end of the body.
        """
        place = 0
        while True:
            await self._wait(functools.partial(self._can_read, place))
            if not self._has_chunk(place):
                return
            yield self._chunks[place - self._first]
            place += 1
            await self._drop_read(place)

    async def start(self, status, headers):
        """Write the head of the answer."""
        if not self._complete:
            # The rest of the body would be read for nothing.
            headers = [*headers, (b"connection", b"close")]
        await self._write(
            {
                "type": "http.response.start",
                "status": status,
                "headers": headers,
            }
        )

    async def write(self, chunk):
        """Write a part of the answer's body.

        Raises
        ------
        CallerDisconnectedError
            If the caller takes nothing for the stall limit.
        """
        await self._write(
            {"type": "http.response.body", "body": chunk, "more_body": True}
        )

    async def end(self):
        """End the answer."""
        self._ended = True
        await self._write({"type": "http.response.body", "body": b""})

    async def answer(self, answer):
        """Write a whole `CompleteResponse`."""
        await self.start(answer.status, list(answer.headers))
        body = b"" if self.method == "HEAD" else answer.body
        self._ended = True
        await self._write({"type": "http.response.body", "body": body})

    async def abort(self):
        """Abort the connection, so that a cut answer cannot seem whole."""
        abort = self._scope.get("extensions", {}).get("medlarhollow.abort")
        if abort is None:
            raise ConnectionAbortedError("the answer was cut")
        abort()
        while (await self._receive())["type"] != "http.disconnect":
            pass

    def _has_room(self):
        return (
            self._complete
            or not self._chunks
            or self._buffered_bytes < self._settings.body_keep_bytes
        )

    async def _wait_for_room(self):
        """Wait until more can be read, or the connection is closed."""
        wait_closed = self._scope.get("extensions", {}).get(
            "medlarhollow.wait_closed"
        )
        waits = [self._wait_until_room()]
        if wait_closed is not None:
            waits.append(wait_closed())
        tasks = {asyncio.create_task(wait) for wait in waits}
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()

    async def _wait_until_room(self):
        async with self._changed:
            await self._changed.wait_for(self._has_room)

    def _has_chunk(self, place):
        return place < self._first + len(self._chunks)

    def _can_read(self, place):
        return self._complete or self._has_chunk(place)

    def _take(self, message):
        if message["type"] == "http.disconnect":
            self._gone = True
            return
        chunk = message.get("body", b"")
        if chunk:
            self._chunks.append(chunk)
            self._buffered_bytes += len(chunk)
        self._complete = not message.get("more_body", False)

    async def _drop_read(self, place):
        async with self._changed:
            keep_bytes = self._settings.body_keep_bytes
            if self._buffered_bytes >= keep_bytes and not self._complete:
                self._kept = False
            while not self._kept and self._first < place:
                self._buffered_bytes -= len(self._chunks.popleft())
                self._first += 1
            self._changed.notify_all()

    async def _wait(self, check):
        try:
            async with (
                asyncio.timeout(self._settings.stall_timeout_s),
                self._changed,
            ):
                await self._changed.wait_for(lambda: self._gone or check())
        except TimeoutError:
            raise CallerDisconnectedError from None
        if self._gone and not check():
            raise CallerDisconnectedError

    async def _write(self, message):
        try:
            async with asyncio.timeout(self._settings.stall_timeout_s):
                await self._send(message)
        except TimeoutError:
            raise CallerDisconnectedError from None


class RedactedBody:
    """Iterate over a caller's body with all keys overwritten.

    Each iteration begins at the start of the body.

    Parameters
    ----------
    caller : Caller
        Holds the body.
    """

    def __init__(self, caller):
        self._caller = caller

    async def __aiter__(self):
        """Yield redacted chunks."""
        redactor = BodyRedactor()
        async for chunk in self._caller.body():
            clean = redactor.feed(chunk)
            if clean:
                yield clean
        rest = redactor.finish()
        if rest:
            yield rest
