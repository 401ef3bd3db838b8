"""Cost of Sync against the number of downstream VMs.

One process serves the agreed state, another follows it with many tasks. The
processor time of both is read with `time.process_time`, bytes are counted
where grpclib hands them to and takes them from the transport.
"""

import argparse
import asyncio
import json
import multiprocessing
import time

from grpclib.client import Channel
import grpclib.protocol
from grpclib.server import Server
import uvloop

from medlarhollow.configuration import generate_key
from medlarhollow.distribution import FleetStateCache
from medlarhollow.distribution import Reports
from medlarhollow.distribution import serve_sync
from medlarhollow.messages import RecordCodec
from medlarhollow.messages.records import Account
from medlarhollow.messages.records import Change
from medlarhollow.messages.records import Commit
from medlarhollow.messages.records import IssueKey
from medlarhollow.messages.records import PutAccount
from medlarhollow.messages.records import SyncRequest
from medlarhollow.messages.records import SyncResponse
from medlarhollow.messages.records import Vm
from medlarhollow.messages.records import VmReport
from medlarhollow.messages.services import FleetBase
from medlarhollow.messages.services import FleetStub
from medlarhollow.settings.load import parse_settings

from .report import fit_slope
from .report import write

DOWNSTREAMS = [6, 12, 24, 48, 96]
IDLE_S = 6.0
CHANGES = 40
CHANGE_GAP_S = 0.1
SETTINGS = parse_settings(
    """
[vm]
name = a
cluster = bench
region = r
data_centre = d
[peer]
listen = 127.0.0.1:1
secret_file = none
[control]
replicas = 127.0.0.1:1
"""
)


class Source(FleetStateCache):
    """State of the fleet that the benchmark changes itself."""

    def freshness_age_s(self, now):
        """Return a proof that is always new."""
        return 0.0

    async def add(self, change):
        """Accept one change."""
        commit = Commit(self.state.revision + 1, time.time(), change)
        result = await self.apply_response(
            SyncResponse(cluster="bench", commits=(commit,)), time.monotonic()
        )
        assert result.is_ok(), result


class Service(FleetBase):
    """Serve Sync alone."""

    def __init__(self, source):
        self._source = source
        self._reports = Reports()

    async def Sync(self, stream):
        """Serve one downstream VM."""
        await serve_sync(stream, self._source, self._reports, SETTINGS)

    async def Exchange(self, stream):
        """Not used here."""

    async def AcquireTokens(self, stream):
        """Not used here."""

    async def AcquireCredit(self, stream):
        """Not used here."""


class CountingTransport:
    """Pass everything on to a transport and count what is written."""

    def __init__(self, transport, meter):
        self._transport = transport
        self._meter = meter

    def __getattr__(self, name):
        return getattr(self._transport, name)

    def write(self, data):
        """Write and count."""
        self._meter.sent += len(data)
        self._transport.write(data)


class Meter:
    """Count bytes that pass grpclib's connections."""

    def __init__(self):
        self.received = 0
        self.sent = 0
        receive = grpclib.protocol.H2Protocol.data_received
        made = grpclib.protocol.H2Protocol.connection_made

        def data_received(protocol, data):
            self.received += len(data)
            receive(protocol, data)

        def connection_made(protocol, transport):
            made(protocol, CountingTransport(transport, self))

        grpclib.protocol.H2Protocol.data_received = data_received
        grpclib.protocol.H2Protocol.connection_made = connection_made


async def serve(pipe):
    """Serve, idle, then make changes; send the figures to the parent."""
    meter = Meter()
    source = Source(SETTINGS)
    await source.add(
        Change(body=PutAccount(Account("a", 1.0, 1.0)), author="o")
    )
    server = Server([Service(source)], codec=RecordCodec())
    await server.start("127.0.0.1", 0)
    port = server._server.sockets[0].getsockname()[1]
    pipe.send(port)
    loop = asyncio.get_running_loop()
    await loop.run_in_executor(None, pipe.recv)
    idle = await measure(meter, asyncio.sleep(IDLE_S))
    started = []

    async def change():
        for _ in range(CHANGES):
            _, key = generate_key("a")
            started.append(time.monotonic())
            await source.add(Change(body=IssueKey(key), author="o"))
            await asyncio.sleep(CHANGE_GAP_S)

    busy = await measure(meter, change())
    pipe.send((idle, busy, started))
    await loop.run_in_executor(None, pipe.recv)
    server.close()


async def measure(meter, work):
    """Return processor time, bytes and duration of some work."""
    cpu, wall = time.process_time(), time.monotonic()
    sent, received = meter.sent, meter.received
    await work
    return {
        "cpu_s": time.process_time() - cpu,
        "wall_s": time.monotonic() - wall,
        "sent": meter.sent - sent,
        "received": meter.received - received,
    }


async def follow_once(port, number, seen):
    """Follow the server as one VM; note when each revision arrives."""
    state_cache, reports = FleetStateCache(SETTINGS), Reports()
    vm = Vm(f"vm-{number}", "1" * 32, "r", "d", "10.0.0.1:1", "10.0.0.1:2")
    async with (
        Channel("127.0.0.1", port, codec=RecordCodec()) as channel,
        FleetStub(channel).Sync.open() as stream,
    ):
        while True:
            now = time.monotonic()
            report = VmReport(vm=vm, revision=state_cache.state.revision)
            reports.add(SyncRequest(reports=(report,)), now)
            await stream.send_message(
                SyncRequest(
                    cluster="bench",
                    revision=state_cache.state.revision,
                    reports=reports.list_recent(now, 3.0),
                )
            )
            response = await stream.recv_message()
            await state_cache.apply_response(response, now)
            at = time.monotonic()
            for commit in response.commits:
                seen.setdefault(commit.revision, []).append(at)


async def follow_many(count, port, pipe):
    """Follow with `count` tasks and send what they saw to the parent."""
    seen = {}
    tasks = [
        asyncio.create_task(follow_once(port, number, seen))
        for number in range(count)
    ]
    await asyncio.sleep(1.0)
    pipe.send("ready")
    cpu, wall = time.process_time(), time.monotonic()
    await asyncio.sleep(IDLE_S)
    idle_cpu = (time.process_time() - cpu) / (time.monotonic() - wall)
    await asyncio.get_running_loop().run_in_executor(None, pipe.recv)
    pipe.send((idle_cpu, seen))
    for task in tasks:
        task.cancel()


def run_server(pipe):
    """Entry point of the serving process."""
    uvloop.run(serve(pipe))


def run_followers(count, port, pipe):
    """Entry point of the following process."""
    uvloop.run(follow_many(count, port, pipe))


def point(count):
    """Return the figures for one number of downstream VMs."""
    spawn = multiprocessing.get_context("spawn")
    server_pipe, server_end = spawn.Pipe()
    server = spawn.Process(target=run_server, args=(server_end,))
    server.start()
    port = server_pipe.recv()
    pipe, end = spawn.Pipe()
    followers = spawn.Process(target=run_followers, args=(count, port, end))
    followers.start()
    pipe.recv()
    server_pipe.send("go")
    idle, busy, started = server_pipe.recv()
    time.sleep(1.0)
    pipe.send("stop")
    follower_cpu, seen = pipe.recv()
    server_pipe.send("stop")
    followers.join()
    server.join()
    delays = sorted(
        at - started[revision - 2]
        for revision, times in seen.items()
        if revision >= 2
        for at in times
    )
    idle_rate = idle["cpu_s"] / idle["wall_s"]
    extra_cpu = busy["cpu_s"] - idle_rate * busy["wall_s"]
    idle_sent = idle["sent"] / idle["wall_s"]
    extra_sent = busy["sent"] - idle_sent * busy["wall_s"]
    return {
        "downstream_vms": count,
        "server_idle_core": idle_rate,
        "server_idle_sent_bytes_per_s": idle_sent,
        "server_idle_received_bytes_per_s": idle["received"] / idle["wall_s"],
        "follower_idle_core_each": follower_cpu / count,
        "change_server_cpu_ms": extra_cpu / CHANGES * 1e3,
        "change_sent_bytes": extra_sent / CHANGES,
        "deliveries": len(delays),
        "delay_p50_ms": delays[len(delays) // 2] * 1e3,
        "delay_max_ms": delays[-1] * 1e3,
    }


def main():
    """Run the experiment."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--downstreams", type=json.loads, default=DOWNSTREAMS)
    rows = [point(count) for count in parser.parse_args().downstreams]
    xs = [row["downstream_vms"] for row in rows]

    def slope(key):
        return fit_slope(
            [(x, row[key]) for x, row in zip(xs, rows, strict=True)]
        ).per_unit

    write(
        "sync_cost",
        None,
        rows,
        server_idle_core_per_vm=slope("server_idle_core"),
        server_idle_sent_bytes_per_s_per_vm=slope(
            "server_idle_sent_bytes_per_s"
        ),
        server_idle_received_bytes_per_s_per_vm=slope(
            "server_idle_received_bytes_per_s"
        ),
        change_server_cpu_ms_per_vm=slope("change_server_cpu_ms"),
        change_sent_bytes_per_vm=slope("change_sent_bytes"),
    )


if __name__ == "__main__":
    main()
