"""Open-loop load generator for one address.

Arrivals follow a Poisson process whose times do not depend on the answers,
so that a slow server does not hide its own delays (coordinated omission).
"""

import argparse
import asyncio
import json
import random
import sys
import time

import aiohttp
import attrs
from hdrh.histogram import HdrHistogram

__all__ = ["Load", "run_load"]

LOWEST_US = 1
HIGHEST_US = 60_000_000
DIGITS = 3
PROGRESS_S = 1.0


@attrs.frozen
class Load:
    """What is sent.

    Attributes
    ----------
    url : str
        Target.
    rate_per_s : float
        Mean rate of arrivals.
    duration_s : float
        Time for which requests are started.
    headers : dict
        Headers of every request.
    seed : int
        Seed of the arrival times.
    timeout_s : float
        Limit for one request.
    """

    url: str
    rate_per_s: float
    duration_s: float
    headers: dict = attrs.field(factory=dict)
    seed: int = 1
    timeout_s: float = 10.0


async def run_load(load, progress=False):
    """Send the load and return what was seen.

    Parameters
    ----------
    load : Load
        Target, rate and duration.
    progress : bool
        Whether to show a line a second on standard error.

    Returns
    -------
    dict
        Counts by status and latency percentiles in milliseconds, measured
        from the time at which a request was due.
    """
    histogram = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
    statuses = {}
    source = random.Random(load.seed)
    timeout = aiohttp.ClientTimeout(total=load.timeout_s)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(
        connector=connector, timeout=timeout
    ) as client:
        started = time.perf_counter()
        due, tasks = started, set()
        shown = started
        while (due := due + source.expovariate(load.rate_per_s)) < (
            started + load.duration_s
        ):
            now = time.perf_counter()
            if due > now:
                await asyncio.sleep(due - now)
            task = asyncio.create_task(
                _send(client, load, due, histogram, statuses)
            )
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            if progress and now - shown >= PROGRESS_S:
                shown = now
                _show(now - started, load, statuses, len(tasks))
        if tasks:
            await asyncio.wait(tasks)
    return _summary(load, histogram, statuses)


async def _send(client, load, due, histogram, statuses):
    try:
        async with client.get(load.url, headers=load.headers) as answer:
            await answer.read()
            status = str(answer.status)
    except (aiohttp.ClientError, TimeoutError) as error:
        status = type(error).__name__
    statuses[status] = statuses.get(status, 0) + 1
    histogram.record_value(int((time.perf_counter() - due) * 1e6) or 1)


def _show(elapsed_s, load, statuses, running):
    line = f"{elapsed_s:6.1f} s of {load.duration_s:g}: {statuses}"
    print(f"{line}, {running} running", file=sys.stderr)


def _summary(load, histogram, statuses):
    return {
        "rate_per_s": load.rate_per_s,
        "requests": sum(statuses.values()),
        "statuses": dict(sorted(statuses.items())),
        "p50_ms": histogram.get_value_at_percentile(50) / 1e3,
        "p99_ms": histogram.get_value_at_percentile(99) / 1e3,
        "p999_ms": histogram.get_value_at_percentile(99.9) / 1e3,
        "max_ms": histogram.get_max_value() / 1e3,
    }


def main():
    """Run the load generator from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("url")
    parser.add_argument("--rate", type=float, default=100.0)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--key", default="")
    options = parser.parse_args()
    headers = {"x-medlarhollow-key": options.key} if options.key else {}
    load = Load(
        options.url, options.rate, options.seconds, headers, options.seed
    )
    print(json.dumps(asyncio.run(run_load(load, progress=True)), indent=1))


if __name__ == "__main__":
    main()
