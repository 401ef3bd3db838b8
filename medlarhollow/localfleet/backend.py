"""A fake backend server that announces itself to entry VMs.

It responds on every path with the request that it received. ``GET /load``
reports its load, ``GET /_fake/executions`` the number of executions of each
idempotency key, and ``PUT /_fake/faults`` changes its faults while it runs.
"""

import argparse
import asyncio
import collections
import contextlib
import random
import signal

import aiohttp
import attrs
from starlette.applications import Starlette
from starlette.responses import JSONResponse
from starlette.responses import PlainTextResponse
from starlette.routing import Route
import uvicorn

from .. import clock
from ..transport import parse_address
from .faults import Faults
from .faults import LOAD_REPORTS

__all__ = ["FakeBackend", "make_backend_app"]

_RENEWAL_INTERVAL_S = 1.0
_RETRY_INTERVAL_S = 0.2
_ANNOUNCE_TIMEOUT_S = 1.0
# Delay of a server that does not respond; callers time out before.
_SILENCE_S = 3600.0


class FakeBackend:
    """State of one fake backend server.

    Parameters
    ----------
    options : argparse.Namespace
        Command line, see :func:`make_parser`.
    faults : Faults
        Faults to inject.
    """

    def __init__(self, options, faults):
        self._options = options
        self._faults = faults
        self._executions = collections.Counter()
        self._in_flight = 0
        self._started_at = clock.monotonic()

    @property
    def in_flight(self):
        """Number of requests in flight."""
        return self._in_flight

    async def serve(self, request):
        """Respond with the contents of the request."""
        self._in_flight += 1
        try:
            return await self._respond(request)
        finally:
            self._in_flight -= 1

    async def report_load(self, request):
        """Report the load according to `Faults.load_report`."""
        load = self._faults.reported_load(self._in_flight, self._options.slots)
        return JSONResponse({"load": load, "in_flight": self._in_flight})

    async def list_executions(self, request):
        """Report the number of executions of each idempotency key."""
        return JSONResponse(dict(self._executions))

    async def set_faults(self, request):
        """Change the faults named in the body."""
        try:
            self._faults = attrs.evolve(self._faults, **await request.json())
        except (TypeError, ValueError) as error:
            return PlainTextResponse(str(error), 400)
        return JSONResponse(attrs.asdict(self._faults))

    async def _respond(self, request):
        age_s = clock.monotonic() - self._started_at
        body = await request.body()
        if self._faults.is_silent(age_s):
            await asyncio.sleep(_SILENCE_S)
        key = request.headers.get("idempotency-key")
        if key:
            self._executions[key] += 1
        await asyncio.sleep(self._faults.latency_s(age_s, random.random()))
        if self._faults.fails(age_s, random.random()):
            return PlainTextResponse("injected fault", 500)
        return JSONResponse(
            {
                "server": self._options.name,
                "version": self._options.version,
                "method": request.method,
                "path": request.url.path,
                "query": request.url.query,
                "headers": dict(request.headers),
                "body": body.decode(errors="replace"),
            }
        )


def make_backend_app(backend):
    """Return the ASGI application of a fake backend server.

    Parameters
    ----------
    backend : FakeBackend
        Handles the requests.

    Returns
    -------
    starlette.applications.Starlette
        Application that handles every path.
    """
    methods = ["GET", "POST", "PUT", "DELETE", "PATCH"]
    return Starlette(
        routes=[
            Route("/load", backend.report_load, methods=["GET"]),
            Route("/_fake/executions", backend.list_executions),
            Route("/_fake/faults", backend.set_faults, methods=["PUT"]),
            Route("/{path:path}", backend.serve, methods=methods),
        ]
    )


async def announce(client, options, leaving=False):
    """Announce the server once; return whether an entry VM accepted it."""
    body = {
        "server_id": options.name,
        "service": options.service,
        "version": options.version,
        "address": options.listen,
        "slots": options.slots,
        "connections": options.connections,
        "load_path": "/load",
        "leaving": leaving,
    }
    headers = {"authorization": f"Bearer {options.credential}"}
    for address in options.announce:
        url = f"http://{address}/v1/announce"
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with client.post(
                url, json=body, headers=headers
            ) as response:
                if response.status == 200:
                    return True
    return False


async def keep_announcing(options, leaving):
    """Renew the lease, and report the server as leaving once `leaving` is set.

    Parameters
    ----------
    options : argparse.Namespace
        Command line, see :func:`make_parser`.
    leaving : asyncio.Event
        Set once the server drains.
    """
    timeout = aiohttp.ClientTimeout(_ANNOUNCE_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as client:
        while True:
            accepted = await announce(client, options, leaving.is_set())
            pause_s = _RENEWAL_INTERVAL_S if accepted else _RETRY_INTERVAL_S
            if leaving.is_set():
                await asyncio.sleep(pause_s)
                continue
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause_s):
                    await leaving.wait()


class _Server(uvicorn.Server):
    """uvicorn server that leaves the handling of signals to `run`."""

    def capture_signals(self):
        return contextlib.nullcontext()


async def run(options):
    """Serve and announce until SIGTERM or SIGINT, then drain."""
    host, port = parse_address(options.listen)
    backend = FakeBackend(options, read_faults(options))
    server = _Server(
        uvicorn.Config(
            make_backend_app(backend),
            host=host,
            port=port,
            access_log=False,
            log_level="warning",
            timeout_graceful_shutdown=1,
        )
    )
    leaving = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, leaving.set)
    serving = asyncio.create_task(server.serve())
    announcing = asyncio.create_task(keep_announcing(options, leaving))
    waiting = asyncio.create_task(leaving.wait())
    await asyncio.wait({serving, waiting}, return_when="FIRST_COMPLETED")
    if leaving.is_set():
        await _drain(backend, options)
    waiting.cancel()
    announcing.cancel()
    server.should_exit = True
    await serving


async def _drain(backend, options):
    """Keep serving for the drain time, then wait for requests in flight.

    The wait for requests in flight is limited to the drain time too.
    """
    drain_ends_at = clock.monotonic() + options.drain_s
    deadline = drain_ends_at + options.drain_s
    await asyncio.sleep(options.drain_s)
    while backend.in_flight and clock.monotonic() < deadline:
        await asyncio.sleep(0.02)


def read_faults(options):
    """Return the faults given on the command line."""
    return Faults(
        **{
            field.name: getattr(options, field.name)
            for field in attrs.fields(Faults)
        }
    )


def make_parser():
    """Return the command-line parser."""
    parser = argparse.ArgumentParser(description=__doc__)
    for name in ("name", "service", "version", "credential", "listen"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument(
        "--announce",
        required=True,
        action="append",
        help="address of an entry VM; tried in order until one accepts",
    )
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--connections", type=int, default=400)
    parser.add_argument(
        "--drain-s",
        type=float,
        default=0.5,
        help="seconds for which it keeps serving after SIGTERM, as leaving",
    )
    for field in attrs.fields(Faults):
        name = f"--{field.name.replace('_', '-')}"
        if field.type is bool:
            parser.add_argument(name, action="store_true")
        elif field.type is str:
            parser.add_argument(
                name, choices=LOAD_REPORTS, default=field.default
            )
        else:
            parser.add_argument(name, type=float, default=field.default)
    return parser


def main():
    """Run the fake backend server from the command line."""
    asyncio.run(run(make_parser().parse_args()))


if __name__ == "__main__":
    main()
