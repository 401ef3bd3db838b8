"""Credit between data centres: ask for it, hold it and grant it."""

import asyncio
import functools
import logging
import math
import time

from grpclib.exceptions import GRPCError
from grpclib.exceptions import StreamTerminatedError

from ..membership.weights import RegionWeights
from ..messages.records import CreditRequest
from ..messages.records import CreditResponse
from ..messages.records import ErrorKind
from ..messages.records import Failure
from ..messages.records import VmState
from ..messages.services import FleetStub
from ..transport import call
from .credit import CreditLedger
from .credit import HeldCredit
from .credit import link_slots

__all__ = ["Spill"]

_LOG = logging.getLogger(__name__)
# Several round trips between regions (40 ms each), one of them to connect.
# Credit that comes later is still taken.
_PATIENCE_S = 0.5
# VMs asked in one round, and the time between rounds for one service.
_ROUND_VMS = 3
_ROUND_S = 0.25
# Mean latency assumed for the link budget while nothing was measured.
_DEFAULT_LATENCY_S = 0.1


class Spill:
    """Hold and grant credit for requests over local capacity.

    Parameters
    ----------
    settings : Settings
        Sections ``vm`` and ``spill`` are read.
    state_cache : FleetStateCache
        Names the VMs, the links and the active preset.
    channels : Channels
        Connections to VMs of other data centres.
    """

    def __init__(self, settings, state_cache, channels):
        self._settings = settings
        self._state_cache = state_cache
        self._channels = channels
        self._ledger = CreditLedger(settings)
        self._held_credit = HeldCredit()
        self._weights = RegionWeights()
        self._asked_at = {}
        self._late_calls = set()
        self._turn = 0

    @property
    def held_credit(self):
        """HeldCredit : credit held at other VMs."""
        return self._held_credit

    def weights(self):
        """Return the parts of new work by region, as the preset says."""
        return self._weights.row(
            self._state_cache.state, self._settings.vm.region
        )

    def has_others(self):
        """Tell whether any other data centre has an entry VM."""
        return bool(self._targets())

    async def ask(self, service, wanted, now, note_late):
        """Ask VMs of other data centres for credit.

        Parameters
        ----------
        service : str
            Name of the service.
        wanted : int
            Slots needed, those in use included.
        now : float
            Monotonic time in seconds.
        note_late : callable
            Called without arguments if credit comes after this returned.

        Returns
        -------
        bool
            Whether any was granted. VMs are asked in the order of the
            preset's weights, own region first among equals; within a data
            centre they take turns.
        """
        if now - self._asked_at.get(service, -math.inf) < _ROUND_S:
            return False
        self._asked_at[service] = now
        self._turn += 1
        asked = [
            vm
            for vm in self._targets()
            if self._held_credit.needs_renewal(service, vm.name, wanted, now)
        ][:_ROUND_VMS]
        granted = await asyncio.gather(
            *(self._ask_one(service, wanted, vm, note_late) for vm in asked)
        )
        return any(granted)

    def grant(self, request, slots, in_flight, vms, latency_s, now):
        """Grant credit from measured headroom.

        Parameters
        ----------
        request : CreditRequest
            Of a VM in another data centre.
        slots, in_flight : int
            Of all servers of the service in this data centre.
        vms : int
            Live VMs of this data centre, which share the headroom.
        latency_s : float or None
            Mean time for which a request holds its slot.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        CreditResponse
            What is granted.
        """
        state = self._state_cache.state
        own = self._settings.vm
        asking = state.vms.get(request.vm)
        if asking is None or asking.data_centre == own.data_centre:
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
        if asking.region != own.region:
            limit = self._link_limit(
                asking.region, latency_s, request.bytes_per_request
            )
        return self._ledger.grant(request, headroom, limit, now)

    def _link_limit(self, region, latency_s, bytes_per_request):
        state = self._state_cache.state
        own = self._settings.vm.region
        limits = [
            state.links[pair].mbit_per_s
            if pair in state.links
            else self._settings.spill.link_mbit_per_s
            for pair in ((region, own), (own, region))
        ]
        vms = sum(vm.region == own for vm in self._entry_vms())
        latency_s = latency_s or _DEFAULT_LATENCY_S
        return link_slots(min(limits), vms, latency_s, bytes_per_request)

    def _entry_vms(self):
        return [
            vm
            for vm in self._state_cache.state.vms.values()
            if vm.state is VmState.SERVING and vm.caller_address
        ]

    def _targets(self):
        """Return one VM of each other data centre, best first."""
        own = self._settings.vm
        weights = self.weights()
        data_centres = {}
        for vm in sorted(self._entry_vms(), key=lambda vm: vm.name):
            if vm.data_centre != own.data_centre:
                data_centres.setdefault(vm.data_centre, []).append(vm)
        chosen = [vms[self._turn % len(vms)] for vms in data_centres.values()]
        return sorted(
            chosen,
            key=lambda vm: (
                vm.region != own.region and vm.region not in weights,
                -weights.get(vm.region, 0.0),
                vm.region != own.region,
                vm.data_centre,
            ),
        )

    async def _ask_one(self, service, wanted, vm, note_late):
        """Wait a moment for credit of one VM, which counts it meanwhile."""
        calling = asyncio.create_task(self._call(service, wanted, vm))
        try:
            await asyncio.wait({calling}, timeout=_PATIENCE_S)
        except asyncio.CancelledError:
            calling.cancel()
            raise
        if calling.done():
            return calling.result()
        _LOG.info("steering: credit from %s is late", vm.name)
        self._late_calls.add(calling)
        calling.add_done_callback(
            functools.partial(self._end_late_call, note_late)
        )
        return False

    async def _call(self, service, wanted, vm):
        """Take what one VM grants until its lease would have ended."""
        requested_at = time.monotonic()
        stub = FleetStub(self._channels.get(vm.peer_address))
        request = CreditRequest(
            service=service,
            slots=wanted,
            vm=self._settings.vm.name,
            region=self._settings.vm.region,
        )
        lease_s = self._settings.spill.credit_lease_s
        try:
            response = await call(stub.AcquireCredit, request, lease_s)
        except (GRPCError, StreamTerminatedError, OSError) as error:
            _LOG.info("steering: no credit from %s: %s", vm.name, error)
            return False
        self._held_credit.put(service, vm, response, requested_at)
        return response.slots > 0

    def _end_late_call(self, note_late, calling):
        self._late_calls.discard(calling)
        if calling.cancelled():
            return
        if calling.exception() is not None:
            _LOG.error("steering: late call failed: %r", calling.exception())
        elif calling.result():
            note_late()
