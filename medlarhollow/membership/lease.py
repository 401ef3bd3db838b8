"""A backend server with its lease."""

import attrs

__all__ = ["Lease", "ServerView", "place_of"]


@attrs.frozen
class ServerView:
    """A backend server as this VM sees it.

    Attributes
    ----------
    server : BackendServer
        The latest record.
    first_seen_at : float
        Monotonic time in seconds at which this process of the server was
        first seen here.
    load_at : float
        Monotonic time in seconds to which its reported load belongs.
    peers_in_flight : int
        Requests that the other VMs of the data centre have there.
    is_in_demand : bool
        Whether requests wait for it at another VM.
    """

    server: object
    first_seen_at: float
    load_at: float
    peers_in_flight: int = 0
    is_in_demand: bool = False


@attrs.define(eq=False)
class Lease:
    """A backend server with its lease; renewals change it in place.

    Attributes
    ----------
    server : BackendServer
        The latest record.
    owner : str
        VM that told it last.
    expires_at : float
        Monotonic time in seconds at which the lease ends.
    first_seen_at : float
        Monotonic time in seconds at which this process of the server was
        first seen here.
    load_at : float
        Monotonic time in seconds to which its reported load belongs.
    claim : int
        Changes whenever the other VMs must be told of it again.
    lasting : BackendServer
        The record without what each announcement changes; the same object
        for as long as nothing else changes.
    """

    server: object
    owner: str
    expires_at: float
    first_seen_at: float
    load_at: float
    claim: int = 0
    lasting: object = attrs.field(init=False)

    @lasting.default
    def _find_lasting(self):
        return attrs.evolve(self.server, sequence=0, load=0.0, load_age_s=0.0)

    def renew(self, server, owner, expires_at, load_at):
        """Take a later record of the server."""
        self.server = server
        self.owner = owner
        self.expires_at = expires_at
        self.load_at = load_at
        lasting = self._find_lasting()
        if lasting != self.lasting:
            self.lasting = lasting


def place_of(server):
    """Return what decides to which pool a server belongs, and its share."""
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
