"""Tests of the fake backend server."""

import asyncio

import aiohttp
from aiohttp import web
import pytest

from medlarhollow.localfleet.backend import FakeBackend
from medlarhollow.localfleet.backend import make_parser
from medlarhollow.localfleet.backend import read_faults
from medlarhollow.localfleet.faults import Faults
from medlarhollow.localfleet.ports import free_addresses
from medlarhollow.localfleet.process import LocalProcess
from medlarhollow.transport import parse_address

LIMIT_S = 15.0


@pytest.mark.parametrize(
    ("faults", "age_s", "latency_s", "fails", "silent"),
    [
        (Faults(), 0.0, 0.0, False, False),
        (Faults(latency_ms=9, latency_spread_ms=2), 1.0, 0.01, False, False),
        (Faults(latency_ms=9, fault_after_s=5), 4.0, 0.0, False, False),
        (Faults(latency_ms=20, slow_start_s=10), 0.0, 0.2, False, False),
        (Faults(latency_ms=20, slow_start_s=10), 10.0, 0.02, False, False),
        (Faults(error_rate=0.6), 0.0, 0.0, True, False),
        (Faults(error_rate=0.6, fault_after_s=5), 4.0, 0.0, False, False),
        (Faults(silent=True, fault_after_s=5), 4.0, 0.0, False, False),
        (Faults(silent=True, fault_after_s=5), 5.0, 0.0, False, True),
    ],
)
def test_faults_take_effect(faults, age_s, latency_s, fails, silent):
    """Guards against an experiment whose fault is not injected."""
    assert faults.latency_s(age_s, 0.5) == pytest.approx(latency_s)
    assert faults.fails(age_s, 0.5) is fails
    assert faults.is_silent(age_s) is silent


@pytest.mark.parametrize(
    ("report", "expected"),
    [("true", 0.5), ("idle", 0.0), ("busy", 1.0), ("frozen", 0.0)],
)
def test_load_endpoint_can_report_false_load(report, expected):
    """Guards against a true load where a false one is configured."""
    assert Faults(load_report=report).reported_load(4, 8) == expected


def test_command_line_sets_every_fault():
    """Guards against an option that has no effect."""
    line = (
        "--name b1 --service plots --version 1 --credential c "
        "--listen 127.0.0.1:1 --announce 127.0.0.1:2 --announce 127.0.0.1:3 "
        "--latency-ms 1 --latency-spread-ms 2 --error-rate 0.3 "
        "--fault-after-s 4 --slow-start-s 5 --silent --load-report idle"
    )
    options = make_parser().parse_args(line.split())
    assert len(options.announce) == 2
    faults = read_faults(options)
    assert faults == Faults(
        latency_ms=1,
        latency_spread_ms=2,
        error_rate=0.3,
        fault_after_s=4,
        slow_start_s=5,
        silent=True,
        load_report="idle",
    )
    assert FakeBackend(options, faults).in_flight == 0


async def test_server_announces_serves_counts_and_drains(tmp_path):
    """Guards against a fake server that aborts requests at its stop or does
    not announce that it is leaving."""
    announcements = []

    async def accept_announcement(request):
        announcements.append(await request.json())
        return web.json_response({"lease_s": 3.0})

    app = web.Application()
    app.router.add_post("/v1/announce", accept_announcement)
    runner = web.AppRunner(app)
    await runner.setup()
    entry_address, listen = free_addresses(2)
    await web.TCPSite(runner, *parse_address(entry_address)).start()
    process = LocalProcess(
        "b1",
        [
            "medlarhollow.localfleet.backend",
            *("--name", "b1", "--service", "plots", "--version", "1"),
            *(
                "--credential",
                "c",
                "--listen",
                listen,
                "--announce",
                entry_address,
            ),
            *("--latency-ms", "800"),
        ],
        tmp_path,
    )
    process.start()
    try:
        async with asyncio.timeout(LIMIT_S), aiohttp.ClientSession() as client:
            while not announcements:
                await asyncio.sleep(0.05)
            headers = {"idempotency-key": "k1"}
            url = f"http://{listen}"
            running = asyncio.create_task(
                client.post(f"{url}/orders", headers=headers)
            )
            counts = {}
            while not counts:
                async with client.get(f"{url}/_fake/executions") as response:
                    counts = await response.json()
            assert counts == {"k1": 1}
            stopping = asyncio.create_task(asyncio.to_thread(process.stop))
            async with await running as response:
                assert (await response.json())["path"] == "/orders"
            assert await stopping == 0
            assert not announcements[0]["leaving"]
            assert announcements[-1]["leaving"]
    finally:
        process.kill()
        await runner.cleanup()
