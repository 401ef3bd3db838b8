"""Claim the idempotency key of one request."""

import asyncio
import hashlib
import logging
import uuid

import attrs
from result import Ok

from .. import clock
from ..errors import fail
from ..messages.records import Change
from ..messages.records import Claim
from ..messages.records import ClaimStatus
from ..messages.records import CompleteClaim
from ..messages.records import ErrorKind
from ..messages.records import Header
from ..messages.records import Outcome
from ..messages.records import ReleaseClaim
from ..requests import redact_text

__all__ = ["ClaimClient", "ResponseRecorder", "make_fingerprint"]

_LOG = logging.getLogger(__name__)
_TRANSIENT_ERRORS = frozenset({ErrorKind.NO_QUORUM, ErrorKind.NOT_LEADER})
_RETRY_DELAY_S = 0.05
_RETRY_DELAY_LIMIT_S = 1.0
# If the outcome of a claim cannot be recorded within this time, because there
# is no quorum for longer than a planned stop may take, it remains unknown.
_BACKGROUND_LIMIT_S = 60.0
_PROPOSAL_TIMEOUT_S = 3.0

_REFUSALS = {
    ClaimStatus.PENDING: (
        ErrorKind.OUTCOME_UNKNOWN,
        "a request with this Idempotency-Key was sent; its outcome is not "
        "known yet",
    ),
    ClaimStatus.MISMATCHED: (
        ErrorKind.KEY_REUSED,
        "the Idempotency-Key belongs to a request with another method, path "
        "or body length",
    ),
    ClaimStatus.RELEASED: (
        ErrorKind.CONFLICT,
        "this attempt was cancelled before the request was sent",
    ),
}


def make_fingerprint(caller):
    """Return the fingerprint of a request under its idempotency key.

    Parameters
    ----------
    caller : Caller
        A request whose body length is known.

    Returns
    -------
    bytes
        SHA-256 of method, path, query without keys, and body length.
    """
    parts = (
        caller.method,
        caller.raw_path,
        redact_text(caller.query),
        str(caller.body_length),
    )
    return hashlib.sha256("\0".join(parts).encode()).digest()


@attrs.define
class ClaimClient:
    """Acquire, complete or release the claim of one request.

    Attributes
    ----------
    vm : EntryVm
        Provides the control client, and the drain that waits for background
        proposals.
    account : str
        Client account.
    idempotency_key : str
        Canonical idempotency key.
    fingerprint : bytes
        Fingerprint of the request.
    attempt : str
        Unique identifier of this request.
    """

    vm: object
    account: str
    idempotency_key: str
    fingerprint: bytes
    attempt: str = attrs.field(factory=lambda: uuid.uuid4().hex)

    async def acquire(self, deadline_at):
        """Commit the claim before anything is sent.

        Parameters
        ----------
        deadline_at : float
            Monotonic time in seconds.

        Returns
        -------
        result.Result
            ``Ok(None)`` if the request may be sent, ``Ok(Outcome)`` if it
            was already completed, or the failure to report.
        """
        limit_s = self.vm.settings.entry.claim_timeout_s
        expires_at = min(deadline_at, clock.monotonic() + limit_s)
        body = Claim(
            self.account, self.idempotency_key, self.attempt, self.fingerprint
        )
        try:
            result = await self._propose("claim", body, expires_at)
        except asyncio.CancelledError:
            self.release()
            raise
        if result.is_err():
            if result.err_value.kind in _TRANSIENT_ERRORS:
                # The claim may still be committed; the release frees the
                # key for a retry by the caller.
                self.release()
            return result
        status = result.ok_value.claim_status
        if status is ClaimStatus.GRANTED:
            return Ok(None)
        if status is ClaimStatus.COMPLETED:
            return Ok(result.ok_value.outcome)
        return fail(*_REFUSALS[status])

    def complete(self, outcome):
        """Record the outcome in the background."""
        body = CompleteClaim(
            self.account, self.idempotency_key, self.attempt, outcome
        )
        return self.vm.drain.start_task(
            self._propose_in_background("complete", body)
        )

    def release(self):
        """Release the key in the background; the request must not be sent."""
        body = ReleaseClaim(self.account, self.idempotency_key, self.attempt)
        return self.vm.drain.start_task(
            self._propose_in_background("release", body)
        )

    async def _propose_in_background(self, action, body):
        expires_at = clock.monotonic() + _BACKGROUND_LIMIT_S
        result = await self._propose(action, body, expires_at)
        if result.is_err():
            _LOG.warning(
                "entry: %s of a claim of account '%s' failed: %s",
                action,
                self.account,
                result.err_value.detail,
            )

    async def _propose(self, action, body, expires_at):
        """Propose until the result is final; proposals are idempotent."""
        change = Change(request_id=f"{self.attempt}-{action}", body=body)
        delay_s = _RETRY_DELAY_S
        while True:
            now = clock.monotonic()
            proposal_expires_at = min(expires_at, now + _PROPOSAL_TIMEOUT_S)
            result = await self.vm.control.propose(change, proposal_expires_at)
            if (
                result.is_ok()
                or result.err_value.kind not in _TRANSIENT_ERRORS
            ):
                return result
            if clock.monotonic() + delay_s >= expires_at:
                return fail(
                    ErrorKind.NO_QUORUM,
                    "no quorum of control replicas could be reached, so "
                    "the request was not sent",
                )
            await asyncio.sleep(delay_s)
            delay_s = min(2 * delay_s, _RETRY_DELAY_LIMIT_S)


class ResponseRecorder:
    """Record the response that is streamed to a caller, up to a limit.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : list of (bytes, bytes)
        Headers of the response.
    limit_bytes : int
        Maximum size of a body that is kept.
    """

    def __init__(self, status, headers, limit_bytes):
        self._status = status
        self._headers = tuple(
            Header(name.decode("latin-1"), value.decode("latin-1"))
            for name, value in headers
            if name not in (b"content-length", b"date")
        )
        self._limit_bytes = limit_bytes
        self._body = bytearray()
        self._body_kept = True

    def add(self, chunk):
        """Add a chunk of the body, or drop a body above the limit."""
        if len(self._body) + len(chunk) > self._limit_bytes:
            self._body_kept = False
            self._body.clear()
        if self._body_kept:
            self._body += chunk

    def outcome(self, is_complete):
        """Return the outcome to record.

        Parameters
        ----------
        is_complete : bool
            Whether the body was received to its end.

        Returns
        -------
        Outcome
            With the body if it is complete and within the limit.
        """
        body_kept = is_complete and self._body_kept
        body = bytes(self._body) if body_kept else b""
        return Outcome(self._status, self._headers, body, body_kept)
