"""Credit for requests that go to another data centre."""

import math
import uuid

import attrs

from ..messages.records import CreditResponse
from ..messages.records import ErrorKind
from ..messages.records import Failure

__all__ = ["CreditLedger", "HeldCredit", "link_slots"]

# Clocks differ in rate by less than this part.
_DRIFT = 0.01
# Assumed while nothing was measured.
_DEFAULT_BYTES_PER_REQUEST = 16384.0


def link_slots(mbit_per_s, vms, latency_s, bytes_per_request):
    """Return the requests in flight that a VM's part of a link carries.

    Parameters
    ----------
    mbit_per_s : float
        Limit of the link between two regions.
    vms : int
        VMs that share it.
    latency_s : float
        Mean time that a request is in flight, in seconds.
    bytes_per_request : float
        Bytes of a request and its answer; 0 if not known.

    Returns
    -------
    int
        By Little's law, the throughput times the latency.

    Examples
    --------
    >>> link_slots(8.0, 1, 0.1, 10000.0)
    10
    """
    per_request = bytes_per_request or _DEFAULT_BYTES_PER_REQUEST
    bytes_per_s = mbit_per_s * 1e6 / 8 / max(1, vms)
    return math.floor(bytes_per_s * latency_s / per_request + 1e-9)


@attrs.frozen
class _Grant:
    slots: int
    ends_at: float
    region: str


class CreditLedger:
    """Credit that this VM granted.

    Parameters
    ----------
    settings : Settings
        Sections ``vm`` and ``spill`` are read.
    """

    def __init__(self, settings):
        self._own = settings.vm
        self._lease_s = settings.spill.credit_lease_s
        self._grants = {}

    def outstanding(self, service, now, region=None):
        """Return the slots that are granted and have not lapsed.

        Parameters
        ----------
        service : str
            Name of the service; None for all.
        now : float
            Monotonic time in seconds.
        region : str or None
            Count only VMs of this region.

        Returns
        -------
        int
            For each VM the largest of its grants, since it uses only one of
            them at a time.
        """
        return sum(
            max((grant.slots for grant in grants), default=0)
            for (holder, name), grants in self._live(now).items()
            if service in (None, name)
            and (region is None or grants[0].region == region)
        )

    def grant(self, request, headroom, link_limit, now):
        """Grant credit.

        Parameters
        ----------
        request : CreditRequest
            Service, slots and the VM that asks.
        headroom : float
            Free slots of the service that this VM may give away, before
            outstanding credit.
        link_limit : int or None
            Requests in flight that this VM's part of the link from the
            asking region carries; None within a region.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        CreditResponse
            ``OVERLOADED`` if nothing can be granted. The lease counts from
            the time at which the VM asked.
        """
        place = (request.vm, request.service)
        live = self._live(now)
        held = live.pop(place, [])
        others = sum(
            max(grant.slots for grant in grants)
            for (_, name), grants in live.items()
            if name == request.service
        )
        free = headroom - others
        if link_limit is not None:
            on_link = sum(
                max(grant.slots for grant in grants)
                for grants in live.values()
                if grants[0].region == request.region
            )
            free = min(free, link_limit - on_link)
        slots = min(request.slots, math.floor(free))
        if slots <= 0:
            failure = Failure(
                kind=ErrorKind.OVERLOADED, detail="no headroom to grant"
            )
            return CreditResponse(failure=failure)
        grant = _Grant(slots, now + self._lease_s, request.region)
        self._grants[place] = [*held, grant]
        return CreditResponse(
            slots=slots, lease_s=self._lease_s, credit_id=uuid.uuid4().hex
        )

    def _live(self, now):
        self._grants = {
            place: kept
            for place, grants in self._grants.items()
            if (kept := [grant for grant in grants if grant.ends_at > now])
        }
        return dict(self._grants)


@attrs.define
class _Credit:
    vm: object
    slots: int
    credit_id: str
    ends_at: float
    renew_at: float
    in_flight: int = 0


class HeldCredit:
    """Credit that this VM holds at others."""

    def __init__(self):
        self._credits = {}

    def put(self, service, vm, response, requested_at):
        """Take an answer to a request for credit.

        Parameters
        ----------
        service : str
            Name of the service.
        vm : Vm
            The VM that granted it.
        response : CreditResponse
            Its answer.
        requested_at : float
            Monotonic time in seconds before the request was sent; the lease
            counts from here.
        """
        known = self._credits.get((service, vm.name))
        lease_s = response.lease_s * (1 - _DRIFT)
        if response.slots <= 0 or response.failure is not None:
            # Credit held before stays valid until its own end.
            if known is not None:
                known.renew_at = known.ends_at
            return
        self._credits[(service, vm.name)] = _Credit(
            vm,
            response.slots,
            response.credit_id,
            requested_at + lease_s,
            requested_at + lease_s / 2,
            known.in_flight if known else 0,
        )

    def take(self, service, excluded, now, regions=None):
        """Spend credit on one request.

        Parameters
        ----------
        service : str
            Name of the service.
        excluded : frozenset of str
            Names of VMs that were tried already.
        now : float
            Monotonic time in seconds.
        regions : container of str or None
            Only VMs of these regions.

        Returns
        -------
        tuple of (Vm, str) or None
            The VM and the credit's identifier; the one with the largest free
            part. None if there is no valid credit.
        """
        usable = [
            credit
            for (name, vm), credit in self._credits.items()
            if name == service
            and vm not in excluded
            and credit.ends_at > now
            and credit.in_flight < credit.slots
            and (regions is None or credit.vm.region in regions)
        ]
        if not usable:
            return None
        credit = min(usable, key=lambda one: one.in_flight / one.slots)
        credit.in_flight += 1
        return credit.vm, credit.credit_id

    def give_back(self, service, vm_name):
        """Note that a request ended, whether its credit lapsed or not."""
        credit = self._credits.get((service, vm_name))
        if credit is not None:
            credit.in_flight = max(0, credit.in_flight - 1)

    def drop(self, service, vm_name):
        """Forget credit at a VM that did not answer a request."""
        credit = self._credits.get((service, vm_name))
        if credit is not None:
            credit.ends_at = -math.inf

    def free(self, service, now):
        """Return the requests that can be sent now."""
        return sum(
            max(0, credit.slots - credit.in_flight)
            for (name, _), credit in self._credits.items()
            if name == service and credit.ends_at > now
        )

    def in_flight(self, service):
        """Return the requests of a service that are elsewhere now."""
        return sum(
            credit.in_flight
            for (name, _), credit in self._credits.items()
            if name == service
        )

    def needs_renewal(self, service, vm_name, wanted, now):
        """Tell whether credit at a VM is missing, too small or half over."""
        credit = self._credits.get((service, vm_name))
        return (
            credit is None or credit.slots < wanted or credit.renew_at <= now
        )

    def forget(self, now):
        """Drop credit that lapsed and on which nothing is in flight."""
        self._credits = {
            place: credit
            for place, credit in self._credits.items()
            if credit.ends_at > now or credit.in_flight
        }
