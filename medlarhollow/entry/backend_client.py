"""Connections to backend servers."""

import asyncio
import time

import aiohttp
from yarl import URL

from ..requests import NotSent
from ..requests import Unanswered

__all__ = ["BackendClient", "TruncatedResponseError"]

# What aiohttp would add by itself.
_AUTOMATIC = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")
_HEAD_LIMIT_BYTES = 65536
_NOT_SENT = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


class TruncatedResponseError(Exception):
    """The answer of a backend server ended before it was complete."""


class BackendClient:
    """Send requests to backend servers and stream their answers.

    Parameters
    ----------
    settings : Settings
        Sections ``backends`` and ``entry`` are read.

    Notes
    -----
    aiohttp sends a request again by itself when a kept connection turns
    out to be closed. Requests that must not be repeated, and those whose
    body cannot be read again, therefore get a connection of their own.

    Established connections to a server can all go silent while new ones
    work. :meth:`forget` therefore retires all kept connections to a server
    after one was silent; those in use end with their answers.
    """

    def __init__(self, settings):
        self._settings = settings
        self._pools = {}
        self._single = None

    async def __aenter__(self):
        """Open the client."""
        self._single = _Pool(self._open(force_close=True))
        return self

    async def __aexit__(self, *details):
        """Close all connections."""
        for address in list(self._pools):
            await self.retire_connections(address)
        await self._single.session.close()

    async def send(self, method, address, target, headers, body, repeatable):
        """Send a request and wait for the head of its answer.

        Parameters
        ----------
        method : str
            HTTP method.
        address : str
            ``host:port`` of the server.
        target : str
            Path and query, percent-encoded.
        headers : list of (str, str)
            All headers.
        body : async iterable of bytes or None
            The body.
        repeatable : bool
            Whether the request may reach the server twice.

        Returns
        -------
        BackendResponse, NotSent or Unanswered
            An answer must be closed.
        """
        pool = self._single
        if repeatable:
            pool = self._pools.get(address)
            if pool is None:
                session = self._open(force_close=False)
                pool = self._pools[address] = _Pool(session)
        pool.used += 1
        answer = None
        try:
            answer = await pool.session.request(
                method,
                URL(f"http://{address}{target}", encoded=True),
                headers=headers,
                data=body,
                allow_redirects=False,
                skip_auto_headers=_AUTOMATIC,
            )
        except _NOT_SENT as error:
            return NotSent(f"no connection to {address}: {error}")
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return Unanswered(f"no answer from {address}: {error}")
        finally:
            if answer is None:
                await pool.leave()
        return BackendResponse(answer, pool)

    async def read(self, answer, until):
        """Yield the body of an answer.

        Parameters
        ----------
        answer : BackendResponse
            Its head was read.
        until : float
            Monotonic time in seconds by which the body must have ended;
            infinite to let it take its time.

        Raises
        ------
        TruncatedResponseError
            If the server closed or stalled before the end, or sends more
            than fits into the time.
        """
        stall_s = self._settings.entry.stall_timeout_s
        try:
            while True:
                left_s = until - time.monotonic()
                if left_s <= 0:
                    # Bytes that are always there never let a timer fire.
                    raise TruncatedResponseError(
                        "it did not end by its deadline"
                    )
                async with asyncio.timeout(min(stall_s, left_s)):
                    chunk = await answer.response.content.readany()
                if not chunk:
                    break
                yield chunk
        except (aiohttp.ClientError, OSError) as error:
            raise TruncatedResponseError(str(error)) from error
        if answer.was_reset:
            raise TruncatedResponseError("the connection was reset")

    async def retire_connections(self, address):
        """Use none of the present connections to a server again.

        Parameters
        ----------
        address : str
            ``host:port`` of the server.
        """
        pool = self._pools.pop(address, None)
        if pool is not None:
            await pool.retire()

    def _open(self, force_close):
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=self._settings.backends.connect_timeout_s,
        )
        return aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=force_close),
            timeout=timeout,
            auto_decompress=False,
            # Cookies belong to callers and must not be shared by them.
            cookie_jar=aiohttp.DummyCookieJar(),
            max_line_size=_HEAD_LIMIT_BYTES,
            max_field_size=_HEAD_LIMIT_BYTES,
        )


class _Pool:
    """Connections of one session, closed when retired and unused."""

    def __init__(self, session):
        self.session = session
        self.used = 0
        self._retired = False

    async def retire(self):
        self._retired = True
        if not self.used:
            await self.session.close()

    async def leave(self):
        self.used -= 1
        if self._retired and not self.used:
            await self.session.close()


class BackendResponse:
    """The answer of a backend server, head first.

    Parameters
    ----------
    response : aiohttp.ClientResponse
        The answer as aiohttp gives it.
    pool : _Pool
        Where its connection belongs.
    """

    def __init__(self, response, pool):
        self._response = response
        self._pool = pool
        connection = response.connection
        self._protocol = None if connection is None else connection.protocol

    @property
    def was_reset(self):
        """Whether the connection was reset before the end of the body.

        aiohttp takes each end of a connection for the end of a body without
        a length.
        """
        if self._protocol is None:
            return False
        return isinstance(self._protocol.exception(), OSError)

    @property
    def response(self):
        """The answer as aiohttp gives it."""
        return self._response

    @property
    def status(self):
        """HTTP status."""
        return self._response.status

    @property
    def length(self):
        """Length of the body in bytes, or None if it is not known."""
        return self._response.content_length

    @property
    def headers(self):
        """Headers without regard to case."""
        return self._response.headers

    @property
    def raw_headers(self):
        """Tuple of (bytes, bytes) : headers as received."""
        return self._response.raw_headers

    async def close(self):
        """Close the connection unless the answer was read to its end."""
        if self._pool is not None:
            pool, self._pool = self._pool, None
            self._response.close()
            await pool.leave()
