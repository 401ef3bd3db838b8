"""Budget of retries, a share of requests."""

__all__ = ["RetryBudget"]


class RetryBudget:
    """Allow retries as a share of the requests seen.

    A token bucket that each request fills by the share and each retry
    empties by one, so that retries cannot multiply an overload.

    Parameters
    ----------
    settings : Settings
        Section ``entry`` gives the share, and the burst that a VM with little
        traffic may use.
    """

    def __init__(self, settings):
        self._share = settings.entry.retry_budget
        self._limit = settings.entry.retry_burst
        self._level = self._limit if self._share else 0.0

    @property
    def has_tokens(self):
        """Whether a retry is allowed now."""
        return self._level >= 1.0

    def count_request(self):
        """Count one request of a caller."""
        self._level = min(self._limit, self._level + self._share)

    def take(self):
        """Take the token of one retry.

        Returns
        -------
        bool
            Whether the retry is allowed.
        """
        if not self.has_tokens:
            return False
        self._level -= 1.0
        return True
