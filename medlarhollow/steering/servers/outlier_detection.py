"""Outlier detection: eject servers that fail more than their pool."""

import math

import attrs

from ..assignment import AttemptResult

__all__ = ["OutlierDetector"]

_FAILURES = {
    AttemptResult.ERROR,
    AttemptResult.UNANSWERED,
    AttemptResult.NOT_SENT,
}
_CONSECUTIVE_FAILURES = 5
# Consecutive attempts without a connection. The limit is low because each
# request to an unreachable server costs the time of a connection attempt.
_CONSECUTIVE_UNREACHABLE = 2
# Consecutive failures are significant if their probability at the error rate
# of the other servers is below this.
_MAX_CHANCE = 1e-4
# Error rate of recent attempts above which a server is an outlier, its minimum
# excess over the rate of the other servers, the minimum number of attempts,
# and the window of the exponentially weighted moving average.
_ERROR_RATE = 0.5
_ERROR_RATE_MARGIN = 0.3
_MIN_ATTEMPTS = 20
_WINDOW_ATTEMPTS = 40
# Ejection times double up to this multiple of the first one.
_MAX_EJECTION_FACTOR = 16
# A server that stays healthy for this multiple of the ejection time is treated
# as never ejected.
_RESET_FACTOR = 10


@attrs.define
class _ServerRecord:
    first_seen_at: float
    consecutive_failures: int = 0
    consecutive_unreachable: int = 0
    attempts: float = 0.0
    failures: float = 0.0
    ejections: int = 0
    ejected_until: float = -math.inf


class OutlierDetector:
    """Eject servers that fail more than the others of their pool.

    At most half of a pool is ejected. If all servers fail equally, as in an
    overload or because of a shared dependency, ejecting some would only
    reduce capacity.

    Parameters
    ----------
    settings : Settings
        Section ``backends`` is read.
    """

    def __init__(self, settings):
        self._ejection_s = settings.backends.ejection_s
        self._records = {}

    def list_usable(self, views, now):
        """Return the servers of a pool that are not ejected.

        Parameters
        ----------
        views : collection of ServerView or Lease
            The whole pool.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list
            At least half of the pool, rounded up. If more servers are
            ejected, for example because the pool shrank, it includes those
            whose ejections end first.
        """
        ejected = {}
        for view in views:
            record = self._records.get(view.server.server_id)
            if (
                record is not None
                and record.first_seen_at == view.first_seen_at
                and record.ejected_until > now
            ):
                ejected[view.server.server_id] = record.ejected_until
        allowed = len(views) // 2
        excluded = sorted(ejected, key=ejected.get, reverse=True)[:allowed]
        return [
            view for view in views if view.server.server_id not in excluded
        ]

    def record(self, view, views, result, now):
        """Record the result of an attempt.

        Parameters
        ----------
        view : ServerView or Lease
            The server.
        views : collection of ServerView or Lease
            Its pool.
        result : AttemptResult
            Result of the attempt; one that was closed early is ignored.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether the result caused the ejection of the server.
        """
        if result in (AttemptResult.CANCELLED, AttemptResult.SUPERSEDED):
            return False
        record = self._record(view)
        failed = result in _FAILURES
        decay = 1 - 1 / _WINDOW_ATTEMPTS
        record.attempts = record.attempts * decay + 1
        record.failures = record.failures * decay + failed
        record.consecutive_failures = (
            record.consecutive_failures + 1 if failed else 0
        )
        is_unreachable = result is AttemptResult.NOT_SENT
        record.consecutive_unreachable = (
            record.consecutive_unreachable + 1 if is_unreachable else 0
        )
        if not failed:
            healthy_s = now - record.ejected_until
            if healthy_s > _RESET_FACTOR * self._ejection_s:
                record.ejections = 0
            return False
        if now < record.ejected_until:
            return False
        if not self._is_outlier(record, view, views, now):
            return False
        if self._count_ejected(views, now) + 1 > len(views) // 2:
            return False
        factor = min(2**record.ejections, _MAX_EJECTION_FACTOR)
        record.ejections += 1
        record.ejected_until = now + self._ejection_s * factor
        record.consecutive_failures = record.consecutive_unreachable = 0
        record.attempts = record.failures = 0.0
        return True

    def last_ejection_end(self, view):
        """Return the end of the last ejection of a server.

        Parameters
        ----------
        view : ServerView or Lease
            The server.

        Returns
        -------
        float
            Monotonic time in seconds, minus infinity if it was never ejected.
        """
        record = self._records.get(view.server.server_id)
        if record is None or record.first_seen_at != view.first_seen_at:
            return -math.inf
        return record.ejected_until

    def next_ejection_end(self, views, now):
        """Return the time at which the next ejection in a pool ends.

        Parameters
        ----------
        views : iterable of ServerView or Lease
            The pool.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        float
            Monotonic time in seconds, infinite if no server is ejected.
        """
        ends = [self.last_ejection_end(view) for view in views]
        return min((end for end in ends if end > now), default=math.inf)

    def retain(self, server_ids):
        """Discard the records of all servers but the given ones."""
        self._records = {
            server_id: record
            for server_id, record in self._records.items()
            if server_id in server_ids
        }

    def _record(self, view):
        server_id = view.server.server_id
        record = self._records.get(server_id)
        if record is None or record.first_seen_at != view.first_seen_at:
            record = self._records[server_id] = _ServerRecord(
                view.first_seen_at
            )
        return record

    def _is_outlier(self, record, view, views, now):
        if record.consecutive_unreachable >= _CONSECUTIVE_UNREACHABLE:
            return True
        if record.consecutive_failures >= _CONSECUTIVE_FAILURES:
            baseline = self._error_rate_of_others(view, views, now)
            if baseline**record.consecutive_failures < _MAX_CHANCE:
                return True
        if (
            record.attempts < _MIN_ATTEMPTS
            or record.failures <= record.attempts * _ERROR_RATE
        ):
            return False
        baseline = self._error_rate_of_others(view, views, now)
        limit = max(_ERROR_RATE, baseline + _ERROR_RATE_MARGIN)
        return record.failures > record.attempts * limit

    def _error_rate_of_others(self, view, views, now):
        """Return the recent error rate of the other servers of a pool.

        Ejected servers are left out of this baseline.
        """
        attempts = failures = 0.0
        for other in views:
            if other.server.server_id == view.server.server_id:
                continue
            record = self._records.get(other.server.server_id)
            if (
                record is not None
                and record.first_seen_at == other.first_seen_at
                and record.ejected_until <= now
            ):
                attempts += record.attempts
                failures += record.failures
        return failures / attempts if attempts else 0.0

    def _count_ejected(self, views, now):
        return sum(self.last_ejection_end(view) > now for view in views)
