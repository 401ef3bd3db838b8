"""Queue of requests for one version of a service."""

import attrs

from ...errors import fail
from ...messages.records import ErrorKind
from ..servers.answer_times import AnswerTimes
from .concurrency import make_limit
from .order import ByArrival
from .order import find_late_at
from .order import find_latest_start
from .queue import FairQueue
from .queue import LATE_INTERVAL
from .queue import list_ranks_up_to

__all__ = ["Pool", "WaitingRequest"]

# Weight of a new sample in the moving average of the latency.
_LATENCY_WEIGHT = 0.05


@attrs.define(eq=False)
class WaitingRequest:
    """A queued request.

    Attributes
    ----------
    request : SlotRequest
        The request for a slot.
    future : asyncio.Future
        Receives the result of the wait.
    since : float
        Monotonic time in seconds at which it was queued.
    servers : tuple of str
        Servers of its object; empty if any server may serve it.
    """

    request: object
    future: object
    since: float
    servers: tuple = ()


class Pool:
    """Queue and measurements of one version of a service.

    Parameters
    ----------
    service, version : str
        Service and version of its servers.
    limit : int
        Maximum number of queued requests.
    order : ByArrival or ByObjective
        Order of the queue within a rank and account.
    answer_times : AnswerTimes or None
        Recent times of answers, shared with other pools; None for own ones.
    """

    def __init__(self, service, version, limit, order=None, answer_times=None):
        self.service = service
        self.version = version
        self.queue = FairQueue(limit)
        self._order = order or ByArrival()
        self.concurrency = make_limit(self._order)
        self._answer_times = answer_times or AnswerTimes()
        self.in_flight = 0
        self.used_at = 0.0
        # Fraction of new requests that the preset sends to other regions,
        # decaying while there are none.
        self.remote_fraction = 0.0
        self._latency_s = None
        # Tickets of the waiting requests by server of their object.
        self._waiting = {}
        # Waiting requests that any server may serve.
        self._waiting_for_any = 0

    @property
    def awaited_servers(self):
        """Frozenset of str : servers that queued objects wait for."""
        return frozenset(self._waiting)

    @property
    def has_unbound_requests(self):
        """Bool : whether requests wait that any server may serve."""
        return self._waiting_for_any > 0

    @property
    def latency_s(self):
        """Float or None : mean time that a request occupies its slot."""
        return self._latency_s

    def record_latency(self, latency_s):
        """Add a sample in seconds to the moving average."""
        if self._latency_s is None:
            self._latency_s = latency_s
        self._latency_s += (latency_s - self._latency_s) * _LATENCY_WEIGHT

    def late_at(self, slot_request, now):
        """Return the time after which a request cannot start and be in time.

        Parameters
        ----------
        slot_request : SlotRequest
            The request.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        float
            Monotonic time in seconds; infinite if the order of the queue does
            not depend on it.
        """
        answer_s = self._answer_times.fastest_kind_s(
            self.service, slot_request.route.path_prefix, now
        )
        return find_late_at(self._order, slot_request, answer_s)

    def push(self, waiting, now):
        """Append a request to the queue.

        Parameters
        ----------
        waiting : WaitingRequest
            The request.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        tuple of (Ticket or None, Ticket or None)
            See :meth:`FairQueue.push`.
        """
        slot_request = waiting.request
        ticket, evicted = self.queue.push(
            waiting,
            slot_request.rank,
            slot_request.account,
            self.late_at(slot_request, now),
        )
        if ticket is not None:
            self._waiting_for_any += not waiting.servers
            for server_id in waiting.servers:
                self._waiting.setdefault(server_id, {})[ticket] = None
        return ticket, evicted

    def remove(self, ticket):
        """Remove a request that no longer waits, served or not."""
        self.queue.discard(ticket)
        waiting = ticket.item
        self._waiting_for_any -= not waiting.servers
        for server_id in waiting.servers:
            tickets = self._waiting[server_id]
            del tickets[ticket]
            if not tickets:
                del self._waiting[server_id]

    def list_waiting(self):
        """Return the queued requests that have no result yet."""
        return [item for item in self.queue.items() if not item.future.done()]

    def must_wait(self, slot_request, servers, now):
        """Return whether requests are queued ahead of a new one.

        Parameters
        ----------
        slot_request : SlotRequest
            The request.
        servers : iterable of str
            Servers of its object; empty if any server may serve it.
        now : float
            Monotonic time in seconds.
        """
        if not servers:
            return bool(len(self.queue))
        return all(
            self._count_ahead_at(server_id, slot_request, now)
            for server_id in servers
        )

    def expected_wait_s(self, slot_request, in_flight, now):
        """Return the expected wait of a request.

        Parameters
        ----------
        slot_request : SlotRequest
            Provides its rank and account.
        in_flight : dict of str to int
            Requests of this VM at each server of its object; empty if any
            server may serve it.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        float
            Seconds, from the requests ahead of it and the rate at which
            slots are released (Little's law); 0 while that is unknown.

        Notes
        -----
        A request for an object counts only the requests that wait for the
        servers of that object. One that cannot be in time also waits for
        those that can.
        """
        if self._latency_s is None:
            return 0.0
        if in_flight:
            wait_s = self._latency_s * min(
                self._count_ahead_at(server_id, slot_request, now)
                / max(1, count)
                for server_id, count in in_flight.items()
            )
            wait_s = max(wait_s, self._wait_for_limit_s(slot_request))
            if now + wait_s < self.late_at(slot_request, now):
                return wait_s
            wait_s = self._latency_s * min(
                self._count_ahead_of_late_at(
                    server_id, slot_request, max(1, count), now
                )
                / max(1, count)
                for server_id, count in in_flight.items()
            )
            return max(wait_s, self._late_wait_for_limit_s(now))
        if not self.in_flight:
            return 0.0
        ahead = self.queue.count_ahead(slot_request.rank, slot_request.account)
        return ahead * self._latency_s / self.in_flight

    def _wait_for_limit_s(self, slot_request):
        """Return the expected wait until the limit permits a request."""
        if self.concurrency.permits(self.in_flight):
            return 0.0
        ahead = self.queue.count_ahead(slot_request.rank, slot_request.account)
        return (ahead + 1) * self._latency_s / self.concurrency.limit

    def _late_wait_for_limit_s(self, now):
        """Return the same for a request that cannot be in time."""
        if self.concurrency.permits(self.in_flight):
            return 0.0
        late = self.queue.count_late(now)
        starts = _count_starts_before_late(
            late, len(self.queue) - late, self.concurrency.limit
        )
        return (starts + 1) * self._latency_s / self.concurrency.limit

    def _count_ahead_at(self, server_id, slot_request, now):
        """Return the number of requests ahead of a new one at a server."""
        ranks = list_ranks_up_to(slot_request.rank)
        return sum(
            ticket.late_at > now and ticket.priority in ranks
            for ticket in self._waiting.get(server_id, ())
        )

    def _count_ahead_of_late_at(self, server_id, slot_request, slots, now):
        """Return the starts at a server before that of a late request."""
        ranks = list_ranks_up_to(slot_request.rank)
        late = sum(
            ticket.late_at <= now and ticket.priority in ranks
            for ticket in self._waiting.get(server_id, ())
        )
        timely = self._count_ahead_at(server_id, slot_request, now)
        return _count_starts_before_late(late, timely, slots)

    def latest_start_at(self, slot_request, now):
        """Return the latest time at which a request can usefully start.

        Parameters
        ----------
        slot_request : SlotRequest
            Provides its deadline.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        float
            Monotonic time in seconds.
        """
        if self._latency_s is None:
            return slot_request.deadline_at
        answer_s = self._answer_times.typical_s(
            self.service, slot_request.route.path_prefix, now
        )
        return find_latest_start(
            self._order, slot_request, self._latency_s, answer_s
        )

    def no_backend(self):
        """Return the failure of a request without an eligible server."""
        return fail(
            ErrorKind.NO_BACKEND, f"no backend server of '{self.service}'"
        )

    def deadline_unreachable(self, retry_after_s=0.0):
        """Return the failure of a request that cannot meet its deadline.

        Parameters
        ----------
        retry_after_s : float
            Time in seconds after which a retry is likely to succeed; 0 if
            unknown.
        """
        return fail(
            ErrorKind.OVERLOADED,
            f"'{self.service}' cannot serve the request before its deadline",
            retry_after_s=retry_after_s,
        )

    def paused(self, retry_after_s):
        """Return the failure of a request whose servers want a pause.

        Parameters
        ----------
        retry_after_s : float
            Time in seconds after which a retry is likely to succeed.
        """
        return fail(
            ErrorKind.OVERLOADED,
            f"all backend servers of '{self.service}' want a pause",
            retry_after_s=retry_after_s,
        )

    def stopped(self):
        """Return the failure of a request that is queued at a stop."""
        return fail(ErrorKind.DRAINING, "this VM is shutting down")

    def overloaded(self):
        """Return the failure of a request that a full queue rejects."""
        return fail(
            ErrorKind.OVERLOADED, f"the queue of '{self.service}' is full"
        )


def _count_starts_before_late(late, timely, slots):
    """Return the starts before that of a new request that cannot be in time.

    Requests that can be in time get most starts. If more of them wait than
    slots are in use, they will not be gone soon.
    """
    if timely > slots:
        return (late + 1) * LATE_INTERVAL
    return late + timely
