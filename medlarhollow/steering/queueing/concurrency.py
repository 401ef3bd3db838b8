"""Limit of the requests that a VM has in flight at the servers of a pool.

Load that it answers: many VMs that send to the same servers. Each sees a
server a few times a minute, so it cannot tell how many requests of others wait
there, and overloaded servers serve long queues of their own in order of
arrival. With the limit, requests wait on the VMs instead, where those that are
more urgent or can still be in time go first.
"""

import functools
import math

import attrs

from .order import ByArrival
from .order import ByObjective

__all__ = ["ConcurrencyLimit", "Unlimited", "make_limit"]

# Change of the limit with each response of a server whose queue is short or
# long. The limit is stable while one in three responses reports a long queue,
# whatever the number of VMs and servers: a response changes it by a fixed
# amount, and there are as many responses in a round as the limit permits.
_INCREASE = 0.1
_DECREASE = 0.2
# A refusal shows that the queue of a server is full.
_REFUSAL_DECREASE = 1.0
# A queue is long if requests wait in it for more than a whole run.
_LONG_QUEUE_FRACTION = 1.0
# The limit is raised only while most of it is used.
_USED_FRACTION = 0.75
_MIN_LIMIT = 1.0


@attrs.frozen
class Unlimited:
    """Permit any number of requests."""

    limit = math.inf

    def permits(self, in_flight):
        """Return whether another request may be sent."""
        return True

    def record_load(self, load, in_flight):
        """Ignore the load that a server reported."""

    def record_refusal(self, in_flight):
        """Ignore that a server refused a request."""


@attrs.define
class ConcurrencyLimit:
    """Permit as many requests as keep the queues of servers short.

    Attributes
    ----------
    limit : float
        Permitted requests in flight; infinite before the first long queue.

    Notes
    -----
    Like the credits of Breakwater (Cho et al., 2020), it moves queueing to
    where requests can still be ordered or rejected; like TCP, each sender
    finds its part by itself from what the responses report.
    """

    limit: float = math.inf

    def permits(self, in_flight):
        """Return whether another request may be sent.

        Parameters
        ----------
        in_flight : int
            Requests of this VM at the servers of the pool.
        """
        return in_flight < self.limit

    def record_load(self, load, in_flight):
        """Record the load that a server reported with a response.

        Parameters
        ----------
        load : ServerLoad
            The report.
        in_flight : int
            Requests of this VM at the servers of the pool, including the
            one that was answered.
        """
        if load.waiting > load.slots * _LONG_QUEUE_FRACTION:
            self._decrease(_DECREASE, in_flight)
        elif in_flight >= self.limit * _USED_FRACTION:
            self.limit += _INCREASE

    def record_refusal(self, in_flight):
        """Record that a server refused a request because it was full.

        Parameters are those of :meth:`record_load`.
        """
        self._decrease(_REFUSAL_DECREASE, in_flight)

    def _decrease(self, amount, in_flight):
        limit = min(self.limit, in_flight + 1.0)
        self.limit = max(_MIN_LIMIT, limit - amount)


@functools.singledispatch
def make_limit(order):
    """Return the concurrency limit of a pool whose queue has an order.

    Parameters
    ----------
    order : ByArrival or ByObjective
        The order of the queue.
    """
    raise TypeError(f"not an order of a queue: {order!r}")


@make_limit.register
def _unlimited(order: ByArrival):
    return Unlimited()


@make_limit.register
def _limited(order: ByObjective):
    return ConcurrencyLimit()
