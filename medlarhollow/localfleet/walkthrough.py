"""Steps of the quick start."""

import asyncio
import contextlib
import hashlib
import time

import aiohttp

from .. import clock
from ..configuration import generate_key

__all__ = ["Walkthrough", "make_steps"]

_POLL_INTERVAL_S = 0.1
_STEP_TIMEOUT_S = 12.0
_MOVE_LIMIT_S = 20.0
_ENTRY_VM_COUNT = 4
_KEY_HEADER = "x-medlarhollow-key"

CONFIGURATION = {
    "accounts": [
        {"name": "crews", "rate_per_s": 500.0, "burst": 500.0},
        {"name": "office", "rate_per_s": 50.0, "burst": 50.0},
    ],
    "services": [
        {
            "name": "plots",
            "announce_sha256": hashlib.sha256(b"plots-credential").hexdigest(),
            "version": "1",
        }
    ],
    "routes": [
        {"path_prefix": "/plots", "service": "plots", "idempotent": True},
        {
            "path_prefix": "/notices",
            "service": "plots",
            "open": True,
            "idempotent": True,
        },
    ],
    "presets": [
        {"name": "ordinary", "shift_cap": 0.5, "shift_step_s": 0.5},
        {
            "name": "peak",
            "weights": [
                {"from_region": "north", "to_region": "north", "weight": 0.8},
                {"from_region": "north", "to_region": "south", "weight": 0.2},
            ],
            "shift_cap": 0.5,
            "shift_step_s": 0.5,
        },
    ],
}


class Walkthrough:
    """Make the requests of an operator and check what callers observe.

    Parameters
    ----------
    fleet : LocalFleet
        A started fleet.
    admin : AdminClient
        Client of its administration API.
    session : aiohttp.ClientSession
        Session for the requests of callers.
    """

    def __init__(self, fleet, admin, session):
        self._fleet = fleet
        self._admin = admin
        self._session = session
        self._keys = {}
        self._caller_addresses = [
            addresses.callers
            for name, addresses in fleet.addresses.items()
            if not name.startswith("control-")
        ]

    async def wait_for_fleet(self):
        """Wait until there is a leader that lists all entry VMs as serving."""

        async def check():
            status = _unwrap(await self._admin.read("/v1/status"))
            serving = [
                vm["name"]
                for vm in status["vms"]
                if vm["caller_address"] and vm["state"] == "serving"
            ]
            assert len(serving) == _ENTRY_VM_COUNT, f"{len(serving)} entry VMs"
            roles = [
                replica["status"]["role"] if replica["status"] else "silent"
                for replica in status["replicas"]
            ]
            assert roles.count("leader") == 1, f"replicas are {roles}"
            return f"{len(serving)} entry VMs, control replicas are {roles}"

        return await eventually(check)

    async def apply_configuration(self):
        """Apply a configuration and check that no change is left to apply."""
        path = "/v1/configuration"
        response = _unwrap(
            await self._admin.change("POST", path, CONFIGURATION)
        )
        repeated = _unwrap(
            await self._admin.change("POST", path, CONFIGURATION)
        )
        remaining = [change["change"] for change in repeated["changes"]]
        assert remaining == [], f"not in force: {remaining}"
        return (
            f"{response['applied']} changes, revision {response['revision']}"
        )

    async def look_up(self):
        """Check that each entry VM responds to look-ups with entry VMs."""

        async def check():
            first_choices = set()
            for address in self._caller_addresses:
                url = f"http://{address}/v1/lookup"
                async with self._session.get(
                    url, params={"service": "plots"}
                ) as response:
                    assert response.status == 200, await response.text()
                    body = await response.json()
                assert body["entry_vms"], f"{address} lists no entry VM"
                first_choices.add(body["entry_vms"][0]["name"])
            return f"first choices {', '.join(sorted(first_choices))}"

        return await eventually(check)

    async def serve_with_key(self):
        """Issue keys and send a request with a key through each entry VM."""
        for account in ("crews", "office"):
            await self._issue_key(account)

        async def check():
            servers = set()
            for address in self._caller_addresses:
                status, body = await self._get(address, "/plots/7", "crews")
                assert status == 200, f"{address}: {status} {body}"
                assert self._keys["crews"] not in str(body), (
                    "the key was passed on"
                )
                servers.add(body["server"])
            return f"served by {', '.join(sorted(servers))}, key not passed on"

        return await eventually(check)

    async def reject_missing_key(self):
        """Check that a request without a key is rejected."""
        status, body = await self._get(self._caller_addresses[0], "/plots/7")
        assert (status, body["outcome"]) == (401, "not-run"), f"{body}"
        return "401, not run"

    async def revoke_key(self):
        """Revoke a key and measure the time until all entry VMs reject it."""
        key_id = self._keys["crews"].split("_")[1]
        started_at = clock.monotonic()
        _unwrap(await self._admin.change("DELETE", f"/v1/keys/{key_id}"))

        async def check():
            for address in self._caller_addresses:
                status, _ = await self._get(address, "/plots/7", "crews")
                assert status == 401, f"{address} still responds with {status}"

        await eventually(check)
        elapsed_s = clock.monotonic() - started_at
        assert elapsed_s < 4.0, f"took {elapsed_s:.2f} s"
        return (
            f"rejected by all entry VMs {elapsed_s:.2f} s after its revocation"
        )

    async def switch_preset(self):
        """Activate a preset and wait until its shift is complete."""
        path = "/v1/presets/peak/activate"
        _unwrap(await self._admin.change("POST", path))

        async def check():
            active = _unwrap(await self._admin.read("/v1/active-preset"))
            assert active["preset"] == "peak", f"{active['preset']} is active"
            assert active["fraction"] == 1, f"at {active['fraction']:.0%}"
            return "peak is active, shift complete"

        return await eventually(check)

    async def move_service(self):
        """Move the service to version 2 under traffic."""
        request = {
            "move_id": "to-2",
            "service": "plots",
            "to_version": "2",
            "deadline_s": time.time() + _MOVE_LIMIT_S,
            "cap": 0.5,
            "step_s": 0.5,
        }
        _unwrap(await self._admin.change("POST", "/v1/moves", request))
        traffic = asyncio.create_task(self._send_traffic())
        try:
            outcome = await eventually(self._check_move, _MOVE_LIMIT_S + 2)
        finally:
            traffic.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await traffic

        async def check():
            for address in self._caller_addresses:
                _, body = await self._get(address, "/notices/1")
                version = body.get("version")
                assert version == "2", f"{address} uses version {version}"

        await eventually(check)
        return f"{outcome}, all entry VMs use version 2"

    async def _check_move(self):
        move = _unwrap(await self._admin.read("/v1/moves/to-2"))
        assert move["state"] != "rolled_back", _PermanentError(move["reason"])
        progress = f"at {move['fraction']:.0%}"
        assert move["state"] == "finished", progress
        return "finished"

    async def _send_traffic(self):
        """Send requests until cancelled: the move compares the responses."""
        while True:
            for address in self._caller_addresses:
                with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                    await self._get(address, "/notices/1")
            await asyncio.sleep(0.005)

    async def _issue_key(self, account):
        key, record = generate_key(account)
        request = {
            "key_id": record.key_id,
            "secret_sha256": record.secret_sha256.hex(),
        }
        path = f"/v1/accounts/{account}/keys"
        _unwrap(await self._admin.change("POST", path, request))
        self._keys[account] = key

    async def _get(self, address, path, account=None):
        headers = {_KEY_HEADER: self._keys[account]} if account else {}
        async with self._session.get(
            f"http://{address}{path}", headers=headers
        ) as response:
            return response.status, await response.json(content_type=None)


class _PermanentError(Exception):
    """Marks a failure that further polling cannot resolve."""


def make_steps(walkthrough):
    """Return the names and coroutine functions of the steps, in order."""
    return [
        ("fleet starts", walkthrough.wait_for_fleet),
        ("configuration in force", walkthrough.apply_configuration),
        ("look-up", walkthrough.look_up),
        ("keyed request served", walkthrough.serve_with_key),
        ("request without key rejected", walkthrough.reject_missing_key),
        ("key revoked", walkthrough.revoke_key),
        ("preset activated", walkthrough.switch_preset),
        ("version move finished", walkthrough.move_service),
    ]


async def eventually(check, limit_s=_STEP_TIMEOUT_S):
    """Repeat a check until it passes.

    Parameters
    ----------
    check : callable
        Coroutine function that raises as long as the condition is false.
    limit_s : float
        Time in seconds after which the last failure is raised.

    Returns
    -------
    object
        Return value of the check.

    Raises
    ------
    AssertionError, aiohttp.ClientError, OSError, TimeoutError
        The last failure of the check.
    """
    deadline = clock.monotonic() + limit_s
    while True:
        try:
            return await check()
        except (
            AssertionError,
            aiohttp.ClientError,
            OSError,
            TimeoutError,
        ) as error:
            is_permanent = error.args and isinstance(
                error.args[0], _PermanentError
            )
            if is_permanent or clock.monotonic() > deadline:
                raise
        await asyncio.sleep(_POLL_INTERVAL_S)


def _unwrap(result):
    """Return the value of a result; raise AssertionError for a failure."""
    if result.is_err():
        failure = result.err_value
        kind = failure.kind.name.lower()
        raise AssertionError(f"{kind}: {failure.detail}")
    return result.ok_value
