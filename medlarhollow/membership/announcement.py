"""Validate announcements of backend servers."""

import hmac

from result import Ok

from ..configuration import hash_secret
from ..errors import fail
from ..messages import encode
from ..messages.records import ErrorKind
from ..transport import parse_address
from .order import is_later

__all__ = [
    "check_announcement",
    "check_open_announcement",
    "apply_announcement",
]


# Size limit of the encoded record of a server.
_RECORD_LIMIT_BYTES = 2048


def apply_announcement(directory, server, now, source=""):
    """Add an announcement unless it is late or conflicts with another process.

    Parameters
    ----------
    directory : Directory
        Directory that is updated.
    server : BackendServer
        The announcement. It carries the start time of the process, which
        orders it against announcements of earlier processes, whichever VM
        receives them.
    now : float
        Monotonic time in seconds.
    source : str
        Network address that it was received from.

    Returns
    -------
    result.Result
        ``Ok(server)``, also for a late announcement, which is ignored;
        ``CONFLICT`` if the identifier is registered for another service or
        address with the same start time, so that it is no restart.
    """
    current = directory.find(server.server_id)
    if current is not None:
        has_same_start = current.started_at_ms == server.started_at_ms
        if has_same_start and (current.service, current.address) != (
            server.service,
            server.address,
        ):
            return fail(
                ErrorKind.CONFLICT,
                f"'{server.server_id}' is registered at {current.address} for "
                f"service '{current.service}'",
            )
        if not is_later(server, current):
            directory.renew_left(server, now)
            return Ok(server)
    directory.announce(server, now, source)
    return Ok(server)


def check_announcement(server, credential, state):
    """Authenticate an announcement and validate its fields.

    Parameters
    ----------
    server : BackendServer
        The announcement.
    credential : str
        Credential of the service, as received.
    state : FleetState
        Contains the hashes of the services' credentials.

    Returns
    -------
    result.Result
        ``Ok(server)``, ``UNAUTHENTICATED`` or ``BAD_REQUEST``.
    """
    service = state.services.get(server.service)
    expected = service.announce_sha256 if service else bytes(32)
    given = hash_secret(credential)
    if not hmac.compare_digest(given, expected) or service is None:
        return fail(
            ErrorKind.UNAUTHENTICATED,
            f"the credential is not valid for service '{server.service}'",
        )
    return _check_fields(server)


def check_open_announcement(server, state):
    """Validate an announcement that was sent without a credential.

    Parameters
    ----------
    server : BackendServer
        The announcement.
    state : FleetState
        Contains the configured services.

    Returns
    -------
    result.Result
        ``Ok(server)`` or ``BAD_REQUEST``. Any service name is accepted as
        long as no service is configured.
    """
    if state.services and server.service not in state.services:
        return fail(ErrorKind.BAD_REQUEST, f"no service '{server.service}'")
    return _check_fields(server)


def _check_fields(server):
    if not server.server_id or not server.version or server.slots < 1:
        return fail(
            ErrorKind.BAD_REQUEST,
            "server_id, version and at least one slot are required",
        )
    try:
        parse_address(server.address)
        # A record without an encoding could not be sent to any other VM.
        size = len(encode(server))
    except ValueError as error:
        return fail(ErrorKind.BAD_REQUEST, str(error))
    if size > _RECORD_LIMIT_BYTES:
        return fail(
            ErrorKind.BAD_REQUEST,
            f"the record of a server must not exceed {_RECORD_LIMIT_BYTES}"
            " bytes",
        )
    return Ok(server)
