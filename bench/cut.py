"""Fraction of requests served while the control replicas are unreachable.

The control replicas are killed (the cut), which has the effect of a network
partition on the entry VM. Three routes differ in what they do without a fresh
proof of authority: open, keyed without `stale_keys_s`, and keyed with it.
"""

import asyncio
import math
import tempfile

import aiohttp

from medlarhollow import clock
from medlarhollow.localfleet import LocalFleet

from .entry_load import configure
from .entry_load import CREDENTIAL
from .entry_load import make_change
from .entry_load import wait_until_served
from .report import write_results

RATE_PER_S = 20
BEFORE_CUT_S = 3
AFTER_CUT_S = 15
STALE_KEYS_S = 60.0


async def record_responses(name, url, headers, rows, cut_at):
    """Send requests at a constant rate; append a row for each second."""
    counts = {}
    timeout = aiohttp.ClientTimeout(total=5.0)
    async with aiohttp.ClientSession(
        headers=headers, timeout=timeout
    ) as client:

        async def send(second):
            try:
                async with client.get(url) as response:
                    await response.read()
                    served = response.status == 200
            except (aiohttp.ClientError, TimeoutError):
                served = False
            count = counts.setdefault(second, [0, 0])
            count[0] += 1
            count[1] += served

        tasks = []
        ends_at = cut_at + AFTER_CUT_S
        while (now := clock.monotonic()) < ends_at:
            tasks.append(asyncio.create_task(send(math.floor(now - cut_at))))
            await asyncio.sleep(1 / RATE_PER_S)
        await asyncio.gather(*tasks)
    for second in sorted(counts):
        sent, served = counts[second]
        rows.append(
            {
                "route": name,
                "second": second,
                "sent": sent,
                "served": served,
            }
        )


async def run(folder):
    """Run the experiment in a fleet of local processes."""
    fleet = LocalFleet(folder, 3, (("north", "north-a", 1),))
    for name in ("b1", "b2"):
        fleet.add_backend(name, "plots", "1", CREDENTIAL, "north-a-1")
    fleet.start()
    try:
        key = await configure(fleet)
        operator = {"authorization": f"Bearer {fleet.operator_token}"}
        admin = f"http://{fleet.addresses['control-1'].admin}/v1"
        async with aiohttp.ClientSession(headers=operator) as client:
            route = {
                "path_prefix": "/stale",
                "service": "plots",
                "idempotent": True,
                "stale_keys_s": STALE_KEYS_S,
            }
            await make_change(client, f"{admin}/routes", route)
        entry_url = f"http://{fleet.addresses['north-a-1'].callers}"
        headers = {"x-medlarhollow-key": key}
        for path in ("open", "keyed", "stale"):
            await wait_until_served(f"{entry_url}/{path}", headers)
        rows = []
        cut_at = clock.monotonic() + BEFORE_CUT_S
        tasks = [
            asyncio.create_task(
                record_responses(
                    path, f"{entry_url}/{path}", headers, rows, cut_at
                )
            )
            for path in ("open", "keyed", "stale")
        ]
        await asyncio.sleep(cut_at - clock.monotonic())
        for name, process in fleet.processes.items():
            if name.startswith("control"):
                process.kill()
        await asyncio.gather(*tasks)
    finally:
        fleet.stop()
    return rows


def served_fraction(rows, route, first, last):
    """Return the fraction of a route's requests served between two seconds."""
    selected = [
        row
        for row in rows
        if row["route"] == route and first <= row["second"] < last
    ]
    sent = sum(row["sent"] for row in selected)
    return sum(row["served"] for row in selected) / sent if sent else None


def main():
    """Run the experiment."""
    with tempfile.TemporaryDirectory() as folder:
        rows = asyncio.run(run(folder))
    summary = {
        f"{route}_served_share_after_5_s": served_fraction(
            rows, route, 5, AFTER_CUT_S
        )
        for route in ("open", "keyed", "stale")
    }
    write_results("cut", None, rows, **summary)


if __name__ == "__main__":
    main()
