"""Client that sends the same bytes without end, as a process of its own.

Run as ``python -m medlarhollow.daemon.tests.flooding_client ADDRESS FIRST REST
CONNECTIONS READS DURATION_S`` with FIRST and REST in hexadecimal and READS as
0 or 1: whether the responses are read. Each connection sends FIRST, then REST
until it is closed, and is opened again. A ``%08d`` in REST becomes a new
number each time.
"""

import asyncio
import contextlib
import itertools
import sys

# Repetitions in one write.
BATCH = 8


def make_batch(rest, numbers):
    if b"%08d" not in rest:
        return rest * BATCH
    return b"".join(rest % next(numbers) for _ in range(BATCH))


async def flood(address, first, rest, reads, numbers):
    host, port = address.split(":")
    while True:
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            await asyncio.sleep(0.01)
            continue
        discarding = None
        if reads:
            discarding = asyncio.create_task(discard(reader))
        with contextlib.suppress(OSError):
            writer.write(first)
            while not writer.is_closing():
                writer.write(make_batch(rest, numbers))
                await writer.drain()
                await asyncio.sleep(0)
        if discarding is not None:
            discarding.cancel()
        writer.close()


async def discard(reader):
    with contextlib.suppress(OSError):
        while await reader.read(65536):
            pass


async def main():
    address, first, rest, connections, reads, duration_s = sys.argv[1:]
    first, rest = bytes.fromhex(first), bytes.fromhex(rest)
    numbers = itertools.count()
    with contextlib.suppress(TimeoutError):
        async with (
            asyncio.timeout(float(duration_s)),
            asyncio.TaskGroup() as group,
        ):
            for _ in range(int(connections)):
                group.create_task(
                    flood(address, first, rest, reads == "1", numbers)
                )


if __name__ == "__main__":
    asyncio.run(main())
