"""Input and output of the dispatcher: slot requests and assignments."""

import enum

import attrs

from ..messages.records import BackendServer
from ..messages.records import Priority
from ..messages.records import Route

__all__ = [
    "Assignment",
    "AttemptResult",
    "SlotRequest",
    "assign_candidate",
]


class AttemptResult(enum.Enum):
    """Result of an attempt at a backend server.

    ``SUPERSEDED`` is a first attempt that was closed because the second one
    was answered earlier: it took at least the time that is recorded.
    """

    OK = "ok"
    ERROR = "error"
    UNANSWERED = "unanswered"
    NOT_SENT = "not sent"
    REFUSED = "refused"
    CANCELLED = "cancelled"
    SUPERSEDED = "superseded"


@attrs.frozen
class SlotRequest:
    """Properties of a request that determine where it may be served.

    Attributes
    ----------
    route : Route
        Route of the request, with its service, priority and idempotence.
    account : str
        Client account; empty on open routes.
    deadline_at : float
        Deadline of the request, a monotonic time in seconds.
    split_point : float
        Uniform value in [0, 1) that selects the side of a traffic split
        between two versions.
    excluded : frozenset of str
        Backend servers that earlier attempts used.
    local_only : bool
        Whether the request was forwarded from another data centre and must
        not be forwarded again.
    affinity : str
        Key of the requested object, on routes whose servers respond faster
        for recently served objects; empty for none.
    home_regions : frozenset of str or None
        Regions whose servers may serve the request; None for all.
    account_priority : Priority
        Priority of the account, which goes before that of the route.
    objective_at : float
        Monotonic time in seconds until which a response is worth most; the
        deadline if the route has no objective.
    """

    route: Route
    account: str
    deadline_at: float
    split_point: float
    excluded: frozenset = frozenset()
    local_only: bool = False
    affinity: str = ""
    home_regions: object = None
    account_priority: Priority = Priority.ORDINARY
    objective_at: float = attrs.field(
        default=attrs.Factory(lambda self: self.deadline_at, takes_self=True)
    )

    @property
    def rank(self):
        """Tuple of Priority : place in the order of queues."""
        return (self.account_priority, self.route.priority)


@attrs.frozen
class Assignment:
    """A slot for one attempt, which the caller must release.

    Attributes
    ----------
    server : BackendServer
        The server; if `remote`, the entry VM of another data centre with its
        caller address.
    version : str
        Version of the service.
    remote : bool
        Whether the request goes to another data centre's entry VM.
    credit_id : str
        Identifier of the credit spent on a remote attempt.
    wait_s : float
        Seconds that the request waited for the slot.
    is_cold : bool
        Whether the server was taken for cold.
    record_age_s : float
        Age of the server's record in seconds. Announcements that change
        nothing renew the lease only.
    lease_left_s : float
        Seconds until the lease ends at this VM.
    reason : str
        Why an object is requested from another server than before.
    path_prefix : str
        Route of the request; empty if `remote`.
    assigned_at : float
        Monotonic time in seconds of the assignment; 0 if `remote`.
    """

    server: BackendServer
    version: str
    remote: bool = False
    credit_id: str = ""
    wait_s: float = 0.0
    is_cold: bool = False
    record_age_s: float = 0.0
    lease_left_s: float = 0.0
    reason: str = ""
    path_prefix: str = ""
    assigned_at: float = 0.0


def assign_candidate(candidate, version, request, wait_s, now, reason=""):
    """Return the assignment of a candidate that was selected.

    Parameters
    ----------
    candidate : Candidate
        The server.
    version : str
        Version of the service.
    request : SlotRequest
        The request.
    wait_s : float
        Seconds that the request waited for the slot.
    now : float
        Monotonic time in seconds.
    reason : str
        Why an object is requested from another server than before.
    """
    return Assignment(
        candidate.view.server,
        version,
        wait_s=wait_s,
        is_cold=candidate.is_cold,
        record_age_s=now - candidate.view.load_at,
        lease_left_s=candidate.view.expires_at - now,
        reason=reason,
        path_prefix=request.route.path_prefix,
        assigned_at=now,
    )
