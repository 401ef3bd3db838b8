"""Ordering of the records of a backend server."""

__all__ = [
    "has_left",
    "is_first_of_process",
    "is_later",
    "is_newer",
    "is_other_process",
]


def is_newer(server, lease, now):
    """Return whether a record supersedes the one in a lease.

    Parameters
    ----------
    server : BackendServer
        The record.
    lease : Lease
        The current lease of the server.
    now : float
        Monotonic time in seconds.
    """
    if server.started_at_ms and lease.server.started_at_ms:
        return is_later(server, lease.server)
    return lease.expires_at <= now or (server.sequence > lease.server.sequence)


def is_later(server, other):
    """Return whether an announcement is later than another of its server.

    Parameters
    ----------
    server, other : BackendServer
        Both carry the start time of their process.
    """
    return (server.started_at_ms, server.sequence) > (
        other.started_at_ms,
        other.sequence,
    )


def is_first_of_process(previous, server):
    """Return whether a record is the first one of a process.

    Parameters
    ----------
    previous : BackendServer or None
        The previous record of the server.
    server : BackendServer
        The new record.
    """
    return previous is None or is_other_process(previous, server)


def has_left(previous, server):
    """Return whether the process of a record has already announced leaving.

    Parameters
    ----------
    previous : BackendServer or None
        The previous record of the server.
    server : BackendServer
        The new record.
    """
    return (
        previous is not None
        and previous.leaving
        and _process_key(previous) == _process_key(server)
    )


def is_other_process(previous, server):
    """Return whether a server restarted between two records."""
    return _process_key(previous) != _process_key(server) or (
        previous.leaving and not server.leaving
    )


def _process_key(server):
    return (
        server.instance,
        server.started_at_ms,
        server.address,
        server.version,
        server.service,
    )
