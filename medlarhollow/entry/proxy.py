"""Serve one caller's request from a backend server."""

import random
import time

import aiohttp
from result import Ok
from starlette.requests import Request
from starlette.responses import StreamingResponse

from ..configuration import check_key
from ..configuration import match_route
from ..errors import fail
from ..messages.records import ErrorKind
from .answers import answer_failure

__all__ = ["Proxy"]

KEY_HEADER = "x-medlarhollow-key"
_HOP_HEADERS = {
    "authorization",
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    KEY_HEADER,
}


class Proxy:
    """ASGI application that serves requests to services.

    Parameters
    ----------
    vm : EntryVm
        The parts of this entry VM.
    """

    def __init__(self, vm):
        self._vm = vm

    async def __call__(self, scope, receive, send):
        """Serve one request."""
        request = Request(scope, receive)
        response = await self._serve(request)
        await response(scope, receive, send)

    async def _serve(self, request):
        route = self._admit(request)
        if route.is_err():
            return answer_failure(route.err_value)
        server = self._choose(route.ok_value)
        if server.is_err():
            return answer_failure(server.err_value)
        return await self._forward(request, server.ok_value)

    def _admit(self, request):
        state = self._vm.copy.state
        host = request.headers.get("host", "")
        route = match_route(state, host, request.url.path)
        if route is None:
            return fail(ErrorKind.NOT_FOUND, "no route for this path")
        if route.open:
            return Ok(route)
        age = self._vm.copy.freshness_age_s(time.monotonic())
        if age > self._vm.settings.limits.key_freshness_limit_s:
            return fail(
                ErrorKind.STALE_AUTHORITY,
                "this VM cannot tell whether the key is still valid",
            )
        account = check_key(state, request.headers.get(KEY_HEADER, ""))
        return account.map(lambda _: route)

    def _choose(self, route):
        version = self._vm.copy.state.services[route.service].version
        servers = self._vm.directory.servers(
            route.service, version, time.monotonic()
        )
        if not servers:
            return fail(
                ErrorKind.NO_BACKEND, f"no backend server of {route.service}"
            )
        return Ok(random.choice(servers))

    async def _forward(self, request, server):
        url = f"http://{server.address}{request.url.path}"
        if request.url.query:
            url += f"?{request.url.query}"
        headers = {
            name: value
            for name, value in request.headers.items()
            if name not in _HOP_HEADERS
        }
        body = request.stream() if _has_body(request) else None
        try:
            answer = await self._vm.client.request(
                request.method, url, headers=headers, data=body
            )
        except aiohttp.ClientConnectorError as error:
            return answer_failure(
                fail(ErrorKind.NO_BACKEND, str(error)).err_value
            )
        except aiohttp.ClientError as error:
            return answer_failure(
                fail(ErrorKind.OUTCOME_UNKNOWN, str(error)).err_value
            )
        return StreamingResponse(
            _stream(answer),
            answer.status,
            {
                name: value
                for name, value in answer.headers.items()
                if name.lower() not in _HOP_HEADERS
            },
        )


def _has_body(request):
    return (
        "content-length" in request.headers
        or "transfer-encoding" in request.headers
    )


async def _stream(answer):
    async with answer:
        async for chunk in answer.content.iter_any():
            yield chunk
