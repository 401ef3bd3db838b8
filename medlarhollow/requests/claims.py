"""Claims on idempotency keys, stored by the control replicas."""

import collections
import functools
import heapq
import logging

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

_LOG = logging.getLogger(__name__)
# Key of the record that stores the highest log time. No claim can have it,
# because a claim needs an account.
_CLOCK_KEY = ("", "", "")
# Estimated memory of a claim without its outcome, and of a header in it.
_CLAIM_BYTES = 1024
_HEADER_BYTES = 160
# Interval of log time between removals of expired claims of all accounts.
_SWEEP_INTERVAL_S = 60.0


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

    Beyond the memory limit the oldest claims of the account that uses most
    are dropped. Keys that are no younger than a dropped one of the account
    are rejected, so that none runs again. The time of the youngest dropped
    key is part of the records, as a claim of the account without a key.
    """

    def __init__(self, settings):
        self._settings = settings
        self._clear()

    @property
    def records(self):
        """Tuple of ClaimRecord : all claims, in a fixed order."""
        claims = tuple(
            self._claims[claim_key] for claim_key in sorted(self._claims)
        )
        if not self._time_s:
            return claims
        dropped = tuple(
            ClaimRecord(account=account, claimed_at_s=time_s)
            for account, time_s in sorted(self._dropped_times.items())
        )
        return (ClaimRecord(claimed_at_s=self._time_s), *dropped, *claims)

    def restore(self, records):
        """Replace all claims with those of a snapshot."""
        self._clear()
        for record in records:
            claim_key = _key_of(record)
            if claim_key == _CLOCK_KEY:
                self._time_s = record.claimed_at_s
            elif not record.idempotency_key:
                self._dropped_times[record.account] = record.claimed_at_s
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
        self._expire(body.account)
        if self._time_s >= self._next_sweep_at_s:
            self._next_sweep_at_s = self._time_s + _SWEEP_INTERVAL_S
            self._logged.clear()
            for account in list(self._expiries):
                self._expire(account)
        result = self._execute(body)
        while self._used_bytes > self._settings.control.claim_bytes:
            self._drop_oldest()
        return result

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
            self._count(claim_key, existing)
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
            self._remove(claim_key)
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
        dropped_time_s = self._dropped_times.get(body.account, 0.0)
        if parsed.ok_value.time_s <= dropped_time_s:
            return fail(
                ErrorKind.BAD_REQUEST,
                "the Idempotency-Key is older than the oldest one that is "
                "still stored for this account",
            )
        retention_s = self._settings.control.claim_retention_s
        return check_age(parsed.ok_value, self._time_s, retention_s)

    def _clear(self):
        self._claims = {}
        # Heaps of (end of the retention, key of the claim), by account.
        self._expiries = {}
        self._bytes_by_account = collections.Counter()
        self._used_bytes = 0
        # Time of the youngest key that was dropped, by account.
        self._dropped_times = {}
        self._time_s = 0.0
        self._next_sweep_at_s = 0.0
        # Accounts whose dropped claims were logged since the last sweep.
        self._logged = set()

    def _store(self, claim_key, record):
        self._count(claim_key, record)
        self._claims[claim_key] = record
        expiries = self._expiries.setdefault(record.account, [])
        heapq.heappush(expiries, (self._expires_at(record), claim_key))

    def _count(self, claim_key, record):
        """Count the memory of a record that replaces one, or none."""
        change = _estimate_bytes(record)
        previous = self._claims.get(claim_key)
        if previous is not None:
            change -= _estimate_bytes(previous)
        self._used_bytes += change
        self._bytes_by_account[record.account] += change

    def _remove(self, claim_key):
        record = self._claims.pop(claim_key)
        size = _estimate_bytes(record)
        self._used_bytes -= size
        self._bytes_by_account[record.account] -= size
        if not self._bytes_by_account[record.account]:
            del self._bytes_by_account[record.account]

    def _drop_oldest(self):
        """Drop the oldest claim of the account that uses most memory."""
        account = max(
            self._bytes_by_account,
            key=lambda name: (self._bytes_by_account[name], name),
        )
        _, claim_key = heapq.heappop(self._expiries[account])
        record = self._claims.get(claim_key)
        if record is None:
            return
        key = parse_idempotency_key(record.idempotency_key).ok_value
        self._dropped_times[account] = max(
            self._dropped_times.get(account, 0.0), key.time_s
        )
        self._remove(claim_key)
        if account not in self._logged:
            self._logged.add(account)
            _LOG.warning(
                "requests: drops claims of account '%s' to save memory; "
                "its keys up to %.0f are rejected",
                account,
                self._dropped_times[account],
            )

    def _expires_at(self, record):
        # The retention also starts no earlier than the time in the key,
        # because the key could be accepted until then.
        key = parse_idempotency_key(record.idempotency_key).ok_value
        start = max(record.claimed_at_s, key.time_s)
        return start + self._settings.control.claim_retention_s

    def _expire(self, account):
        expiries = self._expiries.get(account)
        while expiries and expiries[0][0] < self._time_s:
            _, claim_key = heapq.heappop(expiries)
            record = self._claims.get(claim_key)
            # The key may belong to a newer claim than the expired one.
            if record and self._expires_at(record) < self._time_s:
                self._remove(claim_key)
        if expiries is not None and not expiries:
            del self._expiries[account]


def _estimate_bytes(record):
    outcome = record.outcome
    if outcome is None:
        return _CLAIM_BYTES
    headers = sum(
        _HEADER_BYTES + len(header.name) + len(header.value)
        for header in outcome.headers
    )
    return _CLAIM_BYTES + headers + len(outcome.body)


def _key_of(record):
    is_released = record.status is ClaimStatus.RELEASED
    attempt = record.attempt if is_released else ""
    return record.account, record.idempotency_key, attempt


def _completed_response(record):
    return Applied(claim_status=ClaimStatus.COMPLETED, outcome=record.outcome)
