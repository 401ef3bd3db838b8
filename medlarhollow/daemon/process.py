"""Run the roles of one process."""

import asyncio
import logging
import signal
import uuid

from .. import clock
from ..admin import FleetAdmin
from ..agreement import RaftService
from ..agreement import Replica
from ..control import ControlClient
from ..control import ControlService
from ..control.leader_tasks import LEADER_INTERVAL_S
from ..control.leader_tasks import LeaderTasks
from ..distribution import FleetStateCache
from ..distribution import follow
from ..distribution import Reports
from ..entry import BackendClient
from ..entry import Drain
from ..entry import EntryVm
from ..limits import Limiter
from ..limits import ShareAllocator
from ..membership import Directory
from ..membership import Exchange
from ..messages.records import SyncRequest
from ..messages.records import Vm
from ..messages.records import VmReport
from ..messages.records import VmState
from ..moves import VersionSelector
from ..steering import CallerRegions
from ..steering import Dispatcher
from ..suspension import SuspensionMonitor
from ..telemetry import set_activity
from ..telemetry import Telemetry
from ..transport import Channels
from ..transport import PeerServer
from ..transport.secret import read_secret
from ..usage.counter import UsageCounter
from ..usage.fleet_clock import FleetClock
from ..usage.totals import UsageTotals
from .activity import run_with_activity
from .activity import serve_with_activity
from .connection_limits import ConnectionLimits
from .fleet_service import FleetService
from .frontend import Frontend
from .gauges import register_entry_gauges
from .gauges import register_gauges
from .http import HttpServer
from .load_monitor import LoadMonitor
from .metrics_listener import make_metrics_listeners
from .usage import run_usage_reports

__all__ = ["run_process"]

_LOG = logging.getLogger(__name__)
EXIT_ABORTED = 3


async def run_process(settings, frontend=None):
    """Run the roles of this process until SIGTERM or SIGINT.

    Parameters
    ----------
    settings : Settings
        The settings of the process.
    frontend : Frontend or None
        HTTP interface; None for the default one.

    Returns
    -------
    int
        Exit code.
    """
    return await Process(settings, frontend or Frontend()).run()


class Process:
    """Create and run the components of one process.

    Parameters
    ----------
    settings : Settings
        The settings of the process.
    frontend : Frontend
        HTTP interface.
    """

    def __init__(self, settings, frontend):
        self._frontend = frontend
        self._settings = settings
        self._stop_requested = asyncio.Event()
        self._closing = asyncio.Event()
        self._drain = Drain()
        self._drain_deadline = 0.0
        self._telemetry = Telemetry(settings)
        self._channels = Channels(settings, self._telemetry)
        self._incarnation = uuid.uuid4().hex
        self._fleet_clock = None
        self._usage_totals = None
        self._usage_counter = None
        if settings.usage.receiver:
            self._create_usage()
        self._reports = Reports(self._usage_totals)
        self._state_cache = FleetStateCache(settings)
        self._state = VmState.SERVING
        self._directory = Directory(settings)
        self._allocator = ShareAllocator(
            settings, self._state_cache, self._incarnation, clock.monotonic()
        )
        self._limiter = Limiter(
            settings,
            self._state_cache,
            self._channels,
            self._allocator,
            self._incarnation,
        )
        self._version_selector = VersionSelector(settings, self._state_cache)
        self._dispatcher = Dispatcher(
            settings,
            self._state_cache,
            self._directory,
            self._channels,
            self._version_selector,
        )
        self._exchange = Exchange(
            settings,
            self._state_cache,
            self._directory,
            self._channels,
            self._make_vm_record,
            self._dispatcher.local_load,
        )
        self._caller_regions = CallerRegions(self._state_cache)
        self._suspension = SuspensionMonitor()
        self._replica = None
        if "control" in settings.vm.roles:
            self._replica = Replica(settings, self._channels)

    def _create_usage(self):
        """Create the components that count requests for usage reports."""
        self._fleet_clock = FleetClock()
        self._usage_totals = UsageTotals(self._settings, self._fleet_clock)
        if "entry" in self._settings.vm.roles:
            self._usage_counter = UsageCounter(
                self._settings, self._incarnation, self._fleet_clock
            )

    async def run(self):
        """Start all components, wait for a signal and stop gracefully.

        Returns
        -------
        int
            0 after a graceful stop, 3 if a request was aborted.
        """
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, _log_ignored_reload)
        self._telemetry.time_tasks(loop)
        peers = PeerServer(
            self._settings, self._make_rpc_services(), self._telemetry
        )
        register_gauges(self._telemetry, self._state_cache, self._exchange)
        if self._replica is not None:
            set_activity("agreement")
            await self._replica.start()
        set_activity("daemon")
        await peers.start()
        _LOG.info("daemon: started")
        async with asyncio.TaskGroup() as group:
            background = [
                group.create_task(run_with_activity(activity, work))
                for activity, work in self._list_background_work()
            ]
            aborted = await self._serve_http()
            for task in background:
                task.cancel()
        await peers.stop()
        if self._replica is not None:
            await self._replica.stop()
        self._channels.close()
        await asyncio.to_thread(self._telemetry.stop)
        _LOG.info("daemon: stopped; %d requests aborted", aborted)
        return EXIT_ABORTED if aborted else 0

    def _make_rpc_services(self):
        fleet_service = FleetService(
            self._settings,
            self._select_sync_source,
            self._reports,
            self._allocator,
            self._exchange,
            self._dispatcher,
            self._telemetry,
            self._fleet_clock,
        )
        if self._replica is None:
            return [fleet_service]
        return [
            fleet_service,
            ControlService(self._replica),
            RaftService(self._replica),
        ]

    def _list_background_work(self):
        """Yield the activity and the coroutine of each background task."""
        if self._settings.telemetry.metrics_listen:
            yield "daemon", LoadMonitor(self._telemetry).run()
        yield (
            "sync",
            follow(
                self._state_cache,
                self._channels,
                self._reports,
                self._make_report,
                self._settings,
                self._replica,
                self._fleet_clock,
                self._usage_counter,
            ),
        )
        if {"entry", "registry"} & set(self._settings.vm.roles):
            yield "exchange", self._exchange.run()
        if "entry" in self._settings.vm.roles:
            yield "tokens", self._limiter.run()
            yield "steering", self._dispatcher.run()
            yield "steering", self._report_samples()
            yield "steering", self._caller_regions.run()
        if self._replica is not None:
            yield "daemon", self._suspension.run()
            leader_tasks = LeaderTasks(
                self._settings, self._replica, self._reports, self._directory
            )
            yield "duties", leader_tasks.run()
            if self._settings.usage.receiver:
                yield (
                    "duties",
                    run_usage_reports(
                        self._settings,
                        self._replica,
                        self._reports,
                        self._usage_totals,
                        self._fleet_clock,
                        self._frontend.usage_client(self._settings),
                        self._incarnation,
                        self._telemetry,
                    ),
                )

    def _select_sync_source(self):
        if self._replica is not None and self._replica.is_leader:
            return self._replica
        return self._state_cache

    def _make_report(self, now):
        self._limiter.discard_superseded()
        return VmReport(
            vm=self._make_vm_record(),
            revision=self._state_cache.state.revision,
            freshness_age_s=self._state_cache.freshness_age_s(now),
            share_epoch=self._allocator.share_epoch(now),
            wall_time_s=(
                self._fleet_clock.wall_time() if self._fleet_clock else 0.0
            ),
        )

    def _make_vm_record(self):
        settings = self._settings
        return Vm(
            name=settings.vm.name,
            incarnation=self._incarnation,
            region=settings.vm.region,
            data_centre=settings.vm.data_centre,
            caller_address=self._caller_address(),
            peer_address=settings.peer.advertise or settings.peer.listen,
            state=self._state,
            announce_address=self._announce_address(),
            control=self._replica is not None,
        )

    def _announce_address(self):
        """Return the address that accepts the fleet's announcements."""
        settings = self._settings
        if "registry" not in settings.vm.roles:
            return ""
        return settings.entry.announce_listen

    def _caller_address(self):
        settings = self._settings
        if "entry" not in settings.vm.roles:
            return ""
        return settings.entry.advertise or settings.entry.listen

    async def _report_samples(self):
        """Add local samples to the reports, which Sync requests forward."""
        while True:
            await asyncio.sleep(LEADER_INTERVAL_S)
            now = clock.monotonic()
            self._reports.add(
                SyncRequest(
                    versions=self._version_selector.pop_samples(),
                    demands=self._limiter.pop_demand_samples(now),
                    waits=self._dispatcher.wait_sums.pop_samples(),
                ),
                now,
            )

    async def _serve_http(self):
        """Serve until the stop; return the number of aborted requests."""
        async with BackendClient(self._settings) as client:
            servers = self._make_http_servers(client)
            await asyncio.gather(
                self._drain_at_stop(),
                *(server.serve_until(self._closing) for server in servers),
            )
            # Claims are completed after the last responses.
            cancelled = await self._drain.wait(
                self._drain_deadline - clock.monotonic()
            )
        return cancelled + sum(server.aborted for server in servers)

    async def _drain_at_stop(self):
        """Leave the look-ups at a signal, and close after the notice time.

        Further signals have no effect, because they must not abort a request.
        """
        await self._stop_requested.wait()
        _LOG.info("daemon: draining")
        self._state = VmState.DRAINING
        self._drain.begin()
        self._exchange.wake()
        if "entry" in self._settings.vm.roles:
            await asyncio.sleep(self._settings.entry.drain_notice_s)
        self._drain.close()
        self._dispatcher.stop()
        self._drain_deadline = (
            clock.monotonic() + self._settings.entry.drain_limit_s
        )
        self._closing.set()

    def _make_entry_vm(self, client):
        settings = self._settings
        return EntryVm(
            settings=settings,
            state_cache=self._state_cache,
            directory=self._directory,
            limiter=self._limiter,
            dispatcher=self._dispatcher,
            version_selector=self._version_selector,
            control=ControlClient(settings, self._channels),
            client=client,
            telemetry=self._telemetry,
            secret=read_secret(settings.peer),
            drain=self._drain,
            caller_regions=self._caller_regions,
            dialect=self._frontend.dialect,
            share_directory=self._exchange.share,
            usage_counter=self._usage_counter,
        )

    def _make_http_servers(self, client):
        settings = self._settings
        vm = self._make_entry_vm(client)
        register_entry_gauges(self._telemetry, vm)
        self._telemetry.register_gauge(
            "hedges_left", lambda: vm.hedging.tokens
        )
        limits = ConnectionLimits(settings.entry, self._state_cache)
        admin = None
        if self._replica is not None:
            admin = FleetAdmin(
                settings,
                self._replica,
                self._channels,
                self._reports,
                self._suspension,
            )
        listeners = list(self._frontend.make_listeners(vm, admin))
        listeners += make_metrics_listeners(settings, self._telemetry)
        return [
            HttpServer(
                serve_with_activity(listener.activity, listener.app),
                listener.address,
                settings.entry.drain_limit_s,
                limits,
            )
            for listener in listeners
        ]


def _log_ignored_reload():
    """Ignore SIGHUP, whose default action would end the process."""
    _LOG.info("daemon: SIGHUP ignored; changed settings apply after a restart")
