"""Run the roles of one process."""

import asyncio
import logging
import signal
import time
import uuid

import aiohttp
import attrs

from ..admin import make_admin_app
from ..admin.operators import Operators
from ..agreement import Replica
from ..control import ControlClient
from ..control import ControlService
from ..control.roster import plan_roster
from ..control.shares_default import plan_default_shares
from ..distribution import FleetCopy
from ..distribution import follow
from ..distribution import Reports
from ..entry import EntryVm
from ..entry import make_announce_app
from ..entry import make_caller_app
from ..limits import Limiter
from ..limits import ShareAllocator
from ..membership import Directory
from ..membership import Exchange
from ..messages.records import SyncRequest
from ..messages.records import Vm
from ..messages.records import VmReport
from ..messages.records import VmState
from ..moves import SampleCounter
from ..steering import Dispatcher
from ..transport import Channels
from ..transport import PeerServer
from .fleet_service import FleetService
from .http import HttpServer

__all__ = ["run_process"]

_LOG = logging.getLogger(__name__)
_ROSTER_S = 0.5


async def run_process(settings):
    """Run the roles of this process until SIGTERM or SIGINT.

    Parameters
    ----------
    settings : Settings
        The settings of the process.

    Returns
    -------
    int
        Exit code.
    """
    return await Process(settings).run()


class Process:
    """Hold and run the parts of one process.

    Parameters
    ----------
    settings : Settings
        The settings of the process.
    """

    def __init__(self, settings):
        self._settings = settings
        self._stop = asyncio.Event()
        self._channels = Channels(settings)
        self._reports = Reports()
        self._copy = FleetCopy(settings)
        self._state = VmState.SERVING
        self._incarnation = uuid.uuid4().hex
        self._directory = Directory(settings)
        self._allocator = ShareAllocator(
            settings, self._copy, self._incarnation
        )
        self._limiter = Limiter(
            settings,
            self._copy,
            self._channels,
            self._allocator,
            self._incarnation,
        )
        self._dispatcher = Dispatcher(
            settings, self._copy, self._directory, self._channels
        )
        self._exchange = Exchange(
            settings,
            self._copy,
            self._directory,
            self._channels,
            self._own_vm,
            self._dispatcher.own_load,
        )
        self._samples = SampleCounter(settings)
        self._replica = None
        if "control" in settings.vm.roles:
            self._replica = Replica(settings, self._channels)

    async def run(self):
        """Start all parts, wait for a signal, stop gracefully.

        Returns
        -------
        int
            Exit code.
        """
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop.set)
        peers = PeerServer(self._settings, self._services())
        if self._replica is not None:
            await self._replica.start()
        await peers.start()
        _LOG.info("daemon: started")
        async with asyncio.TaskGroup() as group:
            background = [group.create_task(task) for task in self._tasks()]
            await self._serve_front_doors()
            for task in background:
                task.cancel()
        await peers.stop()
        if self._replica is not None:
            await self._replica.stop()
        self._channels.close()
        _LOG.info("daemon: stopped")
        return 0

    def _services(self):
        fleet = FleetService(
            self._settings,
            self._source,
            self._reports,
            self._allocator,
            self._exchange,
            self._dispatcher,
        )
        if self._replica is None:
            return [fleet]
        return [fleet, ControlService(self._replica)]

    def _tasks(self):
        yield follow(
            self._copy,
            self._channels,
            self._reports,
            self._own_report,
            self._settings,
            self._replica,
        )
        if "entry" in self._settings.vm.roles:
            yield self._limiter.run()
            yield self._exchange.run()
            yield self._dispatcher.run()
        if self._replica is not None:
            yield self._keep_roster()

    def _source(self):
        if self._replica is not None and self._replica.is_leader:
            return self._replica
        return self._copy

    def _own_report(self, now):
        demands = self._limiter.demands(now)
        self._reports.add(SyncRequest(demands=demands), now)
        return VmReport(
            vm=self._own_vm(),
            revision=self._copy.state.revision,
            freshness_age_s=self._copy.freshness_age_s(now),
            share_epoch=self._allocator.share_epoch(now),
        )

    def _own_vm(self):
        own = self._settings
        return Vm(
            name=own.vm.name,
            incarnation=self._incarnation,
            region=own.vm.region,
            data_centre=own.vm.data_centre,
            caller_address=self._caller_address(),
            peer_address=own.peer.advertise or own.peer.listen,
            state=self._state,
        )

    def _caller_address(self):
        own = self._settings
        if "entry" not in own.vm.roles:
            return ""
        return own.entry.advertise or own.entry.listen

    async def _keep_roster(self):
        """Bring the roster up to date while this replica leads."""
        while True:
            await asyncio.sleep(_ROSTER_S)
            if not self._replica.is_leader:
                continue
            alive = self._reports.vms(
                time.monotonic(), self._settings.control.vm_lease_s
            )
            state = self._replica.state
            for change in [
                *plan_roster(state, alive),
                *plan_default_shares(state),
            ]:
                named = attrs.evolve(change, request_id=uuid.uuid4().hex)
                await self._replica.propose(named)

    async def _serve_front_doors(self):
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=self._settings.backends.connect_timeout_s,
        )
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(
            timeout=timeout, connector=connector, auto_decompress=False
        ) as client:
            servers = list(self._front_doors(client))
            await asyncio.gather(
                *(server.serve_until(self._stop) for server in servers)
            )

    def _entry_vm(self, client):
        own = self._settings
        return EntryVm(
            settings=own,
            copy=self._copy,
            directory=self._directory,
            limiter=self._limiter,
            dispatcher=self._dispatcher,
            samples=self._samples,
            control=ControlClient(own, self._channels),
            client=client,
        )

    def _front_doors(self, client):
        own = self._settings
        limit_s = own.entry.drain_limit_s
        if "entry" in own.vm.roles:
            vm = self._entry_vm(client)
            yield HttpServer(make_caller_app(vm), own.entry.listen, limit_s)
            yield HttpServer(
                make_announce_app(vm), own.entry.announce_listen, limit_s
            )
        if self._replica is not None:
            app = make_admin_app(self._replica, Operators(own))
            yield HttpServer(app, own.admin.listen, limit_s)
