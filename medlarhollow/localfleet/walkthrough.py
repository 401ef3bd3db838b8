"""Steps of the quick start."""

import asyncio
import contextlib
import hashlib
import time

import aiohttp

from ..configuration import generate_key

__all__ = ["Walkthrough", "make_steps"]

_PAUSE_S = 0.1
_STEP_LIMIT_S = 12.0
_MOVE_WITHIN_S = 20.0
_ENTRY_VMS = 4
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
    """Order what operators order and check what callers see.

    Parameters
    ----------
    fleet : LocalFleet
        A started fleet.
    admin : AdminClient
        Client of its administration API.
    session : aiohttp.ClientSession
        Connections of callers.
    """

    def __init__(self, fleet, admin, session):
        self._fleet = fleet
        self._admin = admin
        self._session = session
        self._keys = {}
        self._entries = [
            own.callers
            for name, own in fleet.addresses.items()
            if not name.startswith("control-")
        ]

    async def start_fleet(self):
        """Wait until a leader knows every entry VM."""

        async def check():
            status = _need(await self._admin.read("/v1/status"))
            serving = [
                vm["name"]
                for vm in status["vms"]
                if vm["caller_address"] and vm["state"] == "serving"
            ]
            assert len(serving) == _ENTRY_VMS, f"{len(serving)} entry VMs"
            roles = [
                answer["status"]["role"] if answer["status"] else "silent"
                for answer in status["replicas"]
            ]
            assert roles.count("leader") == 1, f"replicas are {roles}"
            return f"{len(serving)} entry VMs, control replicas are {roles}"

        return await eventually(check)

    async def configure(self):
        """Bring a configuration into force and see that it is."""
        path = "/v1/configuration"
        answer = _need(await self._admin.change("POST", path, CONFIGURATION))
        again = _need(await self._admin.change("POST", path, CONFIGURATION))
        left = [change["change"] for change in again["changes"]]
        assert left == [], f"not in force: {left}"
        return f"{answer['applied']} changes, revision {answer['revision']}"

    async def look_up(self):
        """Ask each entry VM which entry VMs to use."""

        async def check():
            told = set()
            for entry in self._entries:
                url = f"http://{entry}/v1/lookup"
                async with self._session.get(
                    url, params={"service": "plots"}
                ) as answer:
                    assert answer.status == 200, await answer.text()
                    body = await answer.json()
                assert body["entry_vms"], f"{entry} names no entry VM"
                told.add(body["entry_vms"][0]["name"])
            return f"first choices {', '.join(sorted(told))}"

        return await eventually(check)

    async def serve_keyed(self):
        """Issue a key and have a request served by each entry VM."""
        for account in ("crews", "office"):
            await self._issue(account)

        async def check():
            servers = set()
            for entry in self._entries:
                status, body = await self._get(entry, "/plots/7", "crews")
                assert status == 200, f"{entry}: {status} {body}"
                assert self._keys["crews"] not in str(body), "the key leaked"
                servers.add(body["server"])
            return f"served by {', '.join(sorted(servers))}, key not passed on"

        return await eventually(check)

    async def refuse_unknown(self):
        """See that a request without a key does not run."""
        status, body = await self._get(self._entries[0], "/plots/7")
        assert (status, body["outcome"]) == (401, "not-run"), f"{body}"
        return "401, not run"

    async def revoke(self):
        """Revoke a key and measure until every entry VM refuses it."""
        key_id = self._keys["crews"].split("_")[1]
        begun_at = time.monotonic()
        _need(await self._admin.change("DELETE", f"/v1/keys/{key_id}"))

        async def check():
            for entry in self._entries:
                status, _ = await self._get(entry, "/plots/7", "crews")
                assert status == 401, f"{entry} still answers {status}"

        await eventually(check)
        took_s = time.monotonic() - begun_at
        assert took_s < 4.0, f"took {took_s:.2f} s"
        return f"refused by every entry VM {took_s:.2f} s after the order"

    async def switch_preset(self):
        """Activate a preset and follow its shift to the end."""
        path = "/v1/presets/peak/activate"
        _need(await self._admin.change("POST", path))

        async def check():
            active = _need(await self._admin.read("/v1/active-preset"))
            assert active["preset"] == "peak", f"{active['preset']} is active"
            assert active["fraction"] == 1, f"at {active['fraction']:.0%}"
            return "peak in force, shift complete"

        return await eventually(check)

    async def move(self):
        """Move the service to version 2 under traffic."""
        order = {
            "move_id": "to-2",
            "service": "plots",
            "to_version": "2",
            "deadline_s": time.time() + _MOVE_WITHIN_S,
            "cap": 0.5,
            "step_s": 0.5,
        }
        _need(await self._admin.change("POST", "/v1/moves", order))
        traffic = asyncio.create_task(self._send_traffic())
        try:
            ended = await eventually(self._check_move, _MOVE_WITHIN_S + 2)
        finally:
            traffic.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await traffic

        async def check():
            for entry in self._entries:
                _, body = await self._get(entry, "/notices/1")
                version = body.get("version")
                assert version == "2", f"{entry} uses version {version}"

        await eventually(check)
        return f"{ended}, every entry VM uses version 2"

    async def _check_move(self):
        move = _need(await self._admin.read("/v1/moves/to-2"))
        assert move["state"] != "rolled_back", _FinalError(move["reason"])
        told = f"at {move['fraction']:.0%}"
        assert move["state"] == "finished", told
        return "finished"

    async def _send_traffic(self):
        """Send requests until cancelled, so that the move can be judged."""
        while True:
            for entry in self._entries:
                with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                    await self._get(entry, "/notices/1")
            await asyncio.sleep(0.005)

    async def _issue(self, account):
        text, record = generate_key(account)
        order = {
            "key_id": record.key_id,
            "secret_sha256": record.secret_sha256.hex(),
        }
        path = f"/v1/accounts/{account}/keys"
        _need(await self._admin.change("POST", path, order))
        self._keys[account] = text

    async def _get(self, entry, path, account=None):
        headers = {_KEY_HEADER: self._keys[account]} if account else {}
        async with self._session.get(
            f"http://{entry}{path}", headers=headers
        ) as answer:
            return answer.status, await answer.json(content_type=None)


class _FinalError(Exception):
    """Say that a check can no longer hold."""


def make_steps(walkthrough):
    """Return the steps in their order, with their names."""
    return [
        ("fleet starts", walkthrough.start_fleet),
        ("configuration in force", walkthrough.configure),
        ("look-up", walkthrough.look_up),
        ("keyed request served", walkthrough.serve_keyed),
        ("request without key refused", walkthrough.refuse_unknown),
        ("key revoked", walkthrough.revoke),
        ("preset activated", walkthrough.switch_preset),
        ("version move finished", walkthrough.move),
    ]


async def eventually(check, limit_s=_STEP_LIMIT_S):
    """Repeat a check until it holds.

    Parameters
    ----------
    check : callable
        Coroutine function that raises as long as it does not hold.
    limit_s : float
        Time after which its last failure is raised, in seconds.

    Returns
    -------
    object
        What the check returns.
    """
    give_up_at = time.monotonic() + limit_s
    while True:
        try:
            return await check()
        except (
            AssertionError,
            aiohttp.ClientError,
            OSError,
            TimeoutError,
        ) as error:
            final = error.args and isinstance(error.args[0], _FinalError)
            if final or time.monotonic() > give_up_at:
                raise
        await asyncio.sleep(_PAUSE_S)


def _need(result):
    if result.is_err():
        failure = result.err_value
        kind = failure.kind.name.lower()
        raise AssertionError(f"{kind}: {failure.detail}")
    return result.ok_value
