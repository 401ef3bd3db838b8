"""Share of requests served in a data centre that is cut off from control.

The control replicas are killed, which cuts the entry VM off as a partition
would. Three routes differ in what they do without fresh proof of authority:
open to all, keyed and strict, keyed with `stale_keys_s`.
"""

import asyncio
import math
import tempfile
import time

import aiohttp

from medlarhollow.localfleet import LocalFleet

from .entry_load import configure
from .entry_load import CREDENTIAL
from .entry_load import put
from .entry_load import wait_until_served
from .report import write

RATE_PER_S = 20
BEFORE_S = 3
AFTER_S = 15
STALE_KEYS_S = 60.0


async def watch(name, url, headers, rows, cut_at):
    """Send requests at a steady rate and count answers by second."""
    seconds = {}
    timeout = aiohttp.ClientTimeout(total=5.0)
    async with aiohttp.ClientSession(
        headers=headers, timeout=timeout
    ) as client:

        async def send(second):
            try:
                async with client.get(url) as answer:
                    await answer.read()
                    served = answer.status == 200
            except (aiohttp.ClientError, TimeoutError):
                served = False
            count = seconds.setdefault(second, [0, 0])
            count[0] += 1
            count[1] += served

        tasks = []
        end = cut_at + AFTER_S
        while (now := time.monotonic()) < end:
            tasks.append(asyncio.create_task(send(math.floor(now - cut_at))))
            await asyncio.sleep(1 / RATE_PER_S)
        await asyncio.gather(*tasks)
    for second in sorted(seconds):
        sent, served = seconds[second]
        rows.append(
            {
                "route": name,
                "second": second,
                "sent": sent,
                "served": served,
            }
        )


async def run(folder):
    """Run the experiment in a fleet of processes."""
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
            await put(client, f"{admin}/routes", route)
        front = f"http://{fleet.addresses['north-a-1'].callers}"
        keyed = {"x-medlarhollow-key": key}
        for path in ("open", "keyed", "stale"):
            await wait_until_served(f"{front}/{path}", keyed)
        rows = []
        cut_at = time.monotonic() + BEFORE_S
        watchers = [
            asyncio.create_task(
                watch(path, f"{front}/{path}", keyed, rows, cut_at)
            )
            for path in ("open", "keyed", "stale")
        ]
        await asyncio.sleep(cut_at - time.monotonic())
        for name, process in fleet.processes.items():
            if name.startswith("control"):
                process.kill()
        await asyncio.gather(*watchers)
    finally:
        fleet.stop()
    return rows


def share(rows, route, first, last):
    """Return the served share of a route between two seconds."""
    chosen = [
        row
        for row in rows
        if row["route"] == route and first <= row["second"] < last
    ]
    sent = sum(row["sent"] for row in chosen)
    return sum(row["served"] for row in chosen) / sent if sent else None


def main():
    """Run the experiment."""
    with tempfile.TemporaryDirectory() as folder:
        rows = asyncio.run(run(folder))
    summary = {
        f"{route}_served_share_after_5_s": share(rows, route, 5, AFTER_S)
        for route in ("open", "keyed", "stale")
    }
    write("cut", None, rows, **summary)


if __name__ == "__main__":
    main()
