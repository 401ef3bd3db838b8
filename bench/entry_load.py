"""Latency and processor time of an entry VM against calling directly.

Starts real processes on loopback: one control replica, one entry VM and two
small backend servers.
"""

import asyncio
import hashlib
import os
import pathlib
import tempfile

import aiohttp

from medlarhollow.localfleet import LocalFleet

from .loadgen import Load
from .loadgen import run_load
from .report import fit_slope
from .report import write

RATES_PER_S = [50, 100, 200, 400]
DURATION_S = 8.0
READY_LIMIT_S = 30.0
CREDENTIAL = "bench-credential"


def processor_time_s(process):
    """Return the processor time that a child process has used."""
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text()
    user, system = fields.rpartition(")")[2].split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


async def configure(fleet):
    """Set up an account, a service and two routes; return a key."""
    admin = f"http://{fleet.addresses['control-1'].admin}/v1"
    operator = {"authorization": f"Bearer {fleet.operator_token}"}
    digest = hashlib.sha256(CREDENTIAL.encode()).hexdigest()
    secret = "S" * 43
    bodies = {
        "/accounts": {"name": "bench", "rate_per_s": 5e4, "burst": 5e4},
        "/services": {
            "name": "plots",
            "announce_sha256": digest,
            "version": "1",
        },
        "/routes": {
            "path_prefix": "/keyed",
            "service": "plots",
            "idempotent": True,
        },
        "/routes#": {
            "path_prefix": "/open",
            "service": "plots",
            "idempotent": True,
            "open": True,
        },
        "/accounts/bench/keys": {
            "key_id": "K" * 16,
            "secret_sha256": hashlib.sha256(secret.encode()).hexdigest(),
        },
    }
    async with aiohttp.ClientSession(headers=operator) as client:
        for path, body in bodies.items():
            await put(client, admin + path.rstrip("#"), body)
    return f"mhk_{'K' * 16}_{secret}"


async def put(client, url, body):
    """Make one change, waiting for the control replica to start."""
    method = "POST" if url.endswith("/keys") else "PUT"
    async with asyncio.timeout(READY_LIMIT_S):
        while True:
            try:
                async with client.request(method, url, json=body) as answer:
                    if answer.status < 300:
                        return
                    text = await answer.text()
                    if answer.status not in (502, 503):
                        raise SystemExit(f"{url}: {answer.status} {text}")
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(0.2)


async def wait_until_served(url, headers):
    """Wait until a request is answered with 200."""
    async with (
        asyncio.timeout(READY_LIMIT_S),
        aiohttp.ClientSession(headers=headers) as client,
    ):
        while True:
            try:
                async with client.get(url) as answer:
                    if answer.status == 200:
                        return
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(0.2)


async def measure(name, url, headers, process):
    """Return a row for each rate."""
    await wait_until_served(url, headers)
    rows = []
    for rate in RATES_PER_S:
        before = processor_time_s(process)
        seen = await run_load(Load(url, rate, DURATION_S, headers))
        used = processor_time_s(process) - before
        rows.append({"path": name, "core": used / DURATION_S, **seen})
    return rows


async def run(folder):
    """Run the experiment in a fleet of processes."""
    fleet = LocalFleet(folder, 1, (("north", "north-a", 1),))
    for name in ("b1", "b2"):
        fleet.add_backend(name, "plots", "1", CREDENTIAL, "north-a-1")
    fleet.start()
    try:
        key = await configure(fleet)
        entry = fleet.processes["north-a-1"]
        front = f"http://{fleet.addresses['north-a-1'].callers}"
        backend = fleet.processes["b1"]
        direct = f"http://{fleet.backend_address('b1')}/open"
        keyed = {"x-medlarhollow-key": key}
        rows = await measure("direct", direct, {}, backend)
        rows += await measure("open", f"{front}/open", {}, entry)
        rows += await measure("keyed", f"{front}/keyed", keyed, entry)
        look_up = f"{front}/v1/lookup?service=plots"
        rows += await measure("lookup", look_up, {}, entry)
    finally:
        fleet.stop()
    return rows


def main():
    """Run the experiment."""
    with tempfile.TemporaryDirectory() as folder:
        rows = asyncio.run(run(folder))
    summary = {}
    for path in ("open", "keyed", "lookup"):
        points = [
            (row["rate_per_s"], row["core"])
            for row in rows
            if row["path"] == path
        ]
        summary[f"{path}_core_us_per_request"] = (
            fit_slope(points).per_unit * 1e6
        )
    write("entry_load", 1, rows, **summary)


if __name__ == "__main__":
    main()
