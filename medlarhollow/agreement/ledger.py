"""Replicated state machine of the control replicas.

It wraps the fleet state with what only control replicas keep: the first
answer to each change, so that a change resent after a lost answer is not
applied twice, and the idempotency claims.
"""

from result import Err
from result import Ok

from ..configuration import apply
from ..configuration import check_author
from ..configuration import FleetState
from ..configuration import History
from ..errors import fail
from ..messages.records import Applied
from ..messages.records import Claim
from ..messages.records import Commit
from ..messages.records import CompleteClaim
from ..messages.records import ErrorKind
from ..messages.records import ReleaseClaim
from ..messages.records import RequestRecord
from ..requests import ClaimLedger

__all__ = ["Ledger"]

_CLAIM_CHANGES = (Claim, CompleteClaim, ReleaseClaim)


class Ledger:
    """Execute agreed changes in log order.

    Parameters
    ----------
    settings : Settings
        Sections ``vm`` and ``control`` are read.
    """

    def __init__(self, settings):
        self._settings = settings
        self._state = FleetState(cluster=settings.vm.cluster)
        self._history = History(settings.control.history_commits)
        self._claims = ClaimLedger(settings)
        self._requests = {}

    @property
    def state(self):
        """FleetState : the agreed state."""
        return self._state

    @property
    def history(self):
        """History : recent accepted changes."""
        return self._history

    def execute(self, change, now):
        """Execute one change.

        Parameters
        ----------
        change : Change
            From a committed log entry.
        now : float
            Unix time of the entry in seconds.

        Returns
        -------
        result.Result
            ``Ok`` with an `Applied` or the failure; for a change that was
            executed before, its first result.
        """
        if isinstance(change.body, _CLAIM_CHANGES):
            return self._claims.execute(change.body, now)
        known = self._requests.get(change.request_id)
        if known is not None:
            return Err(known.failure) if known.failure else Ok(known.applied)
        result = self._apply(change, now)
        if change.request_id:
            self._requests[change.request_id] = RequestRecord(
                request_id=change.request_id,
                time_s=now,
                applied=result.ok(),
                failure=result.err(),
            )
        return result

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
        allowed = check_author(change)
        if allowed.is_err():
            return allowed
        result = apply(change.body, state, now)
        if result.is_err():
            return result
        state.revision += 1
        state.time_s = now
        if change.author:
            state.operator_revision = state.revision
        self._history.add(Commit(state.revision, now, change))
        return Ok(Applied(revision=state.revision))
