"""Check the announcement of a backend server."""

import hmac

from result import Ok

from ..configuration import hash_secret
from ..errors import fail
from ..messages.records import ErrorKind
from ..transport import parse_address
from .order import is_later

__all__ = [
    "check_announcement",
    "check_open_announcement",
    "apply_announcement",
]


def apply_announcement(directory, server, now):
    """Enter an announcement in the directory, unless it is late or forged.

    Parameters
    ----------
    directory : Directory
        Takes the announcement.
    server : BackendServer
        Tells when its process started, so that its announcements and those
        of earlier processes are in order whichever VM receives them.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    result.Result
        ``Ok(server)``, also for a late announcement, which changes nothing;
        ``CONFLICT`` if another process uses the identifier.
    """
    known = directory.find(server.server_id)
    if known is not None:
        same = known.started_at_ms == server.started_at_ms
        if same and (known.service, known.address) != (
            server.service,
            server.address,
        ):
            return fail(
                ErrorKind.CONFLICT,
                f"'{server.server_id}' is at {known.address}, a server of "
                f"'{known.service}'",
            )
        if not is_later(server, known):
            return Ok(server)
    directory.announce(server, now)
    return Ok(server)


def check_announcement(server, credential, state):
    """Check who announces a backend server, and what.

    Parameters
    ----------
    server : BackendServer
        The announcement.
    credential : str
        Credential of the service, as sent.
    state : FleetState
        Holds the hashes of the credentials.

    Returns
    -------
    result.Result
        ``Ok(server)`` or the failure.
    """
    service = state.services.get(server.service)
    expected = service.announce_sha256 if service else bytes(32)
    given = hash_secret(credential)
    if not hmac.compare_digest(given, expected) or service is None:
        return fail(
            ErrorKind.UNAUTHENTICATED,
            f"the credential may not announce '{server.service}'",
        )
    return _check_fields(server)


def check_open_announcement(server, state):
    """Check an announcement that came without a credential.

    Parameters
    ----------
    server : BackendServer
        The announcement.
    state : FleetState
        Names the services.

    Returns
    -------
    result.Result
        ``Ok(server)`` or ``BAD_REQUEST``. Before there is any service, one
        of every service is accepted.
    """
    if state.services and server.service not in state.services:
        return fail(ErrorKind.BAD_REQUEST, f"no service '{server.service}'")
    return _check_fields(server)


def _check_fields(server):
    if not server.server_id or not server.version or server.slots < 1:
        return fail(
            ErrorKind.BAD_REQUEST,
            "server_id, version and at least one slot are needed",
        )
    try:
        parse_address(server.address)
    except ValueError as error:
        return fail(ErrorKind.BAD_REQUEST, str(error))
    return Ok(server)
