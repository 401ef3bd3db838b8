"""A fleet of real processes with a fake backend server."""

import asyncio
import contextlib
import hashlib

import aiohttp

from medlarhollow.configuration import generate_key
from medlarhollow.entry.tests.fakes import FakeBackend
from medlarhollow.localfleet import LocalFleet

from .test_end_to_end import eventually

OPTIONS = {
    "entry": {
        "drain_notice_s": "1.5",
        "drain_limit_s": "2.0",
        "lookup_count": "8",
    }
}


class Fleet:
    """Two entry VMs and a fake backend server with two routes."""

    def __init__(self, local_fleet, backend, client):
        self.local_fleet = local_fleet
        self.backend = backend
        self.client = client
        self.key = ""

    @property
    def process(self):
        return self.local_fleet.processes["north-a-1"]

    def url(self, name, path):
        return f"http://{self.local_fleet.addresses[name].callers}{path}"

    async def set_up(self):
        credential = hashlib.sha256(b"credential").hexdigest()
        service = {
            "name": "plots",
            "announce_sha256": credential,
            "version": "1",
        }
        account = {"name": "crew", "rate_per_s": 50.0, "burst": 50.0}
        open_route = {
            "path_prefix": "/plots",
            "service": "plots",
            "open": True,
        }
        keyed_route = {"path_prefix": "/orders", "service": "plots"}
        self.key, record = generate_key("crew")
        key = {
            "key_id": record.key_id,
            "secret_sha256": record.secret_sha256.hex(),
        }
        await eventually(
            lambda: self.request_admin("PUT", "accounts", account)
        )
        await eventually(
            lambda: self.request_admin("PUT", "services", service)
        )
        await eventually(
            lambda: self.request_admin("PUT", "routes", open_route)
        )
        await eventually(
            lambda: self.request_admin("PUT", "routes", keyed_route)
        )
        path = "accounts/crew/keys"
        await eventually(lambda: self.request_admin("POST", path, key))

    async def request_admin(self, method, path, body):
        admin = self.local_fleet.addresses["control-1"].admin
        async with self.client.request(
            method,
            f"http://{admin}/v1/{path}",
            json=body,
            headers={
                "authorization": f"Bearer {self.local_fleet.operator_token}"
            },
        ) as response:
            return response.status == 200

    async def announce_continuously(self):
        body = {
            "server_id": "b1",
            "service": "plots",
            "version": "1",
            "address": self.backend.address,
            "slots": 8,
        }
        while True:
            for name in ("north-a-1", "north-a-2"):
                announce = self.local_fleet.addresses[name].announce
                with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                    async with self.client.post(
                        f"http://{announce}/v1/announce",
                        json=body,
                        headers={"authorization": "Bearer credential"},
                        timeout=aiohttp.ClientTimeout(total=0.5),
                    ):
                        pass
            await asyncio.sleep(0.3)

    async def send_order(self, name, idempotency_key):
        """Send one order through an entry VM."""
        headers = {
            "x-medlarhollow-key": self.key,
            "idempotency-key": idempotency_key,
        }
        async with self.client.post(
            self.url(name, "/orders"), headers=headers, data=b"cuttings"
        ) as response:
            return response.status, response.headers, await response.read()

    async def get(self, path="/plots"):
        async with self.client.get(self.url("north-a-1", path)) as response:
            return response.status, response.headers, await response.read()

    async def look_up_vms(self):
        """Return the names of the VMs in a look-up at the other VM."""
        url = self.url("north-a-2", "/v1/lookup?service=plots")
        async with self.client.get(url) as response:
            if response.status != 200:
                return set()
            vms = (await response.json())["entry_vms"]
            return {vm["name"] for vm in vms}

    async def wait_for_exit(self):
        async with asyncio.timeout(20):
            while self.process.exit_code is None:
                await asyncio.sleep(0.05)
        return self.process.exit_code


@contextlib.asynccontextmanager
async def run_fleet(folder, behaviour, replicas=1, options=None):
    """Run a fleet; yield it once requests are served."""
    fleet = LocalFleet(
        folder,
        replicas,
        (("north", "north-a", 2),),
        OPTIONS | (options or {}),
    )
    fleet.start()
    try:
        async with (
            FakeBackend(behaviour) as backend,
            aiohttp.ClientSession() as client,
        ):
            running = Fleet(fleet, backend, client)
            await running.set_up()
            announcements = asyncio.create_task(
                running.announce_continuously()
            )

            async def is_ready():
                both = {
                    "north-a-1",
                    "north-a-2",
                } <= await running.look_up_vms()
                return both and (await running.get())[0] < 300

            await eventually(is_ready)
            yield running
            announcements.cancel()
    finally:
        fleet.kill()
