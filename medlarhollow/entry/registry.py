"""Take announcements for the whole fleet and answer look-ups."""

import time

from result import Ok

from ..errors import fail
from ..membership import apply_announcement
from ..membership import check_open_announcement
from ..membership import list_nearest_entry_vms
from ..messages.records import ErrorKind
from .answers import accepts_callers

__all__ = [
    "is_ready",
    "list_nearest_vms",
    "register_server",
    "unregister_server",
]

# Age of the proof of authority up to which this VM counts as connected: two
# holds of half a second on the way to the leader, and round trips.
_CONNECTED_S = 2.0


def is_ready(vm, now):
    """Tell whether this VM can serve callers.

    Parameters
    ----------
    vm : EntryVm
        The parts of this VM.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    bool
        True once it knows routes and backend servers, until it drains.
    """
    return (
        not vm.drain.draining
        and vm.state_cache.has_proof
        and bool(vm.state_cache.state.routes)
        and vm.directory.has_servers(now)
    )


def list_nearest_vms(vm, region, data_centre):
    """Return the entry VMs that a caller should use.

    Parameters
    ----------
    vm : EntryVm
        Holds the roster and hears the entry VMs.
    region, data_centre : str
        Where the caller is.

    Returns
    -------
    list of Vm
        Serving VMs near the caller.
    """
    now = time.monotonic()
    return list_nearest_entry_vms(
        vm.state_cache.state,
        region,
        data_centre,
        lambda entry: accepts_callers(vm, entry, now),
    )


def register_server(vm, server, now):
    """Take an announcement without a credential.

    Parameters
    ----------
    vm : EntryVm
        Holds the directory.
    server : BackendServer
        The announcement.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    result.Result
        ``Ok`` with the address for the server's next announcements, empty if
        it may choose; ``BAD_REQUEST`` or ``CONFLICT`` for a forged one;
        ``STALE_AUTHORITY`` if this VM may not be able to tell the entry VMs
        that the server leaves.
    """
    if not vm.settings.backends.open_announcements:
        return fail(ErrorKind.UNAUTHENTICATED, "a credential is needed")
    checked = check_open_announcement(server, vm.state_cache.state)
    if checked.is_err():
        return checked
    if server.leaving and not _is_connected(vm, now):
        return _not_connected()
    taken = apply_announcement(vm.directory, server, now)
    if taken.is_err():
        return taken
    return Ok(_choose_registry(vm, server.data_centre))


def unregister_server(vm, server_id, now):
    """Take a server's word that it stops.

    Parameters
    ----------
    vm : EntryVm
        Holds the directory.
    server_id : str
        Identifier of the server.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    result.Result
        ``Ok(None)``; ``STALE_AUTHORITY`` if this VM may not be able to tell
        the entry VMs, or does not know the server while others may.
    """
    if not _is_connected(vm, now):
        return _not_connected()
    if not vm.directory.mark_leaving(server_id, now):
        return fail(
            ErrorKind.STALE_AUTHORITY, f"'{server_id}' is not known here"
        )
    return Ok(None)


def _is_connected(vm, now):
    return vm.state_cache.freshness_age_s(now) <= _CONNECTED_S


def _not_connected():
    return fail(
        ErrorKind.STALE_AUTHORITY, "this VM is cut off from the others"
    )


def _choose_registry(vm, data_centre):
    """Return the address of the registry nearest to a server."""
    registries = [
        other
        for other in vm.state_cache.state.vms.values()
        if other.announce_address and other.data_centre == data_centre
    ]
    if not registries:
        return ""
    return min(registries, key=lambda other: other.name).announce_address
