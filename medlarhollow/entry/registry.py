"""Fleet-wide registry of backend servers, and look-ups of entry VMs."""

import attrs
from result import Ok

from .. import clock
from ..errors import fail
from ..membership import apply_announcement
from ..membership import check_open_announcement
from ..membership import list_nearest_entry_vms
from ..messages.records import ErrorKind
from ..steering import select_cold_senders
from .responses import accepts_callers

__all__ = [
    "confirm_leave",
    "is_ready",
    "list_nearest_vms",
    "register_server",
    "unregister_server",
]


def is_ready(vm, now):
    """Return whether this VM can serve callers.

    Parameters
    ----------
    vm : EntryVm
        Components of this VM.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    bool
        True once routes and backend servers are known, until the drain.
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
        Provides the roster and the liveness of entry VMs.
    region, data_centre : str
        Location of the caller.

    Returns
    -------
    list of Vm
        Available VMs near the caller.
    """
    now = clock.monotonic()
    return list_nearest_entry_vms(
        vm.state_cache.state,
        region,
        data_centre,
        lambda entry: accepts_callers(vm, entry, now),
    )


def register_server(vm, server, now, source=""):
    """Accept an announcement without a credential.

    Parameters
    ----------
    vm : EntryVm
        Provides the directory.
    server : BackendServer
        The announcement.
    now : float
        Monotonic time in seconds.
    source : str
        Network address that it was received from.

    Returns
    -------
    result.Result
        ``Ok`` with the address for the server's next announcements, empty if
        it is free to choose; ``UNAUTHENTICATED`` unless the settings allow
        open announcements; ``BAD_REQUEST`` or ``CONFLICT`` if the
        announcement is invalid or contradicts the known state;
        ``OVERLOADED`` if too many are known.

    Notes
    -----
    That a server leaves must not be acknowledged before
    :func:`confirm_leave`.
    """
    if not vm.settings.backends.open_announcements:
        return fail(ErrorKind.UNAUTHENTICATED, "a credential is required")
    checked = check_open_announcement(server, vm.state_cache.state).and_then(
        lambda server: vm.directory.check_capacity(server, source)
    )
    if checked.is_err():
        return checked
    current = vm.directory.find(server.server_id)
    senders = select_cold_senders(
        vm.state_cache.state,
        server,
        current.cold_senders if current is not None else (),
    )
    server = attrs.evolve(server, cold_senders=senders)
    accepted = apply_announcement(vm.directory, server, now, source)
    if accepted.is_err():
        return accepted
    return Ok(_choose_registry(vm, server.data_centre))


def unregister_server(vm, server_id, now):
    """Mark a backend server as leaving at its own request.

    This must not be acknowledged before :func:`confirm_leave`.

    Parameters
    ----------
    vm : EntryVm
        Components of this VM.
    server_id : str
        Identifier of the server.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    result.Result
        ``Ok(None)``; ``STALE_AUTHORITY`` if this VM does not know the server
        although others may.
    """
    if not vm.directory.mark_leaving(server_id, now):
        return fail(
            ErrorKind.STALE_AUTHORITY, f"'{server_id}' is not registered here"
        )
    return Ok(None)


async def confirm_leave(vm, now):
    """Wait until other VMs know the leaving servers that this one knows.

    Parameters
    ----------
    vm : EntryVm
        Components of this VM.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    result.Result
        ``Ok(None)``; ``STALE_AUTHORITY`` if too few of them confirm it in
        time. Those that know it send nothing more to these servers.
    """
    if await vm.share_directory(now):
        return Ok(None)
    return fail(
        ErrorKind.STALE_AUTHORITY,
        "too few other VMs confirmed that the server leaves",
    )


def _choose_registry(vm, data_centre):
    """Return the address of a data centre's registry; empty for none."""
    registries = [
        vm_entry
        for vm_entry in vm.state_cache.state.vms.values()
        if vm_entry.announce_address and vm_entry.data_centre == data_centre
    ]
    if not registries:
        return ""
    return min(registries, key=lambda vm_entry: vm_entry.name).announce_address
