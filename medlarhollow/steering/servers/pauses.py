"""Pauses that overloaded servers ask for.

They answer an overload of single servers: one that sheds requests names the
time after which it wants to be asked again, and requests before that time
would add to the load that it sheds.
"""

import math

import attrs

from ...membership import is_other_process

__all__ = ["ServerPauses"]

# Requests that this VM may have at a server after its pause, until one of them
# is answered: the VMs of the fleet that it turned away return one by one.
_TRIAL_REQUESTS = 1
# A trial that no request ends is over after this time.
_TRIAL_LIMIT_S = 10.0


@attrs.frozen
class _Pause:
    server: object
    until: float


class ServerPauses:
    """Track the servers that want no requests from this VM for a while."""

    def __init__(self):
        self._pauses = {}

    def record(self, server, pause_s, spread, now):
        """Record that a server asked for a pause.

        Parameters
        ----------
        server : BackendServer
            Record under which the request was sent to it.
        pause_s : float
            Length of the pause in seconds.
        spread : float
            Random part, from 0 to 1, of half the pause by which this VM
            extends it, so that the VMs do not return at the same moment.
        now : float
            Monotonic time in seconds.
        """
        until = now + pause_s * (1 + spread / 2)
        previous = self._pauses.get(server.server_id)
        if previous is not None and not is_other_process(
            previous.server, server
        ):
            until = max(until, previous.until)
        self._pauses[server.server_id] = _Pause(server, until)

    def has_paused(self, now):
        """Return whether any server is paused."""
        return any(pause.until > now for pause in self._pauses.values())

    def paused_until(self, server, now):
        """Return the end of a server's pause; -inf if it is not paused.

        Parameters
        ----------
        server : BackendServer
            Its current record. The pause ends with the process that asked
            for it.
        now : float
            Monotonic time in seconds.
        """
        pause = self._find(server)
        if pause is None or pause.until <= now:
            return -math.inf
        return pause.until

    def is_on_trial(self, server, now):
        """Return whether the pause ended but no request succeeded yet."""
        pause = self._find(server)
        return (
            pause is not None
            and pause.until <= now < pause.until + _TRIAL_LIMIT_S
        )

    def limit_trial(self, server, free_slots, local_in_flight, now):
        """Return the free slots of a server, reduced during its trial.

        Parameters
        ----------
        server : BackendServer
            Its current record.
        free_slots : int
            Requests that this VM might add without the trial.
        local_in_flight : int
            Requests of this VM at the server.
        now : float
            Monotonic time in seconds.
        """
        if not self.is_on_trial(server, now):
            return free_slots
        return min(free_slots, max(0, _TRIAL_REQUESTS - local_in_flight))

    def record_answered(self, server, now):
        """Record that a server ran a request, which ends its trial."""
        if self.is_on_trial(server, now):
            del self._pauses[server.server_id]

    def retain(self, server_ids):
        """Discard the records of all servers but the given ones."""
        self._pauses = {
            server_id: pause
            for server_id, pause in self._pauses.items()
            if server_id in server_ids
        }

    def _find(self, server):
        pause = self._pauses.get(server.server_id)
        if pause is None or is_other_process(pause.server, server):
            return None
        return pause
