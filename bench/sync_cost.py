"""Cost of the RPC Sync by the number of downstream VMs.

One process serves the fleet state, another follows it with one task per
downstream VM. The processor time of both is read with `time.process_time`;
bytes are counted between grpclib and the transport.
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

from medlarhollow import clock
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

from .report import fit_line
from .report import write_results

DOWNSTREAM_COUNTS = [6, 12, 24, 48, 96]
IDLE_S = 6.0
CHANGE_COUNT = 40
CHANGE_INTERVAL_S = 0.1
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


class LocalSource(FleetStateCache):
    """Fleet state that the benchmark changes locally."""

    def freshness_age_s(self, now):
        """Return the age of a proof that is always fresh."""
        return 0.0

    async def add(self, change):
        """Accept one change."""
        commit = Commit(self.state.revision + 1, time.time(), change)
        result = await self.apply_response(
            SyncResponse(cluster="bench", commits=(commit,)), clock.monotonic()
        )
        assert result.is_ok(), result


class SyncService(FleetBase):
    """Serve the RPC Sync only."""

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
    """Delegate to a transport and count the bytes written."""

    def __init__(self, transport, meter):
        self._transport = transport
        self._meter = meter

    def __getattr__(self, name):
        return getattr(self._transport, name)

    def write(self, data):
        """Write and count bytes."""
        self._meter.sent += len(data)
        self._transport.write(data)


class ByteMeter:
    """Count the bytes of all connections of grpclib in this process."""

    def __init__(self):
        self.received = 0
        self.sent = 0
        original_data_received = grpclib.protocol.H2Protocol.data_received
        original_connection_made = grpclib.protocol.H2Protocol.connection_made

        def data_received(protocol, data):
            self.received += len(data)
            original_data_received(protocol, data)

        def connection_made(protocol, transport):
            original_connection_made(
                protocol, CountingTransport(transport, self)
            )

        grpclib.protocol.H2Protocol.data_received = data_received
        grpclib.protocol.H2Protocol.connection_made = connection_made


async def serve(pipe):
    """Measure idle serving, then changes; send the results to the parent."""
    meter = ByteMeter()
    source = LocalSource(SETTINGS)
    await source.add(
        Change(body=PutAccount(Account("a", 1.0, 1.0)), author="o")
    )
    server = Server([SyncService(source)], codec=RecordCodec())
    await server.start("127.0.0.1", 0)
    port = server._server.sockets[0].getsockname()[1]
    pipe.send(port)
    loop = asyncio.get_running_loop()
    await loop.run_in_executor(None, pipe.recv)
    idle = await measure(meter, asyncio.sleep(IDLE_S))
    change_times = []

    async def change():
        for _ in range(CHANGE_COUNT):
            _, key = generate_key("a")
            change_times.append(clock.monotonic())
            await source.add(Change(body=IssueKey(key), author="o"))
            await asyncio.sleep(CHANGE_INTERVAL_S)

    busy = await measure(meter, change())
    pipe.send((idle, busy, change_times))
    await loop.run_in_executor(None, pipe.recv)
    server.close()


async def measure(meter, work):
    """Return the processor time, bytes and duration of a coroutine."""
    cpu, wall = time.process_time(), clock.monotonic()
    sent, received = meter.sent, meter.received
    await work
    return {
        "cpu_s": time.process_time() - cpu,
        "wall_s": clock.monotonic() - wall,
        "sent": meter.sent - sent,
        "received": meter.received - received,
    }


async def follow_once(port, index, arrivals):
    """Follow the server as one VM; record when each revision arrives."""
    state_cache, reports = FleetStateCache(SETTINGS), Reports()
    vm = Vm(f"vm-{index}", "1" * 32, "r", "d", "10.0.0.1:1", "10.0.0.1:2")
    async with (
        Channel("127.0.0.1", port, codec=RecordCodec()) as channel,
        FleetStub(channel).Sync.open() as stream,
    ):
        while True:
            now = clock.monotonic()
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
            arrived_at = clock.monotonic()
            for commit in response.commits:
                arrivals.setdefault(commit.revision, []).append(arrived_at)


async def follow_many(count, port, pipe):
    """Follow with `count` tasks and send the arrivals to the parent."""
    arrivals = {}
    tasks = [
        asyncio.create_task(follow_once(port, index, arrivals))
        for index in range(count)
    ]
    await asyncio.sleep(1.0)
    pipe.send("ready")
    cpu, wall = time.process_time(), clock.monotonic()
    await asyncio.sleep(IDLE_S)
    idle_cpu = (time.process_time() - cpu) / (clock.monotonic() - wall)
    await asyncio.get_running_loop().run_in_executor(None, pipe.recv)
    pipe.send((idle_cpu, arrivals))
    for task in tasks:
        task.cancel()


def run_server(pipe):
    """Run the serving process."""
    uvloop.run(serve(pipe))


def run_followers(count, port, pipe):
    """Run the following process."""
    uvloop.run(follow_many(count, port, pipe))


def measure_downstreams(count):
    """Return one row, for a number of downstream VMs."""
    context = multiprocessing.get_context("spawn")
    server_pipe, server_child_pipe = context.Pipe()
    server = context.Process(target=run_server, args=(server_child_pipe,))
    server.start()
    port = server_pipe.recv()
    follower_pipe, follower_child_pipe = context.Pipe()
    followers = context.Process(
        target=run_followers, args=(count, port, follower_child_pipe)
    )
    followers.start()
    follower_pipe.recv()
    server_pipe.send("go")
    idle, busy, change_times = server_pipe.recv()
    time.sleep(1.0)
    follower_pipe.send("stop")
    follower_cpu, arrivals = follower_pipe.recv()
    server_pipe.send("stop")
    followers.join()
    server.join()
    # Revision 1 creates the account; the measured changes start at revision 2.
    delays = sorted(
        arrived_at - change_times[revision - 2]
        for revision, times in arrivals.items()
        if revision >= 2
        for arrived_at in times
    )
    idle_cores = idle["cpu_s"] / idle["wall_s"]
    change_cpu_s = busy["cpu_s"] - idle_cores * busy["wall_s"]
    idle_sent_per_s = idle["sent"] / idle["wall_s"]
    change_sent = busy["sent"] - idle_sent_per_s * busy["wall_s"]
    return {
        "downstream_vms": count,
        "server_idle_core": idle_cores,
        "server_idle_sent_bytes_per_s": idle_sent_per_s,
        "server_idle_received_bytes_per_s": idle["received"] / idle["wall_s"],
        "follower_idle_core_each": follower_cpu / count,
        "change_server_cpu_ms": change_cpu_s / CHANGE_COUNT * 1e3,
        "change_sent_bytes": change_sent / CHANGE_COUNT,
        "deliveries": len(delays),
        "delay_p50_ms": delays[len(delays) // 2] * 1e3,
        "delay_max_ms": delays[-1] * 1e3,
    }


def main():
    """Run the experiment."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--downstreams", type=json.loads, default=DOWNSTREAM_COUNTS
    )
    rows = [
        measure_downstreams(count) for count in parser.parse_args().downstreams
    ]
    xs = [row["downstream_vms"] for row in rows]

    def slope(key):
        return fit_line(
            [(x, row[key]) for x, row in zip(xs, rows, strict=True)]
        ).per_unit

    write_results(
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
