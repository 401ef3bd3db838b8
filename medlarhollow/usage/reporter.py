"""Task of a control replica that reports usage while it leads."""

import asyncio
import functools
import logging

from .. import clock
from ..messages.records import AcquireUsageHolder
from ..messages.records import Change
from ..messages.records import ConfirmUsage
from ..messages.records import SettleUsage
from .calls import SendUsage
from .calls import UsageResponse
from .late_counts import LateCounts
from .planner import LeaderView
from .planner import UsagePlanner

__all__ = ["CALL_TIMEOUT_S", "REPORT_INTERVAL_S", "UsageReporter"]

_LOG = logging.getLogger(__name__)
# Time between two plans while there is nothing to do.
REPORT_INTERVAL_S = 0.1
# Time until the next step after a proposal was rejected.
_RETRY_S = 0.5
# Limit of a call: a receiver that does not respond must not keep the next
# windows from being settled in time.
CALL_TIMEOUT_S = 1.0


class UsageReporter:
    """Propose changes and send reports as the planner decides.

    Parameters
    ----------
    settings : Settings
        Sections ``vm``, ``control`` and ``usage`` are read.
    replica : Replica
        The replica of this process.
    reports : Reports
        Reports received from VMs.
    totals : UsageTotals
        Counts received from the entry VMs.
    fleet_clock : FleetClock
        Converts monotonic time to true time.
    client : UsageClient
        Has ``async send(holder, token, window, counts) -> UsageResponse``.
    incarnation : str
        Of this process.
    telemetry : Telemetry
        Counts the calls.
    """

    def __init__(
        self,
        settings,
        replica,
        reports,
        totals,
        fleet_clock,
        client,
        incarnation,
        telemetry,
    ):
        self._settings = settings
        self._replica = replica
        self._reports = reports
        self._totals = totals
        self._fleet_clock = fleet_clock
        self._client = client
        self._telemetry = telemetry
        self._planner = UsagePlanner(settings, incarnation)
        self._late_counts = LateCounts(settings)
        self._resume_at = float("-inf")
        # Result of the last call, to log only changes of it.
        self._last_response = UsageResponse.ACCEPTED

    async def run(self):
        """Report usage while this replica leads, until cancelled."""
        while True:
            if not await self.step(clock.monotonic()):
                await asyncio.sleep(REPORT_INTERVAL_S)

    async def step(self, now):
        """Do what is due; return whether something was achieved.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        if now < self._resume_at or not self._may_act(now):
            return False
        view = LeaderView(
            term=self._replica.status(now).term,
            ledger=self._replica.usage,
            roster=self._replica.state.vms,
            reports=self._reports.list_recent(
                now, self._settings.control.vm_lease_s
            ),
            totals=self._totals,
        )
        fleet_now = self._fleet_clock.fleet_time(now)
        for window, requests in self._late_counts.pop(self._totals, fleet_now):
            _LOG.warning(
                "usage: %d requests of window %d arrived after it was settled",
                requests,
                window,
            )
        action = self._planner.plan(view, now, fleet_now)
        return action is not None and await self._perform(action)

    def _may_act(self, now):
        """Return whether a quorum has confirmed this leader a short time ago.

        A leader that was frozen or cut off still leads by its own state until
        its election task has run.
        """
        return (
            self._replica.is_leader
            and self._replica.freshness_age_s(now)
            < self._settings.control.election_timeout_s
        )

    @functools.singledispatchmethod
    async def _perform(self, action):
        """Propose a change; return whether it was accepted."""
        # ``forwarded`` keeps a replica that has lost leadership from passing
        # its change on to the new leader, which decides itself.
        settled = self._replica.usage.settled
        result = await self._replica.propose(
            Change(body=action), forwarded=True
        )
        if result.is_err():
            self._resume_at = clock.monotonic() + _RETRY_S
            _LOG.warning(
                "usage: proposal %s was rejected: %s",
                type(action).__name__,
                result.err_value.detail,
            )
            return False
        self._record_change(action, settled)
        return True

    @_perform.register
    async def _send(self, action: SendUsage):
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                response = await self._client.send(
                    action.holder,
                    action.token,
                    action.window.window,
                    action.window.counts,
                )
        except TimeoutError:
            response = UsageResponse.FAILED
        self._planner.record_response(action, response, clock.monotonic())
        self._telemetry.count_usage_call(response.value)
        if response is not self._last_response:
            self._last_response = response
            _LOG.info(
                "usage: call for window %d with token %d: %s",
                action.window.window,
                action.token,
                response.value,
            )
        return response is UsageResponse.ACCEPTED

    @functools.singledispatchmethod
    def _record_change(self, body, settled):
        """Log an accepted change; `settled` was the last settled window."""

    @_record_change.register
    def _record_acquisition(self, body: AcquireUsageHolder, settled):
        ledger = self._replica.usage
        _LOG.info(
            "usage: %s holds token %d; last settled window %d, last "
            "confirmed %d",
            body.vm,
            ledger.token,
            ledger.settled,
            ledger.confirmed,
        )

    @_record_change.register
    def _record_settlement(self, body: SettleUsage, settled):
        self._late_counts.add(body.window)
        number = body.window.window
        if settled and number > settled + 1:
            _LOG.warning(
                "usage: windows %d to %d are not reported: their counts are "
                "no longer known",
                settled + 1,
                number - 1,
            )
        if body.window.missing_vms:
            _LOG.warning(
                "usage: settled window %d without complete counts of %s",
                number,
                ", ".join(body.window.missing_vms),
            )

    @_record_change.register
    def _record_confirmation(self, body: ConfirmUsage, settled):
        _LOG.debug("usage: window %d is confirmed", body.window)
