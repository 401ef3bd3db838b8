"""Hold the claim of one request on its idempotency key."""

import asyncio
import hashlib
import logging
import time
import uuid

import attrs
from result import Ok

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
_TRANSIENT = frozenset({ErrorKind.NO_QUORUM, ErrorKind.NOT_LEADER})
_RETRY_S = 0.05
_RETRY_LIMIT_S = 1.0
# A claim whose outcome cannot be recorded in this time stays "outcome
# unknown"; the quorum was lost for longer than a planned stop may take.
_SETTLE_LIMIT_S = 60.0
_ATTEMPT_LIMIT_S = 3.0

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
        "this attempt was given up before it was sent",
    ),
}


def make_fingerprint(caller):
    """Return what tells requests under one idempotency key apart.

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
    """Take, complete or release a claim.

    Attributes
    ----------
    vm : EntryVm
        Its control client proposes; its drain waits for what runs on.
    account : str
        Client account.
    idempotency_key : str
        Canonical key.
    fingerprint : bytes
        Of the request.
    attempt : str
        Identifies this request of the caller.
    """

    vm: object
    account: str
    idempotency_key: str
    fingerprint: bytes
    attempt: str = attrs.field(factory=lambda: uuid.uuid4().hex)

    async def take(self, deadline_at):
        """Commit the claim before anything is sent.

        Parameters
        ----------
        deadline_at : float
            Monotonic time in seconds.

        Returns
        -------
        result.Result
            ``Ok(None)`` if the request may be sent, ``Ok(Outcome)`` if it
            has run, or the failure with which it is refused.
        """
        limit_s = self.vm.settings.entry.claim_timeout_s
        until = min(deadline_at, time.monotonic() + limit_s)
        body = Claim(
            self.account, self.idempotency_key, self.attempt, self.fingerprint
        )
        try:
            result = await self._propose("claim", body, until)
        except asyncio.CancelledError:
            self.release()
            raise
        if result.is_err():
            if result.err_value.kind in _TRANSIENT:
                # The claim may be committed later; the release keeps the
                # key free for a resend.
                self.release()
            return result
        status = result.ok_value.claim_status
        if status is ClaimStatus.GRANTED:
            return Ok(None)
        if status is ClaimStatus.COMPLETED:
            return Ok(result.ok_value.outcome)
        return fail(*_REFUSALS[status])

    def complete(self, outcome):
        """Record the outcome, in the background."""
        body = CompleteClaim(
            self.account, self.idempotency_key, self.attempt, outcome
        )
        return self.vm.drain.start(self._settle("complete", body))

    def release(self):
        """Free the key in the background; nothing was or will be sent."""
        body = ReleaseClaim(self.account, self.idempotency_key, self.attempt)
        return self.vm.drain.start(self._settle("release", body))

    async def _settle(self, verb, body):
        until = time.monotonic() + _SETTLE_LIMIT_S
        result = await self._propose(verb, body, until)
        if result.is_err():
            _LOG.warning(
                "entry: %s of a claim of '%s' failed: %s",
                verb,
                self.account,
                result.err_value.detail,
            )

    async def _propose(self, verb, body, until):
        """Propose until the answer is final; resending is harmless."""
        change = Change(request_id=f"{self.attempt}-{verb}", body=body)
        pause_s = _RETRY_S
        while True:
            now = time.monotonic()
            limit_at = min(until, now + _ATTEMPT_LIMIT_S)
            result = await self.vm.control.propose(change, limit_at)
            if result.is_ok() or result.err_value.kind not in _TRANSIENT:
                return result
            if time.monotonic() + pause_s >= until:
                return fail(
                    ErrorKind.NO_QUORUM,
                    "no quorum of control replicas could be reached, so "
                    "the request was not sent",
                )
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, _RETRY_LIMIT_S)


class ResponseRecorder:
    """Keep the answer that is streamed to a caller, up to a limit.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : list of (bytes, bytes)
        Headers of the answer.
    limit_bytes : int
        Largest body that is kept.
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
        self._kept = True

    def add(self, chunk):
        """Keep a part of the body, unless it has become too large."""
        if len(self._body) + len(chunk) > self._limit_bytes:
            self._kept = False
            self._body.clear()
        if self._kept:
            self._body += chunk

    def outcome(self, whole):
        """Return the outcome to record.

        Parameters
        ----------
        whole : bool
            Whether the body arrived to its end.

        Returns
        -------
        Outcome
            With the body if it is whole and small enough.
        """
        kept = whole and self._kept
        body = bytes(self._body) if kept else b""
        return Outcome(self._status, self._headers, body, kept)
