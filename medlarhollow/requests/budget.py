"""Budget of retries, a share of requests."""

__all__ = ["RetryBudget"]


class RetryBudget:
    """Allow retries as a share of the requests seen.

    A token bucket for each service, which each request fills by the share
    and each retry empties by one, so that retries cannot multiply an overload.

    Parameters
    ----------
    settings : Settings
        Section ``entry`` gives the share, and the burst that all entry VMs
        together may use after a quiet time.
    state_cache : FleetStateCache or None
        Its roster names the VMs that share the burst; None for one VM.

    Notes
    -----
    Buckets begin with the VM's part of the burst and hold no more, but at
    least one retry: where the burst has less than one for each VM, a VM saves
    its first retry from its own requests.
    """

    def __init__(self, settings, state_cache=None):
        self._share = settings.entry.retry_budget
        self._burst = settings.entry.retry_burst if self._share else 0.0
        self._state_cache = state_cache
        self._roster = None
        self._vms = 1
        self._levels = {}

    def has_tokens(self, service):
        """Tell whether a retry to a service is allowed now."""
        return self._level(service) >= 1.0

    def count_request(self, service):
        """Count one request of a caller to a service."""
        limit = max(1.0, self._own_burst())
        self._levels[service] = min(limit, self._level(service) + self._share)

    def try_consume(self, service):
        """Take the token of one retry.

        Parameters
        ----------
        service : str
            Name of the service that gets it.

        Returns
        -------
        bool
            Whether the retry is allowed.
        """
        if not self.has_tokens(service):
            return False
        self._levels[service] = self._level(service) - 1.0
        return True

    def _level(self, service):
        burst = self._own_burst()
        return min(self._levels.get(service, burst), max(1.0, burst))

    def _own_burst(self):
        """Return this VM's part of the burst."""
        if self._state_cache is not None:
            state = self._state_cache.state
            roster = (state, state.roster_changes)
            if self._roster != roster:
                self._roster = roster
                entries = [
                    vm for vm in state.vms.values() if vm.caller_address
                ]
                self._vms = max(1, len(entries))
        return self._burst / self._vms
