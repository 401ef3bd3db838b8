"""Decide which requests to refuse at once, and when to ask them back."""

import math
import random

from ..placement.placement import is_allowed

__all__ = ["Refusals"]

# Callers that are refused together must not return together, so times to
# return are raised by up to this fraction.
_SPREAD = 0.5


class Refusals:
    """Refuse requests that waiting does not help.

    Parameters
    ----------
    slots : SlotTracker
        Servers and the requests of this VM at them.
    """

    def __init__(self, slots):
        self._slots = slots
        self._generator = random.Random()

    def refuse_hopeless(self, pool, request, servers, now):
        """Return the failure of a request that would miss its deadline.

        Parameters
        ----------
        pool : Pool
            Queue of the request.
        request : SlotRequest
            The request, whether new or queued.
        servers : iterable of str
            Servers of its object; empty if any server may serve it.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        result.Err or None
            None if the request may wait.
        """
        in_flight = {
            server_id: self._slots.local_in_flight(server_id)
            for server_id in servers
        }
        wait_s = pool.expected_wait_s(request, in_flight, now)
        if now + wait_s < pool.latest_start_at(request):
            return None
        if math.isinf(pool.late_at(request, now)):
            return pool.deadline_unreachable()
        return pool.deadline_unreachable(wait_s * self._spread())

    def has_server(self, pool, request, now):
        """Return whether any server may serve a request.

        Parameters are those of :meth:`resume_at`.
        """
        return any(
            is_allowed(server, request)
            for server in self._slots.servers(pool.service, pool.version, now)
        )

    def resume_at(self, pool, request, now):
        """Return when the first of the paused servers of a request returns.

        Parameters
        ----------
        pool : Pool
            Service and version.
        request : SlotRequest
            The request.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        float or None
            See :meth:`SlotTracker.resume_at`.
        """
        return self._slots.resume_at(pool.service, pool.version, request, now)

    def refuse_unavailable(self, pool, resume_at, now):
        """Return the failure of a request without servers until a time.

        Parameters
        ----------
        pool : Pool
            Queue of the request.
        resume_at : float or None
            Monotonic time in seconds; None if it is unknown.
        now : float
            Monotonic time in seconds.
        """
        if resume_at is None:
            return pool.no_backend()
        return pool.paused((resume_at - now) * self._spread())

    def _spread(self):
        return 1 + self._generator.random() * _SPREAD
