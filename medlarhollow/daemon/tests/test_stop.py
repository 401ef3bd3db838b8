"""Planned stop of a real entry VM process."""

import asyncio
import signal

import aiohttp
import pytest

from medlarhollow import clock
from medlarhollow.entry.tests.fakes import respond

from .fleets import run_fleet
from .test_end_to_end import eventually


def respond_slowly(delay_s):
    """Return a behaviour that delays responses to the slow path."""

    async def behaviour(request, reader, writer):
        slow = b"/plots/slow" in request.head
        return await respond(b"whole", delay_s=delay_s * slow)(
            request, reader, writer
        )

    return behaviour


async def start_slow_request(fleet):
    """Start a slow request and wait until the server received it."""
    slow = asyncio.create_task(fleet.get("/plots/slow"))
    await eventually(
        lambda: asyncio.sleep(
            0,
            any(b"slow" in request.head for request in fleet.backend.requests),
        )
    )
    return slow


async def test_stop_completes_running_requests(tmp_path):
    """Guards invariant 12: a request that outlasts the notice time is
    completed, the VM leaves the look-ups before it refuses connections, open
    connections are closed by their responses, a second SIGTERM aborts
    nothing, and the exit code is 0."""

    async with run_fleet(tmp_path, respond_slowly(2.5)) as fleet:
        slow = await start_slow_request(fleet)
        fleet.process.send_signal(signal.SIGTERM)
        signalled_at = clock.monotonic()

        async def has_left_lookups():
            names = await fleet.look_up_vms()
            return "north-a-2" in names and "north-a-1" not in names

        await eventually(has_left_lookups)
        status, headers, _ = await fleet.get()
        assert status == 200, "connections are accepted during the notice time"
        assert headers["connection"] == "close"
        assert clock.monotonic() - signalled_at < 1.5

        async def is_refused():
            try:
                await fleet.get()
            except aiohttp.ClientConnectorError:
                return True

        await eventually(is_refused)
        assert not slow.done()
        fleet.process.send_signal(signal.SIGTERM)
        assert (await slow)[2] == b"whole"
        assert await fleet.wait_for_exit() == 0


@pytest.mark.parametrize("response_started", [False, True])
async def test_request_beyond_drain_limit_is_aborted(
    tmp_path, response_started
):
    """A request that outlasts the drain limit must fail visibly for its
    caller, and the exit code 3 must report it to operators."""

    async def behaviour(request, reader, writer):
        if b"/plots/slow" not in request.head:
            return await respond()(request, reader, writer)
        if response_started:
            writer.write(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"4\r\nhalf\r\n"
            )
        return await reader.read()

    async with run_fleet(tmp_path, behaviour) as fleet:
        slow = asyncio.create_task(fleet.get("/plots/slow"))
        await asyncio.sleep(0.3)
        fleet.process.send_signal(signal.SIGTERM)
        with pytest.raises(aiohttp.ClientError):
            await slow
        assert await fleet.wait_for_exit() == 3


async def test_sighup_interrupts_no_request(tmp_path):
    """Guards running requests when settings change: the default action of
    SIGHUP would end the process."""

    async with run_fleet(tmp_path, respond_slowly(1.0)) as fleet:
        slow = await start_slow_request(fleet)
        pid = fleet.process.pid
        fleet.process.send_signal(signal.SIGHUP)
        assert (await slow)[2] == b"whole"
        assert (await fleet.get())[0] == 200
        assert fleet.process.pid == pid
        assert fleet.process.exit_code is None
