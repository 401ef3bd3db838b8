"""Client that pipelines one request without end, as a process of its own.

Run as ``python -m medlarhollow.daemon.tests.flooding_client ADDRESS REQUEST
CONNECTIONS READS DURATION_S`` with REQUEST in hexadecimal and READS as 0 or 1:
whether the responses are read. It reconnects when a connection is closed. A
``%08d`` in the request becomes a new number each time.
"""

import asyncio
import contextlib
import itertools
import sys

# Requests in one write.
BATCH = 8


def make_batch(request, numbers):
    if b"%08d" not in request:
        return request * BATCH
    return b"".join(request % next(numbers) for _ in range(BATCH))


async def flood(address, request, reads, numbers):
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
            while not writer.is_closing():
                writer.write(make_batch(request, numbers))
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
    address, request, connections, reads, duration_s = sys.argv[1:]
    request = bytes.fromhex(request)
    numbers = itertools.count()
    with contextlib.suppress(TimeoutError):
        async with (
            asyncio.timeout(float(duration_s)),
            asyncio.TaskGroup() as group,
        ):
            for _ in range(int(connections)):
                group.create_task(
                    flood(address, request, reads == "1", numbers)
                )


if __name__ == "__main__":
    asyncio.run(main())
