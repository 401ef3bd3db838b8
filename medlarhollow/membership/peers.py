"""The other VMs of a data centre, as heard over their streams."""

import collections
import math

import attrs

__all__ = ["PeerTable"]

# Messages come once a second; a VM is silent when two or more are missing.
_MARGIN_S = 1.0


@attrs.define
class _Peer:
    vm: object
    heard_at: float
    # Whether its counts are in the sums over live peers.
    is_counted: bool = False
    in_flight: dict = attrs.field(factory=dict)
    wanted: set = attrs.field(factory=set)


class PeerTable:
    """Hold what each VM of the data centre said last.

    Parameters
    ----------
    settings : Settings
        Section ``peer`` is read.
    """

    def __init__(self, settings):
        self._silence_s = settings.peer.silence_timeout_s + _MARGIN_S
        self._peers = {}
        # Sums over the peers that are not silent, so that a look at a server
        # does not depend on the number of peers.
        self._in_flight = collections.Counter()
        self._wanted = collections.Counter()
        self._entries = collections.Counter()
        # Monotonic time at which the next of them may be silent.
        self._silent_at = math.inf

    def hear(self, update, now):
        """Take an update.

        Parameters
        ----------
        update : ExchangeUpdate
            From the peer's stream.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether this is another process than before.
        """
        vm = update.vm
        peer = self._peers.get(vm.name)
        is_new = peer is None or peer.vm.incarnation != vm.incarnation
        if is_new:
            if peer is not None:
                self._count(peer, False)
            peer = self._peers[vm.name] = _Peer(vm, now)
        self._count(peer, False)
        peer.vm = vm
        peer.heard_at = now
        if update.sequence == 1:
            # The first update of a stream names everything.
            peer.in_flight.clear()
            peer.wanted.clear()
        for server in update.servers:
            if server.in_flight:
                peer.in_flight[server.server_id] = server.in_flight
            else:
                peer.in_flight.pop(server.server_id, None)
            if server.wanted:
                peer.wanted.add(server.server_id)
            else:
                peer.wanted.discard(server.server_id)
        self._count(peer, True)
        self._silent_at = min(self._silent_at, now + self._silence_s)
        return is_new

    def in_flight(self, server_id, now):
        """Return the requests that live peers have at a server.

        Parameters
        ----------
        server_id : str
            Identifier of the backend server.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        int
            Sum over the peers that are not silent.
        """
        self._drop_silent(now)
        return self._in_flight[server_id]

    def live(self, now):
        """Return the records of the peers that are not silent.

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
            if self._is_heard(peer, now)
        }

    def count_entry_vms(self, data_centre, now):
        """Return how many live peers of a data centre take callers."""
        self._drop_silent(now)
        return self._entries[data_centre]

    def is_in_demand(self, server_id, now):
        """Tell whether requests wait for a server at a live peer.

        Parameters
        ----------
        server_id : str
            Identifier of the backend server.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            From the last update of each.
        """
        self._drop_silent(now)
        return self._wanted[server_id] > 0

    def accepts_callers(self, vm, now):
        """Tell whether a VM of the roster should be named to callers.

        Parameters
        ----------
        vm : Vm
            Its line in the roster.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            False if this process of it fell silent or said that it drains;
            this is known here before it is in the roster. True for VMs that
            were never heard, such as those of other data centres.
        """
        peer = self._peers.get(vm.name)
        if peer is None or peer.vm.incarnation != vm.incarnation:
            return True
        return self._is_heard(peer, now) and peer.vm.state is vm.state

    def _drop_silent(self, now):
        """Take peers that fell silent out of the sums."""
        if now <= self._silent_at:
            return
        for peer in self._peers.values():
            if peer.is_counted and not self._is_heard(peer, now):
                self._count(peer, False)
        last_heard = [
            peer.heard_at for peer in self._peers.values() if peer.is_counted
        ]
        self._silent_at = min(last_heard, default=math.inf) + self._silence_s

    def _count(self, peer, is_live):
        """Add a peer to the sums, or take it out of them."""
        if peer.is_counted == is_live:
            return
        peer.is_counted = is_live
        sign = 1 if is_live else -1
        for server_id, number in peer.in_flight.items():
            _add(self._in_flight, server_id, sign * number)
        for server_id in peer.wanted:
            _add(self._wanted, server_id, sign)
        if peer.vm.caller_address:
            self._entries[peer.vm.data_centre] += sign

    def _is_heard(self, peer, now):
        return now - peer.heard_at <= self._silence_s


def _add(sums, name, number):
    """Add to a sum, and forget it at 0."""
    sums[name] += number
    if not sums[name]:
        del sums[name]
