"""Send a request to a backend server and stream the answer."""

import asyncio
import logging
import math
import time

import attrs
from result import Ok

from ..errors import fail
from ..errors import outcome_of
from ..messages.records import ErrorKind
from ..requests import Answered
from ..requests import may_have_run
from ..requests import may_retry
from ..requests import NotSent
from ..requests import Refused
from ..requests import Unanswered
from .admission import check_again
from .backend_client import CutAnswerError
from .caller import CallerGoneError
from .caller import RedactedBody
from .claiming import Recorder
from .dialect import read_load
from .headers import filter_answer_headers
from .headers import OUTCOME_HEADER
from .headers import REQUEST_ID_HEADER
from .outgoing import make_headers
from .outgoing import make_target
from .request_log import Trail
from .slot import Slot

__all__ = ["Run", "serve_attempts"]

_LOG = logging.getLogger(__name__)
# Backend servers that one request may be sent to unless its route says so.
_ATTEMPTS = 3
_MISDIRECTED = 421
_SUCCESSES = range(200, 300)
_BODILESS = frozenset({204, 304})
# A retry is made only if another server is free at once or very soon;
# otherwise the first one keeps the request.
_RESERVE_WAIT_S = 0.1
# An answer of unknown length that has begun before the deadline may end this
# much after it, so that one which was ready is delivered.
_END_GRACE_S = 0.25


@attrs.define
class Run:
    """What has happened to a request so far.

    Attributes
    ----------
    excluded : frozenset of str
        Backend servers that were tried.
    number : int
        Attempts made.
    sent : bool
        Whether a byte may have reached a backend server.
    claim : ClaimHolder or None
        Granted claim of a non-idempotent request.
    reserved : Slot or None
        Slot for the next attempt.
    caller_gone : bool
        Whether the caller stalled while a claimed request was answered.
    trail : Trail
        For the log.
    """

    excluded: frozenset = frozenset()
    number: int = 0
    sent: bool = False
    claim: object = None
    reserved: object = None
    caller_gone: bool = False
    trail: Trail = attrs.field(factory=Trail)


async def serve_attempts(vm, caller, admission, run, prepare=None):
    """Send a request until it is answered or may not be sent again.

    Parameters
    ----------
    vm : EntryVm
        The parts of this entry VM.
    caller : Caller
        The request; its answer is streamed.
    admission : Admission
        Route, account and deadline.
    run : Run
        Updated with each attempt.
    prepare : callable or None
        Awaited with the first slot, before anything is sent; returns a
        `Result`, and the request is sent if that is ``Ok(None)``.

    Returns
    -------
    result.Result
        ``Ok(None)`` if an answer was streamed, ``Ok`` with what `prepare`
        returned, or the failure to answer with.

    Raises
    ------
    CutAnswerError
        If the answer ended early; the caller's connection must be aborted.
    """
    try:
        return await _serve(vm, caller, admission, run, prepare)
    finally:
        if run.reserved is not None:
            run.reserved.release()


async def _serve(vm, caller, admission, run, prepare):
    while True:
        slot, run.reserved = run.reserved, None
        if slot is None:
            acquired = await _acquire(vm, admission, run)
            if acquired.is_err():
                return _refuse(run, acquired)
            slot = acquired.ok_value
        try:
            if run.claim is None:
                await caller.check_present()
            ready = await _make_ready(vm, admission, run, prepare)
            if ready.is_err():
                return _refuse(run, ready)
            if ready.ok_value is not None:
                return ready
            end = await _attempt(vm, caller, admission, run, slot)
        finally:
            slot.release()
        if end is None:
            return Ok(None)
        if run.reserved is None and not (
            may_retry(end, admission.idempotent)
            and _has_time(caller, admission, run)
            # A refused connection costs other servers nothing.
            and (
                isinstance(end, NotSent)
                or vm.budget.try_consume(_service(admission))
            )
        ):
            return _give_up(run, end)


async def _acquire(vm, admission, run, deadline_at=None):
    demand = attrs.evolve(admission.demand, excluded=run.excluded)
    if deadline_at is not None:
        demand = attrs.evolve(demand, deadline_at=deadline_at)
    asked_at = time.monotonic()
    with vm.telemetry.span("entry.queue"):
        assigned = await vm.wait_in_queue(vm.dispatcher.acquire(demand))
    run.trail.slot_wait_s += time.monotonic() - asked_at
    if assigned.is_err():
        return assigned
    return Ok(Slot(vm, demand.route, assigned.ok_value))


async def _reserve(vm, caller, admission, run):
    """Reserve a slot and a retry; return whether that was possible."""
    if not vm.budget.has_tokens(_service(admission)) or not _has_time(
        caller, admission, run
    ):
        return False
    until = time.monotonic() + _RESERVE_WAIT_S
    until = min(until, admission.demand.deadline_at)
    acquired = await _acquire(vm, admission, run, until)
    if acquired.is_err():
        return False
    if not vm.budget.try_consume(_service(admission)):
        acquired.ok_value.release()
        return False
    run.reserved = acquired.ok_value
    return True


async def _make_ready(vm, admission, run, prepare):
    checked = check_again(vm, admission, time.monotonic())
    if checked.is_err():
        return checked
    if prepare is not None and run.number == 0:
        prepared = await prepare()
        if prepared.is_err() or prepared.ok_value is not None:
            return prepared
    if time.monotonic() >= admission.demand.deadline_at:
        return fail(
            ErrorKind.DEADLINE_EXCEEDED, "the deadline passed before sending"
        )
    return Ok(None)


async def _attempt(vm, caller, admission, run, slot):
    """Make one attempt; return its end, or None if it was answered."""
    run.number += 1
    run.excluded |= {slot.server_id}
    slot.begin()
    before = run.sent
    run.sent = True
    with vm.telemetry.span("entry.backend", server=slot.server_id):
        answer = await _wait_for_head(vm, caller, admission, run, slot)
    if isinstance(answer, NotSent | Unanswered):
        slot.finish(answer)
        run.trail.add_attempt(slot.server_id, answer, slot.latency_s)
        run.sent = before or may_have_run(answer)
        return answer
    end = _judge(answer, slot, vm.dialect, admission.request_id)
    _note_load(vm, answer, slot)
    slot.finish(end)
    run.trail.add_attempt(slot.server_id, end, slot.latency_s)
    run.sent = before or may_have_run(end)
    try:
        if isinstance(end, Unanswered):
            # What else arrives on such connections belongs to no request.
            await vm.client.forget(slot.address)
        if not isinstance(end, Answered):
            return end
        if may_retry(end, admission.idempotent) and await _reserve(
            vm, caller, admission, run
        ):
            return end
        await _stream(vm, caller, admission, run, answer)
    except CutAnswerError:
        slot.cut()
        raise
    finally:
        await answer.close()
    return None


async def _wait_for_head(vm, caller, admission, run, slot):
    sending = asyncio.create_task(
        vm.client.send(
            caller.method,
            slot.address,
            make_target(caller),
            make_headers(vm, caller, admission, slot),
            RedactedBody(caller) if caller.has_body else None,
            admission.idempotent and caller.is_held,
        )
    )
    answer = None
    try:
        if admission.idempotent and caller.is_held:
            left_s = admission.demand.deadline_at - time.monotonic()
            patience_s = left_s * vm.settings.entry.silent_part
            await asyncio.wait({sending}, timeout=patience_s)
            if not sending.done() and await _reserve(
                vm, caller, admission, run
            ):
                if not sending.done():
                    raise TimeoutError
                run.reserved.release()
                run.reserved = None
        left_s = admission.demand.deadline_at - time.monotonic()
        async with asyncio.timeout(left_s):
            answer = await sending
        return answer
    except TimeoutError:
        await vm.client.forget(slot.address)
        return Unanswered(f"{slot.address} was silent")
    finally:
        if answer is None and not sending.cancel():
            await _discard(sending)


async def _discard(sending):
    """Close an answer that arrived while its request was given up."""
    if not sending.cancelled() and sending.exception() is None:
        answer = sending.result()
        if not isinstance(answer, NotSent | Unanswered):
            await answer.close()


def _judge(answer, slot, dialect, request_id):
    """Return the end of an attempt whose head arrived."""
    headers = answer.headers
    if dialect.echoes_request_id and not slot.remote:
        echoed = headers.get(REQUEST_ID_HEADER, request_id)
        if echoed != request_id:
            return Unanswered(f"{slot.address} answered another request")
    if dialect.not_run and dialect.not_run in headers:
        return Refused(f"{slot.address} refused with {answer.status}")
    if dialect.server and answer.status == _MISDIRECTED:
        return Refused(f"{slot.address} is another server")
    if (
        dialect.seal
        and answer.status in _SUCCESSES
        and dialect.seal not in headers
    ):
        return Unanswered(f"{slot.address} answered without a seal")
    if slot.remote:
        outcome = answer.headers.get(OUTCOME_HEADER)
        detail = f"{slot.address} answered {answer.status}"
        if outcome == "not-run":
            return Refused(detail)
        if outcome is not None:
            return Unanswered(detail)
    return Answered(answer.status)


def _note_load(vm, answer, slot):
    """Pass on the load that a server reports with its answer."""
    load = read_load(answer.headers, vm.dialect)
    if load.is_err():
        _LOG.info("entry: %s: %s", slot.address, load.err_value.detail)
    elif load.ok_value is not None:
        vm.dispatcher.note_load(
            slot.assignment, load.ok_value, time.monotonic()
        )


async def _stream(vm, caller, admission, run, answer):
    headers = filter_answer_headers(answer.raw_headers)
    if answer.status in _BODILESS:
        headers = [pair for pair in headers if pair[0] != b"content-length"]
    if REQUEST_ID_HEADER not in answer.headers:
        name = REQUEST_ID_HEADER.encode()
        headers.append((name, admission.request_id.encode()))
    limit_bytes = vm.settings.entry.outcome_body_limit_bytes
    recorder = Recorder(answer.status, headers, limit_bytes)
    whole = False
    try:
        await _write(run, caller.start, answer.status, headers)
        until = math.inf
        if answer.length is None:
            # Nothing else bounds such a body, which may have no end.
            until = admission.demand.deadline_at + _END_GRACE_S
        async for chunk in vm.client.read(answer, until):
            if run.claim is not None:
                recorder.add(chunk)
            await _write(run, caller.write, chunk)
        whole = True
        await _write(run, caller.end)
    finally:
        if run.claim is not None:
            run.claim.complete(recorder.outcome(whole))
    if run.caller_gone:
        raise CallerGoneError


async def _write(run, write, *arguments):
    """Write to the caller; a claimed request outlives its caller."""
    if run.caller_gone:
        return
    try:
        await write(*arguments)
    except CallerGoneError:
        if run.claim is None:
            raise
        run.caller_gone = True


def _service(admission):
    return admission.demand.route.service


def _has_time(caller, admission, run):
    return (
        run.number < (admission.demand.route.attempts or _ATTEMPTS)
        and caller.can_replay
        and time.monotonic() < admission.demand.deadline_at
    )


def _refuse(run, result):
    """Return a refusal, unless an earlier attempt may have run."""
    if run.sent and outcome_of(result.err_value.kind) == "not-run":
        return fail(
            ErrorKind.OUTCOME_UNKNOWN,
            f"an attempt may have run; then: {result.err_value.detail}",
        )
    return result


def _give_up(run, end):
    if run.sent:
        detail = getattr(end, "detail", "a backend server failed")
        return fail(ErrorKind.OUTCOME_UNKNOWN, detail)
    return fail(ErrorKind.NO_BACKEND, end.detail)
