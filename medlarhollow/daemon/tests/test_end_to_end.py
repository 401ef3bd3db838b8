"""A real request through separate processes."""

import asyncio
import hashlib

import aiohttp
import pytest

from medlarhollow.configuration import generate_key
from medlarhollow.localfleet import LocalFleet

LIMIT_S = 20.0


async def eventually(check):
    """Return the first true result of `check` within `LIMIT_S`."""
    async with asyncio.timeout(LIMIT_S):
        while True:
            try:
                result = await check()
            except aiohttp.ClientError:
                result = None
            if result:
                return result
            await asyncio.sleep(0.1)


@pytest.fixture
def fleet(tmp_path):
    fleet = LocalFleet(tmp_path, 1, (("north", "north-a", 1),))
    fleet.add_backend("b1", "plots", "1", "plots-credential", "north-a-1")
    fleet.start()
    yield fleet
    fleet.kill()


async def test_keyed_request_is_served_until_key_is_revoked(fleet):
    """Guards the path from caller to server: requests with a key must reach
    the server until an operator revokes the key."""
    admin = f"http://{fleet.addresses['control-1'].admin}"
    entry = f"http://{fleet.addresses['north-a-1'].callers}"
    operator = {"authorization": f"Bearer {fleet.operator_token}"}
    async with aiohttp.ClientSession() as client:

        async def put(path, body):
            async with client.put(
                admin + path, json=body, headers=operator
            ) as response:
                assert response.status == 200, await response.text()
                return True

        account = {"name": "crew", "rate_per_s": 10.0, "burst": 20.0}
        await eventually(lambda: put("/v1/accounts", account))
        credential = hashlib.sha256(b"plots-credential").hexdigest()
        await put(
            "/v1/services",
            {"name": "plots", "announce_sha256": credential, "version": "1"},
        )
        await put(
            "/v1/routes",
            {"path_prefix": "/plots", "service": "plots", "idempotent": True},
        )
        key, record = generate_key("crew")
        key_body = {
            "key_id": record.key_id,
            "secret_sha256": record.secret_sha256.hex(),
        }
        async with client.post(
            f"{admin}/v1/accounts/crew/keys", headers=operator, json=key_body
        ) as response:
            assert response.status == 200, await response.text()

        async def get():
            headers = {"x-medlarhollow-key": key}
            async with client.get(
                f"{entry}/plots/7", headers=headers
            ) as response:
                body = await response.json()
                return response.status, body

        async def is_served():
            status, body = await get()
            return body if status == 200 else None

        body = await eventually(is_served)
        assert body["path"] == "/plots/7"
        assert key not in str(body)

        key_id = key.split("_")[1]
        async with client.delete(
            f"{admin}/v1/keys/{key_id}", headers=operator
        ) as response:
            assert response.status == 200

        async def is_refused():
            status, body = await get()
            return body if status == 401 else None

        body = await eventually(is_refused)
        assert body["outcome"] == "not-run"
