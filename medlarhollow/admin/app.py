"""HTTP front end of the administration API."""

from result import Ok
from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.responses import JSONResponse
from starlette.routing import Route

from ..entry.responses import make_failure_response
from ..errors import fail
from ..messages.records import Applied
from ..messages.records import ErrorKind
from .documents import Accepted
from .encoding import from_json
from .encoding import parse_json
from .encoding import to_json
from .openapi import describe_api
from .openapi import PATH
from .requests import parse_operator_request
from .table import OPERATIONS

__all__ = ["make_admin_app"]

_ERROR_KINDS_BY_STATUS = {
    404: ErrorKind.NOT_FOUND,
    405: ErrorKind.NOT_FOUND,
    413: ErrorKind.TOO_LARGE,
}


def make_admin_app(admin, operators):
    """Return the administration API.

    Parameters
    ----------
    admin : FleetAdmin
        Runs the operations.
    operators : OperatorTokens
        Checks bearer tokens.

    Returns
    -------
    starlette.applications.Starlette
        The application, with paths below ``/v1``.
    """
    description = describe_api()

    async def read_openapi(request):
        return JSONResponse(description)

    return Starlette(
        routes=[
            Route(
                operation.path,
                _make_endpoint(operation, admin, operators),
                methods=[operation.method],
            )
            for operation in OPERATIONS
        ]
        + [Route(PATH, read_openapi, methods=["GET"])],
        exception_handlers={HTTPException: _handle_http_error},
    )


def _make_endpoint(operation, admin, operators):
    async def handle_request(request):
        operator_request = await _parse_request(operation, operators, request)
        if operator_request.is_err():
            return make_failure_response(operator_request.err_value)
        if not operation.is_change:
            await admin.catch_up()
        result = await operation.run(admin, operator_request.ok_value)
        if result.is_err():
            return make_failure_response(result.err_value)
        return _make_response(result.ok_value, operator_request.ok_value)

    return handle_request


def _make_response(value, operator_request):
    if isinstance(value, Applied):
        value = Accepted(value.revision, operator_request.request_id)
    return JSONResponse(to_json(value))


async def _parse_request(operation, operators, request):
    token = request.headers.get("authorization", "")
    operator = operators.find(token.removeprefix("Bearer "))
    if operator is None:
        return fail(
            ErrorKind.UNAUTHENTICATED, "missing or unknown operator token"
        )
    unknown = set(request.query_params) - set(operation.query)
    if unknown:
        return fail(
            ErrorKind.BAD_REQUEST,
            f"unknown query parameters: {', '.join(sorted(unknown))}",
        )
    body = await _read_body(operation, request)
    if body.is_err():
        return body
    return parse_operator_request(
        operator,
        request.headers.get("x-request-id"),
        request.headers.get("x-base-revision"),
        path=dict(request.path_params),
        query=dict(request.query_params),
        body=body.ok_value,
    )


async def _read_body(operation, request):
    if operation.body is None:
        return Ok(None)
    data = bytearray()
    async for chunk in request.stream():
        data += chunk
        if len(data) > operation.body_limit_bytes:
            return fail(
                ErrorKind.TOO_LARGE,
                f"the body exceeds {operation.body_limit_bytes} bytes",
            )
    parsed = parse_json(bytes(data))
    if parsed.is_err():
        return parsed
    return from_json(operation.body, parsed.ok_value)


async def _handle_http_error(request, error):
    kind = _ERROR_KINDS_BY_STATUS.get(error.status_code, ErrorKind.BAD_REQUEST)
    detail = f"{request.method} {request.url.path}: {error.detail}"
    response = make_failure_response(fail(kind, detail).err_value)
    response.status_code = error.status_code
    response.headers.update(error.headers or {})
    return response
