"""Send a request to backend servers and stream the response."""

import asyncio
import logging
import math

import attrs
from result import Ok

from .. import clock
from ..errors import fail
from ..errors import outcome_of
from ..messages.records import ErrorKind
from ..requests import Answered
from ..requests import may_have_run
from ..requests import may_retry
from ..requests import NotSent
from ..requests import Unanswered
from .admission import recheck_key
from .backend_client import TruncatedResponseError
from .backend_request import make_backend_headers
from .backend_request import make_target
from .caller import CallerDisconnectedError
from .caller import ForwardedBody
from .claim_client import ResponseRecorder
from .headers import filter_response_headers
from .headers import REQUEST_ID_HEADER
from .request_log import RequestTrace
from .response_head import classify_response
from .response_head import report_load
from .response_head import report_notice
from .slot import Slot

__all__ = ["RequestProgress", "serve_attempts"]

_LOG = logging.getLogger(__name__)
# Maximum number of backend servers tried per request if the route sets none.
_DEFAULT_ATTEMPTS = 3
_BODILESS = frozenset({204, 304})
# An idempotent request is moved to another server only if that server has a
# free slot within this time; otherwise it stays with the first server.
_RETRY_SLOT_WAIT_S = 0.1
# Time for a response to arrive that its server ended at the deadline that it
# was given: a few round trips between regions.
_TRANSIT_S = 0.1
# A response of unknown length that started before the deadline may end this
# much after it, so that a response that was ready is delivered.
_BODY_GRACE_S = 0.25


@attrs.define
class RequestProgress:
    """Progress of a request over its attempts.

    Attributes
    ----------
    excluded : frozenset of str
        Backend servers that were already tried.
    attempt_count : int
        Number of attempts started.
    sent : bool
        Whether the request may have run on a backend server.
    claim : ClaimClient or None
        Granted claim of a non-idempotent request.
    reserved : Slot or None
        Slot reserved for the next attempt.
    caller_disconnected : bool
        Whether the caller disconnected or stalled while the response to a
        claimed request was streamed.
    trace : RequestTrace
        Timings and attempts for the request log.
    """

    excluded: frozenset = frozenset()
    attempt_count: int = 0
    sent: bool = False
    claim: object = None
    reserved: object = None
    caller_disconnected: bool = False
    trace: RequestTrace = attrs.field(factory=RequestTrace)


async def serve_attempts(vm, caller, admission, progress, prepare=None):
    """Send a request until it gets a response or must not be retried.

    Parameters
    ----------
    vm : EntryVm
        Components of this entry VM.
    caller : Caller
        The request; the response is streamed to it.
    admission : Admission
        Route, account and deadline.
    progress : RequestProgress
        Updated with each attempt.
    prepare : callable or None
        Coroutine function that is awaited once the first slot is held and
        before anything is sent; the request is sent if it returns
        ``Ok(None)``.

    Returns
    -------
    result.Result
        ``Ok(None)`` if a response was streamed, ``Ok`` with the value of
        `prepare`, or the failure to report to the caller.

    Raises
    ------
    TruncatedResponseError
        If the response ended early; the caller's connection must be reset.
    """
    try:
        return await _run_attempts(vm, caller, admission, progress, prepare)
    finally:
        if progress.reserved is not None:
            progress.reserved.release()


async def _run_attempts(vm, caller, admission, progress, prepare):
    while True:
        slot, progress.reserved = progress.reserved, None
        if slot is None:
            acquired = await _acquire_slot(vm, admission, progress)
            if acquired.is_err():
                return _resolve_refusal(progress, acquired)
            slot = acquired.ok_value
        try:
            if progress.claim is None:
                await caller.check_connected()
            checked = await _check_before_sending(
                vm, admission, progress, prepare
            )
            if checked.is_err():
                return _resolve_refusal(progress, checked)
            if checked.ok_value is not None:
                return checked
            if vm.dispatcher.is_withdrawn(slot.assignment, clock.monotonic()):
                continue
            outcome = await _send_attempt(
                vm, caller, admission, progress, slot
            )
        finally:
            slot.release()
        if outcome is None:
            return Ok(None)
        if progress.reserved is None and not (
            may_retry(outcome, admission.idempotent)
            and _can_retry(caller, admission, progress)
            # A failed connect puts no load on other servers, so its retry
            # needs no budget.
            and (
                isinstance(outcome, NotSent)
                or vm.retry_budget.try_consume(_service_of(admission))
            )
        ):
            return _final_failure(progress, outcome)


async def _acquire_slot(vm, admission, progress, deadline_at=None):
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


async def _reserve_retry(vm, caller, admission, progress):
    """Reserve a slot and retry budget; return whether both were free."""
    if not vm.retry_budget.has_tokens(
        _service_of(admission)
    ) or not _can_retry(caller, admission, progress):
        return False
    limit_at = clock.monotonic() + _RETRY_SLOT_WAIT_S
    limit_at = min(limit_at, admission.slot_request.deadline_at)
    acquired = await _acquire_slot(vm, admission, progress, limit_at)
    if acquired.is_err():
        return False
    if not vm.retry_budget.try_consume(_service_of(admission)):
        acquired.ok_value.release()
        return False
    progress.reserved = acquired.ok_value
    return True


async def _check_before_sending(vm, admission, progress, prepare):
    checked = recheck_key(vm, admission, clock.monotonic())
    if checked.is_err():
        return checked
    if prepare is not None and progress.claim is None:
        prepared = await prepare()
        if prepared.is_err() or prepared.ok_value is not None:
            return prepared
    if vm.drain.closing and progress.attempt_count == 0:
        return fail(ErrorKind.DRAINING, "this VM is shutting down")
    if clock.monotonic() >= admission.slot_request.deadline_at:
        return fail(
            ErrorKind.DEADLINE_EXCEEDED, "the deadline passed before sending"
        )
    return Ok(None)


async def _send_attempt(vm, caller, admission, progress, slot):
    """Make one attempt.

    Returns
    -------
    Answered, Refused, NotSent, Unanswered or None
        None if the response was streamed to the caller.
    """
    progress.attempt_count += 1
    progress.excluded |= {slot.server_id}
    slot.start_timer()
    sent_before = progress.sent
    progress.sent = True
    with vm.telemetry.span("entry.backend", server=slot.server_id):
        response = await _wait_for_response_head(
            vm, caller, admission, progress, slot
        )
    if isinstance(response, NotSent | Unanswered):
        slot.record_outcome(response)
        progress.trace.add_attempt(slot, response)
        progress.sent = sent_before or may_have_run(response)
        return response
    outcome = classify_response(
        response, slot, vm.dialect, admission.request_id
    )
    report_load(vm, response, slot)
    report_notice(vm, response, slot, outcome)
    slot.record_outcome(outcome)
    progress.trace.add_attempt(slot, outcome)
    progress.sent = sent_before or may_have_run(outcome)
    try:
        if isinstance(outcome, Unanswered):
            # Further data on these connections belongs to no known request.
            await vm.client.retire_connections(slot.address)
        if not isinstance(outcome, Answered):
            return outcome
        if may_retry(outcome, admission.idempotent) and await _reserve_retry(
            vm, caller, admission, progress
        ):
            return outcome
        await _stream_response(vm, caller, admission, progress, response)
    except TruncatedResponseError:
        slot.mark_truncated()
        raise
    finally:
        await response.close()
    return None


async def _wait_for_response_head(vm, caller, admission, progress, slot):
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
            if not request_task.done() and await _reserve_retry(
                vm, caller, admission, progress
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


async def _stream_response(vm, caller, admission, progress, response):
    headers = filter_response_headers(response.raw_headers)
    if response.status in _BODILESS:
        headers = [pair for pair in headers if pair[0] != b"content-length"]
    if REQUEST_ID_HEADER not in response.headers:
        name = REQUEST_ID_HEADER.encode()
        headers.append((name, admission.request_id.encode()))
    limit_bytes = vm.settings.entry.outcome_body_limit_bytes
    recorder = ResponseRecorder(response.status, headers, limit_bytes)
    is_complete = False
    try:
        await _write(progress, caller.start_response, response.status, headers)
        limit_at = math.inf
        if response.length is None:
            # Nothing else bounds such a body, which may be endless.
            limit_at = admission.slot_request.deadline_at + _BODY_GRACE_S
        async for chunk in vm.client.read_body(response, limit_at):
            if progress.claim is not None:
                recorder.add(chunk)
            await _write(progress, caller.write_body, chunk)
        is_complete = True
        await _write(progress, caller.end_response)
    finally:
        if progress.claim is not None:
            progress.claim.complete(recorder.outcome(is_complete))
    if progress.caller_disconnected:
        raise CallerDisconnectedError


async def _write(progress, write, *arguments):
    """Write to the caller; a claimed request survives its disconnect."""
    if progress.caller_disconnected:
        return
    try:
        await write(*arguments)
    except CallerDisconnectedError:
        if progress.claim is None:
            raise
        progress.caller_disconnected = True


def _service_of(admission):
    return admission.slot_request.route.service


def _can_retry(caller, admission, progress):
    return (
        progress.attempt_count
        < (admission.slot_request.route.attempts or _DEFAULT_ATTEMPTS)
        and caller.can_replay
        and clock.monotonic() < admission.slot_request.deadline_at
    )


def _resolve_refusal(progress, result):
    """Return the failure, as unknown if an earlier attempt may have run."""
    if progress.sent and outcome_of(result.err_value.kind) == "not-run":
        return fail(
            ErrorKind.OUTCOME_UNKNOWN,
            f"an earlier attempt may have run; {result.err_value.detail}",
        )
    return result


def _final_failure(progress, outcome):
    if progress.sent:
        detail = getattr(outcome, "detail", "a backend server failed")
        return fail(ErrorKind.OUTCOME_UNKNOWN, detail)
    return fail(ErrorKind.NO_BACKEND, outcome.detail)
