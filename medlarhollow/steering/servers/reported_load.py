"""Load that backend servers report in their responses."""

import attrs

__all__ = ["ServerLoadReports", "ServerLoad"]

# The weight of a report falls to 0 at this age. Requests occupy their slots
# for only some hundred milliseconds.
_MAX_AGE_S = 2.0


@attrs.frozen
class ServerLoad:
    """Load of a server as reported in a response.

    Attributes
    ----------
    running : int
        Requests in progress.
    waiting : int
        Requests in the queue of the server.
    slots : int
        Maximum number of concurrent requests.
    slowness : float
        Time that work takes on the machine of the server at present, relative
        to the usual time.
    """

    running: int
    waiting: int
    slots: int
    slowness: float = 1.0


@attrs.frozen
class _Report:
    others_in_flight: int
    received_at: float
    has_free_slot: bool


class ServerLoadReports:
    """Last load report of each server, less the requests of this VM."""

    def __init__(self):
        self._reports = {}

    def record(self, server_id, load, local_in_flight, now):
        """Record the report of a response.

        Parameters
        ----------
        server_id : str
            Identifier of the server.
        load : ServerLoad
            The report.
        local_in_flight : int
            Requests of this VM at the server, including the completed one.
        now : float
            Monotonic time in seconds.
        """
        others = load.running + load.waiting - local_in_flight
        has_free_slot = load.running < load.slots
        self._reports[server_id] = _Report(max(0, others), now, has_free_slot)

    def others_in_flight(self, server_id, now):
        """Return the estimated requests of other VMs at a server.

        Parameters
        ----------
        server_id : str
            Identifier of the server.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        float
            Value of the last report, weighted by its age; 0 without one.
        """
        report = self._reports.get(server_id)
        if report is None:
            return 0.0
        return report.others_in_flight * max(
            0.0, 1 - (now - report.received_at) / _MAX_AGE_S
        )

    def has_free_slot(self, server_id, now):
        """Return whether a recent report of a server shows a free slot."""
        report = self._reports.get(server_id)
        return (
            report is not None
            and now - report.received_at < _MAX_AGE_S
            and report.has_free_slot
        )

    def retain(self, server_ids):
        """Discard the reports of all servers but the given ones."""
        self._reports = {
            server_id: report
            for server_id, report in self._reports.items()
            if server_id in server_ids
        }
