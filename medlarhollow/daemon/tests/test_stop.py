"""Planned stop of a real entry VM process."""

import asyncio
import contextlib
import hashlib
import signal
import time

import aiohttp
import pytest

from medlarhollow.entry.tests.stand_ins import answer
from medlarhollow.entry.tests.stand_ins import Backend
from medlarhollow.localfleet import LocalFleet

from .test_whole_path import eventually

OPTIONS = {"entry": {"drain_notice_s": "1.5", "drain_limit_s": "2.0"}}


class Fleet:
    """Two entry VMs and a stand-in backend server of an open route."""

    def __init__(self, fleet, backend, client):
        self.fleet = fleet
        self.backend = backend
        self.client = client

    @property
    def process(self):
        return self.fleet.processes["north-a-1"]

    def url(self, name, path):
        return f"http://{self.fleet.addresses[name].callers}{path}"

    async def set_up(self):
        admin = f"http://{self.fleet.addresses['control-1'].admin}"
        token = {"authorization": f"Bearer {self.fleet.operator_token}"}
        credential = hashlib.sha256(b"credential").hexdigest()
        service = {
            "name": "plots",
            "announce_sha256": credential,
            "version": "1",
        }
        route = {"path_prefix": "/plots", "service": "plots", "open": True}

        async def put(path, body):
            async with self.client.put(
                admin + path, json=body, headers=token
            ) as response:
                return response.status == 200

        await eventually(lambda: put("/v1/services", service))
        await eventually(lambda: put("/v1/routes", route))

    async def keep_announcing(self):
        body = {
            "server_id": "b1",
            "service": "plots",
            "version": "1",
            "address": self.backend.address,
            "slots": 8,
        }
        announce = self.fleet.addresses["north-a-1"].announce
        while True:
            with contextlib.suppress(aiohttp.ClientError):
                async with self.client.post(
                    f"http://{announce}/v1/announce",
                    json=body,
                    headers={"authorization": "Bearer credential"},
                ):
                    pass
            await asyncio.sleep(0.3)

    async def get(self, path="/plots"):
        async with self.client.get(self.url("north-a-1", path)) as response:
            return response.status, response.headers, await response.read()

    async def named(self):
        """Return the VMs that the other VM names in a look-up."""
        url = self.url("north-a-2", "/v1/lookup?service=plots")
        async with self.client.get(url) as response:
            if response.status != 200:
                return set()
            vms = (await response.json())["entry_vms"]
            return {vm["name"] for vm in vms}

    async def exit_code(self):
        async with asyncio.timeout(20):
            while self.process.exit_code is None:
                await asyncio.sleep(0.05)
        return self.process.exit_code


@contextlib.asynccontextmanager
async def run_fleet(folder, behave):
    """Run the fleet until requests are served."""
    fleet = LocalFleet(folder, 1, (("north", "north-a", 2),), OPTIONS)
    fleet.start()
    try:
        async with (
            Backend(behave) as backend,
            aiohttp.ClientSession() as client,
        ):
            running = Fleet(fleet, backend, client)
            await running.set_up()
            announcing = asyncio.create_task(running.keep_announcing())

            async def ready():
                both = {"north-a-1", "north-a-2"} <= await running.named()
                return both and (await running.get())[0] == 200

            await eventually(ready)
            yield running
            announcing.cancel()
    finally:
        fleet.kill()


async def test_stop_interrupts_no_request(tmp_path):
    """Guards invariant 12: a request that runs longer than the notice ends
    whole, the VM leaves the look-ups before it refuses connections, kept
    connections are closed by their answers, a second SIGTERM cuts nothing,
    and the exit code is 0."""

    async def behave(request, reader, writer):
        slow = b"/plots/slow" in request.head
        return await answer(b"whole", delay_s=2.5 * slow)(
            request, reader, writer
        )

    async with run_fleet(tmp_path, behave) as fleet:
        slow = asyncio.create_task(fleet.get("/plots/slow"))
        await eventually(
            lambda: asyncio.sleep(
                0,
                any(b"slow" in item.head for item in fleet.backend.requests),
            )
        )
        fleet.process.send(signal.SIGTERM)
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
        fleet.process.send(signal.SIGTERM)
        assert (await slow)[2] == b"whole"
        assert await fleet.exit_code() == 0


@pytest.mark.parametrize("started", [False, True])
async def test_stop_beyond_the_limit_says_so(tmp_path, started):
    """Guards operators and callers: a request that does not end within the
    limit is cut visibly, and the exit code is 3."""

    async def behave(request, reader, writer):
        if b"/plots/slow" not in request.head:
            return await answer()(request, reader, writer)
        if started:
            writer.write(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"4\r\nhalf\r\n"
            )
        return await reader.read()

    async with run_fleet(tmp_path, behave) as fleet:
        slow = asyncio.create_task(fleet.get("/plots/slow"))
        await asyncio.sleep(0.3)
        fleet.process.send(signal.SIGTERM)
        with pytest.raises(aiohttp.ClientError):
            await slow
        assert await fleet.exit_code() == 3
