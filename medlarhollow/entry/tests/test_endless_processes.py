"""Backend servers of other processes that send bytes without end."""

import asyncio
import contextlib
import resource
import sys

import attrs
import pytest
from result import Ok

from medlarhollow import clock
from medlarhollow.messages.records import BackendServer
from medlarhollow.messages.records import Route
from medlarhollow.steering import Assignment

from .fakes import EntryHarness
from .fakes import FakeBackend
from .fakes import FakeDispatcher
from .fakes import respond
from .test_endless_responses import BODIES
from .test_endless_responses import CHUNKED
from .test_endless_responses import HEAD
from .test_endless_responses import HEADS

ROUTE_TIMEOUT_S = 1.2
# Time after the route's timeout by which a request must have its answer.
ANSWER_BOUND_S = 0.5
REQUESTS = 24
# Twice a read buffer of 64 KiB for each of 200 requests at once.
MEMORY_BOUND_BYTES = 200 * 2 * 65536
PAGE_BYTES = resource.getpagesize()
INTERIM = b"HTTP/1.1 103 Early Hints\r\n\r\n"
REPEATS = 2000
FORMS = {
    **{f"head: {name}": form for name, form in HEADS.items()},
    **{f"body: {name}": form for name, form in BODIES.items()},
    "early hints": (b"", INTERIM * REPEATS),
    "interim headers": (b"HTTP/1.1 103 Hints\r\n", b"X-More: a\r\n" * REPEATS),
    "chunks of a byte": (CHUNKED, b"1\r\nx\r\n" * REPEATS),
    "body beyond its length": (
        HEAD + b"Content-Length: 1\r\n\r\n",
        b"x" * 16384,
    ),
}


class ServiceDispatcher(FakeDispatcher):
    """Assign the server of a request's service."""

    def __init__(self):
        super().__init__()
        self.by_service = {}

    async def acquire(self, slot_request):
        address = self.by_service[slot_request.route.service]
        server = BackendServer(server_id=address, address=address)
        return Ok(Assignment(server, "1"))


@contextlib.asynccontextmanager
async def run_endless_server(form, pace_s):
    first, rest = form
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "medlarhollow.entry.tests.endless_server",
        first.hex(),
        rest.hex(),
        str(pace_s),
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        yield f"127.0.0.1:{int(await process.stdout.readline())}"
    finally:
        process.kill()
        await process.wait()


def resident_bytes():
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * PAGE_BYTES


async def call(entry, path):
    """Return the status, or 0 for a reset, and the duration in seconds."""
    started_at = clock.monotonic()
    reader, writer = await entry.connect(
        f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode()
    )
    status = 0
    try:
        while data := await reader.read(65536):
            status = status or int(data.split(b" ", 2)[1])
    except ConnectionError:
        status = 0
    finally:
        writer.close()
    return status, clock.monotonic() - started_at


async def sample_memory(peaks):
    while True:
        peaks.append(resident_bytes())
        await asyncio.sleep(0.02)


@pytest.mark.parametrize("pace_s", [0.0, 0.01], ids=["fast", "slow"])
@pytest.mark.parametrize("form", FORMS.values(), ids=FORMS)
async def test_endless_response_delays_no_other_caller(form, pace_s):
    """Guards callers of other servers and the memory of the entry VM."""
    entry = EntryHarness()
    dispatcher = entry.dispatcher = ServiceDispatcher()
    state = entry.state_cache.state
    state.services["sound"] = attrs.evolve(
        state.services["plots"], name="sound"
    )
    for prefix, service in (("/endless", "plots"), ("/sound", "sound")):
        state.routes["", prefix] = Route(
            path_prefix=prefix,
            service=service,
            timeout_s=ROUTE_TIMEOUT_S,
            open=True,
            idempotent=True,
        )
    async with (
        run_endless_server(form, pace_s) as address,
        entry.run(FakeBackend(respond(b"sound"))),
    ):
        dispatcher.by_service = {
            "plots": address,
            "sound": dispatcher.servers[0],
        }
        assert (await call(entry, "/sound"))[0] == 200
        peaks = [resident_bytes()]
        sampler = asyncio.create_task(sample_memory(peaks))
        endless = [
            asyncio.create_task(call(entry, "/endless/7"))
            for _ in range(REQUESTS)
        ]
        sound = []
        while not all(task.done() for task in endless):
            sound.append(asyncio.create_task(call(entry, "/sound/7")))
            await asyncio.sleep(0.05)
        sampler.cancel()
        limit_s = ROUTE_TIMEOUT_S + ANSWER_BOUND_S
        for task in sound:
            status, duration_s = await task
            assert status == 200
            assert duration_s < limit_s
        for task in endless:
            status, duration_s = await task
            if form != FORMS["body beyond its length"]:
                assert status in (0, 502, 504)
            assert duration_s < limit_s
        assert max(peaks) - peaks[0] < MEMORY_BOUND_BYTES
