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
from ..steering import Demand
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
        admitted = self._admit(request)
        if admitted.is_err():
            return answer_failure(admitted.err_value)
        demand = admitted.ok_value
        if demand.account:
            token = await self._vm.limiter.admit(
                demand.account, demand.deadline_at
            )
            if token.is_err():
                return answer_failure(token.err_value)
        assigned = await self._vm.dispatcher.acquire(demand)
        if assigned.is_err():
            return answer_failure(assigned.err_value)
        return await self._forward(request, assigned.ok_value.server)

    def _admit(self, request):
        state = self._vm.copy.state
        host = request.headers.get("host", "")
        route = match_route(state, host, request.url.path)
        if route is None:
            return fail(ErrorKind.NOT_FOUND, "no route for this path")
        account = ""
        if not route.open:
            checked = self._check_key(request)
            if checked.is_err():
                return checked
            account = checked.ok_value
        timeout_s = (
            route.timeout_s or self._vm.settings.entry.default_timeout_s
        )
        deadline_at = time.monotonic() + timeout_s
        return Ok(Demand(route, account, deadline_at, random.random()))

    def _check_key(self, request):
        age = self._vm.copy.freshness_age_s(time.monotonic())
        if age > self._vm.settings.limits.key_freshness_limit_s:
            return fail(
                ErrorKind.STALE_AUTHORITY,
                "this VM cannot tell whether the key is still valid",
            )
        text = request.headers.get(KEY_HEADER, "")
        return check_key(self._vm.copy.state, text)

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
