"""A small fake backend server that announces itself."""

import argparse
import asyncio
import contextlib

import aiohttp
from starlette.applications import Starlette
from starlette.responses import JSONResponse
from starlette.routing import Route
import uvicorn

from ..transport import parse_address

__all__ = ["make_backend_app"]

_RENEW_S = 1.0
_RETRY_S = 0.2


def make_backend_app(options):
    """Return the application of the fake backend server.

    Parameters
    ----------
    options : argparse.Namespace
        Name, service and version, which each answer names.

    Returns
    -------
    starlette.applications.Starlette
        Answers every path with what it received.
    """

    async def echo(request):
        body = await request.body()
        return JSONResponse(
            {
                "server": options.name,
                "version": options.version,
                "path": request.url.path,
                "query": request.url.query,
                "headers": dict(request.headers),
                "body": body.decode(errors="replace"),
            }
        )

    methods = ["GET", "POST", "PUT", "DELETE", "PATCH"]
    return Starlette(routes=[Route("/{path:path}", echo, methods=methods)])


async def announce(options, leaving=False):
    """Renew the lease once; return whether it was taken."""
    body = {
        "server_id": options.name,
        "service": options.service,
        "version": options.version,
        "address": options.listen,
        "slots": options.slots,
        "connections": 400,
        "load_path": "/load",
        "leaving": leaving,
    }
    headers = {"authorization": f"Bearer {options.credential}"}
    url = f"http://{options.announce}/v1/announce"
    with contextlib.suppress(aiohttp.ClientError):
        async with (
            aiohttp.ClientSession() as client,
            client.post(url, json=body, headers=headers) as answer,
        ):
            return answer.status == 200
    return False


async def keep_announcing(options):
    """Renew the lease until cancelled, then say that it leaves."""
    try:
        while True:
            taken = await announce(options)
            await asyncio.sleep(_RENEW_S if taken else _RETRY_S)
    finally:
        await announce(options, leaving=True)


async def run(options):
    """Serve and announce until a signal to stop."""
    host, port = parse_address(options.listen)
    config = uvicorn.Config(
        make_backend_app(options), host=host, port=port, access_log=False
    )
    task = asyncio.create_task(keep_announcing(options))
    await uvicorn.Server(config).serve()
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task


def main():
    """Run the fake backend server from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    for name in ("name", "service", "version", "credential"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--announce", required=True)
    parser.add_argument("--listen", required=True)
    parser.add_argument("--slots", type=int, default=8)
    asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
