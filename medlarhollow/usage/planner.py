"""Decisions of the holder of the usage reports."""

import attrs

from ..messages.records import AcquireUsageHolder
from ..messages.records import ConfirmUsage
from ..messages.records import SettleUsage
from ..messages.records import UsageCount
from ..messages.records import UsageWindow
from .calls import SendUsage
from .calls import UsageResponse

__all__ = ["LeaderView", "UsagePlanner"]

# Time after the end of a window before which no VM has complete totals: an
# attempt that has been in flight for 1 s is counted.
_COMPLETE_S = 1.0
# Part of the due time after which a window is settled without the VMs whose
# totals are not complete; the rest is for a change of the holder and repeats.
_SETTLE_FRACTION = 0.6
# VMs keep their totals for 30 s. A window is settled before they drop them,
# and not at all once they may have dropped some.
_TOTALS_LIMIT_S = 30.0
_TOTALS_MARGIN_S = 5.0
# Time for VMs to find a new leader, as in the planning of the roster: they
# leave an upstream that sends nothing for 2 s.
_ROSTER_MARGIN_S = 2.0
# Delays after a call without success.
_FIRST_DELAY_S = 0.5
_LONGEST_DELAY_S = 4.0


@attrs.frozen
class LeaderView:
    """What a control leader knows when it plans.

    Attributes
    ----------
    term : int
        Term that it leads.
    ledger : UsageLedger
        Committed state of the reports.
    roster : dict of str to Vm
        VMs of the fleet state.
    reports : tuple of VmReport
        Those received within ``[control] vm_lease_s``.
    totals : UsageTotals
        Counts received from the entry VMs.
    """

    term: int
    ledger: object
    roster: dict
    reports: tuple
    totals: object


class UsagePlanner:
    """Decide what this replica does next about usage reports.

    Parameters
    ----------
    settings : Settings
        Sections ``vm``, ``control`` and ``usage`` are read.
    incarnation : str
        Of this process; another process under the same VM name may run on
        another VM and is another holder.

    Notes
    -----
    It exists for the lifetime of the process, because a holder that is
    elected again may omit the wait only if it has already waited once.
    """

    def __init__(self, settings, incarnation):
        self._settings = settings
        self._incarnation = incarnation
        # Highest token under which this process was allowed to act, and
        # highest one that the receiver has rejected.
        self._active_token = 0
        self._fenced_token = 0
        self._term = 0
        self._term_began_at = 0.0
        # Only a token above this one was assigned in this term.
        self._base_token = 0
        self._first_window = 0
        self._wait_s = 0.0
        self._held_since = None
        self._accepted_window = 0
        self._delay_s = 0.0
        self._call_at = float("-inf")

    def plan(self, view, now, fleet_now):
        """Return the next step.

        Parameters
        ----------
        view : LeaderView
            The view of this replica, which leads.
        now : float
            Monotonic time in seconds.
        fleet_now : float
            True time in seconds since 1970, as far as the fleet knows it.

        Returns
        -------
        AcquireUsageHolder, SettleUsage, ConfirmUsage, SendUsage or None
            A change to propose, a call to make, or nothing for now. After a
            call, :meth:`record_response` must be called.
        """
        ledger = view.ledger
        if view.term != self._term:
            self._begin_term(view, now, fleet_now)
        if not self._holds(ledger.holder):
            return AcquireUsageHolder(
                self._settings.vm.name, self._incarnation
            )
        if self._held_since is None:
            self._held_since = now
        if now - self._held_since < self._wait_s:
            return None
        self._active_token = ledger.token
        return (
            self._plan_confirmation(ledger)
            or self._plan_settlement(view, now, fleet_now)
            or self._plan_call(ledger, now)
        )

    def record_response(self, call, response, now):
        """Record the result of a call.

        Parameters
        ----------
        call : SendUsage
            Returned by :meth:`plan`.
        response : UsageResponse
            ``FAILED`` if there was none.
        now : float
            Monotonic time in seconds.
        """
        if response is UsageResponse.ACCEPTED:
            self._accepted_window = call.window.window
            self._delay_s = 0.0
            self._call_at = now + 1 / self._settings.usage.rate_per_s
            return
        if response is UsageResponse.FENCED:
            self._fenced_token = max(self._fenced_token, call.token)
        # A rejected token is also followed by a delay: a fleet that lost its
        # state assigns many tokens that the receiver rejects.
        self._delay_s = min(
            2 * self._delay_s or _FIRST_DELAY_S, _LONGEST_DELAY_S
        )
        self._call_at = now + self._delay_s

    def _begin_term(self, view, now, fleet_now):
        """Note the state before this replica acquires a token in its term.

        A holder that never acted under its last token may have got it after
        another VM acted, so it waits like a new one.
        """
        holder = view.ledger.holder
        self._term = view.term
        self._term_began_at = now
        self._base_token = view.ledger.token
        self._first_window = self._window_at(fleet_now)
        self._held_since = None
        is_same = self._is_self(holder) and holder.token == self._active_token
        may_act = holder is None or is_same
        self._wait_s = 0.0 if may_act else self._settings.usage.lease_s

    def _is_self(self, holder):
        return holder is not None and (
            (holder.vm, holder.incarnation)
            == (self._settings.vm.name, self._incarnation)
        )

    def _holds(self, holder):
        return self._is_self(holder) and holder.token > max(
            self._base_token, self._fenced_token
        )

    def _plan_confirmation(self, ledger):
        oldest = ledger.oldest
        if oldest is None or oldest.window != self._accepted_window:
            return None
        return ConfirmUsage(oldest.window, ledger.token)

    def _plan_settlement(self, view, now, fleet_now):
        """Return the settlement of the next window if it is due."""
        window = self._next_window(view, now, fleet_now)
        age_s = fleet_now - (window + 1) * self._settings.usage.window_s
        if age_s < _COMPLETE_S:
            return None
        limit_s = min(
            _SETTLE_FRACTION * self._settings.usage.due_s,
            _TOTALS_LIMIT_S - _TOTALS_MARGIN_S,
        )
        if age_s < limit_s and not self._is_complete(view, window, now):
            return None
        counts = view.totals.counts(window)
        missing = view.totals.list_incomplete(
            window, [vm for vm, _ in _list_entry_vms(view)]
        )
        return SettleUsage(
            UsageWindow(
                window,
                tuple(
                    UsageCount(name, counts[name]) for name in sorted(counts)
                ),
                tuple(sorted(missing)),
            ),
            view.ledger.token,
        )

    def _next_window(self, view, now, fleet_now):
        """Return the first window to report that has not been settled.

        The first window of a fleet is the earliest with counts: it may have
        served requests before a leader was elected.
        """
        first = view.ledger.settled + 1
        if not view.ledger.settled:
            first = min(
                (item.window for item in view.totals.list_samples(now)),
                default=self._first_window,
            )
            first = min(first, self._first_window)
        return max(first, self._window_at(fleet_now - _TOTALS_LIMIT_S))

    def _is_complete(self, view, window, now):
        """Return whether no more counts of a window are expected.

        It waits for the VMs that are heard; at the beginning of a term for
        all of the roster, since a new leader has not heard most of them yet.
        The first window of a fleet waits until its roster is complete.
        """
        vms = _list_entry_vms(view)
        is_new = now - self._term_began_at < (
            self._settings.control.vm_lease_s + _ROSTER_MARGIN_S
        )
        if is_new and not view.ledger.settled:
            return False
        return view.totals.is_complete(
            window, [vm for vm, is_heard in vms if is_heard or is_new]
        )

    def _plan_call(self, ledger, now):
        if ledger.oldest is None or now < self._call_at:
            return None
        return SendUsage(self._settings.vm.name, ledger.token, ledger.oldest)

    def _window_at(self, fleet_now):
        return max(1, int(fleet_now // self._settings.usage.window_s))


def _list_entry_vms(view):
    """Return ((name, incarnation), is heard) of each entry VM of the roster.

    A report has the incarnation of the process that runs now, which the
    roster may not have yet.
    """
    heard = {report.vm.name: report.vm for report in view.reports}
    return [
        ((name, heard.get(name, vm).incarnation), name in heard)
        for name, vm in sorted(view.roster.items())
        if vm.caller_address
    ]
