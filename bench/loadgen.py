"""Open-loop load generator for one URL.

Arrivals follow a Poisson process whose times do not depend on the responses,
which avoids coordinated omission: a slow server cannot hide its delays.
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

__all__ = ["LoadProfile", "run_load"]

MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
PROGRESS_INTERVAL_S = 1.0


@attrs.frozen
class LoadProfile:
    """Requests to send.

    Attributes
    ----------
    url : str
        Target.
    rate_per_s : float
        Mean arrival rate in requests per second.
    duration_s : float
        Time in seconds during which requests are started.
    headers : dict
        Headers of every request.
    seed : int
        Seed of the arrival times.
    timeout_s : float
        Timeout of one request in seconds.
    """

    url: str
    rate_per_s: float
    duration_s: float
    headers: dict = attrs.field(factory=dict)
    seed: int = 1
    timeout_s: float = 10.0


async def run_load(load, progress=False):
    """Send the load and return the measured latencies.

    Parameters
    ----------
    load : LoadProfile
        Target, rate and duration.
    progress : bool
        Whether to print a line each second to standard error.

    Returns
    -------
    dict
        Counts by status and latency percentiles in milliseconds, measured
        from the scheduled time of each request.
    """
    histogram = HdrHistogram(
        MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
    )
    statuses = {}
    rng = random.Random(load.seed)
    timeout = aiohttp.ClientTimeout(total=load.timeout_s)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(
        connector=connector, timeout=timeout
    ) as client:
        started = time.perf_counter()
        scheduled_at, tasks = started, set()
        progress_at = started
        while (
            scheduled_at := scheduled_at + rng.expovariate(load.rate_per_s)
        ) < (started + load.duration_s):
            now = time.perf_counter()
            if scheduled_at > now:
                await asyncio.sleep(scheduled_at - now)
            task = asyncio.create_task(
                _send(client, load, scheduled_at, histogram, statuses)
            )
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            if progress and now - progress_at >= PROGRESS_INTERVAL_S:
                progress_at = now
                _print_progress(now - started, load, statuses, len(tasks))
        if tasks:
            await asyncio.wait(tasks)
    return _summarize(load, histogram, statuses)


async def _send(client, load, scheduled_at, histogram, statuses):
    try:
        async with client.get(load.url, headers=load.headers) as response:
            await response.read()
            status = str(response.status)
    except (aiohttp.ClientError, TimeoutError) as error:
        status = type(error).__name__
    statuses[status] = statuses.get(status, 0) + 1
    histogram.record_value(
        int((time.perf_counter() - scheduled_at) * 1e6) or 1
    )


def _print_progress(elapsed_s, load, statuses, in_flight):
    line = f"{elapsed_s:6.1f} s of {load.duration_s:g}: {statuses}"
    print(f"{line}, {in_flight} in flight", file=sys.stderr)


def _summarize(load, histogram, statuses):
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
    load = LoadProfile(
        options.url, options.rate, options.seconds, headers, options.seed
    )
    print(json.dumps(asyncio.run(run_load(load, progress=True)), indent=1))


if __name__ == "__main__":
    main()
