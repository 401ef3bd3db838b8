"""Holder and windows of usage reports, stored by the control replicas."""

import functools

import attrs
from result import Ok

from ..errors import fail
from ..messages.records import AcquireUsageHolder
from ..messages.records import Applied
from ..messages.records import ConfirmUsage
from ..messages.records import ErrorKind
from ..messages.records import SettleUsage
from ..messages.records import UsageHolder

__all__ = ["MAX_WINDOWS", "UsageLedger"]

# Bounds the memory while the receiver is down: 28 hours of windows of 5 s.
MAX_WINDOWS = 20_000


class UsageLedger:
    """Decide, in log order, who reports usage and with which counts.

    Notes
    -----
    It does not read the settings or the clock, so that replicas whose
    settings differ make the same decisions. Beyond `MAX_WINDOWS` the oldest
    window is dropped without a report.
    """

    def __init__(self):
        self._holder = None
        self._windows = {}
        self._settled = 0
        self._confirmed = 0

    @property
    def holder(self):
        """UsageHolder or None : last holder, with its fencing token."""
        return self._holder

    @property
    def token(self):
        """Last fencing token that was assigned; 0 if there is none."""
        return self._holder.token if self._holder else 0

    @property
    def windows(self):
        """Tuple of UsageWindow : settled and not confirmed, oldest first."""
        return tuple(self._windows.values())

    @property
    def oldest(self):
        """UsageWindow or None : the oldest window that is not confirmed."""
        return next(iter(self._windows.values()), None)

    @property
    def settled(self):
        """Last settled window; 0 if there is none."""
        return self._settled

    @property
    def confirmed(self):
        """Last confirmed window; 0 if there is none."""
        return self._confirmed

    def snapshot(self, state):
        """Return a snapshot of the fleet state extended by this ledger.

        Parameters
        ----------
        state : StateSnapshot
            Its usage fields are replaced.
        """
        return attrs.evolve(
            state,
            usage_holder=self._holder,
            usage_windows=self.windows,
            usage_settled=self._settled,
            usage_confirmed=self._confirmed,
        )

    def restore(self, state):
        """Replace the content by that of a snapshot.

        Parameters
        ----------
        state : StateSnapshot
            Returned by :meth:`snapshot`.
        """
        self._holder = state.usage_holder
        self._windows = {item.window: item for item in state.usage_windows}
        self._settled = state.usage_settled
        self._confirmed = state.usage_confirmed

    @functools.singledispatchmethod
    def execute(self, body):
        """Execute a change of the usage reports.

        Parameters
        ----------
        body : AcquireUsageHolder, SettleUsage or ConfirmUsage
            From a committed log entry.

        Returns
        -------
        result.Result
            ``Ok`` with an `Applied`; ``CONFLICT`` if the token is not the
            current one, or if the window is not later than the last settled
            one (settle) or not the oldest unconfirmed one (confirm).
        """
        return fail(ErrorKind.BAD_REQUEST, "the change does not concern usage")

    @execute.register
    def _acquire(self, body: AcquireUsageHolder):
        if not body.vm or not body.incarnation:
            return fail(
                ErrorKind.BAD_REQUEST, "a holder has a name and an incarnation"
            )
        self._holder = UsageHolder(body.vm, body.incarnation, self.token + 1)
        return Ok(Applied())

    @execute.register
    def _settle(self, body: SettleUsage):
        if body.token != self.token or not self._holder:
            return self._reject_token(body.token)
        number = body.window.window
        if number <= self._settled:
            return fail(
                ErrorKind.CONFLICT,
                f"window {number} is not later than {self._settled}, the last "
                "settled one",
            )
        accounts = [count.account for count in body.window.counts]
        if accounts != sorted(set(accounts)):
            return fail(ErrorKind.BAD_REQUEST, "the accounts are not in order")
        self._windows[number] = body.window
        self._settled = number
        if len(self._windows) > MAX_WINDOWS:
            del self._windows[self.oldest.window]
        return Ok(Applied())

    @execute.register
    def _confirm(self, body: ConfirmUsage):
        if body.token != self.token or not self._holder:
            return self._reject_token(body.token)
        if body.window <= self._confirmed:
            return Ok(Applied())
        if self.oldest is None or body.window != self.oldest.window:
            return fail(
                ErrorKind.CONFLICT,
                f"window {body.window} is not the oldest unconfirmed one",
            )
        del self._windows[body.window]
        self._confirmed = body.window
        return Ok(Applied())

    def _reject_token(self, token):
        return fail(
            ErrorKind.CONFLICT,
            f"token {token} is not the current one, {self.token}",
        )
