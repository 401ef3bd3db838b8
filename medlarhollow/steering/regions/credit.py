"""Leased credit for requests that are sent to another data centre."""

import math
import uuid

import attrs

from ...messages.records import CreditResponse
from ...messages.records import ErrorKind
from ...messages.records import Failure

__all__ = ["CreditLedger", "RemoteCredit", "link_capacity"]

# Upper bound of the relative difference in rate between two clocks.
_MAX_CLOCK_DRIFT = 0.01
# Assumed until the size of requests has been measured.
_DEFAULT_BYTES_PER_REQUEST = 16384.0


def link_capacity(mbit_per_s, vms, latency_s, bytes_per_request):
    """Return the requests in flight that a VM's share of a link supports.

    Parameters
    ----------
    mbit_per_s : float
        Limit of the link between two regions.
    vms : int
        VMs that share it.
    latency_s : float
        Mean time in flight of a request, in seconds.
    bytes_per_request : float
        Bytes of a request and its response; 0 if unknown.

    Returns
    -------
    int
        By Little's law, the throughput times the latency.

    Examples
    --------
    >>> link_capacity(8.0, 1, 0.1, 10000.0)
    10
    """
    per_request = bytes_per_request or _DEFAULT_BYTES_PER_REQUEST
    bytes_per_s = mbit_per_s * 1e6 / 8 / max(1, vms)
    return math.floor(bytes_per_s * latency_s / per_request + 1e-9)


@attrs.frozen
class _Grant:
    slots: int
    expires_at: float
    region: str


class CreditLedger:
    """Credit that this VM has granted to other VMs.

    Parameters
    ----------
    settings : Settings
        Sections ``vm`` and ``spill`` are read.
    """

    def __init__(self, settings):
        self._vm = settings.vm
        self._lease_s = settings.spill.credit_lease_s
        self._grants = {}

    def outstanding(self, service, now, region=None):
        """Return the granted slots whose leases have not expired.

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
            Sum of the largest grant of each VM, since a VM uses only one of
            its grants at a time.
        """
        return sum(
            max((grant.slots for grant in grants), default=0)
            for (vm, name), grants in self._active_grants(now).items()
            if service in (None, name)
            and (region is None or grants[0].region == region)
        )

    def grant(self, request, headroom, link_limit, now):
        """Grant credit to another VM.

        Parameters
        ----------
        request : CreditRequest
            Service, slots and the requesting VM.
        headroom : float
            Free slots of the service that this VM may grant, before
            subtracting outstanding credit.
        link_limit : int or None
            Requests in flight that this VM's share of the link from the
            requesting region supports; None within a region.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        CreditResponse
            ``OVERLOADED`` if nothing can be granted. The holder counts the
            lease from the time of its request.
        """
        key = (request.vm, request.service)
        active = self._active_grants(now)
        previous = active.pop(key, [])
        others = sum(
            max(grant.slots for grant in grants)
            for (_, name), grants in active.items()
            if name == request.service
        )
        free = headroom - others
        if link_limit is not None:
            link_in_use = sum(
                max(grant.slots for grant in grants)
                for grants in active.values()
                if grants[0].region == request.region
            )
            free = min(free, link_limit - link_in_use)
        slots = min(request.slots, math.floor(free))
        if slots <= 0:
            failure = Failure(
                kind=ErrorKind.OVERLOADED, detail="no headroom to grant"
            )
            return CreditResponse(failure=failure)
        grant = _Grant(slots, now + self._lease_s, request.region)
        self._grants[key] = [*previous, grant]
        return CreditResponse(
            slots=slots, lease_s=self._lease_s, credit_id=uuid.uuid4().hex
        )

    def _active_grants(self, now):
        self._grants = {
            key: active
            for key, grants in self._grants.items()
            if (
                active := [grant for grant in grants if grant.expires_at > now]
            )
        }
        return dict(self._grants)


@attrs.define
class _Credit:
    vm: object
    slots: int
    credit_id: str
    expires_at: float
    renew_at: float
    in_flight: int = 0


class RemoteCredit:
    """Credit that other VMs have granted to this one."""

    def __init__(self):
        self._credits = {}

    def apply_response(self, service, vm, response, requested_at):
        """Apply the response to a credit request.

        Parameters
        ----------
        service : str
            Name of the service.
        vm : Vm
            The VM that granted it.
        response : CreditResponse
            The response.
        requested_at : float
            Monotonic time in seconds before the request was sent, at which
            the lease begins.
        """
        current = self._credits.get((service, vm.name))
        lease_s = response.lease_s * (1 - _MAX_CLOCK_DRIFT)
        if response.slots <= 0 or response.failure is not None:
            # A refused renewal leaves existing credit valid until it expires.
            if current is not None:
                current.renew_at = current.expires_at
            return
        self._credits[(service, vm.name)] = _Credit(
            vm,
            response.slots,
            response.credit_id,
            requested_at + lease_s,
            requested_at + lease_s / 2,
            current.in_flight if current else 0,
        )

    def spend(self, service, excluded, now, regions=None):
        """Spend credit on one request.

        Parameters
        ----------
        service : str
            Name of the service.
        excluded : frozenset of str
            Names of VMs that earlier attempts used.
        now : float
            Monotonic time in seconds.
        regions : container of str or None
            Regions of the VMs that may be used; None for all.

        Returns
        -------
        tuple of (Vm, str) or None
            The least utilized VM and the identifier of its credit; None if
            there is no valid credit.
        """
        usable = [
            credit
            for (name, vm), credit in self._credits.items()
            if name == service
            and vm not in excluded
            and credit.expires_at > now
            and credit.in_flight < credit.slots
            and (regions is None or credit.vm.region in regions)
        ]
        if not usable:
            return None
        credit = min(
            usable, key=lambda candidate: candidate.in_flight / candidate.slots
        )
        credit.in_flight += 1
        return credit.vm, credit.credit_id

    def release(self, service, vm_name):
        """Record the end of a request, even if its credit has expired."""
        credit = self._credits.get((service, vm_name))
        if credit is not None:
            credit.in_flight = max(0, credit.in_flight - 1)

    def invalidate(self, service, vm_name):
        """Expire the credit at a VM that did not respond to a request."""
        credit = self._credits.get((service, vm_name))
        if credit is not None:
            credit.expires_at = -math.inf

    def available(self, service, now):
        """Return the number of requests that can be sent now."""
        return sum(
            max(0, credit.slots - credit.in_flight)
            for (name, _), credit in self._credits.items()
            if name == service and credit.expires_at > now
        )

    def in_flight(self, service):
        """Return the remote requests in flight of a service."""
        return sum(
            credit.in_flight
            for (name, _), credit in self._credits.items()
            if name == service
        )

    def needs_renewal(self, service, vm_name, needed_slots, now):
        """Return whether credit is missing, too small or half expired."""
        credit = self._credits.get((service, vm_name))
        return (
            credit is None
            or credit.slots < needed_slots
            or credit.renew_at <= now
        )

    def evict_expired(self, now):
        """Discard expired credit that has no requests in flight."""
        self._credits = {
            key: credit
            for key, credit in self._credits.items()
            if credit.expires_at > now or credit.in_flight
        }
