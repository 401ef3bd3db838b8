"""Index of backend servers by address; an address may be reused."""

__all__ = ["AddressIndex"]


class AddressIndex:
    """Map each address to the last server seen there.

    Parameters
    ----------
    leases : dict of str to Lease
        By server identifier; maintained by the directory.
    """

    def __init__(self, leases):
        self._leases = leases
        self._server_ids = {}

    def is_superseded(self, server, now):
        """Return whether a later process now uses a server's address."""
        current = self._leases.get(self._server_ids.get(server.address))
        return (
            current is not None
            and current.server.server_id != server.server_id
            and current.server.started_at_ms > server.started_at_ms > 0
            and current.expires_at > now
        )

    def assign(self, server, now):
        """Assign an address to the server that announces it.

        Parameters
        ----------
        server : BackendServer
            First record of a process.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether this ended the lease of an earlier process at the address.
        """
        earlier = self._leases.get(self._server_ids.get(server.address))
        self._server_ids[server.address] = server.server_id
        if (
            earlier is None
            or earlier.server.server_id == server.server_id
            or earlier.server.address != server.address
            or earlier.server.started_at_ms >= server.started_at_ms
        ):
            return False
        earlier.expires_at = min(earlier.expires_at, now)
        return True

    def discard(self, server):
        """Remove a server that the directory no longer retains."""
        if self._server_ids.get(server.address) == server.server_id:
            del self._server_ids[server.address]
