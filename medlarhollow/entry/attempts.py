"""Send a request to backend servers and stream the response."""

import math

from result import Ok

from .. import clock
from ..errors import fail
from ..errors import outcome_of
from ..messages.records import ErrorKind
from ..requests import Answered
from ..requests import may_retry
from ..requests import NotSent
from .admission import recheck_key
from .attempt import conclude_attempt
from .attempt import wait_for_response_head
from .backend_client import TruncatedResponseError
from .caller import CallerDisconnectedError
from .claim_client import ResponseRecorder
from .headers import filter_response_headers
from .headers import REQUEST_ID_HEADER
from .hedging import wait_for_attempts
from .retry_slots import acquire_slot
from .retry_slots import can_retry
from .retry_slots import reserve_retry

__all__ = ["serve_attempts"]

_BODILESS = frozenset({204, 304})
# A response of unknown length that started before the deadline may end this
# much after it, so that a response that was ready is delivered.
_BODY_GRACE_S = 0.25


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
            acquired = await acquire_slot(vm, admission, progress)
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
            and can_retry(caller, admission, progress)
            # A failed connect puts no load on other servers, so its retry
            # needs no budget.
            and (
                isinstance(outcome, NotSent)
                or vm.retry_budget.try_consume(_service_of(admission))
            )
        ):
            return _final_failure(progress, outcome)


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
    progress.start_attempt(slot)
    if vm.hedging.is_enabled and progress.attempt_count == 1:
        attempt = await wait_for_attempts(
            vm, caller, admission, progress, slot
        )
    else:
        with vm.telemetry.span("entry.backend", server=slot.server_id):
            response = await wait_for_response_head(
                vm, caller, admission, progress, slot
            )
        attempt = conclude_attempt(vm, admission, progress, slot, response)
    try:
        if not isinstance(attempt.outcome, Answered):
            return attempt.outcome
        if may_retry(
            attempt.outcome, admission.idempotent
        ) and await reserve_retry(vm, caller, admission, progress):
            return attempt.outcome
        await _stream_response(
            vm, caller, admission, progress, attempt.response
        )
    except TruncatedResponseError:
        attempt.slot.mark_truncated()
        raise
    finally:
        try:
            await attempt.close(vm)
        finally:
            attempt.slot.release()
    return None


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
