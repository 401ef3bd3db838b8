"""Front door for backend servers."""

import json
import time

import attrs
from result import Ok
from starlette.applications import Starlette
from starlette.responses import JSONResponse
from starlette.routing import Route

from ..errors import fail
from ..membership import check_announcement
from ..messages.records import BackendServer
from ..messages.records import ErrorKind
from .answers import answer_failure

__all__ = ["AnnounceGate", "make_announce_app", "parse_announcement"]

_LIMIT_BYTES = 8192
_LONGEST_TEXT = 255
# The directory and the selection count slots; this is far above any server.
_HIGHEST_COUNT = 100_000
_HIGHEST_SEQUENCE = 2**63
_TEXTS = ("server_id", "service", "version", "address")
_COUNTS = {
    "slots": _HIGHEST_COUNT,
    "connections": _HIGHEST_COUNT,
    "sequence": _HIGHEST_SEQUENCE,
}
_ALLOWED = {*_TEXTS, *_COUNTS, "load_path", "leaving"}


@attrs.frozen
class _Seen:
    service: str
    sequence: int
    until: float


class AnnounceGate:
    """Refuse announcements that arrive late or take another's place.

    Parameters
    ----------
    settings : Settings
        Section ``backends`` gives the lease.

    Notes
    -----
    Both checks look back one lease. Sequence numbers are optional (0 for
    none); a server that restarts and counts from the beginning is accepted
    again after its old lease, so a clock is the better sequence.
    """

    def __init__(self, settings):
        self._lease_s = settings.backends.lease_s
        self._seen = {}

    def check(self, server, now):
        """Check an announcement against the last one of the server.

        Parameters
        ----------
        server : BackendServer
            An announcement whose credential was checked.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        result.Result
            ``Ok(server)`` or ``CONFLICT``.
        """
        self._forget(now)
        seen = self._seen.get(server.server_id)
        if seen is not None and seen.service != server.service:
            return fail(
                ErrorKind.CONFLICT,
                f"'{server.server_id}' is a server of another service",
            )
        if (
            seen is not None
            and server.sequence
            and server.sequence <= seen.sequence
        ):
            return fail(
                ErrorKind.CONFLICT,
                f"sequence {server.sequence} does not follow {seen.sequence}",
            )
        sequence = server.sequence or (seen.sequence if seen else 0)
        self._seen.pop(server.server_id, None)
        self._seen[server.server_id] = _Seen(
            server.service, sequence, now + self._lease_s
        )
        return Ok(server)

    def _forget(self, now):
        while self._seen:
            name = next(iter(self._seen))
            if self._seen[name].until > now:
                return
            del self._seen[name]


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
    gate = AnnounceGate(vm.settings)

    async def announce(request):
        taken = _take(await _read(request), request.headers)
        if taken.is_err():
            return answer_failure(taken.err_value)
        return JSONResponse({"lease_s": vm.settings.backends.lease_s})

    def _take(body, headers):
        parsed = body.and_then(parse_announcement)
        if parsed.is_err():
            return parsed
        scheme, _, credential = headers.get("authorization", "").partition(" ")
        if scheme.lower() != "bearer":
            return fail(ErrorKind.UNAUTHENTICATED, "a bearer token is needed")
        checked = check_announcement(
            parsed.ok_value, credential.strip(), vm.state_cache.state
        )
        if checked.is_err():
            return checked
        now = time.monotonic()
        passed = gate.check(checked.ok_value, now)
        if passed.is_ok():
            vm.directory.announce(passed.ok_value, now)
        return passed

    return Starlette(
        routes=[Route("/v1/announce", announce, methods=["POST"])]
    )


def parse_announcement(body):
    """Parse the body of an announcement.

    Parameters
    ----------
    body : bytes
        A JSON object.

    Returns
    -------
    result.Result
        ``Ok(BackendServer)``, or ``BAD_REQUEST`` that names the fault.

    Examples
    --------
    >>> parse_announcement(b"[]").err_value.detail
    'an announcement is a JSON object'
    """
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError) as error:
        return fail(ErrorKind.BAD_REQUEST, f"not JSON: {error}")
    if not isinstance(fields, dict):
        return fail(ErrorKind.BAD_REQUEST, "an announcement is a JSON object")
    faults = [f"unknown field {name!r}" for name in fields.keys() - _ALLOWED]
    faults += [_check_text(fields.get(name), name) for name in _TEXTS]
    faults += [
        _check_count(fields.get(name, 0), name, highest)
        for name, highest in _COUNTS.items()
    ]
    faults.append(_check_load_path(fields.get("load_path", "")))
    if not isinstance(fields.get("leaving", False), bool):
        faults.append("leaving must be true or false")
    found = sorted(fault for fault in faults if fault)
    if found:
        return fail(ErrorKind.BAD_REQUEST, "; ".join(found))
    return Ok(BackendServer(**fields))


def _check_text(value, name):
    if (
        isinstance(value, str)
        and 0 < len(value) <= _LONGEST_TEXT
        and value.isprintable()
    ):
        return None
    return f"{name} must be a text of 1 to {_LONGEST_TEXT} characters"


def _check_count(value, name, highest):
    # bool is a subclass of int.
    if type(value) is int and 0 <= value <= highest:
        return None
    return f"{name} must be a whole number from 0 to {highest}"


def _check_load_path(value):
    if value == "":
        return None
    if (
        isinstance(value, str)
        and value.startswith("/")
        and len(value) <= _LONGEST_TEXT
        and value.isascii()
        and value.isprintable()
        and " " not in value
    ):
        return None
    return "load_path must be a path like /load"


async def _read(request):
    body = b""
    async for chunk in request.stream():
        body += chunk
        if len(body) > _LIMIT_BYTES:
            return fail(
                ErrorKind.TOO_LARGE,
                f"an announcement has at most {_LIMIT_BYTES} bytes",
            )
    return Ok(body)
