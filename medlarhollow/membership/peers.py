"""Table of the VMs that exchange updates with this one."""

import collections
import math

import attrs

from .witnesses import WitnessTable

__all__ = ["PeerTable"]

# Messages arrive once a second; they are overdue once two or more are missing.
_SILENCE_MARGIN_S = 1.0
_MS_PER_S = 1000.0


@attrs.define
class _Peer:
    vm: object
    last_received_at: float
    # Whether its counts are included in the sums over live peers.
    is_counted: bool = False
    in_flight: dict = attrs.field(factory=dict)
    in_demand: set = attrs.field(factory=set)


class PeerTable:
    """Track the latest state reported by each peer VM.

    Parameters
    ----------
    settings : Settings
        Section ``peer`` is read.
    """

    def __init__(self, settings):
        self._silence_limit_s = (
            settings.peer.silence_timeout_s + _SILENCE_MARGIN_S
        )
        self._peers = {}
        # Sums over the live peers, so that the cost of reading a server's
        # counts does not depend on the number of peers.
        self._in_flight = collections.Counter()
        self._in_demand = collections.Counter()
        self._entry_vms = collections.Counter()
        self._witnesses = WitnessTable()
        # Earliest monotonic time at which a message of one may be overdue.
        self._next_silence_at = math.inf

    def record_update(self, update, now):
        """Record an update of a peer.

        Parameters
        ----------
        update : ExchangeUpdate
            Message of the peer's stream.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether it comes from a new process of the peer.
        """
        vm = update.vm
        peer = self._peers.get(vm.name)
        is_new = peer is None or peer.vm.incarnation != vm.incarnation
        if is_new:
            if peer is not None:
                self._set_counted(peer, False)
            peer = self._peers[vm.name] = _Peer(vm, now)
        self._set_counted(peer, False)
        peer.vm = vm
        peer.last_received_at = now
        if update.sequence == 1:
            # The first update of a stream is complete.
            peer.in_flight.clear()
            peer.in_demand.clear()
        for server in update.servers:
            if server.in_flight:
                peer.in_flight[server.server_id] = server.in_flight
            else:
                peer.in_flight.pop(server.server_id, None)
            if server.wanted:
                peer.in_demand.add(server.server_id)
            else:
                peer.in_demand.discard(server.server_id)
        self._set_counted(peer, True)
        self._witnesses.record(update)
        self._next_silence_at = min(
            self._next_silence_at, now + self._silence_limit_s
        )
        return is_new

    def in_flight(self, server_id, now):
        """Return the requests in flight from live peers at a server.

        Parameters
        ----------
        server_id : str
            Identifier of the backend server.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        int
            Sum over the live peers.
        """
        self._remove_silent_peers(now)
        return self._in_flight[server_id]

    def live(self, now):
        """Return the records of the live peers.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        dict of str to Vm
            By name.
        """
        return {
            name: peer.vm
            for name, peer in self._peers.items()
            if self._is_live(peer, now)
        }

    def count_entry_vms(self, data_centre, now):
        """Count the live entry VMs among the peers of a data centre."""
        self._remove_silent_peers(now)
        return self._entry_vms[data_centre]

    def is_in_demand(self, server_id, now):
        """Return whether requests are queued for a server at a live peer.

        Parameters
        ----------
        server_id : str
            Identifier of the backend server.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            According to the last update of each peer.
        """
        self._remove_silent_peers(now)
        return self._in_demand[server_id] > 0

    def registry_ages_ms(self, now):
        """Return the milliseconds since the last update of each registry.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        dict of str to int
            By name, for the live peers that accept announcements.
        """
        return {
            name: max(0, math.ceil((now - peer.last_received_at) * _MS_PER_S))
            for name, peer in self._peers.items()
            if peer.vm.announce_address and self._is_live(peer, now)
        }

    def followers(self, now):
        """Return the records of the live peers that are no registries."""
        return {
            name: vm
            for name, vm in self.live(now).items()
            if not vm.announce_address
        }

    def accepts_callers(self, vm, now):
        """Return whether a VM of the roster may be returned to callers.

        Parameters
        ----------
        vm : Vm
            Its record in the roster.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            False if this VM or a registry that it hears lost this process of
            the VM and no other one hears it, or if it reported that it is
            draining, which is known here before the roster shows it. True for
            VMs of which neither has ever heard.
        """
        peer = self._peers.get(vm.name)
        is_peer = peer is not None and peer.vm.incarnation == vm.incarnation

        def is_live(name):
            return name in self._peers and self._is_live(
                self._peers[name], now
            )

        reports = self._witnesses.reports(vm, is_live)
        if is_peer and self._is_live(peer, now):
            reports.append(peer.vm)
        if reports:
            return all(report.state is vm.state for report in reports)
        return not is_peer and not self._witnesses.is_lost(vm, is_live)

    def _remove_silent_peers(self, now):
        """Remove from the sums the peers whose messages are overdue."""
        if now <= self._next_silence_at:
            return
        for peer in self._peers.values():
            if peer.is_counted and not self._is_live(peer, now):
                self._set_counted(peer, False)
        last_received = [
            peer.last_received_at
            for peer in self._peers.values()
            if peer.is_counted
        ]
        self._next_silence_at = (
            min(last_received, default=math.inf) + self._silence_limit_s
        )

    def _set_counted(self, peer, is_live):
        """Add a peer's counts to the sums, or remove them."""
        if peer.is_counted == is_live:
            return
        peer.is_counted = is_live
        sign = 1 if is_live else -1
        for server_id, count in peer.in_flight.items():
            _add(self._in_flight, server_id, sign * count)
        for server_id in peer.in_demand:
            _add(self._in_demand, server_id, sign)
        if peer.vm.caller_address:
            self._entry_vms[peer.vm.data_centre] += sign

    def _is_live(self, peer, now):
        return now - peer.last_received_at <= self._silence_limit_s


def _add(sums, server_id, amount):
    """Add to a sum and delete it when it reaches 0."""
    sums[server_id] += amount
    if not sums[server_id]:
        del sums[server_id]
