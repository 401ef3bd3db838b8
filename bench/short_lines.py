"""Responses of short lines or chunks: bytes per second through an entry VM.

Also measured: many such responses at once, and how long a small response of
another server takes beside them.
"""

import asyncio
import time

from medlarhollow.entry.backend_client import BackendClient
from medlarhollow.settings.load import parse_settings

from .report import write_results

BODY_BYTES = 540_000
SMALL_BODY_BYTES = 100_000
REPEATS = 5
CONCURRENT = 50
HEAD = b"HTTP/1.1 200 OK\r\n"
SETTINGS = parse_settings(
    """
[vm]
name = vm-0
cluster = bench
region = region-0
data_centre = dc-0
[peer]
listen = 127.0.0.1:1
secret_file = none
[control]
replicas = 127.0.0.1:1
"""
)


def make_response(framing, size, total):
    """Return a response with a body of lines or chunks of a size in bytes."""
    line = b"x" * (size - 1) + b"\n"
    count = total // size
    if framing == "chunks":
        chunk = b"%x\r\n" % size + line + b"\r\n"
        return (
            HEAD
            + b"Transfer-Encoding: chunked\r\n\r\n"
            + chunk * count
            + b"0\r\n\r\n"
        )
    length = b"Content-Length: %d\r\n" % (size * count)
    if framing == "no length":
        length = b"Connection: close\r\n"
    return HEAD + length + b"\r\n" + line * count


FORMS = [
    *(("length", size) for size in (20, 40, 60, 100, 127, 1000)),
    ("no length", 40),
    *(("chunks", size) for size in (40, 200, 1000)),
]


async def serve(response):
    """Return a server that sends a response to each request at once."""

    async def answer(reader, writer):
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(response)
                await writer.drain()
                if b"Connection: close" in response:
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(answer, "127.0.0.1", 0)


async def fetch(client, port):
    """Return the time in seconds that a response takes, and its bytes."""
    started_at = time.perf_counter()
    response = await client.send(
        "GET", f"127.0.0.1:{port}", "/", [("Host", "x")], None, True
    )
    size = 0
    async for part in client.read_body(response, float("inf")):
        size += len(part)
    await response.close()
    return time.perf_counter() - started_at, size


async def measure_alone(framing, size, total):
    """Return the figures of one response at a time."""
    server = await serve(make_response(framing, size, total))
    port = server.sockets[0].getsockname()[1]
    async with BackendClient(SETTINGS) as client:
        runs = [await fetch(client, port) for _ in range(REPEATS)]
    server.close()
    fastest_s, received = min(runs)
    return {
        "framing": framing,
        "line_bytes": size,
        "body_bytes": received,
        "fastest_s": round(fastest_s, 5),
        "slowest_s": round(max(runs)[0], 5),
        "mbyte_per_s": round(received / fastest_s / 1e6, 2),
    }


async def measure_beside(framing, size):
    """Return the times of many responses at once, and of others beside."""
    server = await serve(make_response(framing, size, BODY_BYTES))
    small = await serve(HEAD + b"Content-Length: 4\r\n\r\ndone")
    port, small_port = (
        item.sockets[0].getsockname()[1] for item in (server, small)
    )
    others = []
    async with BackendClient(SETTINGS) as client:
        tasks = [
            asyncio.create_task(fetch(client, port)) for _ in range(CONCURRENT)
        ]
        while not all(task.done() for task in tasks):
            others.append((await fetch(client, small_port))[0])
            await asyncio.sleep(0.005)
        times = sorted([(await task)[0] for task in tasks])
    server.close()
    small.close()
    others.sort()
    return {
        "framing": framing,
        "line_bytes": size,
        "responses_at_once": CONCURRENT,
        "slowest_s": round(times[-1], 4),
        "other_p50_s": round(others[len(others) // 2], 4),
        "other_slowest_s": round(others[-1], 4),
    }


async def main():
    """Measure all forms and write the results."""
    alone = [
        await measure_alone(framing, size, total)
        for framing, size in FORMS
        for total in (BODY_BYTES, SMALL_BODY_BYTES)
    ]
    beside = [await measure_beside(*form) for form in FORMS]
    write_results("short_lines", None, [*alone, *beside])


if __name__ == "__main__":
    asyncio.run(main())
