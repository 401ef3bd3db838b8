"""Rate limit for log lines."""

__all__ = ["LogRateLimiter"]


class LogRateLimiter:
    """Token bucket for log lines that counts suppressed lines.

    Parameters
    ----------
    lines_per_s : float
        Rate in lines per second, and capacity of the bucket in lines.

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
        self._tokens = lines_per_s
        self._updated_at = None
        self._skipped = 0

    def try_consume(self, now):
        """Consume a token; return whether a line may be written.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        elapsed_s = (
            0.0
            if self._updated_at is None
            else max(0.0, now - self._updated_at)
        )
        self._updated_at = now
        self._tokens = min(
            self._lines_per_s, self._tokens + elapsed_s * self._lines_per_s
        )
        if self._tokens < 1:
            self._skipped += 1
            return False
        self._tokens -= 1
        return True

    def pop_skipped(self):
        """Return the number of lines suppressed since the last call."""
        skipped, self._skipped = self._skipped, 0
        return skipped
