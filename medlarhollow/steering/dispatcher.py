"""Give each request a slot of a backend server."""

import random
import time

from result import Ok

from ..errors import fail
from ..messages.records import ErrorKind
from ..moves import VersionSelector
from .assignment import Assignment

__all__ = ["Dispatcher"]


class Dispatcher:
    """Queue requests and assign them to backend servers.

    Parameters
    ----------
    settings : Settings
        The settings of the process.
    copy : FleetCopy
        The agreed state.
    directory : Directory
        Backend servers of the data centre.
    channels : Channels
        Connections to VMs of other data centres.
    versions : VersionSelector or None
        Chooses versions; None for one of its own.
    """

    def __init__(self, settings, copy, directory, channels, versions=None):
        self._versions = versions or VersionSelector(settings, copy)
        self._settings = settings
        self._copy = copy
        self._directory = directory
        self._channels = channels

    async def run(self):
        """Keep credit of other data centres until cancelled."""

    async def acquire(self, demand):
        """Wait for a slot.

        Parameters
        ----------
        demand : Demand
            What the request needs.

        Returns
        -------
        result.Result
            ``Ok`` with an `Assignment`, or ``NO_BACKEND``, ``OVERLOADED`` or
            ``DEADLINE_EXCEEDED``. Each assignment must be released.
        """
        service = demand.route.service
        version = self._versions.choose(
            service, demand.point, time.monotonic()
        )
        servers = [
            server
            for server in self._directory.servers(
                service, version, time.monotonic()
            )
            if server.server_id not in demand.excluded
        ]
        if not servers:
            return fail(
                ErrorKind.NO_BACKEND, f"no backend server of '{service}'"
            )
        return Ok(Assignment(random.choice(servers), version))

    def release(self, assignment, result, latency_s, now):
        """Give a slot back and learn from the attempt.

        Parameters
        ----------
        assignment : Assignment
            From :meth:`acquire`.
        result : AttemptResult
            How the attempt ended.
        latency_s : float
            Seconds until the answer's head, or until the attempt ended.
        now : float
            Monotonic time in seconds.
        """
