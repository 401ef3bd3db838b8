"""LeaderTasks of the control leader, run by one task."""

import asyncio
import logging
import time
import uuid

from ..limits import DEMAND_PERIOD_S
from ..messages.records import Change
from ..messages.records import ErrorKind
from ..messages.records import SetVm
from .allocators import plan_allocators
from .demand import DemandEstimator
from .leases import LeaseMonitor
from .moves import MoveController
from .roster import plan_roster
from .shares import plan_shares
from .shifts import plan_shift
from .versions import plan_versions

__all__ = ["LEADER_INTERVAL_S", "LeaderTasks"]

_LOG = logging.getLogger(__name__)
# Time between two rounds.
LEADER_INTERVAL_S = 0.5
# Bounds the part of the changes that may wait at the leader.
_PROPOSED_AT_ONCE = 256
_NO_AUTHORITY = (ErrorKind.NOT_LEADER, ErrorKind.NO_QUORUM)
# Time in which VMs find a new leader: a silent upstream is left after 2 s.
_ROSTER_MARGIN_S = 2.0


class LeaderTasks:
    """Propose what the leader owes the fleet.

    Parameters
    ----------
    settings : Settings
        Sections ``control`` and ``limits`` are read.
    replica : Replica
        The replica of this process.
    reports : Reports
        Reports and samples of VMs.
    directory : Directory
        Backend servers known here; empty unless this process is a registry.
    """

    def __init__(self, settings, replica, reports, directory):
        self._settings = settings
        self._replica = replica
        self._reports = reports
        self._directory = directory
        self._round = None

    async def run(self):
        """Carry out the duties while this replica leads, until cancelled."""
        while True:
            await asyncio.sleep(LEADER_INTERVAL_S)
            if not self._replica.is_leader:
                self._round = None
                continue
            bodies = self._plan(time.monotonic(), time.time())
            if await self._propose_all(bodies) and any(
                isinstance(body, SetVm) for body in bodies
            ):
                # A data centre without an allocator has no tokens, so those
                # that follow from a new roster do not wait for a round.
                state = self._replica.state
                await self._propose_all(
                    self._round.plan_allocators(state, time.monotonic())
                )

    def _plan(self, now, unix_now):
        if self._round is None:
            # What was reported before is of an earlier leader's time.
            self._reports.drain_samples()
            self._round = TermPlanner(self._settings, now)
        reports = self._reports.list_recent(
            now, self._settings.control.vm_lease_s
        )
        versions, demands = self._reports.drain_samples()
        state = self._replica.state
        return [
            *plan_versions(state, self._directory, now),
            *self._round.plan(
                state, reports, versions, demands, now, unix_now
            ),
        ]

    async def _propose_all(self, bodies):
        """Propose changes in order; return whether all were accepted.

        The first one tells whether there is a quorum. The others share round
        trips: after a loss of power each VM of the fleet is a change of the
        roster, and what follows must not wait for one after the other. The
        log keeps the order in which their tasks begin.
        """
        first, size = 0, 1
        while first < len(bodies):
            batch = bodies[first : first + size]
            accepted = await asyncio.gather(*map(self._propose, batch))
            if not all(accepted):
                return False
            first, size = first + size, _PROPOSED_AT_ONCE
        return True

    async def _propose(self, body):
        change = Change(request_id=uuid.uuid4().hex, body=body)
        # A plan of a replica that no longer leads must not be passed on to
        # the next leader, which has its own measurements.
        result = await self._replica.propose(change, forwarded=True)
        if result.is_ok():
            return True
        _LOG.warning(
            "control: %s was rejected: %s",
            type(body).__name__,
            result.err_value.detail,
        )
        # Without a quorum each further proposal would wait as long as this.
        return result.err_value.kind not in _NO_AUTHORITY


class TermPlanner:
    """Plan the changes of each round of one term of leadership.

    Parameters
    ----------
    settings : Settings
        Sections ``control`` and ``limits`` are read.
    now : float
        Monotonic time in seconds at which this replica began to lead.
    """

    def __init__(self, settings, now):
        self._complete_at = (
            now + settings.control.vm_lease_s + _ROSTER_MARGIN_S
        )
        self._leases = LeaseMonitor(settings, now)
        self._demand = DemandEstimator(DEMAND_PERIOD_S, now)
        self._moves = MoveController()

    def plan_allocators(self, state, now):
        """Return the appointments that a new roster calls for.

        Parameters
        ----------
        state : FleetState
            The agreed state.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of SetAllocator
            Also part of :meth:`plan`.
        """
        return plan_allocators(state, self._leases, now)

    def plan(self, state, reports, versions, demands, now, unix_now):
        """Return the changes that are due.

        Parameters
        ----------
        state : FleetState
            The agreed state.
        reports : tuple of VmReport
            Signs of life that are young enough.
        versions : iterable of VersionSample
            Since the last call.
        demands : iterable of DemandSample
            Since the last call.
        now : float
            Monotonic time in seconds.
        unix_now : float
            Unix time in seconds.

        Returns
        -------
        list
            Bodies of changes, in the order in which they are proposed.
        """
        # A leader whose clock is behind that of the one before it must not
        # repeat time that has passed.
        unix_now = max(unix_now, state.time_s)
        self._leases.update(reports, now)
        self._demand.update(demands, now)
        changes = self._moves.plan(state, versions, unix_now)
        complete = now >= self._complete_at
        changes += [
            change.body for change in plan_roster(state, reports, complete)
        ]
        changes += plan_allocators(state, self._leases, now)
        for change in (
            plan_shift(state, unix_now),
            plan_shares(state, self._demand, self._leases, now),
        ):
            if change is not None:
                changes.append(change)
        return changes
