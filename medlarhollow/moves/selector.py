"""Version selection on one entry VM, with a local circuit breaker."""

import logging
import time

from .. import clock
from ..messages.records import MoveState
from ..messages.records import VersionSample
from .regression import RegressionDetector
from .samples import SampleCounter

__all__ = ["VersionSelector"]

_LOG = logging.getLogger(__name__)
# Stricter than the leader's 1%, since every entry VM runs its own test.
_FALSE_ALARM_RATE = 0.001
# Requests of a route after which a block with both versions ends. A smaller
# block costs processor time, a larger one delays the detection.
_BLOCK_REQUESTS = 8


class VersionSelector:
    """Choose versions by the replicated moves and local measurements.

    Parameters
    ----------
    settings : Settings
        Section ``vm`` gives the region; ``limits.key_freshness_limit_s`` is
        the freshness age above which this VM counts as partitioned.
    state_cache : FleetStateCache
        The replicated state.
    unix_offset_s : float or None
        Unix time minus monotonic time; None to read the VM's clocks.

    Notes
    -----
    A partitioned VM cannot learn how a move ends. After the move's deadline
    it sends all traffic to the old version, since an unknown result must not
    count as success.
    """

    def __init__(self, settings, state_cache, unix_offset_s=None):
        self._settings = settings
        self._state_cache = state_cache
        self._counter = SampleCounter(settings)
        if unix_offset_s is None:
            unix_offset_s = time.time() - clock.monotonic()
        self._unix_offset_s = unix_offset_s
        self._moves_revision = None
        self._moves = {}
        self._detectors = {}

    def choose(self, service, point, now):
        """Return the version for a request.

        Parameters
        ----------
        service : str
            Name of the service.
        point : float
            Split point of the request, uniform in [0, 1).
        now : float
            Monotonic time in seconds.

        Returns
        -------
        str
            The new version for points below the move's fraction, unless this
            VM detected a regression or is partitioned past the deadline;
            otherwise the version in force.
        """
        move = self._find_move(service)
        if (
            move is None
            or point >= move.fraction
            or self._detectors[move.move_id].finding
            or self._is_overdue(move, now)
        ):
            return self._state_cache.state.services[service].version
        return move.to_version

    def record_attempt(self, service, version, route, error, slow, unanswered):
        """Count one attempt.

        Parameters
        ----------
        service, version, route : str
            Service, version and path prefix of the route.
        error, slow, unanswered : bool
            Outcome of the attempt.
        """
        self._counter.record_attempt(
            service, version, route, error, slow, unanswered
        )
        move = self._find_move(service)
        if move is None or version not in (move.from_version, move.to_version):
            return
        detector = self._detectors[move.move_id]
        if detector.finding:
            return
        region = self._settings.vm.region
        sample = VersionSample(
            service, version, route, region, 1, error, slow, unanswered
        )
        detector.add(sample, new=version == move.to_version)
        new, old = detector.count(route, region)
        if new and old and new + old >= _BLOCK_REQUESTS:
            detector.close()
            if detector.finding:
                _LOG.warning(
                    "moves: stopped traffic to version %s of %s here: %s",
                    move.to_version,
                    service,
                    detector.finding,
                )

    def pop_samples(self):
        """Return and reset the counts since the last call.

        Returns
        -------
        tuple of VersionSample
            One for each version and route that was used.
        """
        return self._counter.pop_samples()

    def _find_move(self, service):
        state = self._state_cache.state
        if self._moves_revision != (id(state), state.revision):
            self._moves_revision = (id(state), state.revision)
            self._moves = {
                move.service: move
                for move in state.moves.values()
                if move.state is MoveState.IN_PROGRESS
            }
            self._detectors = {
                move.move_id: self._detectors.get(move.move_id)
                or RegressionDetector(_FALSE_ALARM_RATE)
                for move in self._moves.values()
            }
        return self._moves.get(service)

    def _is_overdue(self, move, now):
        age_s = self._state_cache.freshness_age_s(now)
        if age_s <= self._settings.limits.key_freshness_limit_s:
            return False
        # This VM's clock may be slow. The last change is no newer than the
        # freshness proof, except for the replication lag of a relay. So the
        # replicated time has advanced by `age_s`, to within 1 or 2 s.
        unix_now = max(
            now + self._unix_offset_s, self._state_cache.state.time_s + age_s
        )
        return unix_now >= move.deadline_s
