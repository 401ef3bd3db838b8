"""One attempt at a backend server, until the head of its response."""

import asyncio

import attrs

from .. import clock
from ..requests import NotSent
from ..requests import Unanswered
from .backend_request import make_backend_headers
from .backend_request import make_target
from .caller import ForwardedBody
from .response_head import classify_response
from .response_head import report_load
from .response_head import report_notice
from .retry_slots import reserve_retry

__all__ = ["Attempt", "conclude_attempt", "wait_for_response_head"]

# Time for a response to arrive that its server ended at the deadline that it
# was given: a few round trips between regions.
_TRANSIT_S = 0.1


@attrs.frozen(eq=False)
class Attempt:
    """An attempt with an outcome.

    Attributes
    ----------
    slot : Slot
        Slot of the server, which is still held.
    outcome : NotSent, Refused, Unanswered or Answered
        How the attempt ended.
    response : BackendResponse or None
        The response, which must be closed; None if there is none.
    """

    slot: object
    outcome: object
    response: object = None

    async def close(self, vm):
        """Close the response.

        Parameters
        ----------
        vm : EntryVm
            Its client drops the connections to a server whose response was
            invalid.
        """
        if self.response is None:
            return
        try:
            if isinstance(self.outcome, Unanswered):
                # Further data on these connections belongs to no known
                # request.
                await vm.client.retire_connections(self.slot.address)
        finally:
            await self.response.close()


def conclude_attempt(vm, admission, progress, slot, response):
    """Classify the end of an attempt and record its outcome.

    Parameters
    ----------
    vm : EntryVm
        Components of this entry VM.
    admission : Admission
        The request.
    progress : RequestProgress
        Updated with the outcome.
    slot : Slot
        Slot of the server.
    response : BackendResponse, NotSent or Unanswered
        From :func:`wait_for_response_head`.

    Returns
    -------
    Attempt
        The attempt; the loads and notices in its response are recorded.
    """
    if isinstance(response, NotSent | Unanswered):
        progress.end_attempt(slot, response)
        return Attempt(slot, response)
    outcome = classify_response(
        response, slot, vm.dialect, admission.request_id
    )
    report_load(vm, response, slot)
    report_notice(vm, response, slot, outcome)
    progress.end_attempt(slot, outcome)
    return Attempt(slot, outcome, response)


async def wait_for_response_head(vm, caller, admission, progress, slot):
    """Send a request to the server of a slot and wait for the answer.

    Parameters
    ----------
    vm : EntryVm
        Components of this entry VM.
    caller : Caller
        The request.
    admission : Admission
        Route, account and deadline.
    progress : RequestProgress
        Gets the reservation of the next attempt if the server stays silent.
    slot : Slot
        Slot of the server.

    Returns
    -------
    BackendResponse, NotSent or Unanswered
        A response must be closed by the caller of this function.
    """
    request_task = asyncio.create_task(
        vm.client.send(
            caller.method,
            slot.address,
            make_target(caller, vm.dialect),
            make_backend_headers(vm, caller, admission, slot),
            (
                ForwardedBody(caller, vm.dialect.masks_keys)
                if caller.has_body
                else None
            ),
            admission.idempotent and caller.is_buffered,
        )
    )
    response = None
    try:
        silent_part = vm.settings.entry.silent_part
        if admission.idempotent and caller.is_buffered and silent_part < 1:
            left_s = admission.slot_request.deadline_at - clock.monotonic()
            silence_limit_s = left_s * silent_part
            await asyncio.wait({request_task}, timeout=silence_limit_s)
            # While two attempts run, neither is given up for a third one.
            if (
                not request_task.done()
                and progress.running_count == 1
                and await reserve_retry(vm, caller, admission, progress)
            ):
                if not request_task.done():
                    raise TimeoutError
                progress.reserved.release()
                progress.reserved = None
        left_s = admission.slot_request.deadline_at - clock.monotonic()
        async with asyncio.timeout(left_s + _TRANSIT_S):
            response = await request_task
        return response
    except TimeoutError:
        await vm.client.retire_connections(slot.address)
        return Unanswered(f"{slot.address} sent no response in time")
    finally:
        if response is None and not request_task.cancel():
            await _close_late_response(request_task)


async def _close_late_response(request_task):
    """Close a response that arrived while its request was cancelled."""
    if not request_task.cancelled() and request_task.exception() is None:
        response = request_task.result()
        if not isinstance(response, NotSent | Unanswered):
            await response.close()
