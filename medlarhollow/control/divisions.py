"""Leader task that divides objects between regions of servers."""

import collections
import logging
import math

import attrs

from ..configuration.division_steps import DIVISION_STEPS
from ..configuration.division_steps import move_step
from ..configuration.divisions import effective_steps
from ..configuration.divisions import list_versions_in_use
from ..messages.records import Division
from ..messages.records import RegionSteps
from ..messages.records import SetDivision
from .division_demand import DivisionDemand
from .division_moves import choose_move
from .division_moves import measure_load
from .division_targets import divide_demand

__all__ = ["DivisionPlanner", "make_division_planner"]

_LOG = logging.getLogger(__name__)
# A new leader makes no change before its averages cover the demand.
_START_DELAY_S = 3.0
# Minimum time between two changes of a division: with 20 steps, 5 % of the
# requests per second. Operators allow 15 % from one 2 s window to the next.
_MIN_PERIOD_S = 1.0
_MIN_PERIODS = 1
# Time between two rounds of the leader. Changes are committed at the end of a
# round, before this time passes.
_ROUND_S = 0.5
# A region that has no servers for less than this time may only be cut off
# from the leader.
_LOST_REGION_S = 5.0
# A new leader waits this long for samples of all regions with a division:
# their demand is not known to be 0.
_UNKNOWN_DEMAND_S = 10.0


@attrs.define
class _Record:
    """A committed division, as the leader saw it last."""

    division: Division | None
    changed_at: float
    periods: int = 1


@attrs.frozen
class _Plan:
    """A proposed division and the figures that it was based on.

    `periods` is the number of periods for which it is not changed.
    """

    division: Division
    demand: float
    slots: dict
    periods: int


class DivisionPlanner:
    """Plan the changes of divisions during one term.

    Parameters
    ----------
    settings : Settings
        ``backends.shift_per_s`` limits the rate of changes.
    now : float
        Monotonic time in seconds at which this replica became leader.
    """

    def __init__(self, settings, now):
        self._started_at = now
        self._period_s = math.inf
        if settings.backends.shift_per_s:
            self._period_s = max(
                _MIN_PERIOD_S,
                1 / (DIVISION_STEPS * settings.backends.shift_per_s),
            )
        self._demand = DivisionDemand(now)
        self._records = {}
        self._plans = {}
        self._seen_at = collections.defaultdict(dict)

    def plan(self, state, samples, directory, now):
        """Plan the changes that are due.

        Parameters
        ----------
        state : FleetState
            The replicated state.
        samples : iterable of WaitSample
            Received since the last call.
        directory : Directory
            Backend servers known to this process. Nothing is changed for a
            pool that has none here.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of SetDivision
            At most one for each pool and region of callers.
        """
        self._demand.update(samples, now)
        self._observe(state, now)
        in_use = list_versions_in_use(state)
        changes = [
            SetDivision(attrs.evolve(division, steps=()))
            for division in state.divisions.values()
            if (division.service, division.version) not in in_use
        ]
        if now - self._started_at < _START_DELAY_S:
            return changes
        divisions = collections.defaultdict(dict)
        for (caller, *pool), division in state.divisions.items():
            divisions[tuple(pool)][caller] = division
        for pool, slots in _count_slots(state, directory, now).items():
            if pool in in_use:
                changes += self._plan_pool(pool, divisions[pool], slots, now)
        return changes

    def _observe(self, state, now):
        """Record and log the divisions committed since the last round."""
        for key in {*self._records, *state.divisions}:
            division = state.divisions.get(key)
            record = self._records.get(key)
            if record is None:
                # Committed before this term, or by the first change of it.
                record = _Record(None, -math.inf)
                self._records[key] = record
                if key not in self._plans:
                    record.division = division
            if record.division == division:
                continue
            self._log_change(key, record.division, division)
            record.division = division
            record.changed_at = now - _ROUND_S
            plan = self._plans.get(key)
            record.periods = _MIN_PERIODS if plan is None else plan.periods

    def _log_change(self, key, previous, division):
        plan = self._plans.get(key)
        extra = {}
        if plan is not None and plan.division == division:
            extra = {"demand": round(plan.demand, 1), "slots": plan.slots}
        _LOG.info(
            "control: division of the objects of %s for %s %s changed "
            "from %s to %s",
            *key,
            _describe_steps(previous),
            _describe_steps(division),
            extra=extra,
        )

    def _plan_pool(self, pool, committed, slots, now):
        demands = self._demand.measure(pool, slots, now)
        if now - self._started_at < _UNKNOWN_DEMAND_S and not (
            committed.keys() <= demands.keys()
        ):
            return []
        if self._has_lost_region(pool, committed.values(), slots, now):
            return []
        targets = divide_demand(
            {caller: demand.slots for caller, demand in demands.items()}, slots
        )
        steps = {
            caller: effective_steps(committed.get(caller), caller, slots)
            for caller in targets
        }
        load = measure_load(demands, steps, slots)
        changes = []
        for caller in sorted(targets):
            key = (caller, *pool)
            demand = demands[caller]
            if not (
                demand.is_measured and self._may_change(key, _MIN_PERIODS, now)
            ):
                continue
            move = choose_move(
                caller, steps[caller], targets[caller], load, demand.peak
            )
            if move is not None and not self._may_change(
                key, move.wait_periods, now
            ):
                move = None
            division = _make_division(
                committed.get(caller), key, steps[caller], move, slots
            )
            if division is not None:
                self._plans[key] = _Plan(
                    division,
                    demand.slots,
                    dict(slots),
                    _MIN_PERIODS if move is None else move.periods,
                )
                changes.append(SetDivision(division))
        return changes

    def _has_lost_region(self, pool, divisions, slots, now):
        """Return whether a region lost all its servers a moment ago."""
        seen_at = self._seen_at[pool]
        seen_at.update((region, now) for region in slots if slots[region])
        for division in divisions:
            for record in division.steps:
                if record.steps:
                    seen_at.setdefault(record.region, now)
        return any(
            not slots.get(region) and now - last < _LOST_REGION_S
            for region, last in seen_at.items()
        )

    def _may_change(self, key, periods, now):
        """Return whether a division may change."""
        if math.isinf(self._period_s):
            return False
        record = self._records.get(key)
        return (
            record is None
            or now - record.changed_at
            >= max(periods, record.periods) * self._period_s
        )


class _NoDivisionPlanner:
    """Plan nothing, where each VM divides its objects by itself."""

    def plan(self, state, samples, directory, now):
        """Return no changes."""
        return []


def make_division_planner(settings, now):
    """Return the planner that the settings need.

    Parameters
    ----------
    settings : Settings
        Nothing is planned unless ``backends.division`` is ``fleet``.
    now : float
        Monotonic time in seconds at which this replica became leader.
    """
    if settings.backends.division == "fleet":
        return DivisionPlanner(settings, now)
    return _NoDivisionPlanner()


def _count_slots(state, directory, now):
    """Return the slots by pool and region that may get new requests."""
    slots = collections.defaultdict(collections.Counter)
    for lease in directory.current(now):
        server = lease.server
        if server.leaving or server.data_centre in state.evacuations:
            continue
        slots[server.service, server.version][server.region] += server.slots
    return {pool: counts for pool, counts in slots.items() if counts.total()}


def _make_division(committed, key, steps, move, slots):
    """Return the next division, or None if the steps are the committed ones.

    The steps of a committed division change also where they were rescaled.
    """
    if move is None and committed is None:
        return None
    if move is not None:
        steps = move_step(steps, move.source, move.destination)
    division = Division(
        *key,
        tuple(
            RegionSteps(region, steps.get(region, 0), slots[region])
            for region in sorted(slots)
        ),
    )
    if committed is not None and (
        _list_steps(division) == _list_steps(committed)
    ):
        return None
    return division


def _list_steps(division):
    return {
        record.region: record.steps
        for record in division.steps
        if record.steps
    }


def _describe_steps(division):
    if division is None:
        return "none"
    return " ".join(
        f"{record.region}={record.steps}" for record in division.steps
    )
