"""Balance the objects requested by a region's callers over all regions.

The callers of each region request mostly objects of their own, and a server is
several times faster for an object that it has cached. Each object therefore
stays on a few servers, and load is shifted between regions by moving a few
objects at a time.

By default the division follows the slots of the regions, with a preference for
the local one. Objects leave a region whose requests wait for slots for longer
than a round trip to another region, and return when the wait is over. The
first request for a moved object is slow, so small gains cause no moves.
"""

import collections
import logging
import math

import attrs

from ...configuration.division_steps import apportion_steps
from ...configuration.division_steps import DIVISION_STEPS
from ...configuration.division_steps import rescale_steps
from ...configuration.division_steps import weigh_steps

__all__ = ["RegionBalancer", "count_region_slots"]

_LOG = logging.getLogger(__name__)
# Weight of a new sample in the moving average of the wait in a region.
_SAMPLE_WEIGHT = 0.05
# Round trip between regions. Requests that wait for longer gain from a move to
# another region.
_LONG_WAIT_S = 0.04
# Mean wait below which moved objects return to a region.
_SHORT_WAIT_S = 0.01
# The target of a move must have a mean wait below this fraction of that of the
# source.
_GAIN_FRACTION = 0.5
# Objects return this many times slower than they leave. This hysteresis avoids
# oscillation.
_RETURN_PERIODS = 4
# Age in seconds at which a mean wait expires.
_MAX_AGE_S = 5.0
# Minimum fraction of the slots of a region that receives objects of others.
_LARGE_FRACTION = 0.2


@attrs.define
class _MeanWait:
    mean_s: float
    measured_at: float


@attrs.define
class _Division:
    """Division of a pool: steps, slots and waits by region."""

    steps: dict
    slots: dict
    last_move_at: float
    waits: dict = attrs.field(factory=dict)
    # Steps to which objects return, and the slots for which these were set;
    # None for the fixed weights of the regions.
    default_steps: dict | None = None
    default_slots: dict | None = None


class RegionBalancer:
    """Adapt the share of each region in the objects of this VM.

    Parameters
    ----------
    settings : Settings
        ``vm.region`` is the region of the callers, ``backends.remote_weight``
        the initial weight of other regions, and ``backends.shift_per_s`` the
        maximum rate at which shares change.
    """

    def __init__(self, settings):
        self._region = settings.vm.region
        self._remote_weight = settings.backends.remote_weight
        self._period_s = math.inf
        if settings.backends.shift_per_s:
            self._period_s = 1 / (
                DIVISION_STEPS * settings.backends.shift_per_s
            )
        self._divisions = {}

    def record_wait(self, pool, region, wait_s, now):
        """Record the queueing time of a request.

        Parameters
        ----------
        pool : tuple of (str, str)
            Service and version.
        region : str
            Region of the server.
        wait_s : float
            Seconds that the request waited for a slot.
        now : float
            Monotonic time in seconds.
        """
        division = self._divisions.get(pool)
        if division is None:
            return
        wait = division.waits.get(region)
        if wait is None or now - wait.measured_at > _MAX_AGE_S:
            division.waits[region] = _MeanWait(wait_s, now)
            return
        wait.mean_s += (wait_s - wait.mean_s) * _SAMPLE_WEIGHT
        wait.measured_at = now

    def weights(self, pool, servers, now):
        """Return the weight of one slot in each region.

        Parameters
        ----------
        pool : tuple of (str, str)
            Service and version.
        servers : iterable of BackendServer
            Servers eligible for new requests.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        dict of str to float
            Weight by region.
        """
        return self.weights_for_slots(pool, count_region_slots(servers), now)

    def weights_for_slots(self, pool, slots, now):
        """Return :meth:`weights`, given the slots of each region."""
        division = self._divisions.get(pool)
        if division is None or not any(division.slots.values()):
            division = self._divisions[pool] = self._restart(
                division, slots, now
            )
        elif division.slots != slots:
            self._rescale_steps(division, slots)
        if now - division.last_move_at >= self._period_s:
            self._move_step(pool, division, now)
        return weigh_steps(division.steps, slots)

    def start(self, pool, steps, slots, now):
        """Set the division of a pool, to which its objects return later.

        Parameters
        ----------
        pool : tuple of (str, str)
            Service and version.
        steps, slots : dict of str to int
            Steps and slots by region.
        now : float
            Monotonic time in seconds.
        """
        self._divisions[pool] = _Division(
            dict(steps),
            slots,
            now,
            default_steps=dict(steps),
            default_slots=slots,
        )

    def stop(self, pool, slots):
        """Discard the division of a pool.

        Parameters
        ----------
        pool : tuple of (str, str)
            Service and version.
        slots : dict of str to int
            Slots by region.

        Returns
        -------
        dict of str to int
            Its last steps, rescaled to the slots.
        """
        division = self._divisions.pop(pool)
        if division.slots != slots:
            self._rescale_steps(division, slots)
        return division.steps

    def retain_services(self, services):
        """Discard the divisions of all services but the given ones."""
        self._divisions = {
            pool: division
            for pool, division in self._divisions.items()
            if pool[0] in services
        }

    def _initial_steps(self, slots):
        """Return the default steps of each region."""
        return apportion_steps(
            {
                region: count
                * (1.0 if region == self._region else self._remote_weight)
                for region, count in slots.items()
            }
        )

    def _restart(self, previous, slots, now):
        """Return a division with the default steps of the previous one."""
        division = _Division({}, slots, now)
        if previous is not None:
            division.default_steps = previous.default_steps
            division.default_slots = previous.default_slots
        division.steps = self._default_steps(division)
        return division

    def _default_steps(self, division):
        """Return the steps to which objects return without overload."""
        steps = {}
        if division.default_steps is not None:
            steps = rescale_steps(
                division.default_steps, division.default_slots, division.slots
            )
        return steps or self._initial_steps(division.slots)

    def _move_step(self, pool, division, now):
        """Move one step off an overloaded region, or back to the default.

        Unknown waits count as 0.
        """
        waits = {
            region: wait.mean_s
            for region, wait in division.waits.items()
            if now - wait.measured_at <= _MAX_AGE_S
        }
        # The effect of a move shows only in later samples. Without this check,
        # a VM with few requests would move several steps on one sample.
        measured = {
            region
            for region, wait in division.waits.items()
            if wait.measured_at > division.last_move_at
        }
        move = _find_overload_move(division, waits, measured)
        if move is None and (
            now - division.last_move_at >= self._period_s * _RETURN_PERIODS
        ):
            move = _find_return_move(
                division, waits, self._default_steps(division)
            )
        if move is None:
            return
        source, target = move
        division.last_move_at = now
        division.steps[source] -= 1
        division.steps[target] = division.steps.get(target, 0) + 1
        _LOG.info(
            "steering: moving objects of %s from %s to %s",
            " ".join(pool),
            source,
            target,
            extra={"steps": dict(division.steps), "waits_s": waits},
        )

    def _rescale_steps(self, division, slots):
        """Scale the share of each region with its slots immediately."""
        division.steps = rescale_steps(
            division.steps, division.slots, slots
        ) or self._initial_steps(slots)
        division.slots = slots


def count_region_slots(servers):
    """Return the total slots of servers by region."""
    slots = collections.Counter()
    for server in servers:
        slots[server.region] += server.slots
    return slots


def _find_overload_move(division, waits, measured):
    """Return source and target of a move that shortens waits, or None."""
    overloaded = [
        region
        for region, steps in division.steps.items()
        if steps
        and region in measured
        and waits.get(region, 0.0) > _LONG_WAIT_S
    ]
    total = sum(division.slots.values())
    eligible = [
        region
        for region, count in division.slots.items()
        if count >= _LARGE_FRACTION * total
    ]
    if not overloaded or not eligible:
        return None
    source = max(overloaded, key=waits.get)
    target = min(eligible, key=lambda region: waits.get(region, 0.0))
    if waits.get(target, 0.0) >= waits[source] * _GAIN_FRACTION:
        return None
    return source, target


def _find_return_move(division, waits, initial):
    """Return source and target of a move to the default, or None."""
    targets = [
        region
        for region, steps in initial.items()
        if steps > division.steps.get(region, 0)
        and waits.get(region, 0.0) < _SHORT_WAIT_S
    ]
    sources = [
        region
        for region, steps in division.steps.items()
        if steps > initial.get(region, 0)
    ]
    return (sources[0], targets[0]) if targets and sources else None
