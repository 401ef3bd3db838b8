"""Planned stop of a real entry VM process."""

import asyncio
import signal
import time

import aiohttp
import pytest

from medlarhollow.entry.tests.fakes import respond

from .fleets import run_fleet
from .test_whole_path import eventually


def answer_slowly(delay_s):
    """Delay the answers to the slow path."""

    async def behave(request, reader, writer):
        slow = b"/plots/slow" in request.head
        return await respond(b"whole", delay_s=delay_s * slow)(
            request, reader, writer
        )

    return behave


async def begin_slow(fleet):
    """Send a slow request and wait until the server has it."""
    slow = asyncio.create_task(fleet.get("/plots/slow"))
    await eventually(
        lambda: asyncio.sleep(
            0, any(b"slow" in item.head for item in fleet.backend.requests)
        )
    )
    return slow


async def test_stop_interrupts_no_request(tmp_path):
    """Guards invariant 12: a request that runs longer than the notice ends
    whole, the VM leaves the look-ups before it refuses connections, kept
    connections are closed by their answers, a second SIGTERM cuts nothing,
    and the exit code is 0."""

    async with run_fleet(tmp_path, answer_slowly(2.5)) as fleet:
        slow = await begin_slow(fleet)
        fleet.process.send_signal(signal.SIGTERM)
        stopped_at = time.monotonic()

        async def left():
            names = await fleet.named()
            return "north-a-2" in names and "north-a-1" not in names

        await eventually(left)
        status, headers, _ = await fleet.get()
        assert status == 200, "connections are taken during the notice"
        assert headers["connection"] == "close"
        assert time.monotonic() - stopped_at < 1.5

        async def refused():
            try:
                await fleet.get()
            except aiohttp.ClientConnectorError:
                return True

        await eventually(refused)
        assert not slow.done()
        fleet.process.send_signal(signal.SIGTERM)
        assert (await slow)[2] == b"whole"
        assert await fleet.exit_code() == 0


@pytest.mark.parametrize("started", [False, True])
async def test_stop_beyond_the_limit_says_so(tmp_path, started):
    """Guards operators and callers: a request that does not end within the
    limit is cut visibly, and the exit code is 3."""

    async def behave(request, reader, writer):
        if b"/plots/slow" not in request.head:
            return await respond()(request, reader, writer)
        if started:
            writer.write(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"4\r\nhalf\r\n"
            )
        return await reader.read()

    async with run_fleet(tmp_path, behave) as fleet:
        slow = asyncio.create_task(fleet.get("/plots/slow"))
        await asyncio.sleep(0.3)
        fleet.process.send_signal(signal.SIGTERM)
        with pytest.raises(aiohttp.ClientError):
            await slow
        assert await fleet.exit_code() == 3


async def test_reload_signal_cuts_no_request(tmp_path):
    """Guards requests when settings change: the signal's default action
    would end the process."""

    async with run_fleet(tmp_path, answer_slowly(1.0)) as fleet:
        slow = await begin_slow(fleet)
        pid = fleet.process.pid
        fleet.process.send_signal(signal.SIGHUP)
        assert (await slow)[2] == b"whole"
        assert (await fleet.get())[0] == 200
        assert fleet.process.pid == pid
        assert fleet.process.exit_code is None
