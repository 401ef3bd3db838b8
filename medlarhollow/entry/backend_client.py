"""Connections to backend servers."""

import asyncio

import aiohttp
from yarl import URL

from ..requests import NotSent
from ..requests import Unanswered

__all__ = ["BackendClient", "CutAnswerError"]

# What aiohttp would add by itself.
_AUTOMATIC = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")
_HEAD_LIMIT_BYTES = 65536
_NOT_SENT = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


class CutAnswerError(Exception):
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
    """

    def __init__(self, settings):
        self._settings = settings
        self._kept = None
        self._single = None

    async def __aenter__(self):
        """Open the client."""
        self._kept = self._open(force_close=False)
        self._single = self._open(force_close=True)
        return self

    async def __aexit__(self, *details):
        """Close all connections."""
        await self._kept.close()
        await self._single.close()

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
        aiohttp.ClientResponse, NotSent or Unanswered
            An answer must be closed unless it was read to its end.
        """
        session = self._kept if repeatable else self._single
        try:
            return await session.request(
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

    async def read(self, answer):
        """Yield the body of an answer.

        Raises
        ------
        CutAnswerError
            If the server closed or stalled before the end.
        """
        stall_s = self._settings.entry.stall_timeout_s
        try:
            while True:
                async with asyncio.timeout(stall_s):
                    chunk = await answer.content.readany()
                if not chunk:
                    return
                yield chunk
        except (aiohttp.ClientError, OSError) as error:
            raise CutAnswerError(str(error)) from error

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
