"""Directory of the backend servers of a data centre."""

import attrs

from .peers import PeerTable

__all__ = ["Directory", "ServerView"]

# A record without a lease is kept for this many leases.
_KEPT_LEASES = 10


@attrs.frozen
class ServerView:
    """A backend server as this VM sees it.

    Attributes
    ----------
    server : BackendServer
        The latest record.
    since : float
        Monotonic time in seconds at which this process of the server was
        first seen here.
    load_at : float
        Monotonic time in seconds to which its reported load belongs.
    peers_in_flight : int
        Requests that the other VMs of the data centre have there.
    is_wanted : bool
        Whether requests wait for it at another VM.
    """

    server: object
    since: float
    load_at: float
    peers_in_flight: int = 0
    is_wanted: bool = False


@attrs.define
class _Entry:
    server: object
    owner: str
    expires_at: float
    since: float
    load_at: float


class Directory:
    """Hold the leases of backend servers.

    Parameters
    ----------
    settings : Settings
        Sections ``vm``, ``peer`` and ``backends`` are read.

    Notes
    -----
    The VM that received the last announcement owns a server's lease.
    Each announcement raises the server's sequence number above any that is
    known here, so that an update that was overtaken on its way is recognised
    without comparing clocks.
    """

    def __init__(self, settings):
        self._settings = settings.backends
        self._own_name = settings.vm.name
        self._entries = {}
        self._peers = PeerTable(settings)
        self._listeners = []
        # Last full record of each server by the VM that sent it.
        self._described = {}

    @property
    def peers(self):
        """PeerTable : the other VMs of the data centre."""
        return self._peers

    def subscribe(self, listener):
        """Call `listener` without arguments for updates that must not wait."""
        self._listeners.append(listener)

    def announce(self, server, now):
        """Take an announcement, which renews the server's lease.

        Parameters
        ----------
        server : BackendServer
            A checked announcement.
        now : float
            Monotonic time in seconds.
        """
        known = self._entries.get(server.server_id)
        sequence = known.server.sequence + 1 if known else 1
        server = attrs.evolve(server, sequence=sequence, in_flight=0)
        is_change = (
            known is None
            or known.expires_at <= now
            or known.owner != self._own_name
            or _is_other_process(known.server, server)
            or known.server.leaving != server.leaving
        )
        expires_at = now + self._settings.lease_s
        load_at = now - server.load_age_s
        self._put(server, self._own_name, expires_at, now, load_at)
        if is_change:
            for listener in self._listeners:
                listener()

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
        return [entry.server for entry in self._usable(service, version, now)]

    def views(self, service, version, now):
        """Return the servers that may get new work, with what is known.

        Parameters
        ----------
        service, version : str
            What they must serve.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of ServerView
            Those with a lease that are not leaving.
        """
        return [
            ServerView(
                entry.server,
                entry.since,
                entry.load_at,
                self._peers.in_flight(entry.server.server_id, now),
                self._peers.is_wanted(entry.server.server_id, now),
            )
            for entry in self._usable(service, version, now)
        ]

    def known(self):
        """Return the identifiers of all servers that are remembered."""
        return set(self._entries)

    def owned(self, now):
        """Return the servers that this VM owns the lease of.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of (BackendServer, float)
            With the monotonic time in seconds at which each lease ends;
            leaving servers are included.
        """
        self._forget(now)
        return [
            (
                attrs.evolve(
                    entry.server, load_age_s=max(0.0, now - entry.load_at)
                ),
                entry.expires_at,
            )
            for entry in self._entries.values()
            if entry.owner == self._own_name and entry.expires_at > now
        ]

    def merge(self, update, now):
        """Take an update of another VM of the data centre.

        Parameters
        ----------
        update : ExchangeUpdate
            From its stream, with the sender's record.
        now : float
            Monotonic time in seconds.
        """
        name = update.vm.name
        if self._peers.hear(update, now):
            self._forget_owner(name)
        described = self._described.setdefault(name, {})
        if update.sequence == 1:
            described.clear()
        for server in update.servers:
            if server.address:
                described[server.server_id] = server
                self._merge_server(server, name, now)
            elif server.lease_left_s > 0 and server.server_id in described:
                known = described[server.server_id]
                described[server.server_id] = attrs.evolve(
                    known,
                    sequence=server.sequence,
                    lease_left_s=server.lease_left_s,
                )
                self._merge_server(
                    described[server.server_id], name, now, renewal=True
                )
        for server_id in update.removed:
            described.pop(server_id, None)
            entry = self._entries.get(server_id)
            if entry is not None and entry.owner == name:
                del self._entries[server_id]

    def is_owned_elsewhere(self, server_id):
        """Tell whether another VM owns the lease of a server now."""
        entry = self._entries.get(server_id)
        return entry is not None and entry.owner != self._own_name

    def _forget_owner(self, name):
        """Accept any updates of a VM that restarted and counts anew."""
        for entry in self._entries.values():
            if entry.owner == name:
                entry.server = attrs.evolve(entry.server, sequence=0)

    def _merge_server(self, server, name, now, renewal=False):
        known = self._entries.get(server.server_id)
        if known is not None and not _is_newer(server, known, now):
            return
        lease_s = min(server.lease_left_s, self._settings.lease_s)
        load_at = now - server.load_age_s
        if renewal and known is not None:
            load_at = known.load_at
        self._put(server, name, now + lease_s, now, load_at)

    def _put(self, server, owner, expires_at, now, load_at):
        known = self._entries.get(server.server_id)
        since = now
        if (
            known is not None
            and known.expires_at > now
            and not _is_other_process(known.server, server)
        ):
            since = known.since
        self._entries[server.server_id] = _Entry(
            server, owner, expires_at, since, load_at
        )

    def _usable(self, service, version, now):
        return [
            entry
            for entry in self._entries.values()
            if entry.server.service == service
            and entry.server.version == version
            and not entry.server.leaving
            and entry.expires_at > now
        ]

    def _forget(self, now):
        kept_s = _KEPT_LEASES * self._settings.lease_s
        for server_id in [
            server_id
            for server_id, entry in self._entries.items()
            if entry.expires_at + kept_s <= now
        ]:
            del self._entries[server_id]


def _is_newer(server, known, now):
    """Tell whether a record is newer than what is known."""
    return known.expires_at <= now or (server.sequence > known.server.sequence)


def _is_other_process(one, other):
    """Tell whether a server restarted between two records."""
    return (one.instance, one.address, one.version, one.service) != (
        other.instance,
        other.address,
        other.version,
        other.service,
    ) or (one.leaving and not other.leaving)
