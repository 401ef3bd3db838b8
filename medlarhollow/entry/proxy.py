"""Serve one caller's request from a backend server."""

import asyncio
import logging
import time

from result import Ok

from ..errors import fail
from ..messages.records import ErrorKind
from .admission import admit
from .answers import make_failure_answer
from .answers import make_replay
from .attempts import Run
from .attempts import serve_attempts
from .backend_client import CutAnswerError
from .caller import Caller
from .caller import CallerGoneError
from .claiming import ClaimHolder
from .claiming import make_fingerprint
from .headers import REQUEST_ID_HEADER

__all__ = ["Proxy"]

_LOG = logging.getLogger(__name__)
# A refusal waits this long for the release of its claim, so that a resend
# that follows it finds the key free.
_RELEASE_WAIT_S = 1.0
_SERVED = "ok"


class Proxy:
    """ASGI application that serves requests to services.

    Parameters
    ----------
    vm : EntryVm
        The parts of this entry VM.
    """

    def __init__(self, vm):
        self._vm = vm

    async def __call__(self, scope, receive, send):
        """Serve one request in the task of its connection."""
        caller = Caller(scope, receive, send, self._vm.settings)
        telemetry = self._vm.telemetry
        with telemetry.request_span(
            "entry.request", caller.headers, path=caller.path
        ) as span:
            now = time.monotonic()
            admitted = admit(self._vm, caller, now)
            run = Run()
            if admitted.is_err():
                await self._refuse(caller, admitted.err_value, run, now)
                return
            outcome = await self._watch(caller, admitted.ok_value, run)
            span.set("outcome", outcome)
        demand = admitted.ok_value.demand
        self._vm.request_log.note(
            outcome,
            admitted.ok_value.request_id,
            run.trail,
            now,
            time.monotonic(),
            demand,
        )
        telemetry.count_request(
            demand.route.service,
            demand.route.path_prefix,
            demand.account,
            outcome,
            time.monotonic() - now,
        )

    async def _refuse(self, caller, failure, run, started_at):
        """Answer a request that is not admitted."""
        outcome = await self._answer_failure(caller, failure, run)
        request_id = caller.headers.get(REQUEST_ID_HEADER, "")
        self._vm.request_log.note(
            outcome, request_id, run.trail, started_at, time.monotonic()
        )

    async def _watch(self, caller, admission, run):
        """Serve until the caller leaves; return what became of it."""
        outcome = "cut"
        try:
            async with asyncio.TaskGroup() as group:
                watcher = group.create_task(caller.watch())
                outcome = await self._serve(caller, admission, run)
                watcher.cancel()
        except* CallerGoneError:
            outcome = "abandoned"
            _LOG.debug("entry: a caller left")
            await caller.abort()
        except* CutAnswerError as cut:
            run.trail.detail = f"answer cut: {cut.exceptions[0]}"
            await caller.abort()
        return outcome

    async def _serve(self, caller, admission, run):
        vm = self._vm
        demand = admission.demand
        vm.budget.count_request(demand.route.service)
        if self._is_limited(demand.account) and not admission.forwarded:
            asked_at = time.monotonic()
            with vm.telemetry.span("entry.token"):
                token = await vm.wait_in_queue(
                    vm.limiter.admit(demand.account, demand.deadline_at)
                )
            run.trail.token_wait_s = time.monotonic() - asked_at
            if token.is_err():
                vm.telemetry.count_refused(demand.account)
                return await self._answer_failure(caller, token.err_value, run)
        if admission.idempotency_key:
            return await self._serve_claimed(caller, admission, run)
        result = await serve_attempts(vm, caller, admission, run)
        if result.is_err():
            return await self._answer_failure(caller, result.err_value, run)
        return _SERVED

    def _is_limited(self, name):
        """Tell whether an account has a limit; a rate of 0 stands for none."""
        account = self._vm.state_cache.state.accounts.get(name)
        return bool(name) and (account is None or account.rate_per_s > 0)

    async def _serve_claimed(self, caller, admission, run):
        """Serve in a task that ends even if the caller leaves.

        Once the request may have reached a backend server, its answer is
        read to the end, so that a resend gets it.
        """
        work = self._vm.drain.serve(self._claim(caller, admission, run))
        try:
            return await asyncio.shield(work)
        except asyncio.CancelledError:
            if not run.sent:
                work.cancel()
            raise

    async def _claim(self, caller, admission, run):
        vm = self._vm
        demand = admission.demand
        await caller.wait_for_body()
        if caller.body_length is None:
            failure = fail(
                ErrorKind.TOO_LARGE,
                "a Content-Length is needed for a body of this size",
            )
            return await self._answer_failure(caller, failure.err_value, run)
        holder = ClaimHolder(
            vm,
            demand.account,
            admission.idempotency_key,
            make_fingerprint(caller),
        )

        async def prepare():
            with vm.telemetry.span("entry.claim"):
                taken = await holder.take(demand.deadline_at)
            if taken == Ok(None):
                run.claim = holder
            return taken

        try:
            result = await serve_attempts(vm, caller, admission, run, prepare)
        except BaseException:
            if run.claim is not None and not run.sent:
                holder.release()
            raise
        if result.is_err():
            if run.claim is not None and not run.sent:
                await asyncio.wait({holder.release()}, timeout=_RELEASE_WAIT_S)
            return await self._answer_failure(caller, result.err_value, run)
        if result.ok_value is not None:
            await caller.answer(make_replay(result.ok_value))
        return _SERVED

    async def _answer_failure(self, caller, failure, run):
        run.trail.detail = failure.detail
        await caller.answer(make_failure_answer(failure, self._vm))
        return failure.kind.name.lower()
