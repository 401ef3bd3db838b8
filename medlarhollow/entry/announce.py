"""HTTP application that receives announcements of backend servers."""

import json

import attrs
from result import Ok
from starlette.applications import Starlette
from starlette.responses import JSONResponse
from starlette.routing import Route

from .. import clock
from ..errors import fail
from ..membership import check_announcement
from ..messages.records import BackendServer
from ..messages.records import ErrorKind
from .registry import confirm_leave
from .responses import make_failure_response

__all__ = ["AnnouncementFilter", "make_announce_app", "parse_announcement"]

_BODY_LIMIT_BYTES = 8192
_TEXT_LIMIT = 255
# Far above any real server; the directory and the server selection add up
# these counts.
_COUNT_LIMIT = 100_000
_SEQUENCE_LIMIT = 2**63
_TEXT_FIELDS = ("server_id", "service", "version", "address")
_COUNT_FIELDS = {
    "slots": _COUNT_LIMIT,
    "connections": _COUNT_LIMIT,
    "sequence": _SEQUENCE_LIMIT,
}
_ALLOWED_FIELDS = {*_TEXT_FIELDS, *_COUNT_FIELDS, "load_path", "leaving"}


@attrs.frozen
class _LastAnnouncement:
    service: str
    sequence: int
    expires_at: float


class AnnouncementFilter:
    """Reject stale announcements and reuse of a server id by a service.

    Parameters
    ----------
    settings : Settings
        Section ``backends`` sets the lease.

    Notes
    -----
    Both checks compare with announcements of the last lease period. Sequence
    numbers are optional (0 for none). A server that restarts its sequence
    at 1 is accepted again only after its previous lease has expired, so the
    sequence is best taken from a clock.
    """

    def __init__(self, settings):
        self._lease_s = settings.backends.lease_s
        self._last_announcements = {}

    def check(self, server, now):
        """Check an announcement against the last one with its server id.

        Parameters
        ----------
        server : BackendServer
            Announcement with a verified credential.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        result.Result
            ``Ok(server)`` or ``CONFLICT``.
        """
        self._evict_expired(now)
        last = self._last_announcements.get(server.server_id)
        if last is not None and last.service != server.service:
            return fail(
                ErrorKind.CONFLICT,
                f"'{server.server_id}' is announced for another service",
            )
        if (
            last is not None
            and server.sequence
            and server.sequence <= last.sequence
        ):
            return fail(
                ErrorKind.CONFLICT,
                f"sequence {server.sequence} does not follow {last.sequence}",
            )
        sequence = server.sequence or (last.sequence if last else 0)
        self._last_announcements.pop(server.server_id, None)
        self._last_announcements[server.server_id] = _LastAnnouncement(
            server.service, sequence, now + self._lease_s
        )
        return Ok(server)

    def _evict_expired(self, now):
        while self._last_announcements:
            name = next(iter(self._last_announcements))
            if self._last_announcements[name].expires_at > now:
                return
            del self._last_announcements[name]


def make_announce_app(vm):
    """Return the HTTP application that receives announcements.

    Parameters
    ----------
    vm : EntryVm
        Provides the directory and the fleet state.

    Returns
    -------
    starlette.applications.Starlette
        ``POST /v1/announce``.
    """
    announcement_filter = AnnouncementFilter(vm.settings)

    async def announce(request):
        source = request.client.host if request.client else ""
        body = await _read_body(request)
        now = clock.monotonic()
        accepted = _accept(body, request.headers, source, now)
        if accepted.is_err():
            return make_failure_response(accepted.err_value)
        if accepted.ok_value.leaving:
            confirmed = await confirm_leave(vm, now)
            if confirmed.is_err():
                return make_failure_response(confirmed.err_value)
        return JSONResponse({"lease_s": vm.settings.backends.lease_s})

    def _accept(body, headers, source, now):
        parsed = body.and_then(parse_announcement)
        if parsed.is_err():
            return parsed
        scheme, _, credential = headers.get("authorization", "").partition(" ")
        if scheme.lower() != "bearer":
            return fail(
                ErrorKind.UNAUTHENTICATED, "a bearer token is required"
            )
        checked = check_announcement(
            parsed.ok_value, credential.strip(), vm.state_cache.state
        )
        if checked.is_err():
            return checked
        passed = vm.directory.check_capacity(
            checked.ok_value, source
        ).and_then(lambda server: announcement_filter.check(server, now))
        if passed.is_ok():
            vm.directory.announce(passed.ok_value, now, source)
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
        ``Ok(BackendServer)``, or ``BAD_REQUEST`` that names every invalid
        field.

    Examples
    --------
    >>> parse_announcement(b"[]").err_value.detail
    'an announcement must be a JSON object'
    """
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError) as error:
        return fail(ErrorKind.BAD_REQUEST, f"invalid JSON: {error}")
    if not isinstance(fields, dict):
        return fail(
            ErrorKind.BAD_REQUEST, "an announcement must be a JSON object"
        )
    problems = [
        f"unknown field {name!r}" for name in fields.keys() - _ALLOWED_FIELDS
    ]
    problems += [_check_text(fields.get(name), name) for name in _TEXT_FIELDS]
    problems += [
        _check_count(fields.get(name, 0), name, limit)
        for name, limit in _COUNT_FIELDS.items()
    ]
    problems.append(_check_load_path(fields.get("load_path", "")))
    if not isinstance(fields.get("leaving", False), bool):
        problems.append("leaving must be true or false")
    reported = sorted(problem for problem in problems if problem)
    if reported:
        return fail(ErrorKind.BAD_REQUEST, "; ".join(reported))
    return Ok(BackendServer(**fields))


def _check_text(value, name):
    if (
        isinstance(value, str)
        and 0 < len(value) <= _TEXT_LIMIT
        and value.isprintable()
    ):
        return None
    return f"{name} must be a string of 1 to {_TEXT_LIMIT} characters"


def _check_count(value, name, limit):
    # isinstance would accept bool, a subclass of int.
    if type(value) is int and 0 <= value <= limit:
        return None
    return f"{name} must be an integer from 0 to {limit}"


def _check_load_path(value):
    if value == "":
        return None
    if (
        isinstance(value, str)
        and value.startswith("/")
        and len(value) <= _TEXT_LIMIT
        and value.isascii()
        and value.isprintable()
        and " " not in value
    ):
        return None
    return "load_path must be an absolute path such as /load"


async def _read_body(request):
    body = b""
    async for chunk in request.stream():
        body += chunk
        if len(body) > _BODY_LIMIT_BYTES:
            return fail(
                ErrorKind.TOO_LARGE,
                f"an announcement must not exceed {_BODY_LIMIT_BYTES} bytes",
            )
    return Ok(body)
