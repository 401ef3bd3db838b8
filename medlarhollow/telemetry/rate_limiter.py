"""Bound the number of log lines of one kind."""

__all__ = ["LogRateLimiter"]


class LogRateLimiter:
    """Allow a number of lines a second and count those left out.

    Parameters
    ----------
    lines_per_s : float
        Lines allowed a second, and at once after a quiet second.

    Examples
    --------
    >>> limiter = LogRateLimiter(1.0)
    >>> limiter.try_consume(0.0), limiter.try_consume(0.1)
    (True, False)
    >>> limiter.pop_skipped()
    1
    """

    def __init__(self, lines_per_s):
        self._lines_per_s = lines_per_s
        self._level = lines_per_s
        self._at = None
        self._skipped = 0

    def try_consume(self, now):
        """Return whether one more line may be written.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        elapsed_s = 0.0 if self._at is None else max(0.0, now - self._at)
        self._at = now
        self._level = min(
            self._lines_per_s, self._level + elapsed_s * self._lines_per_s
        )
        if self._level < 1:
            self._skipped += 1
            return False
        self._level -= 1
        return True

    def pop_skipped(self):
        """Return the number of lines left out since the last call."""
        skipped, self._skipped = self._skipped, 0
        return skipped
