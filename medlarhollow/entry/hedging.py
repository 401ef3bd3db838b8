"""Send a second attempt while the first one runs, and use the better one."""

import asyncio

import attrs

from .. import clock
from ..requests import Answered
from ..requests import FirstAttempt
from ..requests import HedgeVerdict
from ..requests import may_retry
from ..requests import NotSent
from ..requests.hedging import MIN_SAMPLES
from ..requests.hedging import SLOW_FRACTION
from .admission import recheck_key
from .attempt import conclude_attempt
from .attempt import wait_for_response_head
from .request_log import HedgeTrace
from .retry_slots import can_retry
from .slot import Slot

__all__ = ["wait_for_attempts"]

# Quantiles of the recent runs: a typical one, and the slowest one.
_TYPICAL = 0.5
_SLOWEST = 1.0


async def wait_for_attempts(vm, caller, admission, progress, slot):
    """Wait for an attempt, and for a second one if the first is slow.

    Parameters
    ----------
    vm : EntryVm
        Components of this entry VM.
    caller : Caller
        The request.
    admission : Admission
        Route, account and deadline.
    progress : RequestProgress
        The attempt at the server of `slot` was started.
    slot : Slot
        Slot of the first attempt.

    Returns
    -------
    Attempt
        The attempt whose response is to be used; if both failed, the one
        whose outcome decides on a retry. Its slot is held and its response is
        open; those of the other attempt are not.

    Notes
    -----
    Each attempt has its own task, and the task of the request waits for both.
    When it ends, for whatever reason, so do they.
    """
    hedge = progress.trace.hedge = HedgeTrace()
    vm.hedging.record_start(
        admission.slot_request.route.service,
        slot.assignment.version,
        slot.assignment.wait_s,
    )
    tasks = {}
    ended = []
    chosen = None
    try:
        first_task = _start(vm, caller, admission, progress, slot)
        tasks[first_task] = slot
        second = await _take_second_slot(
            vm, caller, admission, progress, slot, first_task
        )
        if second is not None:
            progress.start_attempt(second)
            second_task = _start(vm, caller, admission, progress, second)
            tasks[second_task] = second
        while tasks and chosen is None:
            done, _ = await asyncio.wait(
                tasks, return_when=asyncio.FIRST_COMPLETED
            )
            for task in [task for task in tasks if task in done]:
                attempt = conclude_attempt(
                    vm, admission, progress, tasks[task], task.result()
                )
                del tasks[task]
                ended.append(attempt)
            chosen = _find_usable(ended, admission)
        if chosen is not None:
            _record_winner(vm, admission, hedge, slot, chosen)
        else:
            chosen = _choose_failure(ended)
            if not hedge.is_hedged:
                hedge.verdict = HedgeVerdict.FIRST_FAILED
        return chosen
    finally:
        _count_hedge(vm, admission, hedge)
        for attempt_slot in tasks.values():
            _abandon(progress, attempt_slot, slot, chosen)
        await _close_others(vm, tasks, ended, chosen)


def _start(vm, caller, admission, progress, slot):
    async def run():
        with vm.telemetry.span("entry.backend", server=slot.server_id):
            return await wait_for_response_head(
                vm, caller, admission, progress, slot
            )

    return asyncio.create_task(run())


async def _take_second_slot(vm, caller, admission, progress, slot, first_task):
    """Wait until the first attempt is slow and take a slot for a second one.

    Returns
    -------
    Slot or None
        None if there is to be no second attempt; `first_task` goes on.
    """
    hedge = progress.trace.hedge
    first = _describe_first(caller, admission, progress, slot)
    planned = vm.hedging.plan(
        first,
        _quantile(vm, slot, admission, SLOW_FRACTION, MIN_SAMPLES),
    )
    if planned.is_err():
        hedge.verdict = planned.err_value
        return None
    left_s = planned.ok_value - clock.monotonic()
    await asyncio.wait({first_task}, timeout=max(0.0, left_s))
    if not first_task.done():
        await caller.check_connected()
    if first_task.done():
        hedge.verdict = HedgeVerdict.NOT_SLOW
        return None
    # No other task runs from here until the second attempt is started, so the
    # tokens and the slot are still there.
    now = clock.monotonic()
    if recheck_key(vm, admission, now).is_err():
        hedge.verdict = HedgeVerdict.KEY_REVOKED
        return None
    first = _describe_first(caller, admission, progress, slot)
    queued = vm.dispatcher.count_queued(first.service, first.version)
    hedge.verdict = vm.hedging.check(first, queued, now)
    if hedge.verdict is not HedgeVerdict.HEDGED:
        return None
    request = attrs.evolve(admission.slot_request, excluded=progress.excluded)
    assignment = vm.dispatcher.try_acquire(request, now)
    if assignment is None:
        hedge.verdict = HedgeVerdict.NO_SLOT
        return None
    second = Slot(vm, request, assignment)
    answer_s = _quantile(vm, second, admission, _TYPICAL)
    hedge.verdict = vm.hedging.try_start(first, answer_s, now)
    if hedge.verdict is not HedgeVerdict.HEDGED:
        second.release()
        return None
    return second


def _describe_first(caller, admission, progress, slot):
    slot_request = admission.slot_request
    return FirstAttempt(
        slot_request.route.service,
        slot.assignment.version,
        slot.started_at,
        slot_request.objective_at,
        is_idempotent=admission.idempotent,
        is_claimed=progress.claim is not None,
        is_on_credit=slot.remote or admission.forwarded,
        is_retried=(progress.is_reserving or progress.reserved is not None),
        is_buffered=caller.is_buffered,
        may_send_again=can_retry(caller, admission, progress),
    )


def _quantile(vm, slot, admission, fraction, *min_samples):
    """Return a quantile of the recent runs of the kind of an attempt."""
    route = admission.slot_request.route
    return vm.dispatcher.answer_times.quantile(
        route.service,
        route.path_prefix,
        not slot.assignment.reason,
        fraction,
        clock.monotonic(),
        *min_samples,
    )


def _find_usable(ended, admission):
    """Return the first attempt whose response calls for no retry, or None."""
    for attempt in ended:
        if isinstance(attempt.outcome, Answered) and not may_retry(
            attempt.outcome, admission.idempotent
        ):
            return attempt
    return None


def _choose_failure(ended):
    """Return the failed attempt that decides how the request goes on.

    A response can be passed on if there is no retry. A failed connect, whose
    retry needs no budget, must not stand for an attempt that was sent.
    """
    for attempt in ended:
        if isinstance(attempt.outcome, Answered):
            return attempt
    for attempt in ended:
        if not isinstance(attempt.outcome, NotSent):
            return attempt
    return ended[0]


def _record_winner(vm, admission, hedge, first_slot, chosen):
    """Record which attempt was used, and estimate the time saved."""
    if not hedge.is_hedged:
        return
    if chosen.slot is first_slot:
        hedge.winner = "first"
        return
    hedge.winner = "second"
    # The first attempt is closed, so that its time stays unknown. A run that
    # is slower than most takes about as long as the slowest recent one.
    slowest_s = _quantile(vm, first_slot, admission, _SLOWEST)
    if slowest_s is not None:
        elapsed_s = clock.monotonic() - first_slot.started_at
        hedge.saved_s = max(0.0, slowest_s - elapsed_s)


def _count_hedge(vm, admission, hedge):
    service = admission.slot_request.route.service
    hedge.tokens_left = vm.hedging.tokens_of(service)
    result = hedge.winner or hedge.verdict.value
    vm.telemetry.count_hedge(service, result, hedge.saved_s)


def _abandon(progress, slot, first_slot, chosen):
    """Give up an attempt that has no outcome, and release its slot."""
    if chosen is not None:
        # A second attempt has run for too short a time to tell anything.
        slot.mark_superseded(is_slow=slot is first_slot)
        progress.abandon_attempt(slot)
    slot.release()


async def _close_others(vm, tasks, ended, chosen):
    """End the tasks and close the responses that are not used."""
    others = [attempt for attempt in ended if attempt is not chosen]
    for attempt in others:
        attempt.slot.release()
    for task in tasks:
        task.cancel()
    try:
        if tasks:
            await asyncio.wait(tasks)
        for attempt in others:
            await attempt.close(vm)
    except BaseException:
        # The request ends here, so that nobody else closes this one.
        if chosen is not None:
            chosen.slot.release()
            await chosen.close(vm)
        raise
