"""Claims on idempotency keys, kept by the control replicas."""

import functools

from ..errors import fail
from ..messages.records import ErrorKind

__all__ = ["ClaimLedger"]


class ClaimLedger:
    """Decide claims on idempotency keys in log order.

    Parameters
    ----------
    settings : Settings
        Section ``control`` gives the retention.
    """

    def __init__(self, settings):
        self._settings = settings
        self._claims = {}

    @property
    def records(self):
        """Tuple of ClaimRecord : all claims, in a fixed order."""
        return tuple(self._claims[place] for place in sorted(self._claims))

    def restore(self, records):
        """Replace all claims by those of a snapshot."""
        self._claims = {
            (record.account, record.idempotency_key): record
            for record in records
        }

    @functools.singledispatchmethod
    def execute(self, change, now):
        """Execute a claim, its completion or its release.

        Parameters
        ----------
        change : Claim, CompleteClaim or ReleaseClaim
            From a committed log entry.
        now : float
            Unix time of the entry in seconds.

        Returns
        -------
        result.Result
            ``Ok`` with an `Applied` that gives the claim's status and, if
            it is completed, its outcome.
        """
        return fail(ErrorKind.BAD_REQUEST, "not a change of a claim")
