"""The other VMs of a data centre, as heard over their streams."""

import attrs

__all__ = ["PeerTable"]

# Messages come once a second; a VM is silent when two or more are missing.
_MARGIN_S = 1.0


@attrs.define
class _Peer:
    vm: object
    heard_at: float
    in_flight: dict = attrs.field(factory=dict)
    wanted: set = attrs.field(factory=set)
    free_slots: int = 0
    queued: int = 0


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
            peer = self._peers[vm.name] = _Peer(vm, now)
        peer.vm = vm
        peer.heard_at = now
        peer.free_slots = update.free_slots
        peer.queued = update.queued
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
        return sum(
            peer.in_flight.get(server_id, 0)
            for peer in self._peers.values()
            if self._is_heard(peer, now)
        )

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

    def count_entries(self, data_centre, now):
        """Return how many live peers of a data centre take callers."""
        return sum(
            vm.data_centre == data_centre and bool(vm.caller_address)
            for vm in self.live(now).values()
        )

    def is_wanted(self, server_id, now):
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
        return any(
            server_id in peer.wanted and self._is_heard(peer, now)
            for peer in self._peers.values()
        )

    def takes_callers(self, vm, now):
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

    def _is_heard(self, peer, now):
        return now - peer.heard_at <= self._silence_s
