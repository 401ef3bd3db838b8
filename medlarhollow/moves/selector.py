"""Choice of versions on one entry VM, with a breaker on its own figures."""

import logging
import time

from ..messages.records import MoveState
from ..messages.records import VersionSample
from .regression import RegressionDetector
from .samples import SampleCounter

__all__ = ["VersionSelector"]

_LOG = logging.getLogger(__name__)
# Stricter than the leader's 1%: every entry VM runs a test of its own.
_FALSE_ALARM_RATE = 0.001
# Requests of a route after which a block ends, once it has both versions.
# Fewer would cost processor time, more would delay the finding.
_BLOCK_REQUESTS = 8


class VersionSelector:
    """Choose versions by the agreed moves and by what this VM sees.

    Parameters
    ----------
    settings : Settings
        Section ``vm`` names the region; ``limits.key_freshness_limit_s`` is
        the age of the proof of authority beyond which this VM counts as cut
        off.
    state_cache : FleetStateCache
        The agreed state.
    unix_offset_s : float or None
        Unix time minus monotonic time; None for that of the VM's clocks.

    Notes
    -----
    A VM that is cut off cannot hear how a move ends. From the move's deadline
    on it sends all traffic to the old version, since an unknown result does
    not count as good.
    """

    def __init__(self, settings, state_cache, unix_offset_s=None):
        self._settings = settings
        self._state_cache = state_cache
        self._counter = SampleCounter(settings)
        if unix_offset_s is None:
            unix_offset_s = time.time() - time.monotonic()
        self._unix_offset_s = unix_offset_s
        self._seen = None
        self._moves = {}
        self._judges = {}

    def choose(self, service, point, now):
        """Return the version for a request.

        Parameters
        ----------
        service : str
            Name of the service.
        point : float
            Position of the request in 0 to 1.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        str
            The new version for points below the move's fraction, unless this
            VM found it bad or is cut off past the deadline; otherwise the
            version in force.
        """
        move = self._find_move(service)
        if (
            move is None
            or point >= move.fraction
            or self._judges[move.move_id].finding
            or self._is_overdue(move, now)
        ):
            return self._state_cache.state.services[service].version
        return move.to_version

    def record_attempt(self, service, version, route, error, slow, unanswered):
        """Count one attempt.

        Parameters
        ----------
        service, version, route : str
            What served it; the route by its path prefix.
        error, slow, unanswered : bool
            How it went.
        """
        self._counter.record_attempt(
            service, version, route, error, slow, unanswered
        )
        move = self._find_move(service)
        if move is None or version not in (move.from_version, move.to_version):
            return
        judge = self._judges[move.move_id]
        if judge.finding:
            return
        region = self._settings.vm.region
        sample = VersionSample(
            service, version, route, region, 1, error, slow, unanswered
        )
        judge.add(sample, new=version == move.to_version)
        new, old = judge.count(route, region)
        if new and old and new + old >= _BLOCK_REQUESTS:
            judge.close()
            if judge.finding:
                _LOG.warning(
                    "moves: version %s of %s gets no more traffic here: %s",
                    move.to_version,
                    service,
                    judge.finding,
                )

    def pop_samples(self):
        """Return the counts since the last call and start again.

        Returns
        -------
        tuple of VersionSample
            One for each version and route that was used.
        """
        return self._counter.pop_samples()

    def _find_move(self, service):
        state = self._state_cache.state
        if self._seen != (id(state), state.revision):
            self._seen = (id(state), state.revision)
            self._moves = {
                move.service: move
                for move in state.moves.values()
                if move.state is MoveState.IN_PROGRESS
            }
            self._judges = {
                move.move_id: self._judges.get(move.move_id)
                or RegressionDetector(_FALSE_ALARM_RATE)
                for move in self._moves.values()
            }
        return self._moves.get(service)

    def _is_overdue(self, move, now):
        age_s = self._state_cache.freshness_age_s(now)
        if age_s <= self._settings.limits.key_freshness_limit_s:
            return False
        # This VM's clock may be behind. The last change is not younger than
        # the proof but for the lag of a relay, so that the agreed time has
        # moved on by `age_s`, to within a second or two.
        unix_now = max(
            now + self._unix_offset_s, self._state_cache.state.time_s + age_s
        )
        return unix_now >= move.deadline_s
