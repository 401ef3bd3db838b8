"""HTTP servers inside the daemon's event loop."""

import asyncio
import contextlib
import logging

import uvicorn

from ..pacing import WorkPacer
from ..settings.generated import EntrySettings
from ..transport import parse_address
from .bounded_reader import BoundedReader
from .bounded_reader import READ_BYTES
from .protocol import HttpProtocol
from .read_ahead import SharedReadAhead

__all__ = ["HttpServer"]

_LOG = logging.getLogger(__name__)
_POLL_INTERVAL_S = 0.05
# Time for tasks to end after their connection was aborted.
_ABORT_WAIT_S = 1.0


class HttpServer(uvicorn.Server):
    """HTTP server that leaves signal handling to the process.

    Parameters
    ----------
    app : callable
        ASGI application.
    address : str
        ``host:port`` to listen on.
    drain_limit_s : float
        Time limit for running requests during a stop, in seconds.
    limits : EntrySettings, ConnectionLimits or None
        Limits of connections and request heads; None for the defaults.
    """

    def __init__(self, app, address, drain_limit_s, limits=None):
        host, port = parse_address(address)
        limits = limits or EntrySettings()
        self._address = address
        self._drain_limit_s = drain_limit_s
        self._aborted = 0
        super().__init__(
            uvicorn.Config(
                app,
                host=host,
                port=port,
                http=_make_protocol_factory(limits),
                ws="none",
                log_config=None,
                access_log=False,
                lifespan="off",
                server_header=False,
                # Look-ups use the caller's address, so a header must not be
                # able to set it.
                proxy_headers=False,
                timeout_keep_alive=limits.keep_alive_s,
            )
        )

    @property
    def aborted(self):
        """Number of requests aborted by the stop."""
        return self._aborted

    def capture_signals(self):
        """Install no handlers; the daemon handles signals."""
        return contextlib.nullcontext()

    async def serve_until(self, stop):
        """Serve until the event `stop` is set, then drain.

        Parameters
        ----------
        stop : asyncio.Event
            Set when the process is to stop.
        """
        serving = asyncio.create_task(self.serve())
        stopping = asyncio.create_task(stop.wait())
        await asyncio.wait(
            {serving, stopping}, return_when=asyncio.FIRST_COMPLETED
        )
        stopping.cancel()
        self.should_exit = True
        await serving

    async def shutdown(self, sockets=None):
        """Refuse connections and wait for requests, up to the time limit.

        Connections that remain are aborted, so that no response appears
        complete, and counted.
        """
        for server in self.servers:
            server.close()
        for connection in list(self.server_state.connections):
            connection.shutdown()
        await self._wait_until_idle(self._drain_limit_s)
        remaining = [
            connection
            for connection in self.server_state.connections
            if not connection.is_ending
        ]
        self._aborted = max(len(remaining), len(self.server_state.tasks))
        if self._aborted:
            await self._abort_requests(remaining)
        for connection in list(self.server_state.connections):
            connection.finish_ending()

    async def _abort_requests(self, connections):
        """Abort connections and the requests that run."""
        _LOG.warning(
            "daemon: drain limit reached at %s; aborting %d requests",
            self._address,
            self._aborted,
        )
        for connection in connections:
            connection.abort()
        await self._wait_until_idle(_ABORT_WAIT_S)
        for task in self.server_state.tasks:
            task.cancel()

    async def _wait_until_idle(self, limit_s):
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                while self.server_state.connections or self.server_state.tasks:
                    await asyncio.sleep(_POLL_INTERVAL_S)


def _make_protocol_factory(limits):
    """Return a function that makes the protocol of a new connection."""
    read_ahead = SharedReadAhead()
    pacer = WorkPacer()
    buffer = bytearray(READ_BYTES)

    def make_protocol(**options):
        protocol = HttpProtocol(limits, read_ahead, pacer, **options)
        return BoundedReader(protocol, buffer)

    return make_protocol
