"""Exchange the directory between the VMs of a data centre."""

import asyncio
import logging
import time

import attrs
from grpclib.exceptions import GRPCError
from grpclib.exceptions import StreamTerminatedError

from ..messages.services import FleetStub
from .updates import OutgoingUpdates

__all__ = ["Exchange", "LocalLoad"]

_LOG = logging.getLogger(__name__)
_INTERVAL_S = 1.0
# News waits this long for more of it: a part of the interval, and of the
# seconds after which a server that leaves must get no new work.
_GATHER_S = 0.15
_RETRY_S = 0.5


@attrs.frozen
class LocalLoad:
    """Requests in flight from this VM.

    Attributes
    ----------
    in_flight : dict of str to int
        By backend server.
    in_demand : frozenset of str
        Backend servers for which requests wait here.
    """

    in_flight: dict = attrs.field(factory=dict)
    in_demand: frozenset = frozenset()


class Exchange:
    """Keep one stream to each other VM of the data centre.

    With ``scope = fleet`` in section ``backends``, also one to each VM that
    takes announcements for the whole fleet.

    Parameters
    ----------
    settings : Settings
        Sections ``vm`` and ``peer`` are read.
    state_cache : FleetStateCache
        Its roster names the VMs.
    directory : Directory
        Gives and takes the updates.
    channels : Channels
        Connections to the VMs.
    own_vm : callable
        Returns the `Vm` record of this VM.
    own_load : callable
        Returns an `LocalLoad`, given the monotonic time.

    Notes
    -----
    Both ends of a stream send a message a second, so an end that hears
    nothing for the silence timeout knows that the connection is dead even if
    it was never closed. The VM with the smaller name keeps the stream it
    opened; the other one closes its own. Servers that come or leave within a
    moment share a message: each message costs its receiver more than what it
    says, and there is one for each VM.

    A VM that takes no callers is not told the requests in flight at each
    server on a stream that was opened to it.
    """

    def __init__(
        self, settings, state_cache, directory, channels, own_vm, own_load=None
    ):
        self._settings = settings
        self._state_cache = state_cache
        self._directory = directory
        self._channels = channels
        self._own_vm = own_vm
        self._own_load = own_load or (lambda now: LocalLoad())
        self._is_fleet_wide = settings.backends.scope == "fleet"
        self._wakers = set()
        self._served = {}
        self._names = {}
        directory.subscribe(self.wake)

    def wake(self):
        """Send what is new on every stream, without waiting for its turn."""
        for waker in self._wakers:
            waker.set()

    async def run(self):
        """Keep one task for each peer until cancelled."""
        tasks = {}
        try:
            while True:
                addresses = self._addresses()
                for address in addresses:
                    if address not in tasks or tasks[address].done():
                        tasks[address] = asyncio.create_task(
                            self._keep_peer(address)
                        )
                for address in [one for one in tasks if one not in addresses]:
                    tasks.pop(address).cancel()
                await asyncio.sleep(_RETRY_S)
        finally:
            for task in tasks.values():
                task.cancel()

    async def serve(self, stream):
        """Exchange with a VM that opened a stream to this one.

        Parameters
        ----------
        stream : grpclib.server.Stream
            Its Exchange stream.
        """
        try:
            await self._converse(stream, served=True)
        except (StreamTerminatedError, OSError) as error:
            _LOG.info("membership: a stream ended: %s", error or "silent")

    def _addresses(self):
        own = self._settings
        own_addresses = {own.peer.listen, own.peer.advertise}
        found = [
            vm.peer_address
            for vm in self._state_cache.state.vms.values()
            if vm.name != own.vm.name and self._is_peer(vm)
        ]
        found += own.peer.data_centre_peers
        return [
            address
            for address in dict.fromkeys(found)
            if address and address not in own_addresses
        ]

    async def _keep_peer(self, address):
        """Keep a stream to one address, unless that VM keeps one to us."""
        while True:
            if not self._is_served(address):
                try:
                    await self._connect(address)
                except (GRPCError, StreamTerminatedError, OSError) as error:
                    _LOG.info(
                        "membership: %s failed: %s", address, error or "silent"
                    )
                    self._channels.drop(address)
            await asyncio.sleep(_RETRY_S)

    async def _connect(self, address):
        stub = FleetStub(self._channels.get(address))
        async with stub.Exchange.open() as stream:
            async with asyncio.timeout(self._settings.peer.connect_timeout_s):
                await stream.send_request()
            await self._converse(stream, address=address)
            # Left because the peer's own stream is used; grpclib demands
            # that a stream is ended or cancelled.
            await stream.cancel()

    async def _converse(self, stream, address="", served=False):
        """Send and receive until the stream fails or is not needed.

        Raises TimeoutError if nothing arrives for the silence timeout.
        """
        waker = asyncio.Event()
        self._wakers.add(waker)
        sender = asyncio.create_task(
            self._send(stream, waker, self._may_route(address))
        )
        receiver = asyncio.create_task(self._receive(stream, address, served))
        try:
            done, _ = await asyncio.wait(
                {sender, receiver}, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                task.result()
        finally:
            self._wakers.discard(waker)
            for task in (sender, receiver):
                task.cancel()
            await asyncio.gather(sender, receiver, return_exceptions=True)

    async def _send(self, stream, waker, may_route):
        updates = OutgoingUpdates()
        silence_s = self._settings.peer.silence_timeout_s
        while True:
            waker.clear()
            now = time.monotonic()
            load = self._own_load(now)
            if not may_route:
                load = attrs.evolve(load, in_flight={}, in_demand=frozenset())
            update = updates.next_update(
                self._own_vm(), self._directory, load, now
            )
            async with asyncio.timeout(silence_s):
                await stream.send_message(update)
            try:
                async with asyncio.timeout(_INTERVAL_S):
                    await waker.wait()
            except TimeoutError:
                continue
            await asyncio.sleep(_GATHER_S)

    async def _receive(self, stream, address, served):
        silence_s = self._settings.peer.silence_timeout_s
        last = 0
        name = ""
        vm = None
        token = object()
        try:
            while True:
                async with asyncio.timeout(silence_s):
                    update = await stream.recv_message()
                if update is None:
                    raise StreamTerminatedError("the peer closed the stream")
                update = attrs.evolve(update, vm=update.vm or vm)
                if not self._is_accepted(update, last):
                    raise StreamTerminatedError("not a peer of this VM")
                last = update.sequence
                vm = update.vm
                name = vm.name
                self._directory.merge(update, time.monotonic())
                if served:
                    self._served[name] = token
                    continue
                self._names[address] = name
                if self._is_served(address):
                    return
        finally:
            if self._served.get(name) is token:
                del self._served[name]

    def _is_peer(self, vm):
        """Tell whether this VM opens a stream to another one."""
        if self._is_fleet_wide and vm.announce_address:
            return True
        own = self._settings.vm
        return vm.data_centre == own.data_centre and bool(vm.caller_address)

    def _may_route(self, address):
        """Tell whether the VM at an address chooses servers for requests.

        Only such a VM has a use for the requests in flight at each server.
        """
        return all(
            vm.caller_address
            for vm in self._state_cache.state.vms.values()
            if vm.peer_address == address
        )

    def _is_accepted(self, update, last):
        own = self._settings.vm
        return (
            update.vm is not None
            and (
                self._is_fleet_wide or update.vm.data_centre == own.data_centre
            )
            and update.vm.name != own.name
            and update.sequence == last + 1
        )

    def _is_served(self, address):
        """Tell whether the VM with a smaller name keeps a stream to us."""
        name = self._names.get(address) or next(
            (
                vm.name
                for vm in self._state_cache.state.vms.values()
                if vm.peer_address == address
            ),
            "",
        )
        return name in self._served and name < self._settings.vm.name
