"""Exchange of directory updates between VMs."""

import asyncio
import contextlib
import logging

import attrs
from grpclib.exceptions import GRPCError
from grpclib.exceptions import StreamTerminatedError

from .. import clock
from ..messages.records import VmState
from ..messages.services import FleetStub
from .confirmation import ConfirmationTracker
from .local_load import LocalLoad
from .registries import RegistrySelector
from .updates import Audience
from .updates import OutgoingUpdates
from .updates import split_by_encoding

__all__ = ["Exchange"]

_LOG = logging.getLogger(__name__)
_INTERVAL_S = 1.0
# Delay for batching changes: a fraction of the interval, and of the seconds
# within which a leaving server must stop receiving new requests.
_BATCH_DELAY_S = 0.15
_RETRY_INTERVAL_S = 0.5


class Exchange:
    """Maintain streams to other VMs.

    A VM has one to each other entry VM of its data centre. With ``scope =
    fleet`` in section ``backends``, VMs that accept announcements for the
    whole fleet (registries) have one to each other instead, and other VMs
    follow a few registries, which relay what they hear.

    Parameters
    ----------
    settings : Settings
        Sections ``vm``, ``peer`` and ``backends`` are read.
    state_cache : FleetStateCache
        Its roster lists the VMs.
    directory : Directory
        Supplies the updates to send and merges those received.
    channels : Channels
        Connections to the VMs.
    local_vm : callable
        Returns the `Vm` record of this VM.
    local_load : callable
        Returns a `LocalLoad`, given the monotonic time.

    Notes
    -----
    Both ends of a stream send a message a second, so an end that receives
    nothing for the silence timeout knows that the connection is dead even if
    it was never closed. The VM with the smaller name keeps the stream that
    it opened; the other one closes its own. Changes within a short delay are
    batched into one message: a message costs its receiver more than its
    content does, and there is one for each VM.

    On streams to a VM that accepts no callers, the requests in flight at each
    server are omitted.
    """

    def __init__(
        self,
        settings,
        state_cache,
        directory,
        channels,
        local_vm,
        local_load=None,
    ):
        self._settings = settings
        self._state_cache = state_cache
        self._directory = directory
        self._channels = channels
        self._local_vm = local_vm
        self._local_load = local_load or (lambda now: LocalLoad())
        self._is_fleet_wide = settings.backends.scope == "fleet"
        self._registries = RegistrySelector(settings)
        self._wake_events = set()
        self._follower_wake_events = set()
        self._confirmations = ConfirmationTracker()
        self._incoming = {}
        self._names_by_address = {}
        self._dropped_records = 0
        directory.subscribe(self.wake)
        directory.subscribe_relayed(self._wake_followers)

    @property
    def _is_registry(self):
        return self._is_fleet_wide and bool(self._local_vm().announce_address)

    @property
    def dropped_records(self):
        """Number of records that were left out, since they had no encoding."""
        return self._dropped_records

    async def share(self, now):
        """Wait until other VMs know what the directory contains now.

        These are the registries, of which a majority suffices if the others
        are late, or the live peers of the data centre.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether enough have confirmed it in time; True if there are none.
        """
        local_name = self._settings.vm.name
        if self._is_fleet_wide:
            names = frozenset(
                vm.name
                for vm in self._state_cache.state.vms.values()
                if vm.announce_address
                and vm.name != local_name
                and vm.state is not VmState.GONE
            )
            # With this VM, more than half of them.
            needed = (len(names) + 1) // 2
        else:
            names = frozenset(self._directory.peers.live(now))
            needed = len(names)
        if not names:
            return True
        return await self._confirmations.wait(names, needed)

    def wake(self):
        """Send pending changes on every stream before its next interval."""
        for wake_event in self._wake_events:
            wake_event.set()

    async def run(self):
        """Maintain one task for each peer until cancelled."""
        tasks = {}
        try:
            while True:
                addresses = self._peer_addresses()
                for address in addresses:
                    if address not in tasks or tasks[address].done():
                        tasks[address] = asyncio.create_task(
                            self._maintain_stream(address)
                        )
                for address in [
                    peer for peer in tasks if peer not in addresses
                ]:
                    tasks.pop(address).cancel()
                await asyncio.sleep(_RETRY_INTERVAL_S)
        finally:
            for task in tasks.values():
                task.cancel()

    async def serve(self, stream):
        """Exchange updates on a stream that another VM opened.

        Parameters
        ----------
        stream : grpclib.server.Stream
            Its Exchange stream.
        """
        try:
            await self._run_stream(stream, incoming=True)
        except (StreamTerminatedError, OSError) as error:
            _LOG.info(
                "membership: incoming exchange stream ended: %s",
                error or "timed out",
            )

    def _wake_followers(self):
        for wake_event in self._follower_wake_events:
            wake_event.set()

    def _peer_addresses(self):
        settings = self._settings
        local_addresses = {settings.peer.listen, settings.peer.advertise}
        addresses = [vm.peer_address for vm in self._list_peers()]
        addresses += settings.peer.data_centre_peers
        return [
            address
            for address in dict.fromkeys(addresses)
            if address and address not in local_addresses
        ]

    def _list_peers(self):
        """Return the VMs to which this VM opens streams."""
        state = self._state_cache.state
        if self._is_fleet_wide and not self._is_registry:
            return self._registries.select(
                state, self._directory.vouched_at, clock.monotonic()
            )
        return [
            vm
            for vm in state.vms.values()
            if vm.name != self._settings.vm.name and self._is_peer(vm)
        ]

    async def _maintain_stream(self, address):
        """Maintain a stream to a peer unless its own stream is preferred."""
        while True:
            if not self._has_preferred_stream(address):
                try:
                    await self._connect(address)
                except (GRPCError, StreamTerminatedError, OSError) as error:
                    _LOG.info(
                        "membership: exchange stream to %s failed: %s",
                        address,
                        error or "timed out",
                    )
                    self._channels.drop(address)
            await asyncio.sleep(_RETRY_INTERVAL_S)

    async def _connect(self, address):
        stub = FleetStub(self._channels.get(address))
        async with stub.Exchange.open() as stream:
            async with asyncio.timeout(self._settings.peer.connect_timeout_s):
                await stream.send_request()
            await self._run_stream(stream, address=address)
            # The peer's own stream is preferred. grpclib requires that an
            # open stream is ended or cancelled.
            await stream.cancel()

    async def _run_stream(self, stream, address="", incoming=False):
        """Send and receive until the stream fails or is not needed.

        Raises TimeoutError if nothing is received for the silence timeout.
        """
        progress = self._confirmations.open()
        wake_event = progress.wake_event
        peer = asyncio.get_running_loop().create_future()
        if not incoming:
            peer.set_result(self._find_by_address(address))
        sender = asyncio.create_task(self._send(stream, progress, peer))
        receiver = asyncio.create_task(
            self._receive(stream, address, incoming, peer, progress)
        )
        try:
            done, _ = await asyncio.wait(
                {sender, receiver}, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                task.result()
        finally:
            self._confirmations.close(progress)
            self._wake_events.discard(wake_event)
            self._follower_wake_events.discard(wake_event)
            for task in (sender, receiver):
                task.cancel()
            await asyncio.gather(sender, receiver, return_exceptions=True)

    async def _send(self, stream, progress, peer):
        # What is sent depends on the peer, which names itself first on a
        # stream that it opened.
        vm = await peer
        audience = self._audience_of(vm)
        updates = OutgoingUpdates(audience)
        routes_requests = vm is None or bool(vm.caller_address)
        wake_event = progress.wake_event
        self._wake_events.add(wake_event)
        if audience is Audience.FOLLOWER:
            self._follower_wake_events.add(wake_event)
        silence_s = self._settings.peer.silence_timeout_s
        while True:
            wake_event.clear()
            now = clock.monotonic()
            load = self._local_load(now)
            if not routes_requests:
                load = attrs.evolve(load, in_flight={}, in_demand=frozenset())
            update = updates.next_update(
                self._local_vm(), self._directory, load, now
            )
            update = attrs.evolve(
                update,
                confirmed=progress.received,
                wants_confirmation=self._confirmations.is_waiting,
            )
            progress.sent = update.sequence
            progress.urgent.clear()
            async with asyncio.timeout(silence_s):
                await self._send_encodable(stream, update)
            try:
                async with asyncio.timeout(_INTERVAL_S):
                    await wake_event.wait()
            except TimeoutError:
                continue
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_BATCH_DELAY_S):
                    await progress.urgent.wait()

    async def _send_encodable(self, stream, update):
        """Send a message, without the records that have no encoding."""
        try:
            await stream.send_message(update)
        except ValueError as error:
            update, dropped = split_by_encoding(update)
            if not dropped:
                raise
            self._dropped_records += len(dropped)
            _LOG.error(
                "membership: leaves %d records out of a message: %s",
                len(dropped),
                error,
            )
            await stream.send_message(update)

    async def _receive(self, stream, address, incoming, peer, progress):
        silence_s = self._settings.peer.silence_timeout_s
        last_sequence = 0
        name = ""
        vm = None
        relayed = ()
        token = object()
        try:
            while True:
                async with asyncio.timeout(silence_s):
                    update = await stream.recv_message()
                if update is None:
                    raise StreamTerminatedError(
                        "the peer closed the exchange stream"
                    )
                update = attrs.evolve(
                    update,
                    vm=update.vm or vm,
                    relayed=update.relayed or relayed,
                )
                if not self._is_accepted(update, last_sequence):
                    raise StreamTerminatedError(
                        "update is out of order or not from a peer of this VM"
                    )
                last_sequence = update.sequence
                vm = update.vm
                relayed = update.relayed
                name = vm.name
                if not peer.done():
                    peer.set_result(vm)
                self._directory.merge(update, clock.monotonic())
                self._confirmations.record(progress, update)
                if incoming:
                    self._incoming[name] = token
                    continue
                self._names_by_address[address] = name
                if self._has_preferred_stream(address):
                    return
        finally:
            if self._incoming.get(name) is token:
                del self._incoming[name]

    def _is_peer(self, vm):
        """Return whether this VM opens a stream to another one."""
        if self._is_fleet_wide:
            return bool(vm.announce_address)
        local = self._settings.vm
        return vm.data_centre == local.data_centre and bool(vm.caller_address)

    def _audience_of(self, vm):
        if not self._is_registry or vm is None:
            return Audience.PEER
        if vm.announce_address:
            return Audience.REGISTRY
        return Audience.FOLLOWER

    def _find_by_address(self, address):
        """Return the VM of the roster at an address, or None."""
        return next(
            (
                vm
                for vm in self._state_cache.state.vms.values()
                if vm.peer_address == address
            ),
            None,
        )

    def _is_accepted(self, update, last_sequence):
        local = self._settings.vm
        return (
            update.vm is not None
            and (
                self._is_fleet_wide
                or update.vm.data_centre == local.data_centre
            )
            and update.vm.name != local.name
            and update.sequence == last_sequence + 1
        )

    def _has_preferred_stream(self, address):
        """Return whether a peer with a smaller name has a stream open here."""
        name = self._names_by_address.get(address, "")
        if not name:
            vm = self._find_by_address(address)
            name = "" if vm is None else vm.name
        return name in self._incoming and name < self._settings.vm.name
