"""Tasks of the control leader in a fleet of real processes."""

import asyncio
import hashlib
import time

import aiohttp
import pytest

from medlarhollow.localfleet import LocalFleet

LIMIT_S = 30.0


class Operator:
    """Client of the administration API of a replica."""

    def __init__(self, client, fleet, replica="control-1"):
        self._client = client
        self._base = f"http://{fleet.addresses[replica].admin}"
        self._headers = {"authorization": f"Bearer {fleet.operator_token}"}

    async def request(self, method, path, body=None):
        async with self._client.request(
            method, self._base + path, json=body, headers=self._headers
        ) as response:
            text = await response.text()
            assert response.status < 300, text
            return await response.json()

    async def eventually(self, method, path, body, check):
        """Send a request until the response passes a check."""
        async with asyncio.timeout(LIMIT_S):
            while True:
                try:
                    response = await self.request(method, path, body)
                except (aiohttp.ClientError, AssertionError):
                    response = None
                if response is not None and check(response):
                    return response
                await asyncio.sleep(0.1)


@pytest.fixture
def fleet(tmp_path):
    fleet = LocalFleet(tmp_path, 1, (("north", "north-a", 1),))
    fleet.start()
    yield fleet
    fleet.kill()


async def test_leader_ends_unmeasured_move_and_completes_shift(fleet):
    """Without further operator commands, the move must be rolled back before
    its deadline, and the preset must come into effect step by step."""
    credential = hashlib.sha256(b"credential").hexdigest()
    service = {"name": "plots", "announce_sha256": credential, "version": "1"}
    preset = {"name": "day", "weights": [], "shift_cap": 0.5}
    async with aiohttp.ClientSession() as client:
        operator = Operator(client, fleet)
        await operator.eventually("PUT", "/v1/services", service, bool)
        await operator.request(
            "PUT", "/v1/presets", {**preset, "shift_step_s": 0.5}
        )
        deadline_s = time.time() + 5
        move = {"service": "plots", "to_version": "2", "move_id": "m1"}
        move |= {"deadline_s": deadline_s, "cap": 1.0, "step_s": 0.5}
        await operator.request("POST", "/v1/moves", move)
        ended = await operator.eventually(
            "GET", "/v1/moves/m1", None, lambda shown: shown["ended_at_s"]
        )
        assert ended["ended_at_s"] < deadline_s
        assert ended["fraction"] == 0
        assert ended["reason"]
        await operator.eventually(
            "GET",
            "/v1/active-preset",
            None,
            lambda shown: shown["fraction"] == 1,
        )
