"""Periodic planning of the control leader, run by one asyncio task."""

import asyncio
import logging
import time
import uuid

from .. import clock
from ..limits import DEMAND_PERIOD_S
from ..messages.records import Change
from ..messages.records import ErrorKind
from ..messages.records import SetVm
from ..messages.records import Vm
from ..messages.records import VmState
from .allocators import plan_allocators
from .demand import DemandEstimator
from .divisions import make_division_planner
from .leases import LeaseMonitor
from .moves import MoveController
from .roster import plan_roster
from .shares import plan_shares
from .shifts import plan_shift
from .versions import plan_versions

__all__ = ["LEADER_INTERVAL_S", "LeaderTasks"]

_LOG = logging.getLogger(__name__)
# Time between two planning rounds.
LEADER_INTERVAL_S = 0.5
# Keeps the tasks from filling the leader's queue of pending proposals.
_PROPOSAL_BATCH_SIZE = 256
_LEADERSHIP_LOST = (ErrorKind.NOT_LEADER, ErrorKind.NO_QUORUM)
# Time for VMs to find a new leader: they leave an upstream that sends nothing
# for 2 s.
_ROSTER_MARGIN_S = 2.0


class LeaderTasks:
    """Plan and propose the periodic changes of the leader.

    Parameters
    ----------
    settings : Settings
        Sections ``control`` and ``limits`` are read.
    replica : Replica
        The replica of this process.
    reports : Reports
        Reports and samples received from VMs.
    directory : Directory
        Backend servers known to this process; empty unless it is a registry.
    """

    def __init__(self, settings, replica, reports, directory):
        self._settings = settings
        self._replica = replica
        self._reports = reports
        self._directory = directory
        self._planner = None

    async def run(self):
        """Plan and propose changes while this replica is leader.

        Returns only when it is cancelled.
        """
        while True:
            await asyncio.sleep(LEADER_INTERVAL_S)
            if not self._replica.is_leader:
                self._planner = None
                continue
            bodies = self._plan(clock.monotonic(), time.time())
            if await self._propose_all(bodies) and any(
                isinstance(body, SetVm) for body in bodies
            ):
                # A data centre without an allocator has no tokens, so
                # allocators for a changed roster are appointed at once and
                # not in the next round.
                state = self._replica.state
                await self._propose_all(
                    self._planner.plan_allocators(state, clock.monotonic())
                )

    def _plan(self, now, unix_now):
        if self._planner is None:
            # Samples received before this term are discarded.
            self._reports.drain_samples()
            self._planner = TermPlanner(self._settings, now)
        reports = self._reports.list_recent(
            now, self._settings.control.vm_lease_s
        )
        samples = self._reports.drain_samples()
        state = self._replica.state
        return [
            *plan_versions(state, self._directory, now),
            *self._planner.plan(
                state,
                reports,
                samples.versions,
                samples.demands,
                now,
                unix_now,
            ),
            *self._planner.plan_divisions(
                state, samples.waits, self._directory, now
            ),
        ]

    async def _propose_all(self, bodies):
        """Propose changes in order; return False if leadership was lost.

        The first change is proposed alone and shows whether there is a
        quorum. The others are proposed concurrently in batches: after a power
        failure the roster changes for each VM of the fleet, and later changes
        must not wait for one round trip per VM. The log keeps the order in
        which the proposals are started.
        """
        first, size = 0, 1
        while first < len(bodies):
            batch = bodies[first : first + size]
            accepted = await asyncio.gather(*map(self._propose, batch))
            if not all(accepted):
                return False
            first, size = first + size, _PROPOSAL_BATCH_SIZE
        return True

    async def _propose(self, body):
        change = Change(request_id=uuid.uuid4().hex, body=body)
        # ``forwarded`` keeps a replica that has lost leadership from passing
        # its plan on to the new leader, which plans by its own measurements.
        result = await self._replica.propose(change, forwarded=True)
        if result.is_ok():
            return True
        _LOG.warning(
            "control: leader task proposal %s was rejected: %s",
            type(body).__name__,
            result.err_value.detail,
        )
        # Without a quorum each further proposal would also time out.
        return result.err_value.kind not in _LEADERSHIP_LOST


class TermPlanner:
    """Plan the changes of the leader during one term.

    Parameters
    ----------
    settings : Settings
        Sections ``control`` and ``limits`` are read.
    now : float
        Monotonic time in seconds at which this replica became leader.
    """

    def __init__(self, settings, now):
        self._roster_complete_at = (
            now + settings.control.vm_lease_s + _ROSTER_MARGIN_S
        )
        self._has_registries = settings.backends.scope == "fleet"
        self._leases = LeaseMonitor(settings, now)
        self._demand = DemandEstimator(DEMAND_PERIOD_S, now)
        self._moves = MoveController()
        self._divisions = make_division_planner(settings, now)

    def plan_allocators(self, state, now):
        """Plan the appointments of allocators that are due.

        Parameters
        ----------
        state : FleetState
            The replicated state.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of SetAllocator
            These are also part of the result of :meth:`plan`.
        """
        return plan_allocators(
            state, self._leases, now, self._are_registries_known(now)
        )

    def plan_divisions(self, state, waits, directory, now):
        """Plan the changes of divisions; see :class:`DivisionPlanner`."""
        return self._divisions.plan(state, waits, directory, now)

    def plan(self, state, reports, versions, demands, now, unix_now):
        """Plan the changes that are due.

        Parameters
        ----------
        state : FleetState
            The replicated state.
        reports : tuple of VmReport
            Latest reports of VMs, without those older than a VM's lease.
        versions : iterable of VersionSample
            Received since the last call.
        demands : iterable of DemandSample
            Received since the last call.
        now : float
            Monotonic time in seconds.
        unix_now : float
            Unix time in seconds.

        Returns
        -------
        list
            Bodies of changes, in the order in which to propose them.
        """
        # The clock of this replica may be behind that of the previous leader;
        # time that has already passed must not be repeated.
        unix_now = max(unix_now, state.time_s)
        self._leases.update(reports, now)
        self._demand.update(demands, now)
        changes = self._moves.plan(state, versions, unix_now)
        complete = now >= self._roster_complete_at
        changes += [
            change.body for change in plan_roster(state, reports, complete)
        ]
        changes += [
            SetVm(Vm(name, state=VmState.GONE))
            for name in self._leases.list_ended(state, now)
        ]
        changes += self.plan_allocators(state, now)
        for change in (
            plan_shift(state, unix_now),
            plan_shares(state, self._demand, self._leases, now),
        ):
            if change is not None:
                changes.append(change)
        return changes

    def _are_registries_known(self, now):
        return not self._has_registries or now >= self._roster_complete_at
