"""HTTP client for backend servers."""

import asyncio

import aiohttp
from yarl import URL

from .. import clock
from ..pacing import WorkPacer
from ..requests import NotSent
from ..requests import Unanswered
from .framing_limits import HEAD_LIMIT_BYTES
from .response_connector import ResponseConnector

__all__ = ["BackendClient", "TruncatedResponseError"]

# Headers that aiohttp would add automatically.
_AUTOMATIC_HEADERS = (
    "Accept",
    "Accept-Encoding",
    "Content-Type",
    "User-Agent",
)
# Buffer of a response body; reading pauses at twice this size, so that slow
# callers of a thousand requests cost less memory than an entry VM has.
_READ_BUFFER_BYTES = 16384
_CONNECT_ERRORS = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)
# Time for which requests to a server use new connections after it closed one
# without a response, since its other idle connections are probably lost too.
_NEW_CONNECTIONS_S = 5.0


class TruncatedResponseError(Exception):
    """The response of a backend server ended before it was complete."""


class _ConnectionLostError(Exception):
    """The connection ended before the head of a response."""


class BackendClient:
    """Send requests to backend servers and stream the responses.

    Parameters
    ----------
    settings : Settings
        Sections ``backends`` and ``entry`` are read.

    Notes
    -----
    aiohttp sends a request with an idempotent method again by itself when
    its connection is lost. Neither the retry budget nor the limits of a
    server would count that, so a middleware prevents it. Requests that must
    not be repeated use a new connection each, since a keep-alive connection
    may turn out to be closed.

    All established connections to a server can stop delivering data while
    new ones work. After a time-out on one connection,
    :meth:`retire_connections` therefore retires all pooled connections to
    the server; those in use are closed after their current response.
    """

    def __init__(self, settings):
        self._settings = settings
        self._pools = {}
        self._single_use = None
        self._pacer = WorkPacer()
        # Monotonic time until which a server gets new connections only.
        self._new_connections_until = {}

    async def __aenter__(self):
        """Open the client."""
        self._single_use = _Pool(self._open_session(force_close=True))
        return self

    async def __aexit__(self, *details):
        """Close all connections."""
        for address in list(self._pools):
            await self.retire_connections(address)
        await self._single_use.session.close()

    async def send(self, method, address, target, headers, body, repeatable):
        """Send a request and wait for the head of the response.

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
            A response must be closed by the caller of this method.
        """
        pool = self._single_use
        if repeatable and self._may_reuse(address, clock.monotonic()):
            pool = self._pools.get(address)
            if pool is None:
                session = self._open_session(force_close=False)
                pool = self._pools[address] = _Pool(session)
        pool.active += 1
        response = None
        try:
            response = await pool.session.request(
                method,
                URL(f"http://{address}{target}", encoded=True),
                headers=headers,
                data=body,
                allow_redirects=False,
                skip_auto_headers=_AUTOMATIC_HEADERS,
            )
        except _CONNECT_ERRORS as error:
            return NotSent(f"cannot connect to {address}: {error}")
        except _ConnectionLostError as error:
            self._new_connections_until[address] = (
                clock.monotonic() + _NEW_CONNECTIONS_S
            )
            return Unanswered(f"no response from {address}: {error}")
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return Unanswered(f"no response from {address}: {error}")
        finally:
            if response is None:
                await pool.release()
        return BackendResponse(response, pool)

    async def read_body(self, response, deadline_at):
        """Yield the body of a response.

        Parameters
        ----------
        response : BackendResponse
            Its head was read.
        deadline_at : float
            Monotonic time in seconds by which the body must have ended;
            infinite for no limit.

        Raises
        ------
        TruncatedResponseError
            If the server closed the connection or stalled before the end,
            or if the body did not end by `deadline_at`.
        """
        stall_s = self._settings.entry.stall_timeout_s
        try:
            while True:
                left_s = deadline_at - clock.monotonic()
                if left_s <= 0:
                    # While data is always available, the timeout below never
                    # fires.
                    raise TruncatedResponseError(
                        "the body did not end by its deadline"
                    )
                async with asyncio.timeout(min(stall_s, left_s)):
                    chunk = await response.http_response.content.readany()
                if not chunk:
                    break
                yield chunk
        except (aiohttp.ClientError, OSError) as error:
            raise TruncatedResponseError(str(error)) from error
        if response.was_reset:
            raise TruncatedResponseError("the connection was reset")

    async def retire_connections(self, address):
        """Do not reuse any current connection to a server.

        Parameters
        ----------
        address : str
            ``host:port`` of the server.
        """
        pool = self._pools.pop(address, None)
        if pool is not None:
            await pool.retire()

    def _may_reuse(self, address, now):
        until = self._new_connections_until.get(address)
        if until is not None and now >= until:
            del self._new_connections_until[address]
        return address not in self._new_connections_until

    def _open_session(self, force_close):
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=self._settings.backends.connect_timeout_s,
        )
        return aiohttp.ClientSession(
            connector=ResponseConnector(
                self._pacer, limit=0, force_close=force_close
            ),
            timeout=timeout,
            auto_decompress=False,
            # Cookies belong to callers and must not be shared between them.
            cookie_jar=aiohttp.DummyCookieJar(),
            middlewares=(_send_once,),
            max_line_size=HEAD_LIMIT_BYTES,
            max_field_size=HEAD_LIMIT_BYTES,
            read_bufsize=_READ_BUFFER_BYTES,
        )


async def _send_once(request, handler):
    """Pass on a request, with an error for which aiohttp does not retry."""
    try:
        return await handler(request)
    except _CONNECT_ERRORS:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise _ConnectionLostError(str(error)) from error


class _Pool:
    """A session that is closed once it is retired and unused."""

    def __init__(self, session):
        self.session = session
        self.active = 0
        self._retired = False

    async def retire(self):
        self._retired = True
        if not self.active:
            await self.session.close()

    async def release(self):
        self.active -= 1
        if self._retired and not self.active:
            await self.session.close()


class BackendResponse:
    """The response of a backend server; its body is read separately.

    Parameters
    ----------
    response : aiohttp.ClientResponse
        Response of aiohttp.
    pool : _Pool
        Pool of its connection.
    """

    def __init__(self, response, pool):
        self._response = response
        self._pool = pool
        connection = response.connection
        self._protocol = None if connection is None else connection.protocol

    @property
    def was_reset(self):
        """Whether the connection was reset before the end of the body.

        aiohttp treats a reset like a regular close as the end of a body
        without a length.
        """
        if self._protocol is None:
            return False
        return isinstance(self._protocol.exception(), OSError)

    @property
    def http_response(self):
        """Response of aiohttp."""
        return self._response

    @property
    def status(self):
        """HTTP status."""
        return self._response.status

    @property
    def length(self):
        """Length of the body in bytes, or None if it is unknown."""
        return self._response.content_length

    @property
    def headers(self):
        """Headers by case-insensitive name."""
        return self._response.headers

    @property
    def raw_headers(self):
        """Tuple of (bytes, bytes) : headers as received."""
        return self._response.raw_headers

    async def close(self):
        """Close the connection unless the response was read to its end."""
        if self._pool is not None:
            pool, self._pool = self._pool, None
            self._response.close()
            await pool.release()
