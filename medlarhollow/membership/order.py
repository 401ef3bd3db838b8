"""Ordering of the records of a backend server."""

__all__ = [
    "has_left",
    "is_first_of_process",
    "is_later",
    "is_newer",
    "is_other_process",
]


def is_newer(server, known, now):
    """Return whether a record supersedes the lease that is known.

    Parameters
    ----------
    server : BackendServer
        The record.
    known : Lease
        The current lease of the server.
    now : float
        Monotonic time in seconds.
    """
    if server.started_at_ms and known.server.started_at_ms:
        return is_later(server, known.server)
    return known.expires_at <= now or (server.sequence > known.server.sequence)


def is_later(server, known):
    """Return whether an announcement is later than another of its server.

    Parameters
    ----------
    server, known : BackendServer
        Both carry the start time of their process.
    """
    return (server.started_at_ms, server.sequence) > (
        known.started_at_ms,
        known.sequence,
    )


def is_first_of_process(known, server):
    """Return whether a record is the first one of a process.

    Parameters
    ----------
    known : BackendServer or None
        The previous record of the server.
    server : BackendServer
        The new record.
    """
    return known is None or is_other_process(known, server)


def has_left(known, server):
    """Return whether the process of a record has already announced leaving.

    Parameters
    ----------
    known : BackendServer or None
        The previous record of the server.
    server : BackendServer
        The new record.
    """
    return (
        known is not None
        and known.leaving
        and _process_key(known) == _process_key(server)
    )


def is_other_process(one, other):
    """Return whether a server restarted between two records."""
    return _process_key(one) != _process_key(other) or (
        one.leaving and not other.leaving
    )


def _process_key(server):
    return (
        server.instance,
        server.started_at_ms,
        server.address,
        server.version,
        server.service,
    )
