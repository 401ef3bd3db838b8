"""Incremental updates for one stream to another VM."""

import enum

import attrs

from ..messages import encode
from ..messages.records import BackendServer
from ..messages.records import ExchangeUpdate

__all__ = ["Audience", "OutgoingUpdates", "split_by_encoding"]

# A server's load is sent again once it has changed by this much.
_LOAD_STEP = 0.05
# A server's record is sent again after this many announcements without a
# change, so that VMs that disagree on the latest one converge.
_REFRESH_ANNOUNCEMENTS = 16


def split_by_encoding(update):
    """Separate the records of a message that cannot be encoded.

    Parameters
    ----------
    update : ExchangeUpdate
        Message whose encoding failed.

    Returns
    -------
    tuple of (ExchangeUpdate, tuple)
        The message without these records, and the records.
    """
    dropped = tuple(
        record
        for record in (*update.servers, *update.followers)
        if not _has_encoding(record)
    )
    return (
        attrs.evolve(
            update,
            servers=tuple(filter(_has_encoding, update.servers)),
            followers=tuple(filter(_has_encoding, update.followers)),
        ),
        dropped,
    )


def _has_encoding(record):
    try:
        encode(record)
    except ValueError:
        return False
    return True


class Audience(enum.Enum):
    """What the VM at the other end of a stream needs.

    Attributes
    ----------
    PEER
        The servers for which this VM vouches.
    REGISTRY
        The same, and the VMs that follow this one.
    FOLLOWER
        All servers that are known here, with the VMs that vouch for them.
    """

    PEER = "peer"
    REGISTRY = "registry"
    FOLLOWER = "follower"


@attrs.frozen
class _Sent:
    """What a stream last sent about a server."""

    sequence: int
    load: float
    resend_number: int
    stable_record: object


class OutgoingUpdates:
    """Track what one stream has sent, so that only changes are sent.

    Parameters
    ----------
    audience : Audience
        Decides what the updates contain.
    """

    def __init__(self, audience=Audience.PEER):
        self._audience = audience
        self._sequence = 0
        self._vm = None
        self._sent = {}
        self._loads = {}
        self._relayed = ()
        self._followers = {}

    def next_update(self, vm, directory, load, now):
        """Return the next message.

        Parameters
        ----------
        vm : Vm
            Record of this VM.
        directory : Directory
            Supplies the servers.
        load : LocalLoad
            Requests in flight from this VM.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        ExchangeUpdate
            All servers in the first message; afterwards the servers that
            are new or changed and the counts that changed. The record
            of this VM is included only if it changed. An update without
            changes renews all leases but the overdue ones.
        """
        self._sequence += 1
        counts = load.in_flight
        records = {}
        is_relay = self._audience is Audience.FOLLOWER
        leases = directory.current(now) if is_relay else directory.owned(now)
        for lease in leases:
            server = lease.server
            if self._needs_resend(lease):
                self._sent[server.server_id] = _Sent(
                    server.sequence,
                    server.load,
                    lease.resend_number,
                    lease.stable_record,
                )
                records[server.server_id] = attrs.evolve(
                    server,
                    owner=lease.owner if lease.owner != vm.name else "",
                    load_age_s=max(0.0, now - lease.load_at),
                    lease_left_s=lease.expires_at - now,
                )
        current_ids = {lease.server.server_id for lease in leases}
        ended_ids = [
            ended_id for ended_id in self._sent if ended_id not in current_ids
        ]
        for ended_id in ended_ids:
            del self._sent[ended_id]
        released = ()
        if not is_relay:
            released = tuple(filter(directory.is_owned_elsewhere, ended_ids))
        removed = tuple(
            ended_id for ended_id in ended_ids if ended_id not in released
        )
        loads = {
            server_id: (counts.get(server_id, 0), server_id in load.in_demand)
            for server_id in {*counts, *load.in_demand}
        }
        for server_id in {*loads, *self._loads}:
            if loads.get(server_id) != self._loads.get(server_id):
                records.setdefault(server_id, BackendServer(server_id))
        self._loads = loads
        is_unchanged = vm == self._vm
        self._vm = vm
        relayed, ages_ms = self._list_relayed(directory, now)
        followers, lost = self._list_followers(directory, now)
        return ExchangeUpdate(
            vm=None if is_unchanged else vm,
            sequence=self._sequence,
            servers=tuple(
                attrs.evolve(
                    record,
                    in_flight=counts.get(server_id, 0),
                    wanted=server_id in load.in_demand,
                )
                for server_id, record in records.items()
            ),
            removed=removed,
            released=released,
            overdue=directory.list_overdue(leases, now),
            relayed=relayed,
            relayed_ages_ms=ages_ms,
            followers=followers,
            lost_followers=lost,
        )

    def _list_relayed(self, directory, now):
        """Return the relayed VMs, if they changed, and their ages."""
        if self._audience is not Audience.FOLLOWER:
            return (), ()
        ages_ms = directory.peers.registry_ages_ms(now)
        names = tuple(ages_ms)
        is_unchanged = names == self._relayed
        self._relayed = names
        return () if is_unchanged else names, tuple(ages_ms.values())

    def _list_followers(self, directory, now):
        """Return the followers that changed and those that are silent."""
        if self._audience is not Audience.REGISTRY:
            return (), ()
        followers = directory.peers.followers(now)
        changed = tuple(
            vm
            for name, vm in followers.items()
            if self._followers.get(name) != vm
        )
        lost = tuple(name for name in self._followers if name not in followers)
        self._followers = followers
        return changed, lost

    def _needs_resend(self, lease):
        """Return whether more than the announcement count changed."""
        server = lease.server
        sent = self._sent.get(server.server_id)
        if sent is None or sent.resend_number != lease.resend_number:
            return True
        # A server that restarts may announce itself with the same sequence
        # number again, so this goes before the comparison of these.
        if (
            sent.stable_record is not lease.stable_record
            and sent.stable_record != lease.stable_record
        ):
            return True
        if server.sequence - sent.sequence >= _REFRESH_ANNOUNCEMENTS:
            return True
        return abs(sent.load - server.load) >= _LOAD_STEP
