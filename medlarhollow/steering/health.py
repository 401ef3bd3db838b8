"""Detect backend servers that fail more than the others."""

import math

import attrs

from .assignment import AttemptResult

__all__ = ["OutlierDetector"]

_FAILURES = {
    AttemptResult.ERROR,
    AttemptResult.UNANSWERED,
    AttemptResult.NOT_SENT,
}
_CONSECUTIVE_FAILURES = 5
# Attempts in a row without a connection: a server that is gone or cut off
# costs each request the time of a connection attempt.
_CONSECUTIVE_UNREACHED = 2
# A row of failures is no chance if it is less likely than this at the error
# rate of the other servers.
_CHANCE = 1e-4
# Error rate of the recent attempts, how far it must be above that of the
# other servers, and how many must be known for it.
_ERROR_RATE = 0.5
_ERROR_RATE_MARGIN = 0.3
_LEAST_ATTEMPTS = 20
_WINDOW_ATTEMPTS = 40
# Ejections double up to this many times the first one.
_LONGEST_FACTOR = 16
# After so many times the ejection without failure the count starts again.
_FORGIVEN_FACTOR = 10


@attrs.define
class _Record:
    since: float
    consecutive: int = 0
    unreached: int = 0
    attempts: float = 0.0
    failures: float = 0.0
    ejections: int = 0
    ejected_until: float = -math.inf


class OutlierDetector:
    """Eject servers that fail more than the others of their pool.

    Never more than half of a pool is ejected. Where all servers fail alike,
    as in an overload or with a fault behind them, ejecting some would only
    take room away.

    Parameters
    ----------
    settings : Settings
        Section ``backends`` is read.
    """

    def __init__(self, settings):
        self._ejection_s = settings.backends.ejection_s
        self._records = {}

    def usable(self, views, now):
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
            At least half of the pool, rounded up. If more are ejected, as
            after a change of the pool, those whose ejection ends first are
            used.
        """
        ejected = {}
        for view in views:
            record = self._records.get(view.server.server_id)
            if (
                record is not None
                and record.since == view.first_seen_at
                and record.ejected_until > now
            ):
                ejected[view.server.server_id] = record.ejected_until
        allowed = len(views) // 2
        latest = sorted(ejected, key=ejected.get, reverse=True)[:allowed]
        return [view for view in views if view.server.server_id not in latest]

    def note(self, view, views, result, now):
        """Learn from an attempt.

        Parameters
        ----------
        view : ServerView or Lease
            The server.
        views : collection of ServerView or Lease
            Its pool.
        result : AttemptResult
            How the attempt ended; a cancelled one tells nothing.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether the server was ejected by it.
        """
        if result is AttemptResult.CANCELLED:
            return False
        record = self._record(view)
        failed = result in _FAILURES
        keep = 1 - 1 / _WINDOW_ATTEMPTS
        record.attempts = record.attempts * keep + 1
        record.failures = record.failures * keep + failed
        record.consecutive = record.consecutive + 1 if failed else 0
        is_unreached = result is AttemptResult.NOT_SENT
        record.unreached = record.unreached + 1 if is_unreached else 0
        if not failed:
            quiet_s = now - record.ejected_until
            if quiet_s > _FORGIVEN_FACTOR * self._ejection_s:
                record.ejections = 0
            return False
        if now < record.ejected_until:
            return False
        if not self._is_outlier(record, view, views, now):
            return False
        if self._count_ejected(views, now) + 1 > len(views) // 2:
            return False
        factor = min(2**record.ejections, _LONGEST_FACTOR)
        record.ejections += 1
        record.ejected_until = now + self._ejection_s * factor
        record.consecutive = record.unreached = 0
        record.attempts = record.failures = 0.0
        return True

    def returned_at(self, view):
        """Return when a server last came back from an ejection.

        Parameters
        ----------
        view : ServerView or Lease
            The server.

        Returns
        -------
        float
            Monotonic time in seconds, minus infinity for never.
        """
        record = self._records.get(view.server.server_id)
        if record is None or record.since != view.first_seen_at:
            return -math.inf
        return record.ejected_until

    def next_return(self, views, now):
        """Return when the next ejection in a pool ends.

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
        ends = [self.returned_at(view) for view in views]
        return min((end for end in ends if end > now), default=math.inf)

    def forget(self, server_ids):
        """Keep only the records of the given servers."""
        self._records = {
            server_id: record
            for server_id, record in self._records.items()
            if server_id in server_ids
        }

    def _record(self, view):
        server_id = view.server.server_id
        record = self._records.get(server_id)
        if record is None or record.since != view.first_seen_at:
            record = self._records[server_id] = _Record(view.first_seen_at)
        return record

    def _is_outlier(self, record, view, views, now):
        if record.unreached >= _CONSECUTIVE_UNREACHED:
            return True
        if record.consecutive >= _CONSECUTIVE_FAILURES:
            usual = self._error_rate_of_others(view, views, now)
            if usual**record.consecutive < _CHANCE:
                return True
        if (
            record.attempts < _LEAST_ATTEMPTS
            or record.failures <= record.attempts * _ERROR_RATE
        ):
            return False
        usual = self._error_rate_of_others(view, views, now)
        limit = max(_ERROR_RATE, usual + _ERROR_RATE_MARGIN)
        return record.failures > record.attempts * limit

    def _error_rate_of_others(self, view, views, now):
        """Return the part of recent attempts that failed elsewhere.

        Servers that are ejected say nothing of the usual rate.
        """
        attempts = failures = 0.0
        for other in views:
            if other.server.server_id == view.server.server_id:
                continue
            record = self._records.get(other.server.server_id)
            if (
                record is not None
                and record.since == other.first_seen_at
                and record.ejected_until <= now
            ):
                attempts += record.attempts
                failures += record.failures
        return failures / attempts if attempts else 0.0

    def _count_ejected(self, views, now):
        return sum(self.returned_at(view) > now for view in views)
