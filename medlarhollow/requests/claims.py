"""Claims on idempotency keys, stored by the control replicas."""

import functools
import heapq

import attrs
from result import Ok

from ..errors import fail
from ..messages.records import Applied
from ..messages.records import Claim
from ..messages.records import ClaimRecord
from ..messages.records import ClaimStatus
from ..messages.records import CompleteClaim
from ..messages.records import ErrorKind
from ..messages.records import ReleaseClaim
from .idempotency import check_age
from .idempotency import parse_idempotency_key

__all__ = ["ClaimLedger"]

# Key of the record that stores the highest log time. No claim can have it,
# because a claim needs an account.
_CLOCK_KEY = ("", "", "")


class ClaimLedger:
    """Decide claims on idempotency keys in log order.

    Parameters
    ----------
    settings : Settings
        Section ``control`` gives the retention.

    Notes
    -----
    A claim is stored under (account, key, ""), the tombstone of a released
    attempt under (account, key, attempt). Log time is the highest time seen,
    so a leader whose clock is slow cannot revive an expired key. It is part
    of the records, so that a replica restored from a snapshot makes the same
    decisions as the others.
    """

    def __init__(self, settings):
        self._settings = settings
        self._claims = {}
        self._expiries = []
        self._time_s = 0.0

    @property
    def records(self):
        """Tuple of ClaimRecord : all claims, in a fixed order."""
        claims = tuple(
            self._claims[claim_key] for claim_key in sorted(self._claims)
        )
        if not self._time_s:
            return claims
        return (ClaimRecord(claimed_at_s=self._time_s), *claims)

    def restore(self, records):
        """Replace all claims with those of a snapshot."""
        self._claims = {}
        self._expiries = []
        self._time_s = 0.0
        for record in records:
            claim_key = _key_of(record)
            if claim_key == _CLOCK_KEY:
                self._time_s = record.claimed_at_s
            else:
                self._store(claim_key, record)

    def execute(self, body, now):
        """Execute a claim, its completion or its release.

        Parameters
        ----------
        body : Claim, CompleteClaim or ReleaseClaim
            From a committed log entry.
        now : float
            Unix time of the entry in seconds.

        Returns
        -------
        result.Result
            ``Ok`` with an `Applied` that contains the claim's status and, if
            completed, its outcome. A claim is ``GRANTED`` to one attempt;
            others receive ``PENDING``, ``COMPLETED`` or ``MISMATCHED``, and a
            released attempt receives ``RELEASED``.
        """
        self._time_s = max(self._time_s, now)
        self._expire()
        return self._execute(body)

    @functools.singledispatchmethod
    def _execute(self, body):
        return fail(
            ErrorKind.BAD_REQUEST, "the change does not concern a claim"
        )

    @_execute.register
    def _claim(self, body: Claim):
        checked = self._check(body)
        if checked.is_err():
            return checked
        if (body.account, body.idempotency_key, body.attempt) in self._claims:
            return Ok(Applied(claim_status=ClaimStatus.RELEASED))
        claim_key = (body.account, body.idempotency_key, "")
        existing = self._claims.get(claim_key)
        if existing is None:
            record = ClaimRecord(
                account=body.account,
                idempotency_key=body.idempotency_key,
                attempt=body.attempt,
                fingerprint=body.fingerprint,
                claimed_at_s=self._time_s,
                status=ClaimStatus.PENDING,
            )
            self._store(claim_key, record)
            return Ok(Applied(claim_status=ClaimStatus.GRANTED))
        if existing.fingerprint != body.fingerprint:
            return Ok(Applied(claim_status=ClaimStatus.MISMATCHED))
        if existing.status is ClaimStatus.COMPLETED:
            return Ok(_completed_response(existing))
        if existing.attempt == body.attempt:
            return Ok(Applied(claim_status=ClaimStatus.GRANTED))
        return Ok(Applied(claim_status=ClaimStatus.PENDING))

    @_execute.register
    def _complete(self, body: CompleteClaim):
        claim_key = (body.account, body.idempotency_key, "")
        existing = self._claims.get(claim_key)
        if existing is None or existing.attempt != body.attempt:
            return fail(
                ErrorKind.CONFLICT, "this attempt does not own the claim"
            )
        if body.outcome is None:
            return fail(ErrorKind.BAD_REQUEST, "an outcome is required")
        if existing.status is not ClaimStatus.COMPLETED:
            existing = attrs.evolve(
                existing, status=ClaimStatus.COMPLETED, outcome=body.outcome
            )
            self._claims[claim_key] = existing
        return Ok(_completed_response(existing))

    @_execute.register
    def _release(self, body: ReleaseClaim):
        checked = self._check(body)
        if checked.is_err():
            return checked
        claim_key = (body.account, body.idempotency_key, "")
        existing = self._claims.get(claim_key)
        if existing is not None and existing.attempt == body.attempt:
            if existing.status is ClaimStatus.COMPLETED:
                return fail(
                    ErrorKind.CONFLICT, "the claim is already completed"
                )
            del self._claims[claim_key]
        tombstone = ClaimRecord(
            account=body.account,
            idempotency_key=body.idempotency_key,
            attempt=body.attempt,
            claimed_at_s=self._time_s,
            status=ClaimStatus.RELEASED,
        )
        tombstone_key = (body.account, body.idempotency_key, body.attempt)
        if tombstone_key not in self._claims:
            self._store(tombstone_key, tombstone)
        return Ok(Applied(claim_status=ClaimStatus.RELEASED))

    def _check(self, body):
        if not body.account or not body.attempt:
            return fail(
                ErrorKind.BAD_REQUEST, "an account and an attempt are required"
            )
        parsed = parse_idempotency_key(body.idempotency_key)
        if parsed.is_err():
            return parsed
        if parsed.ok_value.text != body.idempotency_key:
            return fail(
                ErrorKind.BAD_REQUEST, "the key is not in canonical form"
            )
        retention_s = self._settings.control.claim_retention_s
        return check_age(parsed.ok_value, self._time_s, retention_s)

    def _store(self, claim_key, record):
        self._claims[claim_key] = record
        expiry = (self._expires_at(record), claim_key)
        heapq.heappush(self._expiries, expiry)

    def _expires_at(self, record):
        # The retention also starts no earlier than the time in the key,
        # because the key could be accepted until then.
        key = parse_idempotency_key(record.idempotency_key).ok_value
        start = max(record.claimed_at_s, key.time_s)
        return start + self._settings.control.claim_retention_s

    def _expire(self):
        while self._expiries and self._expiries[0][0] < self._time_s:
            _, claim_key = heapq.heappop(self._expiries)
            record = self._claims.get(claim_key)
            # The key may belong to a newer claim than the expired one.
            if record and self._expires_at(record) < self._time_s:
                del self._claims[claim_key]


def _key_of(record):
    is_released = record.status is ClaimStatus.RELEASED
    attempt = record.attempt if is_released else ""
    return record.account, record.idempotency_key, attempt


def _completed_response(record):
    return Applied(claim_status=ClaimStatus.COMPLETED, outcome=record.outcome)
