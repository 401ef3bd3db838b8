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
# Error rate of the recent attempts, and how many must be known for it.
_ERROR_RATE = 0.5
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
    """Eject servers that fail, never more than half of a pool.

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
        views : list of ServerView
            The whole pool.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of ServerView
            At least half of the pool, rounded up. If more are ejected, as
            after a change of the pool, those whose ejection ends first are
            used.
        """
        ejected = {}
        for view in views:
            record = self._records.get(view.server.server_id)
            if (
                record is not None
                and record.since == view.since
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
        view : ServerView
            The server.
        views : list of ServerView
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
        if now < record.ejected_until or not self._is_outlier(record):
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
        view : ServerView
            The server.

        Returns
        -------
        float
            Monotonic time in seconds, minus infinity for never.
        """
        record = self._records.get(view.server.server_id)
        if record is None or record.since != view.since:
            return -math.inf
        return record.ejected_until

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
        if record is None or record.since != view.since:
            record = self._records[server_id] = _Record(view.since)
        return record

    def _is_outlier(self, record):
        return (
            record.consecutive >= _CONSECUTIVE_FAILURES
            or record.unreached >= _CONSECUTIVE_UNREACHED
        ) or (
            record.attempts >= _LEAST_ATTEMPTS
            and record.failures > record.attempts * _ERROR_RATE
        )

    def _count_ejected(self, views, now):
        return sum(self.returned_at(view) > now for view in views)
