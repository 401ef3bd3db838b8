"""Check the announcement of a backend server."""

import hmac

from result import Ok

from ..configuration import hash_secret
from ..errors import fail
from ..messages.records import ErrorKind
from ..transport import parse_address

__all__ = ["check_announcement"]


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
