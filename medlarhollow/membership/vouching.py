"""Track when each VM last vouched for its backend servers."""

import math

__all__ = ["VouchTable", "owner_of"]

_MS_PER_S = 1000.0


class VouchTable:
    """Latest time at which each VM vouched for its servers.

    Notes
    -----
    A VM may learn of it from the VM itself or through any number of VMs that
    relay it. Those may be partitioned or suspended, so only the update that
    was latest at the VM that vouches changes the leases of its servers.
    """

    def __init__(self):
        self._vouched_at = {}

    def record(self, update, now):
        """Record an update of another VM.

        Parameters
        ----------
        update : ExchangeUpdate
            Message of its stream, completed with the fields that are sent
            only if they change.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        dict of str to float
            Age in seconds for each VM for which this update is the latest:
            the sender and the VMs that it relays.
        """
        ages = {
            name: age_ms / _MS_PER_S
            for name, age_ms in zip(
                update.relayed, update.relayed_ages_ms, strict=False
            )
        }
        ages[update.vm.name] = 0.0
        latest = {}
        for name, age_s in ages.items():
            if now - age_s >= self._vouched_at.get(name, -math.inf):
                self._vouched_at[name] = now - age_s
                latest[name] = age_s
        return latest

    def vouched_at(self, name):
        """Return the monotonic time of a VM's last vouch; -inf for none."""
        return self._vouched_at.get(name, -math.inf)


def owner_of(server, sender):
    """Return the VM that vouches for a server that a VM reported.

    Parameters
    ----------
    server : BackendServer
        Record in an update.
    sender : str
        Name of the VM that sent the update.
    """
    return server.owner or sender
