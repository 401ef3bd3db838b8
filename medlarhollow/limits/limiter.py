"""Admit the requests of client accounts on one entry VM."""

from result import Ok

__all__ = ["Limiter"]


class Limiter:
    """Admit requests within their account's rate and burst.

    Parameters
    ----------
    settings : Settings
        The settings of the process.
    copy : FleetCopy
        The agreed state.
    channels : Channels
        Connections to the allocators.
    """

    def __init__(self, settings, copy, channels):
        self._settings = settings
        self._copy = copy
        self._channels = channels

    async def run(self):
        """Renew and return batches until cancelled."""

    async def admit(self, account, deadline_at):
        """Take one token of an account, waiting a short while for it.

        Parameters
        ----------
        account : str
            Name of the account.
        deadline_at : float
            Monotonic time in seconds after which the token is of no use.

        Returns
        -------
        result.Result
            ``Ok(None)`` or ``RATE_LIMITED``.
        """
        return Ok(None)

    def demands(self, now):
        """Return the demand since the last call.

        Returns
        -------
        tuple of DemandSample
            For the control leader.
        """
        return ()
