"""Leases of backend servers."""

import math

import attrs

__all__ = [
    "Lease",
    "ServerView",
    "is_overdue",
    "overdue_servers",
    "pool_key",
]


@attrs.frozen
class ServerView:
    """Snapshot of what this VM knows about a backend server.

    Attributes
    ----------
    server : BackendServer
        The latest record.
    first_seen_at : float
        Monotonic time in seconds at which this process of the server was
        first seen here.
    load_at : float
        Monotonic time in seconds at which the reported load was measured.
    peers_in_flight : int
        Requests in flight there from the other VMs of the data centre.
    is_in_demand : bool
        Whether requests are queued for it at another VM.
    expires_at : float
        Monotonic time in seconds at which its lease ends here.
    """

    server: object
    first_seen_at: float
    load_at: float
    peers_in_flight: int = 0
    is_in_demand: bool = False
    expires_at: float = math.inf


@attrs.define(eq=False)
class Lease:
    """A backend server and its lease, which renewals update in place.

    Attributes
    ----------
    server : BackendServer
        The latest record.
    owner : str
        Name of the VM that owns the lease: the one whose record of the
        server was applied last.
    expires_at : float
        Monotonic time in seconds at which the lease ends.
    first_seen_at : float
        Monotonic time in seconds at which this process of the server was
        first seen here.
    load_at : float
        Monotonic time in seconds at which the reported load was measured.
    resend_number : int
        Changes whenever the record must be sent to the other VMs again.
    stable_record : BackendServer
        The record without the fields that change with each announcement;
        the same object for as long as nothing else changes.
    """

    server: object
    owner: str
    expires_at: float
    first_seen_at: float
    load_at: float
    resend_number: int = 0
    stable_record: object = attrs.field(init=False)

    @stable_record.default
    def _build_stable_record(self):
        return attrs.evolve(self.server, sequence=0, load=0.0, load_age_s=0.0)

    def renew(self, server, owner, expires_at, load_at):
        """Update the lease with a later record of the server."""
        self.server = server
        self.owner = owner
        self.expires_at = expires_at
        self.load_at = load_at
        stable_record = self._build_stable_record()
        if stable_record != self.stable_record:
            self.stable_record = stable_record


def is_overdue(lease, lease_s, now):
    """Return whether the renewals of a lease are overdue.

    Parameters
    ----------
    lease : Lease or ServerView
        The lease, or a view with its end.
    lease_s : float
        Full length of the lease in seconds, within which several
        renewals are due.
    now : float
        Monotonic time in seconds.
    """
    return lease.expires_at <= now + lease_s / 2


def overdue_servers(leases, lease_s, now):
    """Return the servers of the leases for which :func:`is_overdue` holds.

    A registry needs them for each message, so no call is made for each.

    Returns
    -------
    tuple of str
        Identifiers of the servers.
    """
    limit = now + lease_s / 2
    return tuple(
        lease.server.server_id for lease in leases if lease.expires_at <= limit
    )


def pool_key(server):
    """Return the fields that decide a server's pool and its share of it."""
    return (
        server.service,
        server.version,
        server.leaving,
        server.slots,
        server.region,
        server.data_centre,
        server.address,
        server.started_at_ms,
        server.instance,
    )
