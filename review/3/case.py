"""Change a configuration of many routes a few hundred times."""

import asyncio
import collections
import json
import resource
import signal

import fleet as standins

ROUTES = 1400
CHANGES_UNTIL_S = 104.0
MEMORY_LIMIT_MB = 296
RESTART_S = 0.5
# Ends of one process, on half of the core, that break the rule.
ENDS = 3
PAGE_BYTES = resource.getpagesize()
MB = 1024 * 1024


def make_bodies(routes):
    """Return a function that makes a configuration of a version.

    Each has the further routes and differs by the time-out of one route.
    """
    document = standins.make_configuration("VERSION", safe_timeout="TIMEOUT")
    paths = document["virtualHosts"][0]["paths"]
    model = {**paths[0], "timeout": "4s"}
    paths += [
        {**model, "name": f"r-{number:06d}", "pathPrefix": f"/idle{number}/"}
        for number in range(routes)
    ]
    template = json.dumps(document)

    def make_body(version):
        text = template.replace("VERSION", f"r{version}", 1)
        return text.replace("TIMEOUT", f"{4000 + version}ms").encode()

    return make_body


def resident_mb(process):
    """Return the resident memory of a process without shared pages, in MB."""
    try:
        with open(f"/proc/{process.pid}/statm") as file:
            _, resident, shared, *_ = map(int, file.read().split())
            return (resident - shared) * PAGE_BYTES / MB
    except (OSError, IndexError):
        return 0.0


async def watch(record, fleet, ends, peaks):
    """Kill core processes above their memory limit and restart them."""
    while True:
        for name in fleet.cores:
            process = fleet.processes[name]
            size_mb = resident_mb(process)
            peaks[name] = max(peaks[name], size_mb)
            if size_mb > MEMORY_LIMIT_MB:
                record.say(f"{name} uses {size_mb:.0f} MB: over the limit")
                ends[name] += 1
                process.send_signal(signal.SIGKILL)
            if process.poll() is not None or size_mb > MEMORY_LIMIT_MB:
                process.wait()
                if size_mb <= MEMORY_LIMIT_MB:
                    record.say(f"{name} ended: {process.returncode}")
                    ends[name] += 1
                asyncio.get_running_loop().call_later(
                    RESTART_S, fleet.start, name, False
                )
                await asyncio.sleep(RESTART_S + 0.1)
        await asyncio.sleep(0.1)


async def change_often(record, operator, make_body):
    """Send one change after the other."""
    version = 2
    while True:
        answer = await operator.send(
            "POST",
            "/Config.Put",
            data=make_body(version + 1),
            headers={"X-If-Version": f"r{version}"},
        )
        if answer[0] != 200:
            raise RuntimeError(f"change {version - 1} gets {answer[0]}")
        version += 1
        record.add(f"change {version - 2} acknowledged")


async def case(record, fleet, session, has_trouble):
    """Return whether the processes stayed within their memory."""
    started_at = standins.now()
    parts = await standins.bring_up(fleet, session, standins.ZONES, 20)
    if parts is None:
        return None
    operator, _, clients = parts
    ends = collections.Counter()
    peaks = collections.Counter()
    make_body = make_bodies(ROUTES if has_trouble else 0)
    record.say(f"each change has {len(make_body(3))} bytes")
    tasks = {
        asyncio.create_task(watch(record, fleet, ends, peaks)),
        asyncio.create_task(change_often(record, operator, make_body)),
    }

    def is_broken():
        often = sum(ends[name] >= ENDS for name in fleet.cores)
        return 2 * often >= len(fleet.cores)

    while not is_broken() and (
        standins.now() - started_at < CHANGES_UNTIL_S
        and not any(task.done() for task in tasks)
    ):
        await asyncio.sleep(0.1)
    for task in tasks:
        if task.done():
            await task
        task.cancel()
    await clients.stop()
    standins.summarise(record, clients)
    for name in fleet.cores:
        record.say(f"{name}: {peaks[name]:.0f} MB at most, {ends[name]} ends")
    return not is_broken()


if __name__ == "__main__":
    standins.main(case)
