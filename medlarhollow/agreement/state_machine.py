"""Replicated state machine of the control replicas.

It extends the fleet state by the data that only control replicas keep: the
first result of each change, so that a change resent after a lost response is
not applied twice, the idempotency claims, and the holder and windows of usage
reports.
"""

import hashlib
import logging

import attrs
from result import Err
from result import Ok

from ..configuration import apply
from ..configuration import check_author
from ..configuration import CommitHistory
from ..configuration import FleetState
from ..configuration import order_subject
from ..configuration import resolve_superseded
from ..errors import fail
from ..messages import encode
from ..messages.records import AcquireUsageHolder
from ..messages.records import Applied
from ..messages.records import Claim
from ..messages.records import Commit
from ..messages.records import CompleteClaim
from ..messages.records import ConfirmUsage
from ..messages.records import ErrorKind
from ..messages.records import OrderRecord
from ..messages.records import ReleaseClaim
from ..messages.records import RequestRecord
from ..messages.records import SettleUsage
from ..requests import ClaimLedger
from ..usage.ledger import UsageLedger

__all__ = ["StateMachine", "is_ledger_change"]

_LOG = logging.getLogger(__name__)
_CLAIM_CHANGES = (Claim, CompleteClaim, ReleaseClaim)
_USAGE_CHANGES = (AcquireUsageHolder, SettleUsage, ConfirmUsage)
# Results and orders that are remembered: those of a day of the design size,
# and as many of the leader's own changes.
MAX_RECORDS = 20_000


def is_ledger_change(change):
    """Return whether a change concerns a claim or the usage reports.

    Only control replicas store these; they have no revision.
    """
    return isinstance(change.body, _CLAIM_CHANGES + _USAGE_CHANGES)


class StateMachine:
    """Execute committed changes in log order.

    Parameters
    ----------
    settings : Settings
        Sections ``vm`` and ``control`` are read.
    """

    def __init__(self, settings):
        self._settings = settings
        self._state = FleetState(cluster=settings.vm.cluster)
        self._history = CommitHistory(settings)
        self._claims = ClaimLedger(settings)
        self._usage = UsageLedger()
        self._request_records = {}
        self._order_records = {}

    @property
    def state(self):
        """FleetState : the replicated state."""
        return self._state

    @property
    def history(self):
        """CommitHistory : recently accepted changes."""
        return self._history

    @property
    def usage(self):
        """UsageLedger : holder and windows of usage reports."""
        return self._usage

    def snapshot(self):
        """Return the complete state as a record.

        Returns
        -------
        StateSnapshot
            The fleet state, the first results of changes, the claims and the
            usage reports.
        """
        return attrs.evolve(
            self._usage.snapshot(self._state.snapshot()),
            requests=tuple(self._request_records.values()),
            claims=self._claims.records,
            orders=tuple(self._order_records.values()),
        )

    def restore(self, snapshot):
        """Replace the complete state by that of a snapshot.

        Parameters
        ----------
        snapshot : StateSnapshot
            Returned by :meth:`snapshot`.
        """
        self._state = FleetState.from_snapshot(snapshot)
        self._history.clear()
        self._claims.restore(snapshot.claims)
        self._usage.restore(snapshot)
        self._request_records = {
            record.request_id: record for record in snapshot.requests
        }
        self._order_records = {
            record.subject: record for record in snapshot.orders
        }

    def execute(self, change, now):
        """Execute one change.

        Parameters
        ----------
        change : Change
            From a committed log entry.
        now : float
            Unix time of the entry in seconds; it never decreases.

        Returns
        -------
        result.Result
            ``Ok`` with an `Applied`, or the failure; for a change that was
            executed before, its first result. ``KEY_REUSED`` if another
            change was executed under the same request identifier.
        """
        self._expire(self._request_records, "request_id", now)
        self._expire(self._order_records, "subject", now)
        if isinstance(change.body, _CLAIM_CHANGES):
            return self._apply_guarded(self._claims.execute, change.body, now)
        if isinstance(change.body, _USAGE_CHANGES):
            return self._execute_usage(change)
        first = self._request_records.get(change.request_id)
        if first is not None:
            return _first_result(first, change)
        result = self._apply(change, now)
        if change.request_id:
            self._request_records[change.request_id] = RequestRecord(
                request_id=change.request_id,
                time_s=now,
                applied=result.ok(),
                failure=result.err(),
                change_sha256=_change_digest(change),
            )
        return result

    def _execute_usage(self, change):
        authorised = check_author(change)
        if authorised.is_err():
            return authorised
        return self._apply_guarded(self._usage.execute, change.body)

    def _expire(self, records, key, now):
        """Drop the records beyond the retention time or the limit."""
        expired_before = now - self._settings.control.request_retention_s
        # Records are inserted in log order, so the oldest come first.
        while records:
            oldest = next(iter(records.values()))
            if oldest.time_s >= expired_before and len(records) <= MAX_RECORDS:
                return
            del records[getattr(oldest, key)]

    def _apply(self, change, now):
        state = self._state
        base = change.base_revision
        if base and base != state.operator_revision:
            return fail(
                ErrorKind.CONFLICT,
                f"based on revision {base}, in force is "
                f"{state.operator_revision}",
                revision=state.operator_revision,
            )
        authorised = check_author(change)
        if authorised.is_err():
            return authorised
        subject = order_subject(change.body)
        if self._is_superseded(change, subject):
            result = resolve_superseded(change.body, state)
            return result.map(lambda _: Applied(revision=state.revision))
        result = self._apply_guarded(apply, change.body, state, now)
        if result.is_err():
            return result
        state.revision += 1
        state.time_s = now
        if change.author:
            state.operator_revision = state.revision
        if subject and change.author:
            self._order_records.pop(subject, None)
            self._order_records[subject] = OrderRecord(
                subject, state.revision, now
            )
        self._history.add(Commit(state.revision, now, change))
        return Ok(Applied(revision=state.revision))

    def _is_superseded(self, change, subject):
        """Return whether a later order about the same subject was accepted.

        Later than the time at which this one was read, so that its sender may
        have sent the other one after it gave up waiting.
        """
        record = self._order_records.get(subject)
        return (
            record is not None and 0 < change.next_revision <= record.revision
        )

    def _apply_guarded(self, function, *arguments):
        """Reject a change whose execution raises an exception.

        Every replica executes a committed change, and again at each restart,
        so that an uncaught exception would stop the whole quorum for good.
        """
        try:
            return function(*arguments)
        except Exception as error:  # noqa: BLE001 - see above
            name = type(arguments[0]).__name__
            _LOG.exception(
                "agreement: execution of change %s raised an exception", name
            )
            return fail(
                ErrorKind.BAD_REQUEST, f"{name} cannot be applied: {error!r}"
            )


def _first_result(record, change):
    if record.change_sha256 != _change_digest(change):
        return fail(
            ErrorKind.KEY_REUSED,
            f"request identifier '{change.request_id}' was used for another "
            "change",
        )
    return Err(record.failure) if record.failure else Ok(record.applied)


def _change_digest(change):
    """Return the SHA-256 of a change without base revision and request ID."""
    content = attrs.evolve(change, request_id="", base_revision=0)
    return hashlib.sha256(encode(content)).digest()
