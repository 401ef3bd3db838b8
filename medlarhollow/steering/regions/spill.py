"""Request, hold and grant credit between data centres."""

import asyncio
import functools
import logging
import math
import random

from grpclib.exceptions import GRPCError
from grpclib.exceptions import StreamTerminatedError

from ... import clock
from ...membership.weights import RegionWeights
from ...messages.records import BackendServer
from ...messages.records import CreditRequest
from ...messages.records import CreditResponse
from ...messages.records import ErrorKind
from ...messages.records import Failure
from ...messages.records import VmState
from ...messages.services import FleetStub
from ...transport import call
from ..assignment import Assignment
from .credit import CreditLedger
from .credit import link_capacity
from .credit import RemoteCredit

__all__ = ["SpillCoordinator"]

_LOG = logging.getLogger(__name__)
# Several round trips between regions (40 ms each), including one to connect.
# Credit that arrives later is still accepted.
_RESPONSE_WAIT_S = 0.5
# Maximum number of requests in one round, and the time between rounds for one
# service.
_MAX_VMS_PER_ROUND = 3
_ROUND_INTERVAL_S = 0.25
# Latency assumed for the capacity of a link until it is measured.
_DEFAULT_LATENCY_S = 0.1


class SpillCoordinator:
    """Coordinate credit for requests that exceed local capacity.

    Parameters
    ----------
    settings : Settings
        Sections ``vm`` and ``spill`` are read.
    state_cache : FleetStateCache
        Provides the VMs, the links and the active preset.
    channels : Channels
        Connections to VMs of other data centres.
    """

    def __init__(self, settings, state_cache, channels):
        self._settings = settings
        self._state_cache = state_cache
        self._channels = channels
        self._ledger = CreditLedger(settings)
        self._remote_credit = RemoteCredit()
        self._weights = RegionWeights()
        self._requested_at = {}
        self._late_calls = set()
        self._round = 0
        self._generator = random.Random()

    @property
    def remote_credit(self):
        """RemoteCredit : credit held at other VMs."""
        return self._remote_credit

    def weights(self):
        """Return the fraction of new requests by region, from the preset."""
        return self._weights.row(
            self._state_cache.state, self._settings.vm.region
        )

    def route(self, pool, request, now):
        """Spend credit if the preset sends a request to another region.

        Parameters
        ----------
        pool : Pool
            Pool of the request.
        request : SlotRequest
            The request.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        Assignment or None
            None if the request stays here or no credit is left.
        """
        is_fleet_wide = self._settings.backends.scope == "fleet"
        if request.local_only or is_fleet_wide:
            return None
        weights = self.weights()
        fraction = 1 - weights.get(self._settings.vm.region, 0.0)
        if self._generator.random() >= fraction:
            return None
        pool.remote_fraction = fraction
        others = set(weights) - {self._settings.vm.region}
        return self.spend(pool, request, now, others)

    def spend(self, pool, request, now, regions=None):
        """Return an assignment on credit, or None if there is none.

        Parameters
        ----------
        pool : Pool
            Pool of the request.
        request : SlotRequest
            The request.
        now : float
            Monotonic time in seconds.
        regions : set of str or None
            Regions of the credit; None for any.

        Notes
        -----
        The home regions of the request bind in any case.
        """
        homes = request.home_regions
        if homes is not None:
            regions = homes if regions is None else homes & regions
        spent = self._remote_credit.spend(
            pool.service, request.excluded, now, regions
        )
        if spent is None:
            return None
        vm, credit_id = spent
        server = BackendServer(
            server_id=vm.name,
            service=pool.service,
            version=pool.version,
            address=vm.caller_address,
        )
        return Assignment(server, pool.version, True, credit_id)

    def has_remote_vms(self):
        """Return whether any other data centre has an entry VM."""
        return bool(self._list_targets())

    async def request_credit(self, service, needed_slots, now, on_late_credit):
        """Request credit from VMs of other data centres.

        Parameters
        ----------
        service : str
            Name of the service.
        needed_slots : int
            Required slots, including those in use.
        now : float
            Monotonic time in seconds.
        on_late_credit : callable
            Called without arguments when credit arrives after the return.

        Returns
        -------
        bool
            Whether any credit was granted.

        Notes
        -----
        Data centres are ordered by the preset's weights, the local region
        first among equals, and the VMs of a data centre are used in rotation.
        """
        if (
            now - self._requested_at.get(service, -math.inf)
            < _ROUND_INTERVAL_S
        ):
            return False
        self._requested_at[service] = now
        self._round += 1
        vms = [
            vm
            for vm in self._list_targets()
            if self._remote_credit.needs_renewal(
                service, vm.name, needed_slots, now
            )
        ][:_MAX_VMS_PER_ROUND]
        granted = await asyncio.gather(
            *(
                self._request_from(service, needed_slots, vm, on_late_credit)
                for vm in vms
            )
        )
        return any(granted)

    def grant(self, request, slots, in_flight, vms, latency_s, now):
        """Grant credit from measured headroom.

        Parameters
        ----------
        request : CreditRequest
            Request of a VM in another data centre.
        slots, in_flight : int
            Totals of the servers of the service in this data centre.
        vms : int
            Live VMs of this data centre, which share the headroom.
        latency_s : float or None
            Mean time that a request occupies its slot.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        CreditResponse
            The granted credit or the failure.
        """
        state = self._state_cache.state
        local = self._settings.vm
        requester = state.vms.get(request.vm)
        if requester is None or requester.data_centre == local.data_centre:
            failure = Failure(
                kind=ErrorKind.FORBIDDEN,
                detail=f"'{request.vm}' is not a VM of another data centre",
            )
            return CreditResponse(failure=failure)
        reserve = 0.0
        if state.shift is not None and state.shift.preset in state.presets:
            reserve = state.presets[state.shift.preset].reserve
        headroom = (slots * (1 - reserve) - in_flight) / max(1, vms)
        limit = None
        if requester.region != local.region:
            limit = self._link_limit(
                requester.region, latency_s, request.bytes_per_request
            )
        return self._ledger.grant(request, headroom, limit, now)

    def _link_limit(self, region, latency_s, bytes_per_request):
        state = self._state_cache.state
        local = self._settings.vm.region
        limits = [
            state.links[pair].mbit_per_s
            if pair in state.links
            else self._settings.spill.link_mbit_per_s
            for pair in ((region, local), (local, region))
        ]
        vms = sum(vm.region == local for vm in self._entry_vms())
        latency_s = latency_s or _DEFAULT_LATENCY_S
        return link_capacity(min(limits), vms, latency_s, bytes_per_request)

    def _entry_vms(self):
        return [
            vm
            for vm in self._state_cache.state.vms.values()
            if vm.state is VmState.SERVING and vm.caller_address
        ]

    def _list_targets(self):
        """Return one VM of each other data centre, in order of preference."""
        local = self._settings.vm
        weights = self.weights()
        data_centres = {}
        for vm in sorted(self._entry_vms(), key=lambda vm: vm.name):
            if vm.data_centre != local.data_centre:
                data_centres.setdefault(vm.data_centre, []).append(vm)
        chosen = [vms[self._round % len(vms)] for vms in data_centres.values()]
        return sorted(
            chosen,
            key=lambda vm: (
                vm.region != local.region and vm.region not in weights,
                -weights.get(vm.region, 0.0),
                vm.region != local.region,
                vm.data_centre,
            ),
        )

    async def _request_from(self, service, needed_slots, vm, on_late_credit):
        """Request credit from a VM, without waiting for a slow response.

        The call continues in the background, since the VM reserves the slots
        from the moment that it grants them.
        """
        pending = asyncio.create_task(
            self._acquire_credit(service, needed_slots, vm)
        )
        try:
            await asyncio.wait({pending}, timeout=_RESPONSE_WAIT_S)
        except asyncio.CancelledError:
            pending.cancel()
            raise
        if pending.done():
            return pending.result()
        _LOG.info("steering: credit response of %s is delayed", vm.name)
        self._late_calls.add(pending)
        pending.add_done_callback(
            functools.partial(self._finish_late_call, on_late_credit)
        )
        return False

    async def _acquire_credit(self, service, needed_slots, vm):
        """Request credit from a VM, for at most the length of a lease."""
        requested_at = clock.monotonic()
        stub = FleetStub(self._channels.get(vm.peer_address))
        request = CreditRequest(
            service=service,
            slots=needed_slots,
            vm=self._settings.vm.name,
            region=self._settings.vm.region,
        )
        lease_s = self._settings.spill.credit_lease_s
        try:
            response = await call(stub.AcquireCredit, request, lease_s)
        except (GRPCError, StreamTerminatedError, OSError) as error:
            _LOG.info(
                "steering: credit request to %s failed: %s", vm.name, error
            )
            return False
        self._remote_credit.apply_response(service, vm, response, requested_at)
        return response.slots > 0

    def _finish_late_call(self, on_late_credit, pending):
        self._late_calls.discard(pending)
        if pending.cancelled():
            return
        if pending.exception() is not None:
            _LOG.error(
                "steering: delayed credit request failed: %r",
                pending.exception(),
            )
        elif pending.result():
            on_late_credit()
