"""Priority queue with fair queueing by client account."""

import collections
import itertools
import math

import attrs

from ...messages.records import Priority

__all__ = [
    "LATE_INTERVAL",
    "RANKS",
    "FairQueue",
    "Ticket",
    "list_ranks_up_to",
]

_PRIORITIES = (Priority.URGENT, Priority.ORDINARY, Priority.PATIENT)
# Priorities of the account and of the route, highest rank first. That of the
# account goes before that of the route.
RANKS = tuple(itertools.product(_PRIORITIES, _PRIORITIES))
# One in this many dequeued requests is of a lower priority if any waits, so
# that low priorities are delayed but do not starve.
_LOWER_PRIORITY_INTERVAL = 10
# One in this many starts of a rank is of a request that can no longer be in
# time, while there are others, so that such requests do not starve.
LATE_INTERVAL = 10
# Requests of each account that are considered per dequeue: the first may be
# blocked while a later one, for another server, is not.
_HEADS_PER_ACCOUNT = 8


@attrs.define(eq=False)
class Ticket:
    """A queued request.

    Attributes
    ----------
    item : object
        Item passed to :meth:`FairQueue.push`.
    priority : object
        Its priority.
    account : str
        Client account; empty on open routes.
    start_tag : float
        Start tag of start-time fair queueing.
    late_at : float
        Monotonic time in seconds after which the request, if it starts, is
        answered too late to be worth most.
    """

    item: object
    priority: object
    account: str
    start_tag: float
    late_at: float = math.inf


class _PriorityClass:
    """Start-time fair queue of the accounts of one priority."""

    def __init__(self):
        self.account_queues = {}
        self.finish_tags = {}
        self.virtual_time = 0.0
        self.count = 0
        self.skipped = 0
        # Requests that started in time since the last late one.
        self.timely_starts = 0

    def push(self, item, priority, account, late_at):
        start = max(self.virtual_time, self.finish_tags.get(account, 0.0))
        self.finish_tags[account] = start + 1.0
        ticket = Ticket(item, priority, account, start, late_at)
        account_queue = self.account_queues.setdefault(
            account, collections.deque()
        )
        account_queue.append(ticket)
        self.count += 1
        return ticket

    def list_heads(self, depth, now):
        """Return the first requests of each account, in fair order.

        Those that are late come after the others, or before them if it is
        their turn.
        """
        timely, late = [], []
        for account_queue in self.account_queues.values():
            for is_late, heads in ((False, timely), (True, late)):
                kind = (
                    ticket
                    for ticket in account_queue
                    if (ticket.late_at <= now) is is_late
                )
                heads += itertools.islice(kind, depth)
        for heads in (timely, late):
            heads.sort(key=lambda ticket: (ticket.start_tag, ticket.account))
        if self.timely_starts >= LATE_INTERVAL - 1:
            return late + timely
        return timely + late

    def record_start(self, ticket, now):
        """Note that a request has started."""
        if ticket.late_at <= now:
            self.timely_starts = 0
        else:
            self.timely_starts += 1

    def remove(self, ticket):
        account_queue = self.account_queues[ticket.account]
        account_queue.remove(ticket)
        self.count -= 1
        if not account_queue:
            del self.account_queues[ticket.account]
        if not self.count:
            # Reset the tags: without waiting requests, no account is ahead.
            self.finish_tags.clear()
            self.virtual_time = 0.0


def list_ranks_up_to(rank):
    """Return a rank and all higher ones, highest first."""
    return RANKS[: RANKS.index(rank) + 1]


class FairQueue:
    """Bounded queue, ordered by priority and fair between accounts.

    Parameters
    ----------
    limit : int
        Maximum number of queued requests.

    Notes
    -----
    Within a priority, start-time fair queueing (Goyal, Vin and Cheng, 1996,
    "Start-time Fair Queuing: A Scheduling Algorithm for Integrated Services
    Packet Switching Networks"), each request with cost 1: an account that
    floods the queue delays its own requests, not those of others. Requests
    that can no longer be in time give way to the others of their rank.
    """

    def __init__(self, limit):
        self._limit = limit
        self._classes = {priority: _PriorityClass() for priority in RANKS}

    def __len__(self):
        return sum(
            priority_class.count for priority_class in self._classes.values()
        )

    def push(self, item, priority, account, late_at=math.inf):
        """Append a request, evicting a less important one if full.

        Parameters
        ----------
        item : object
            The request to queue.
        priority : object
            One of the ranks.
        account : str
            Client account.
        late_at : float
            Monotonic time in seconds after which it cannot be in time.

        Returns
        -------
        tuple of (Ticket or None, Ticket or None)
            The new ticket, None if the queue rejected it, and the ticket
            that was evicted for it.
        """
        evicted = None
        if len(self) >= self._limit:
            evicted = self._find_evicted(priority, account)
            if evicted is None:
                return None, None
            self.discard(evicted)
        ticket = self._classes[priority].push(item, priority, account, late_at)
        return ticket, evicted

    def pop(self, accept, now=-math.inf):
        """Remove the next request that is accepted.

        Parameters
        ----------
        accept : callable
            Called with an item, returns whether it was accepted. The first
            requests of each account are tried, since each may wait for
            different servers.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        Ticket or None
            None if no request was accepted.
        """
        for priority in self._service_order():
            priority_class = self._classes[priority]
            heads = priority_class.list_heads(_HEADS_PER_ACCOUNT, now)
            for ticket in heads:
                if accept(ticket.item):
                    priority_class.record_start(ticket, now)
                    priority_class.virtual_time = max(
                        priority_class.virtual_time, ticket.start_tag
                    )
                    priority_class.remove(ticket)
                    self._record_served(priority)
                    return ticket
        return None

    def discard(self, ticket):
        """Remove a request; the others keep their order.

        Does nothing if the request has left the queue.
        """
        account_queue = self._classes[ticket.priority].account_queues.get(
            ticket.account, ()
        )
        if ticket in account_queue:
            self._classes[ticket.priority].remove(ticket)

    def items(self):
        """Return the items of all queued requests."""
        return [
            ticket.item
            for priority_class in self._classes.values()
            for account_queue in priority_class.account_queues.values()
            for ticket in account_queue
        ]

    def count_late(self, now):
        """Return the number of queued requests that can no longer be in time.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        return sum(
            ticket.late_at <= now
            for priority_class in self._classes.values()
            for account_queue in priority_class.account_queues.values()
            for ticket in account_queue
        )

    def count_ahead(self, priority, account):
        """Return an upper bound of the requests served before a new one.

        Parameters
        ----------
        priority : object
            Priority of the new request.
        account : str
            Client account of the new request.

        Returns
        -------
        int
            All requests of higher priority, and of each account at most as
            many as the account of the new request would have queued.
        """
        count = 0
        for other in RANKS:
            priority_class = self._classes[other]
            if other != priority:
                count += priority_class.count
                continue
            account_count = len(priority_class.account_queues.get(account, ()))
            lengths = (
                len(account_queue)
                for account_queue in priority_class.account_queues.values()
            )
            return count + sum(
                min(length, account_count + 1) for length in lengths
            )
        return count

    def _service_order(self):
        """Return the priorities with requests, starved ones first."""
        waiting = [
            priority for priority in RANKS if self._classes[priority].count
        ]
        starved = [
            priority
            for priority in waiting
            if self._classes[priority].skipped >= _LOWER_PRIORITY_INTERVAL - 1
        ]
        return [
            *starved,
            *(other for other in waiting if other not in starved),
        ]

    def _record_served(self, served):
        self._classes[served].skipped = 0
        for priority in RANKS[RANKS.index(served) + 1 :]:
            if self._classes[priority].count:
                self._classes[priority].skipped += 1

    def _find_evicted(self, priority, account):
        """Return the ticket that a full queue evicts for a new request."""
        for lower in reversed(RANKS):
            priority_class = self._classes[lower]
            if not priority_class.count:
                continue
            longest = max(priority_class.account_queues.values(), key=len)
            if lower == priority:
                account_count = len(
                    priority_class.account_queues.get(account, ())
                )
                return (
                    longest[-1] if len(longest) > account_count + 1 else None
                )
            if RANKS.index(lower) < RANKS.index(priority):
                return None
            return longest[-1]
        return None
