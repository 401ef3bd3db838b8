"""Load that backend servers report with their answers."""

import attrs

__all__ = ["ReportedLoad", "ServerLoad"]

# A report counts less as it ages and nothing after this time: a request
# holds its slot for some hundred milliseconds.
_AGE_LIMIT_S = 2.0


@attrs.frozen
class ServerLoad:
    """What a server says of itself in an answer.

    Attributes
    ----------
    running : int
        Requests that it works on.
    waiting : int
        Requests in its queue.
    slots : int
        Requests that it works on at most.
    """

    running: int
    waiting: int
    slots: int


@attrs.frozen
class _Report:
    others: int
    at: float
    has_room: bool


class ReportedLoad:
    """Remember how many requests of other VMs each server has."""

    def __init__(self):
        self._reports = {}

    def note(self, server_id, load, own_in_flight, now):
        """Take the report in an answer.

        Parameters
        ----------
        server_id : str
            Identifier of the server.
        load : ServerLoad
            The report.
        own_in_flight : int
            Requests that this VM has there, the answered one included.
        now : float
            Monotonic time in seconds.
        """
        others = load.running + load.waiting - own_in_flight
        has_room = load.running < load.slots
        self._reports[server_id] = _Report(max(0, others), now, has_room)

    def others(self, server_id, now):
        """Return the requests of other VMs at a server.

        Parameters
        ----------
        server_id : str
            Identifier of the server.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        float
            The last report, weighted by its age; 0 if there is none.
        """
        report = self._reports.get(server_id)
        if report is None:
            return 0.0
        return report.others * max(0.0, 1 - (now - report.at) / _AGE_LIMIT_S)

    def has_room(self, server_id, now):
        """Tell whether a server said just now that it has a free slot."""
        report = self._reports.get(server_id)
        return (
            report is not None
            and now - report.at < _AGE_LIMIT_S
            and report.has_room
        )

    def forget(self, server_ids):
        """Keep only the reports of the given servers."""
        self._reports = {
            server_id: report
            for server_id, report in self._reports.items()
            if server_id in server_ids
        }
