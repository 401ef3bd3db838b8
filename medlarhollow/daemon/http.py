"""HTTP servers inside the daemon's event loop."""

import asyncio
import contextlib

import uvicorn

from ..transport import parse_address

__all__ = ["HttpServer"]


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
    """

    def __init__(self, app, address, drain_limit_s):
        host, port = parse_address(address)
        super().__init__(
            uvicorn.Config(
                app,
                host=host,
                port=port,
                log_config=None,
                access_log=False,
                lifespan="off",
                server_header=False,
                timeout_graceful_shutdown=drain_limit_s,
            )
        )

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
