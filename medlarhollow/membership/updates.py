"""What one stream to another VM still has to say."""

import attrs

from ..messages.records import BackendServer
from ..messages.records import ExchangeUpdate

__all__ = ["OutgoingUpdates"]

# Reported load is sent again when it has changed by this much.
_LOAD_STEP = 0.05


class OutgoingUpdates:
    """Remember what one stream has sent, so that it sends only changes."""

    def __init__(self):
        self._sequence = 0
        self._vm = None
        self._sent = {}
        self._loads = {}

    def next_update(self, vm, directory, load, now):
        """Return the next message.

        Parameters
        ----------
        vm : Vm
            This VM.
        directory : Directory
            The servers that this VM owns the lease of.
        load : OwnLoad
            Requests in flight here.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        ExchangeUpdate
            All servers in the first message, then those that are new or
            changed, renewals without their description, and changed counts;
            this VM's own record only if it changed.
        """
        self._sequence += 1
        counts = load.in_flight
        records = {}
        owned = directory.owned(now)
        for server, expires_at in owned:
            record = self._describe(server, expires_at - now)
            if record is not None:
                records[server.server_id] = record
        names = {server.server_id for server, _ in owned}
        ended = [name for name in self._sent if name not in names]
        for name in ended:
            del self._sent[name]
        removed = [
            name for name in ended if not directory.is_owned_elsewhere(name)
        ]
        loads = {
            server_id: (counts.get(server_id, 0), server_id in load.wanted)
            for server_id in {*counts, *load.wanted}
        }
        for server_id in {*loads, *self._loads}:
            if loads.get(server_id) != self._loads.get(server_id):
                records.setdefault(server_id, BackendServer(server_id))
        self._loads = loads
        is_same = vm == self._vm
        self._vm = vm
        return ExchangeUpdate(
            vm=None if is_same else vm,
            sequence=self._sequence,
            servers=tuple(
                attrs.evolve(
                    record,
                    in_flight=counts.get(server_id, 0),
                    wanted=server_id in load.wanted,
                )
                for server_id, record in records.items()
            ),
            removed=tuple(removed),
            free_slots=load.free_slots,
            queued=load.queued,
        )

    def _describe(self, server, lease_left_s):
        sent = self._sent.get(server.server_id)
        if sent is not None and sent.sequence == server.sequence:
            return None
        if sent is None or _is_changed(sent, server):
            self._sent[server.server_id] = server
            return attrs.evolve(server, lease_left_s=lease_left_s)
        self._sent[server.server_id] = attrs.evolve(
            sent, sequence=server.sequence
        )
        return BackendServer(
            server_id=server.server_id,
            sequence=server.sequence,
            lease_left_s=lease_left_s,
        )


def _is_changed(sent, server):
    same = attrs.evolve(
        server,
        sequence=sent.sequence,
        load=sent.load,
        load_age_s=sent.load_age_s,
    )
    return same != sent or abs(sent.load - server.load) >= _LOAD_STEP
