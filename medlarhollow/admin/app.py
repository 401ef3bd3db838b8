"""HTTP application for operators."""

import uuid

import cattrs
from result import Ok
from starlette.applications import Starlette
from starlette.responses import JSONResponse
from starlette.routing import Route

from ..configuration import new_key
from ..entry.answers import answer_failure
from ..errors import fail
from ..messages.records import Account
from ..messages.records import Change
from ..messages.records import ErrorKind
from ..messages.records import IssueKey
from ..messages.records import PutAccount
from ..messages.records import PutRoute
from ..messages.records import PutService
from ..messages.records import RevokeKey
from ..messages.records import Route as RouteRecord
from ..messages.records import Service

__all__ = ["make_admin_app"]

_CONVERTER = cattrs.Converter(forbid_extra_keys=True)
_CONVERTER.register_structure_hook(bytes, lambda text, _: bytes.fromhex(text))


def make_admin_app(replica, operators):
    """Return the administration API.

    Parameters
    ----------
    replica : Replica
        Agrees on the changes.
    operators : Operators
        Checks tokens.

    Returns
    -------
    starlette.applications.Starlette
        The application, with paths below ``/v1``.
    """

    async def propose(request, body, extra=None):
        change = Change(
            request_id=request.headers.get("x-request-id", uuid.uuid4().hex),
            base_revision=int(request.headers.get("x-base-revision", "0")),
            author=request.state.operator,
            body=body,
        )
        result = await replica.propose(change)
        if result.is_err():
            return answer_failure(result.err_value)
        return JSONResponse(
            {"revision": result.ok_value.revision, **(extra or {})}
        )

    async def put_account(request):
        parsed = await _parse(request, Account)
        if parsed.is_err():
            return answer_failure(parsed.err_value)
        return await propose(request, PutAccount(parsed.ok_value))

    async def put_service(request):
        parsed = await _parse(request, Service)
        if parsed.is_err():
            return answer_failure(parsed.err_value)
        return await propose(request, PutService(parsed.ok_value))

    async def put_route(request):
        parsed = await _parse(request, RouteRecord)
        if parsed.is_err():
            return answer_failure(parsed.err_value)
        return await propose(request, PutRoute(parsed.ok_value))

    async def issue_key(request):
        text, record = new_key(request.path_params["account"])
        return await propose(request, IssueKey(record), {"key": text})

    async def revoke_key(request):
        return await propose(request, RevokeKey(request.path_params["key"]))

    def guarded(endpoint):
        async def check(request):
            token = request.headers.get("authorization", "")
            name = operators.find(token.removeprefix("Bearer "))
            if name is None:
                failure = fail(
                    ErrorKind.UNAUTHENTICATED, "an operator token is needed"
                )
                return answer_failure(failure.err_value)
            request.state.operator = name
            return await endpoint(request)

        return check

    return Starlette(
        routes=[
            Route("/v1/accounts", guarded(put_account), methods=["PUT"]),
            Route("/v1/services", guarded(put_service), methods=["PUT"]),
            Route("/v1/routes", guarded(put_route), methods=["PUT"]),
            Route(
                "/v1/accounts/{account}/keys",
                guarded(issue_key),
                methods=["POST"],
            ),
            Route("/v1/keys/{key}", guarded(revoke_key), methods=["DELETE"]),
        ]
    )


async def _parse(request, cls):
    try:
        return Ok(_CONVERTER.structure(await request.json(), cls))
    except (ValueError, cattrs.BaseValidationError) as error:
        return fail(ErrorKind.BAD_REQUEST, f"not a {cls.__name__}: {error!r}")
