"""Select the entry VMs that may send requests to a cold backend server."""

import hashlib

__all__ = ["select_cold_senders"]

# Rate of one sender, which determines the number of senders: each may send one
# request immediately, and the total of these must stay small against the rate.
_SENDER_RATE_PER_S = 2.0


def select_cold_senders(state, server, current=()):
    """Return the VMs that may send requests to a server while it is cold.

    Parameters
    ----------
    state : FleetState
        Provides the roster and the rate of the server's service.
    server : BackendServer
        The server.
    current : tuple of str
        Senders selected before. Those still in the roster remain, so that
        a VM that joins does not add a sender while others act on the
        earlier selection.

    Returns
    -------
    tuple of str
        Names of VMs, preferably of the server's region; empty if requests to
        cold servers of the service are not limited.
    """
    service = state.services.get(server.service)
    if service is None or not service.cold_rate_per_s:
        return ()
    count = max(1, int(service.cold_rate_per_s / _SENDER_RATE_PER_S))
    kept = [name for name in current if name in state.vms][:count]
    if len(kept) < count:
        ranked = _rank_vms(state, server)
        kept += [name for name in ranked if name not in kept]
    return tuple(kept[:count])


def _rank_vms(state, server):
    """Return the names of entry VMs, best first, of its region if any."""
    entry_vms = [vm for vm in state.vms.values() if vm.caller_address]
    local = [vm for vm in entry_vms if vm.region == server.region]
    names = [vm.name for vm in local or entry_vms]
    return sorted(names, key=lambda name: _hash(name, server.server_id))


def _hash(name, server_id):
    text = f"{name} {server_id}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
