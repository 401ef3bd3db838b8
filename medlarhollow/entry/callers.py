"""Front door for callers: look-ups and requests."""

from starlette.applications import Starlette
from starlette.responses import JSONResponse
from starlette.routing import Mount
from starlette.routing import Route

from ..membership import list_entry_vms
from .proxy import Proxy

__all__ = ["make_caller_app"]


def make_caller_app(vm):
    """Return the HTTP application for callers.

    Parameters
    ----------
    vm : EntryVm
        The parts of this entry VM.

    Returns
    -------
    starlette.applications.Starlette
        ``GET /v1/lookup``; every other path is a request to a service.
    """

    async def lookup(request):
        vms = list_entry_vms(vm.copy.state, vm.settings)
        return JSONResponse(
            {
                "entry_vms": [
                    {
                        "name": entry.name,
                        "address": entry.caller_address,
                        "region": entry.region,
                        "data_centre": entry.data_centre,
                    }
                    for entry in vms
                ],
                "ttl_s": vm.settings.entry.lookup_ttl_s,
            },
            headers={
                "cache-control": f"max-age={vm.settings.entry.lookup_ttl_s:g}"
            },
        )

    return Starlette(
        routes=[
            Route("/v1/lookup", lookup, methods=["GET"]),
            Mount("/", app=Proxy(vm)),
        ]
    )
