"""HTTP servers inside the daemon's event loop."""

import asyncio
import contextlib
import functools
import logging

import uvicorn

from ..settings.generated import EntrySettings
from ..transport import parse_address
from .protocol import HttpProtocol

__all__ = ["HttpServer"]

_LOG = logging.getLogger(__name__)
_POLL_S = 0.05
# Time for tasks whose connection was aborted to notice it.
_ABORT_S = 1.0


class HttpServer(uvicorn.Server):
    """Serve an application without taking over the process's signals.

    Parameters
    ----------
    app : callable
        ASGI application.
    address : str
        ``host:port`` to listen on.
    drain_limit_s : float
        Limit for running requests at a stop, in seconds.
    limits : EntrySettings, ConnectionLimits or None
        Limits for connections and request heads; None for the defaults.
    """

    def __init__(self, app, address, drain_limit_s, limits=None):
        host, port = parse_address(address)
        limits = limits or EntrySettings()
        self._address = address
        self._limit_s = drain_limit_s
        self._cut = 0
        super().__init__(
            uvicorn.Config(
                app,
                host=host,
                port=port,
                http=functools.partial(HttpProtocol, limits=limits),
                ws="none",
                log_config=None,
                access_log=False,
                lifespan="off",
                server_header=False,
                # Callers must not choose the address that look-ups see.
                proxy_headers=False,
                timeout_keep_alive=limits.keep_alive_s,
            )
        )

    @property
    def cut(self):
        """Number of requests that the stop cut."""
        return self._cut

    def capture_signals(self):
        """Leave the signals to the daemon."""
        return contextlib.nullcontext()

    async def serve_until(self, stop):
        """Serve until the event `stop` is set, then drain.

        Parameters
        ----------
        stop : asyncio.Event
            Set when the process is to stop.
        """
        serving = asyncio.create_task(self.serve())
        waiting = asyncio.create_task(stop.wait())
        await asyncio.wait(
            {serving, waiting}, return_when=asyncio.FIRST_COMPLETED
        )
        waiting.cancel()
        self.should_exit = True
        await serving

    async def shutdown(self, sockets=None):
        """Refuse connections and wait for requests, up to the limit.

        A connection that is left then is aborted, so that its answer
        cannot seem whole, and counted as cut.
        """
        for server in self.servers:
            server.close()
        for connection in list(self.server_state.connections):
            connection.shutdown()
        await self._wait(self._limit_s)
        left = list(self.server_state.connections)
        self._cut = max(len(left), len(self.server_state.tasks))
        if not self._cut:
            return
        _LOG.warning("daemon: %s cuts %d requests", self._address, self._cut)
        for connection in left:
            connection.abort()
        await self._wait(_ABORT_S)
        for task in self.server_state.tasks:
            task.cancel()

    async def _wait(self, limit_s):
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                while self.server_state.connections or self.server_state.tasks:
                    await asyncio.sleep(_POLL_S)
