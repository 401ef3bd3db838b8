"""Directory of the backend servers of a data centre."""

import attrs

from ..messages.records import BackendServer

__all__ = ["Directory"]


@attrs.frozen
class _Lease:
    server: BackendServer
    expires_at: float


class Directory:
    """Hold the leases of backend servers.

    Parameters
    ----------
    settings : Settings
        Section ``backends`` is read.
    """

    def __init__(self, settings):
        self._settings = settings.backends
        self._leases = {}

    def announce(self, server, now):
        """Take an announcement, which renews the server's lease.

        Parameters
        ----------
        server : BackendServer
            A checked announcement.
        now : float
            Monotonic time in seconds.
        """
        expires_at = now + self._settings.lease_s
        self._leases[server.server_id] = _Lease(server, expires_at)

    def servers(self, service, version, now):
        """Return the servers that may get new work.

        Parameters
        ----------
        service, version : str
            What they must serve.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of BackendServer
            Those with a lease that are not leaving.
        """
        return [
            lease.server
            for lease in self._leases.values()
            if lease.server.service == service
            and lease.server.version == version
            and not lease.server.leaving
            and lease.expires_at > now
        ]
