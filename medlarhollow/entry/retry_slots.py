"""Slots for the attempts of a request."""

import attrs
from result import Ok

from .. import clock
from .slot import Slot

__all__ = ["acquire_slot", "can_retry", "reserve_retry"]

# Maximum number of backend servers tried per request if the route sets none.
_DEFAULT_ATTEMPTS = 3
# An idempotent request is moved to another server only if that server has a
# free slot within this time; otherwise it stays with the first server.
_RETRY_SLOT_WAIT_S = 0.1


async def acquire_slot(vm, admission, progress, deadline_at=None):
    """Wait for a slot of a server that was not tried yet.

    Parameters
    ----------
    vm : EntryVm
        Its dispatcher assigns the slot.
    admission : Admission
        Route, account and deadline.
    progress : RequestProgress
        Names the servers that were tried.
    deadline_at : float or None
        Monotonic time in seconds; None for the deadline of the request.

    Returns
    -------
    result.Result
        ``Ok(Slot)`` or the failure to report.
    """
    request = attrs.evolve(admission.slot_request, excluded=progress.excluded)
    if deadline_at is not None:
        request = attrs.evolve(request, deadline_at=deadline_at)
    started_at = clock.monotonic()
    with vm.telemetry.span("entry.queue"):
        assigned = await vm.wait_in_queue(vm.dispatcher.acquire(request))
    progress.trace.slot_wait_s += clock.monotonic() - started_at
    if assigned.is_err():
        return assigned
    return Ok(Slot(vm, request, assigned.ok_value))


async def reserve_retry(vm, caller, admission, progress):
    """Reserve a slot and retry budget; return whether both were free."""
    service = admission.slot_request.route.service
    if not vm.retry_budget.has_tokens(service) or not can_retry(
        caller, admission, progress
    ):
        return False
    limit_at = clock.monotonic() + _RETRY_SLOT_WAIT_S
    limit_at = min(limit_at, admission.slot_request.deadline_at)
    progress.is_reserving = True
    try:
        acquired = await acquire_slot(vm, admission, progress, limit_at)
    finally:
        progress.is_reserving = False
    if acquired.is_err():
        return False
    if not vm.retry_budget.try_consume(service):
        acquired.ok_value.release()
        return False
    progress.reserved = acquired.ok_value
    return True


def can_retry(caller, admission, progress):
    """Return whether the route and the deadline permit another attempt."""
    return (
        progress.attempt_count
        < (admission.slot_request.route.attempts or _DEFAULT_ATTEMPTS)
        and caller.can_replay
        and clock.monotonic() < admission.slot_request.deadline_at
    )
