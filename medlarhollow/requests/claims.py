"""Claims on idempotency keys, kept by the control replicas."""

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

# Place of the record that carries the highest log time; no claim can have
# it, because a claim needs an account.
_CLOCK_PLACE = ("", "", "")


class ClaimLedger:
    """Decide claims on idempotency keys in log order.

    Parameters
    ----------
    settings : Settings
        Section ``control`` gives the retention.

    Notes
    -----
    The place of a claim is (account, key, ""), that of a released attempt
    is (account, key, attempt). Log time is the highest time seen, so a
    leader whose clock is behind cannot bring an expired key back. It is
    part of the records, so that a replica restored from a snapshot decides
    as the others do.
    """

    def __init__(self, settings):
        self._settings = settings
        self._claims = {}
        self._expiries = []
        self._time_s = 0.0

    @property
    def records(self):
        """Tuple of ClaimRecord : all claims, in a fixed order."""
        claims = tuple(self._claims[place] for place in sorted(self._claims))
        if not self._time_s:
            return claims
        return (ClaimRecord(claimed_at_s=self._time_s), *claims)

    def restore(self, records):
        """Replace all claims by those of a snapshot."""
        self._claims = {}
        self._expiries = []
        self._time_s = 0.0
        for record in records:
            place = _place_of(record)
            if place == _CLOCK_PLACE:
                self._time_s = record.claimed_at_s
            else:
                self._store(place, record)

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
            ``Ok`` with an `Applied` that gives the claim's status and, if
            it is completed, its outcome. A claim is ``GRANTED`` to one
            attempt; others get ``PENDING``, ``COMPLETED`` or
            ``MISMATCHED``, and a released attempt gets ``RELEASED``.
        """
        self._time_s = max(self._time_s, now)
        self._expire()
        return self._execute(body)

    @functools.singledispatchmethod
    def _execute(self, body):
        return fail(ErrorKind.BAD_REQUEST, "not a change of a claim")

    @_execute.register
    def _claim(self, body: Claim):
        checked = self._check(body)
        if checked.is_err():
            return checked
        if (body.account, body.idempotency_key, body.attempt) in self._claims:
            return Ok(Applied(claim_status=ClaimStatus.RELEASED))
        place = (body.account, body.idempotency_key, "")
        known = self._claims.get(place)
        if known is None:
            record = ClaimRecord(
                account=body.account,
                idempotency_key=body.idempotency_key,
                attempt=body.attempt,
                fingerprint=body.fingerprint,
                claimed_at_s=self._time_s,
                status=ClaimStatus.PENDING,
            )
            self._store(place, record)
            return Ok(Applied(claim_status=ClaimStatus.GRANTED))
        if known.fingerprint != body.fingerprint:
            return Ok(Applied(claim_status=ClaimStatus.MISMATCHED))
        if known.status is ClaimStatus.COMPLETED:
            return Ok(_completed(known))
        if known.attempt == body.attempt:
            return Ok(Applied(claim_status=ClaimStatus.GRANTED))
        return Ok(Applied(claim_status=ClaimStatus.PENDING))

    @_execute.register
    def _complete(self, body: CompleteClaim):
        place = (body.account, body.idempotency_key, "")
        known = self._claims.get(place)
        if known is None or known.attempt != body.attempt:
            return fail(
                ErrorKind.CONFLICT, "the claim is not held by this attempt"
            )
        if body.outcome is None:
            return fail(ErrorKind.BAD_REQUEST, "an outcome is needed")
        if known.status is not ClaimStatus.COMPLETED:
            known = attrs.evolve(
                known, status=ClaimStatus.COMPLETED, outcome=body.outcome
            )
            self._claims[place] = known
        return Ok(_completed(known))

    @_execute.register
    def _release(self, body: ReleaseClaim):
        checked = self._check(body)
        if checked.is_err():
            return checked
        place = (body.account, body.idempotency_key, "")
        known = self._claims.get(place)
        if known is not None and known.attempt == body.attempt:
            if known.status is ClaimStatus.COMPLETED:
                return fail(
                    ErrorKind.CONFLICT, "the claim is completed already"
                )
            del self._claims[place]
        tombstone = ClaimRecord(
            account=body.account,
            idempotency_key=body.idempotency_key,
            attempt=body.attempt,
            claimed_at_s=self._time_s,
            status=ClaimStatus.RELEASED,
        )
        released = (body.account, body.idempotency_key, body.attempt)
        if released not in self._claims:
            self._store(released, tombstone)
        return Ok(Applied(claim_status=ClaimStatus.RELEASED))

    def _check(self, body):
        if not body.account or not body.attempt:
            return fail(
                ErrorKind.BAD_REQUEST, "an account and an attempt are needed"
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

    def _store(self, place, record):
        self._claims[place] = record
        expiry = (self._expires_at(record), place)
        heapq.heappush(self._expiries, expiry)

    def _expires_at(self, record):
        # Never before the retention has passed since the key's own time:
        # until then the key itself could still be accepted.
        key = parse_idempotency_key(record.idempotency_key).ok_value
        start = max(record.claimed_at_s, key.time_s)
        return start + self._settings.control.claim_retention_s

    def _expire(self):
        while self._expiries and self._expiries[0][0] < self._time_s:
            _, place = heapq.heappop(self._expiries)
            record = self._claims.get(place)
            # The place may hold a later claim than the one that expires.
            if record and self._expires_at(record) < self._time_s:
                del self._claims[place]


def _place_of(record):
    released = record.status is ClaimStatus.RELEASED
    attempt = record.attempt if released else ""
    return record.account, record.idempotency_key, attempt


def _completed(record):
    return Applied(claim_status=ClaimStatus.COMPLETED, outcome=record.outcome)
