"""Latency and processor time of an entry VM, compared with direct calls.

Starts local processes: one control replica, one entry VM and two fake backend
servers.
"""

import asyncio
import hashlib
import os
import pathlib
import tempfile

import aiohttp

from medlarhollow.localfleet import LocalFleet

from .loadgen import LoadProfile
from .loadgen import run_load
from .report import fit_line
from .report import write_results

RATES_PER_S = [50, 100, 200, 400]
DURATION_S = 8.0
READY_TIMEOUT_S = 30.0
CREDENTIAL = "bench-credential"


def processor_time_s(process):
    """Return the processor time that a child process has used, in seconds."""
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text()
    user, system = fields.rpartition(")")[2].split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


async def configure(fleet):
    """Create an account, a service and two routes; return a key."""
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
            await make_change(client, admin + path.rstrip("#"), body)
    return f"mhk_{'K' * 16}_{secret}"


async def make_change(client, url, body):
    """Make one change; retry until the control replica has started."""
    method = "POST" if url.endswith("/keys") else "PUT"
    async with asyncio.timeout(READY_TIMEOUT_S):
        while True:
            try:
                async with client.request(method, url, json=body) as response:
                    if response.status < 300:
                        return
                    text = await response.text()
                    if response.status not in (502, 503):
                        raise SystemExit(f"{url}: {response.status} {text}")
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(0.2)


async def wait_until_served(url, headers):
    """Wait until a request gets the response status 200."""
    async with (
        asyncio.timeout(READY_TIMEOUT_S),
        aiohttp.ClientSession(headers=headers) as client,
    ):
        while True:
            try:
                async with client.get(url) as response:
                    if response.status == 200:
                        return
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(0.2)


async def measure(name, url, headers, process):
    """Return one row for each rate."""
    await wait_until_served(url, headers)
    rows = []
    for rate in RATES_PER_S:
        cpu_before_s = processor_time_s(process)
        result = await run_load(LoadProfile(url, rate, DURATION_S, headers))
        cpu_s = processor_time_s(process) - cpu_before_s
        rows.append({"path": name, "core": cpu_s / DURATION_S, **result})
    return rows


async def run(folder):
    """Run the experiment in a fleet of local processes."""
    fleet = LocalFleet(folder, 1, (("north", "north-a", 1),))
    for name in ("b1", "b2"):
        fleet.add_backend(name, "plots", "1", CREDENTIAL, "north-a-1")
    fleet.start()
    try:
        key = await configure(fleet)
        entry = fleet.processes["north-a-1"]
        entry_url = f"http://{fleet.addresses['north-a-1'].callers}"
        backend = fleet.processes["b1"]
        direct_url = f"http://{fleet.backend_address('b1')}/open"
        keyed = {"x-medlarhollow-key": key}
        rows = await measure("direct", direct_url, {}, backend)
        rows += await measure("open", f"{entry_url}/open", {}, entry)
        rows += await measure("keyed", f"{entry_url}/keyed", keyed, entry)
        lookup_url = f"{entry_url}/v1/lookup?service=plots"
        rows += await measure("lookup", lookup_url, {}, entry)
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
            fit_line(points).per_unit * 1e6
        )
    write_results("entry_load", 1, rows, **summary)


if __name__ == "__main__":
    main()
