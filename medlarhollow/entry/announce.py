"""Front door for backend servers."""

import time

import cattrs
from result import Ok
from starlette.applications import Starlette
from starlette.responses import JSONResponse
from starlette.routing import Route

from ..errors import fail
from ..membership import check_announcement
from ..messages.records import BackendServer
from ..messages.records import ErrorKind
from .answers import answer_failure

__all__ = ["make_announce_app"]

_CONVERTER = cattrs.Converter(forbid_extra_keys=True)


def make_announce_app(vm):
    """Return the HTTP application that takes announcements.

    Parameters
    ----------
    vm : EntryVm
        Holds the directory and the agreed state.

    Returns
    -------
    starlette.applications.Starlette
        ``POST /v1/announce``.
    """

    async def announce(request):
        credential = request.headers.get("authorization", "")
        parsed = await _parse(request)
        if parsed.is_err():
            return answer_failure(parsed.err_value)
        checked = check_announcement(
            parsed.ok_value,
            credential.removeprefix("Bearer "),
            vm.copy.state,
        )
        if checked.is_err():
            return answer_failure(checked.err_value)
        vm.directory.announce(checked.ok_value, time.monotonic())
        return JSONResponse({"lease_s": vm.settings.backends.lease_s})

    return Starlette(
        routes=[Route("/v1/announce", announce, methods=["POST"])]
    )


async def _parse(request):
    try:
        return Ok(_CONVERTER.structure(await request.json(), BackendServer))
    except (ValueError, cattrs.BaseValidationError) as error:
        return fail(ErrorKind.BAD_REQUEST, f"not an announcement: {error!r}")
