"""Run the roles of one process."""

import asyncio
import logging
import signal
import socket
import time
import uuid

from ..admin import FleetAdmin
from ..agreement import RaftService
from ..agreement import Replica
from ..control import ControlClient
from ..control import ControlService
from ..control.duties import Duties
from ..control.duties import DUTY_S
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
from ..messages.records import MoveState
from ..messages.records import SyncRequest
from ..messages.records import Vm
from ..messages.records import VmReport
from ..messages.records import VmState
from ..moves import VersionSelector
from ..steering import CallerRegions
from ..steering import Dispatcher
from ..telemetry import set_activity
from ..telemetry import Telemetry
from ..transport import Channels
from ..transport import parse_address
from ..transport import PeerServer
from ..transport.secret import read_secret
from .connection_limits import ConnectionLimits
from .fleet_service import FleetService
from .frontend import Frontend
from .frontend import Listener
from .http import HttpServer
from .load_monitor import LoadMonitor

__all__ = ["run_process"]

_LOG = logging.getLogger(__name__)
EXIT_CUT = 3


async def run_process(settings, frontend=None):
    """Run the roles of this process until SIGTERM or SIGINT.

    Parameters
    ----------
    settings : Settings
        The settings of the process.
    frontend : Frontend or None
        Front doors; None for the project's own.

    Returns
    -------
    int
        Exit code.
    """
    return await Process(settings, frontend or Frontend()).run()


class Process:
    """Hold and run the parts of one process.

    Parameters
    ----------
    settings : Settings
        The settings of the process.
    frontend : Frontend
        Front doors.
    """

    def __init__(self, settings, frontend):
        self._frontend = frontend
        self._settings = settings
        self._stop = asyncio.Event()
        self._closing = asyncio.Event()
        self._drain = Drain()
        self._drain_until = 0.0
        self._telemetry = Telemetry(settings)
        self._channels = Channels(settings, self._telemetry)
        self._reports = Reports()
        self._state_cache = FleetStateCache(settings)
        self._state = VmState.SERVING
        self._incarnation = uuid.uuid4().hex
        self._directory = Directory(settings)
        self._allocator = ShareAllocator(
            settings, self._state_cache, self._incarnation, time.monotonic()
        )
        self._limiter = Limiter(
            settings,
            self._state_cache,
            self._channels,
            self._allocator,
            self._incarnation,
        )
        self._samples = VersionSelector(settings, self._state_cache)
        self._dispatcher = Dispatcher(
            settings,
            self._state_cache,
            self._directory,
            self._channels,
            self._samples,
        )
        self._exchange = Exchange(
            settings,
            self._state_cache,
            self._directory,
            self._channels,
            self._own_vm,
            self._dispatcher.local_load,
        )
        self._regions = CallerRegions(self._state_cache)
        self._replica = None
        if "control" in settings.vm.roles:
            self._replica = Replica(settings, self._channels)

    async def run(self):
        """Start all parts, wait for a signal, stop gracefully.

        Returns
        -------
        int
            0 after a graceful stop, 3 if a request was cut.
        """
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, _note_reload)
        self._telemetry.time_tasks(loop)
        peers = PeerServer(self._settings, self._services(), self._telemetry)
        self._observe()
        if self._replica is not None:
            set_activity("agreement")
            await self._replica.start()
        set_activity("daemon")
        await peers.start()
        _LOG.info("daemon: started")
        async with asyncio.TaskGroup() as group:
            background = [
                group.create_task(_run_as(activity, work))
                for activity, work in self._tasks()
            ]
            cut = await self._serve_front_doors()
            for task in background:
                task.cancel()
        await peers.stop()
        if self._replica is not None:
            await self._replica.stop()
        self._channels.close()
        await asyncio.to_thread(self._telemetry.stop)
        _LOG.info("daemon: stopped, %d requests cut", cut)
        return EXIT_CUT if cut else 0

    def _observe(self):
        """Let metrics read what this process knows."""
        state_cache = self._state_cache
        self._telemetry.register_gauge(
            "revision", lambda: state_cache.state.revision
        )
        self._telemetry.register_gauge(
            "freshness_age",
            lambda: state_cache.freshness_age_s(time.monotonic()),
        )
        self._telemetry.register_gauge(
            "move_fraction",
            lambda: {
                move.service: move.fraction
                for move in tuple(state_cache.state.moves.values())
                if move.state is MoveState.IN_PROGRESS
            },
        )

    def _services(self):
        fleet = FleetService(
            self._settings,
            self._source,
            self._reports,
            self._allocator,
            self._exchange,
            self._dispatcher,
            self._telemetry,
        )
        if self._replica is None:
            return [fleet]
        return [
            fleet,
            ControlService(self._replica),
            RaftService(self._replica),
        ]

    def _tasks(self):
        """Yield the background work of each activity."""
        if self._settings.telemetry.metrics_listen:
            yield "daemon", LoadMonitor(self._telemetry).run()
        yield (
            "sync",
            follow(
                self._state_cache,
                self._channels,
                self._reports,
                self._own_report,
                self._settings,
                self._replica,
            ),
        )
        if {"entry", "registry"} & set(self._settings.vm.roles):
            yield "exchange", self._exchange.run()
        if "entry" in self._settings.vm.roles:
            yield "tokens", self._limiter.run()
            yield "steering", self._dispatcher.run()
            yield "steering", self._report_samples()
            yield "steering", self._regions.run()
        if self._replica is not None:
            duties = Duties(
                self._settings, self._replica, self._reports, self._directory
            )
            yield "duties", duties.run()

    def _source(self):
        if self._replica is not None and self._replica.is_leader:
            return self._replica
        return self._state_cache

    def _own_report(self, now):
        return VmReport(
            vm=self._own_vm(),
            revision=self._state_cache.state.revision,
            freshness_age_s=self._state_cache.freshness_age_s(now),
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
            announce_address=self._announce_address(),
        )

    def _announce_address(self):
        """Return where the whole fleet's announcements are taken."""
        own = self._settings
        if "registry" not in own.vm.roles:
            return ""
        return own.entry.announce_listen

    def _caller_address(self):
        own = self._settings
        if "entry" not in own.vm.roles:
            return ""
        return own.entry.advertise or own.entry.listen

    async def _report_samples(self):
        """Pass on what this VM measured; Sync requests carry it away."""
        while True:
            await asyncio.sleep(DUTY_S)
            now = time.monotonic()
            self._reports.add(
                SyncRequest(
                    versions=self._samples.pop_samples(),
                    demands=self._limiter.pop_demand_samples(now),
                ),
                now,
            )

    async def _serve_front_doors(self):
        """Serve until the stop; return the number of requests cut."""
        async with BackendClient(self._settings) as client:
            servers = self._front_doors(client)
            await asyncio.gather(
                self._announce_stop(),
                *(server.serve_until(self._closing) for server in servers),
            )
            # Completions of claims follow the last answers.
            left = await self._drain.wait(self._drain_until - time.monotonic())
        return left + sum(server.cut for server in servers)

    async def _announce_stop(self):
        """Leave the look-ups at a signal, and close some time later.

        Further signals change nothing: they must not cut a request.
        """
        await self._stop.wait()
        _LOG.info("daemon: draining")
        self._state = VmState.DRAINING
        self._drain.begin()
        self._exchange.wake()
        if "entry" in self._settings.vm.roles:
            await asyncio.sleep(self._settings.entry.drain_notice_s)
        self._drain.close()
        self._drain_until = (
            time.monotonic() + self._settings.entry.drain_limit_s
        )
        self._closing.set()

    def _entry_vm(self, client):
        own = self._settings
        return EntryVm(
            settings=own,
            state_cache=self._state_cache,
            directory=self._directory,
            limiter=self._limiter,
            dispatcher=self._dispatcher,
            version_selector=self._samples,
            control=ControlClient(own, self._channels),
            client=client,
            telemetry=self._telemetry,
            secret=read_secret(own.peer),
            drain=self._drain,
            caller_regions=self._regions,
            dialect=self._frontend.dialect,
        )

    def _front_doors(self, client):
        own = self._settings
        vm = self._entry_vm(client)
        self._telemetry.register_gauge("queue_length", lambda: vm.queued)
        bounds = ConnectionLimits(own.entry, self._state_cache)
        admin = None
        if self._replica is not None:
            admin = FleetAdmin(
                own, self._replica, self._channels, self._reports
            )
        doors = list(self._frontend.make_listeners(vm, admin))
        if own.telemetry.metrics_listen:
            doors += self._metrics_doors(own.telemetry.metrics_listen)
        return [
            HttpServer(
                _count_as(door.activity, door.app),
                door.address,
                own.entry.drain_limit_s,
                bounds,
            )
            for door in doors
        ]

    def _metrics_doors(self, address):
        """Return the front door of metrics, or none if it cannot listen.

        Callers are served all the same.
        """
        # The client library takes memory that other processes can spare.
        from ..telemetry.scrape import make_metrics_app

        try:
            socket.create_server(parse_address(address)).close()
        except OSError as error:
            _LOG.warning("daemon: no metrics at %s: %s", address, error)
            return []
        app = make_metrics_app(self._telemetry.metrics)
        return [Listener(app, address, "metrics")]


async def _run_as(activity, work):
    set_activity(activity)
    await work


def _count_as(activity, app):
    """Return an application whose time is counted as an activity."""

    async def serve(scope, receive, send):
        set_activity(activity)
        await app(scope, receive, send)

    return serve


def _note_reload():
    """Go on at SIGHUP, which would end the process by default."""
    _LOG.info("daemon: SIGHUP; changed settings hold from the next start")
