"""HTTP applications for callers: look-ups and requests."""

import zlib

from starlette.applications import Starlette
from starlette.responses import JSONResponse
from starlette.routing import Mount
from starlette.routing import Route

from ..errors import fail
from ..messages.records import ErrorKind
from .proxy import Proxy
from .responses import describe_vm
from .responses import list_serving_vms
from .responses import make_failure_response

__all__ = ["make_caller_app", "make_request_app"]


def make_caller_app(vm):
    """Return the HTTP application for callers.

    Parameters
    ----------
    vm : EntryVm
        Components of this entry VM.

    Returns
    -------
    callable
        ASGI application: ``GET /v1/lookup``; every other path is a request
        to a service. While the VM drains, each response closes its
        connection.
    """

    async def lookup(request):
        services = request.query_params.getlist("service")
        if len(services) != 1:
            failure = fail(
                ErrorKind.BAD_REQUEST,
                "exactly one query parameter 'service' is required",
            )
            return make_failure_response(failure.err_value)
        if services[0] not in vm.state_cache.state.services:
            failure = fail(ErrorKind.NOT_FOUND, "unknown service")
            return make_failure_response(failure.err_value)
        entry = vm.settings.entry
        caller = request.client.host if request.client else ""
        spread = zlib.crc32(caller.encode())
        vm_entries = list_serving_vms(
            vm, spread, entry.lookup_count, vm.caller_regions.find(caller)
        )
        return JSONResponse(
            {
                "entry_vms": [
                    describe_vm(vm_entry) for vm_entry in vm_entries
                ],
                "ttl_s": entry.lookup_ttl_s,
            },
            headers={"cache-control": f"max-age={entry.lookup_ttl_s:g}"},
        )

    return close_while_draining(
        Starlette(
            routes=[
                Route("/v1/lookup", lookup, methods=["GET"]),
                Mount("/", app=Proxy(vm)),
            ],
            exception_handlers={Exception: _handle_unexpected_error},
        ),
        vm.drain,
    )


def make_request_app(vm):
    """Return the HTTP application for requests without look-ups.

    Parameters
    ----------
    vm : EntryVm
        Components of this entry VM.

    Returns
    -------
    callable
        ASGI application that treats each path as a request to a service.
    """
    return close_while_draining(
        Starlette(
            routes=[Mount("/", app=Proxy(vm))],
            exception_handlers={Exception: _handle_unexpected_error},
        ),
        vm.drain,
    )


def close_while_draining(app, drain):
    """Wrap an application to close connections after responses in a drain."""

    async def serve(scope, receive, send):
        may_close = scope.get("extensions", {}).get("medlarhollow.may_close")

        async def send_draining(message):
            is_start = message["type"] == "http.response.start"
            if (
                is_start
                and drain.draining
                and (may_close is None or may_close())
            ):
                headers = [*message["headers"], (b"connection", b"close")]
                message = {**message, "headers": headers}
            await send(message)

        await app(scope, receive, send_draining)

    return serve


async def _handle_unexpected_error(request, error):
    """Report an internal error; the request may have run."""
    failure = fail(ErrorKind.NONE, f"internal error: {type(error).__name__}")
    return make_failure_response(failure.err_value)
