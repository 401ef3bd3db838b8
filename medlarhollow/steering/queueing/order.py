"""Order of the queued requests of one rank and account.

Load that it answers: a burst in which more requests arrive than slots serve
within their objective. Served by arrival, every request waits until its
deadline is near, and nearly all are answered late although the slots serve at
their full rate. Served by objective, requests that can still be in time go
first, and those that cannot get the room that is left.
"""

import functools
import math

import attrs

__all__ = [
    "ByArrival",
    "ByObjective",
    "find_late_at",
    "find_latest_start",
    "make_order",
]

# Fast requests take about this fraction of the mean latency. A request with
# less time left cannot meet its deadline.
_MIN_LATENCY_FRACTION = 0.5


@attrs.frozen
class ByArrival:
    """Serve by arrival; no request is late before its deadline."""


@attrs.frozen
class ByObjective:
    """Serve those first that can still be answered within their objective."""


def make_order(settings):
    """Return the order that the settings select.

    Parameters
    ----------
    settings : Settings
        Section ``backends`` is read.
    """
    if settings.backends.queue_order == "objective":
        return ByObjective()
    return ByArrival()


@functools.singledispatch
def find_late_at(order, slot_request, answer_s):
    """Return the time after which a request cannot start and be in time.

    Parameters
    ----------
    order : ByArrival or ByObjective
        The order of the queue.
    slot_request : SlotRequest
        Provides the objective.
    answer_s : float
        Expected seconds between the start and the response.

    Returns
    -------
    float
        Monotonic time in seconds; infinite if the order does not depend on
        it.
    """
    raise TypeError(f"not an order of a queue: {order!r}")


@find_late_at.register
def _never(order: ByArrival, slot_request, answer_s):
    return math.inf


@find_late_at.register
def _before_objective(order: ByObjective, slot_request, answer_s):
    return slot_request.objective_at - answer_s


@functools.singledispatch
def find_latest_start(order, slot_request, mean_s, answer_s):
    """Return the latest time at which a request can usefully start.

    A request that cannot complete before its deadline would waste a slot.

    Parameters
    ----------
    order : ByArrival or ByObjective
        The order of the queue.
    slot_request : SlotRequest
        Provides the deadline.
    mean_s : float
        Mean seconds that a request of the pool occupies its slot.
    answer_s : float
        Typical seconds between the start and the response of the route.

    Returns
    -------
    float
        Monotonic time in seconds.
    """
    raise TypeError(f"not an order of a queue: {order!r}")


@find_latest_start.register
def _before_fast_run(order: ByArrival, slot_request, mean_s, answer_s):
    return slot_request.deadline_at - mean_s * _MIN_LATENCY_FRACTION


@find_latest_start.register
def _before_typical_run(order: ByObjective, slot_request, mean_s, answer_s):
    return slot_request.deadline_at - answer_s
