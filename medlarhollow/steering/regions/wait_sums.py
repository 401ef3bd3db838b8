"""Sums of the waits for slots and of the time for which slots were held."""

import attrs

from ...messages.records import WaitSample

__all__ = ["WaitSums", "make_wait_sums"]


@attrs.define
class _Sum:
    requests: int = 0
    wait_s: float = 0.0
    busy_s: float = 0.0


class WaitSums:
    """Sum up the requests of this VM for the control leader.

    Parameters
    ----------
    settings : Settings
        ``vm.region`` is the region of the callers.
    """

    def __init__(self, settings):
        self._region = settings.vm.region
        self._sums = {}

    def record(self, assignment, now):
        """Record that a slot was released.

        Parameters
        ----------
        assignment : Assignment
            Assignment of the slot, whatever the result of the attempt.
        now : float
            Monotonic time in seconds.
        """
        server = assignment.server
        key = (server.service, assignment.version, server.region)
        total = self._sums.get(key)
        if total is None:
            total = self._sums[key] = _Sum()
        total.requests += 1
        total.wait_s += assignment.wait_s
        total.busy_s += max(0.0, now - assignment.assigned_at)

    def pop_samples(self):
        """Return the sums since the last call.

        Returns
        -------
        tuple of WaitSample
            One by service, version and region of the servers.
        """
        samples = tuple(
            WaitSample(
                caller_region=self._region,
                service=service,
                version=version,
                server_region=server_region,
                requests=total.requests,
                wait_s=total.wait_s,
                busy_s=total.busy_s,
            )
            for (service, version, server_region), total in self._sums.items()
        )
        self._sums.clear()
        return samples


class _NoWaitSums:
    """Ignore all requests, where no control leader needs the sums."""

    def record(self, assignment, now):
        """Ignore that a slot was released."""

    def pop_samples(self):
        """Return no samples."""
        return ()


def make_wait_sums(settings):
    """Return the sums that the settings need.

    Parameters
    ----------
    settings : Settings
        Nothing is summed unless ``backends.division`` is ``fleet``.
    """
    if settings.backends.division == "fleet":
        return WaitSums(settings)
    return _NoWaitSums()
