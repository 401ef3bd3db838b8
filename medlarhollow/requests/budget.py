"""Retry budget, a fraction of the requests."""

__all__ = ["RetryBudget"]


class RetryBudget:
    """Limit retries to a fraction of the requests.

    Each service has a token bucket. A request adds the fraction and a retry
    consumes one token, so that retries cannot amplify an overload.

    Parameters
    ----------
    settings : Settings
        Section ``entry`` gives the fraction, and the burst that all entry VMs
        together may use after an idle period.
    state_cache : FleetStateCache or None
        Its roster lists the VMs that share the burst; None for one VM.

    Notes
    -----
    The initial level and the capacity of a bucket are the burst divided by
    the number of entry VMs, but the capacity is at least one retry: if the
    quotient is below one, a VM accumulates its first retry from its requests.
    """

    def __init__(self, settings, state_cache=None):
        self._fraction = settings.entry.retry_budget
        self._burst = settings.entry.retry_burst if self._fraction else 0.0
        self._state_cache = state_cache
        self._roster_version = None
        self._vm_count = 1
        self._levels = {}

    @property
    def fraction(self):
        """Float : retries allowed for each request."""
        return self._fraction

    @property
    def capacity(self):
        """Float : tokens that a bucket holds at most."""
        return max(1.0, self._local_burst())

    def level(self, service):
        """Return the tokens of a service that are left."""
        burst = self._local_burst()
        return min(self._levels.get(service, burst), max(1.0, burst))

    def has_tokens(self, service):
        """Return whether a retry to a service is allowed now."""
        return self.level(service) >= 1.0

    def count_request(self, service):
        """Add the tokens of one request of a caller to a service."""
        self._levels[service] = min(
            self.capacity, self.level(service) + self._fraction
        )

    def try_consume(self, service):
        """Consume the token of one retry if there is one.

        Parameters
        ----------
        service : str
            Name of the service that is called again.

        Returns
        -------
        bool
            Whether the retry is allowed.
        """
        if not self.has_tokens(service):
            return False
        self._levels[service] = self.level(service) - 1.0
        return True

    def _local_burst(self):
        """Return the burst divided by the number of entry VMs."""
        if self._state_cache is not None:
            state = self._state_cache.state
            roster_version = (state, state.roster_changes)
            if self._roster_version != roster_version:
                self._roster_version = roster_version
                entry_vms = [
                    vm for vm in state.vms.values() if vm.caller_address
                ]
                self._vm_count = max(1, len(entry_vms))
        return self._burst / self._vm_count
