"""Proxy a caller's request to a backend server."""

import asyncio
import logging

from result import Ok

from .. import clock
from ..errors import fail
from ..messages.records import ErrorKind
from .admission import admit
from .attempts import serve_attempts
from .backend_client import TruncatedResponseError
from .caller import BodyTooLargeError
from .caller import Caller
from .caller import CallerDisconnectedError
from .claim_client import ClaimClient
from .claim_client import make_fingerprint
from .headers import REQUEST_ID_HEADER
from .progress import RequestProgress
from .responses import make_caller_failure_response
from .responses import make_replay_response

__all__ = ["Proxy"]

_LOG = logging.getLogger(__name__)
# Maximum delay of a failure response until its claim has been released, so
# that an immediate retry by the caller finds the key free.
_RELEASE_WAIT_S = 1.0
_SERVED = "ok"


class Proxy:
    """ASGI application that proxies requests to services.

    Parameters
    ----------
    vm : EntryVm
        Components of this entry VM.
    """

    def __init__(self, vm):
        self._vm = vm

    async def __call__(self, scope, receive, send):
        """Serve one request in the task of its connection."""
        limits = self._vm.state_cache.state.limits
        caller = Caller(
            scope,
            receive,
            send,
            self._vm.settings,
            0 if limits is None else limits.body_bytes,
        )
        telemetry = self._vm.telemetry
        with telemetry.request_span(
            "entry.request", caller.headers, path=caller.path
        ) as span:
            now = clock.monotonic()
            admitted = admit(self._vm, caller, now)
            progress = RequestProgress()
            if admitted.is_err():
                await self._refuse_request(
                    caller, admitted.err_value, progress, now
                )
                return
            outcome = await self._serve_until_disconnect(
                caller, admitted.ok_value, progress
            )
            span.set("outcome", outcome)
        slot_request = admitted.ok_value.slot_request
        self._vm.request_log.record_request(
            outcome,
            admitted.ok_value.request_id,
            progress.trace,
            now,
            clock.monotonic(),
            slot_request,
        )
        telemetry.count_request(
            slot_request.route.service,
            slot_request.route.path_prefix,
            slot_request.account,
            outcome,
            clock.monotonic() - now,
        )

    async def _refuse_request(self, caller, failure, progress, started_at):
        """Send and log the failure of a request that is not admitted."""
        outcome = await self._send_failure(caller, failure, progress)
        request_id = caller.headers.get(REQUEST_ID_HEADER, "")
        self._vm.request_log.record_request(
            outcome, request_id, progress.trace, started_at, clock.monotonic()
        )

    async def _serve_until_disconnect(self, caller, admission, progress):
        """Serve until the caller disconnects; return the logged outcome."""
        outcome = "cut"
        try:
            async with asyncio.TaskGroup() as group:
                reader = group.create_task(caller.read_ahead())
                outcome = await self._serve(caller, admission, progress)
                reader.cancel()
        except* CallerDisconnectedError:
            outcome = "abandoned"
            _LOG.debug("entry: caller disconnected before the response ended")
            await caller.abort()
        except* BodyTooLargeError:
            outcome = await self._reject_body(caller, progress)
        except* TruncatedResponseError as errors:
            outcome = await self._end_truncated(
                caller, errors.exceptions[0], progress
            )
        return outcome

    async def _end_truncated(self, caller, error, progress):
        """Replace a truncated response, or abort if its start was sent."""
        detail = f"response truncated: {error}"
        if caller.withdraw_response():
            failure = fail(ErrorKind.OUTCOME_UNKNOWN, detail)
            return await self._send_failure(
                caller, failure.err_value, progress
            )
        progress.trace.detail = detail
        await caller.abort()
        return "cut"

    async def _reject_body(self, caller, progress):
        """End a request whose body exceeded the limit while it was read."""
        if progress.sent:
            # A part of the body may have reached a server.
            progress.trace.detail = "the body exceeds the size limit"
            await caller.abort()
            return "cut"
        failure = fail(ErrorKind.TOO_LARGE, "the body exceeds the size limit")
        return await self._send_failure(caller, failure.err_value, progress)

    async def _serve(self, caller, admission, progress):
        vm = self._vm
        slot_request = admission.slot_request
        vm.retry_budget.count_request(slot_request.route.service)
        vm.hedging.count_request(slot_request.route.service)
        if self._is_limited(slot_request.account) and not admission.forwarded:
            wait_started_at = clock.monotonic()
            with vm.telemetry.span("entry.token"):
                token = await vm.wait_in_queue(
                    vm.limiter.admit(
                        slot_request.account, slot_request.deadline_at
                    )
                )
            progress.trace.token_wait_s = clock.monotonic() - wait_started_at
            if token.is_err():
                vm.telemetry.count_refused(slot_request.account)
                return await self._send_failure(
                    caller, token.err_value, progress
                )
        if admission.idempotency_key:
            return await self._serve_claimed(caller, admission, progress)
        result = await serve_attempts(vm, caller, admission, progress)
        if result.is_err():
            return await self._send_failure(caller, result.err_value, progress)
        return _SERVED

    def _is_limited(self, name):
        """Return whether an account is limited; a rate of 0 means no limit."""
        account = self._vm.state_cache.state.accounts.get(name)
        return bool(name) and (account is None or account.rate_per_s > 0)

    async def _serve_claimed(self, caller, admission, progress):
        """Serve in a task that continues if the caller disconnects.

        Once the request may have reached a backend server, its response is
        read to the end and recorded, so that a retry by the caller gets it.
        """
        task = self._vm.drain.start_request(
            self._claim_and_serve(caller, admission, progress)
        )
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if not progress.sent:
                task.cancel()
            raise

    async def _claim_and_serve(self, caller, admission, progress):
        vm = self._vm
        slot_request = admission.slot_request
        await caller.wait_for_body()
        if caller.body_length is None:
            failure = fail(
                ErrorKind.TOO_LARGE,
                "Content-Length is required for a body of this size",
            )
            return await self._send_failure(
                caller, failure.err_value, progress
            )
        claim = ClaimClient(
            vm,
            slot_request.account,
            admission.idempotency_key,
            make_fingerprint(caller),
        )

        async def prepare():
            with vm.telemetry.span("entry.claim"):
                claimed = await claim.acquire(slot_request.deadline_at)
            if claimed == Ok(None):
                progress.claim = claim
            return claimed

        try:
            result = await serve_attempts(
                vm, caller, admission, progress, prepare
            )
        except BaseException:
            if progress.claim is not None and not progress.sent:
                claim.release()
            raise
        if result.is_err():
            if progress.claim is not None and not progress.sent:
                await asyncio.wait({claim.release()}, timeout=_RELEASE_WAIT_S)
            return await self._send_failure(caller, result.err_value, progress)
        if result.ok_value is not None:
            await caller.send_response(make_replay_response(result.ok_value))
        return _SERVED

    async def _send_failure(self, caller, failure, progress):
        progress.trace.detail = failure.detail
        await caller.send_response(
            make_caller_failure_response(failure, self._vm)
        )
        return failure.kind.name.lower()
