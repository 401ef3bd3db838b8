"""Trials of entries of KNOWN-RED.txt and of issue 35; none of them is a case.

``python3 entries.py refused|paths|ids [RATE]`` prints what is seen. It exits
with 1 if the entry shows, 0 if not, and 2 if it could not run. RATE is the
number of paths or of announcements a second.
"""

import asyncio
import contextlib
import json
import pathlib
import sys
import tempfile
import time
import uuid

from fleet import call
from fleet import CannotRunError
from fleet import Fleet
from fleet import make_document
from fleet import make_path
from fleet import make_tenant
from fleet import run_case
from fleet import Target

ZONES = {
    "ishikari-a": "ishikari",
    "tokachi-a": "tokachi",
    "kushiro-a": "kushiro",
}
KEY = ("Authorization", "Token key-crew")
ORDERS = 12
LOOKUPS = 120
LOOKUP_LIMIT_S = 4.0
SEGMENTS = 7_900
IDS_S = 40.0
DEFAULT_RATES = {"refused": 0.0, "paths": 20.0, "ids": 400.0}


class BusyTarget(Target):
    """Run a request and answer 503 without X-Not-Executed."""

    async def answer(self, writer, line, headers, body):
        """Run the request and fail."""
        self.runs.append((time.monotonic(), line, headers, body))
        await asyncio.sleep(self.work_s)
        await self.write(
            writer, 503, headers.get("x-request-id", ""), b"failed"
        )


def send(fleet, number, method, path, limit_s=LOOKUP_LIMIT_S):
    """Send a client's request to one of the front machines."""
    vm = fleet.fronts[number % len(fleet.fronts)]
    headers = [
        ("Host", "desk.example"),
        ("X-Request-Id", uuid.uuid4().hex[:16]),
        ("X-Deadline-Ms", str(int(limit_s * 1000))),
        KEY,
    ]
    body = b"" if method == "GET" else b"willow"
    return call(
        vm.ip, fleet.ports["front"], method, path, body, headers, limit_s
    )


async def send_at(rate, duration_s, make):
    """Start a call every 1 / rate seconds; return the results of all."""
    began_at = time.monotonic()
    tasks = []
    for number in range(int(rate * duration_s)):
        delay_s = began_at + number / rate - time.monotonic()
        if delay_s > 0:
            await asyncio.sleep(delay_s)
        tasks.append(asyncio.create_task(make(number)))
    return await asyncio.gather(*tasks)


def count_statuses(answers):
    """Return how often each status came; 0 stands for no answer."""
    counts = {}
    for answer in answers:
        status = answer.status if answer else 0
        counts[status] = counts.get(status, 0) + 1
    return dict(sorted(counts.items()))


def read_memory(vms):
    """Return the resident memory of processes in MB."""
    sizes = {}
    for vm in vms:
        with contextlib.suppress(OSError):
            text = pathlib.Path(f"/proc/{vm.process.pid}/status").read_text()
            [line] = [x for x in text.split("\n") if x.startswith("VmRSS")]
            sizes[vm.name] = int(line.split()[1]) // 1024
    return sizes


async def try_refused(fleet, target, say, _):
    """Send orders to a target that fails them after their run."""
    answers = [
        await send(fleet, number, "POST", "/order/1")
        for number in range(ORDERS)
    ]
    counts = count_statuses(answers)
    say(f"{len(target.runs)} runs, answers by status {counts}")
    return len(target.runs) > 0 and counts.get(503, 0) > 0


async def try_paths(fleet, _, say, rate):
    """Send long paths without a route beside sound look-ups."""
    path = "/none" + "/a" * SEGMENTS
    duration_s = 12.0

    def look_up(number):
        return send(fleet, 0, "GET", f"/look/{number}")

    _, answers = await asyncio.gather(
        send_at(rate, duration_s, lambda _: send(fleet, 0, "GET", path)),
        send_at(LOOKUPS / duration_s, duration_s, look_up),
    )
    counts = count_statuses(answers)
    say(f"look-ups beside {rate:g} paths a second, by status {counts}")
    return counts.get(200, 0) < LOOKUPS


async def try_ids(fleet, _, say, rate):
    """Announce draining servers under ever new ids beside sound requests."""
    say(f"memory before, MB: {read_memory(fleet.vms)}")
    core = fleet.cores[0]

    async def announce(number):
        body = json.dumps(
            {
                "service": "plantdesk",
                "address": f"{fleet.net}.4.{number % 250 + 1}:"
                f"{fleet.ports['target']}",
                "zone": "ishikari-a",
                "version": "v1",
                "slots": 9,
                "state": "draining",
                "coldRemaining": "0ms",
                "sequence": 1,
                "born": int(time.time() * 1000),
            }
        ).encode()
        return await call(
            core.ip,
            fleet.ports["control"],
            "POST",
            f"/medlarhollow/Instances.Heartbeat/i-{uuid.uuid4().hex[:10]}",
            body,
            [("Content-Type", "application/json")],
            4.0,
        )

    announced, answers = await asyncio.gather(
        send_at(rate, IDS_S, announce),
        send_at(
            10.0,
            IDS_S,
            lambda number: send(fleet, number, "GET", f"/look/{number}"),
        ),
    )
    say(f"announcements, by status {count_statuses(announced)}")
    counts = count_statuses(answers)
    say(f"look-ups beside them, by status {counts}")
    say(f"memory after, MB: {read_memory(fleet.vms)}")
    ended = [vm.name for vm in fleet.vms if vm.process.poll() is not None]
    say(f"processes that ended: {ended}")
    return bool(ended) or counts.get(200, 0) < len(answers)


async def run_trial(record, name, rate):
    """Start a fleet, run the trial and return whether the entry shows."""

    def say(text):
        record.add(text)
        print(text)

    fleet = Fleet(record, ZONES, targets=(1,))
    kind = BusyTarget if name == "refused" else Target
    target = kind(fleet, 1, "plantdesk", "ishikari-a", slots=27)
    try:
        fleet.start()
        document = make_document(
            "r2",
            ["plantdesk"],
            [make_tenant("crew", "key-crew")],
            [
                make_path("/order/", "plantdesk", kind="unsafe"),
                make_path("/look/", "plantdesk"),
            ],
        )
        if (await fleet.put(document, "0")).status != 200:
            raise CannotRunError("the configuration was refused")
        await target.start()
        await fleet.wait_ready()
        await asyncio.sleep(3.0)
        trial = {"refused": try_refused, "paths": try_paths, "ids": try_ids}
        return await trial[name](fleet, target, say, rate)
    finally:
        await target.stop()
        fleet.stop()


def main():
    """Read the arguments and run a trial."""
    name = sys.argv[1]
    rate = float(sys.argv[2]) if len(sys.argv) > 2 else DEFAULT_RATES[name]
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        run_case(
            pathlib.Path(folder),
            lambda record, _: run_trial(record, name, rate),
        )


main()
