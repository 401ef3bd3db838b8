"""Fakes of the components behind the administration API."""

import asyncio
import contextlib
import hashlib
from types import SimpleNamespace

import aiohttp
from result import Ok
import uvicorn

from medlarhollow.admin import FleetAdmin
from medlarhollow.admin import make_admin_app
from medlarhollow.admin.operators import OperatorTokens
from medlarhollow.configuration import CommitHistory
from medlarhollow.configuration import FleetState
from medlarhollow.errors import fail
from medlarhollow.localfleet.ports import free_addresses
from medlarhollow.messages.records import Applied
from medlarhollow.messages.records import Commit
from medlarhollow.messages.records import ErrorKind
from medlarhollow.transport import parse_address
from medlarhollow.usage.ledger import UsageLedger

OPERATORS = {"ana": "token-of-ana", "rui": "token-of-rui"}


class FakeReplica:
    """Accept every change after checking its base revision.

    Like a real replica, it repeats the first result of a request identifier
    and reports the revision in force on a conflict.
    """

    def __init__(self):
        self.state = FleetState(cluster="test")
        self.usage = UsageLedger()
        control = SimpleNamespace(history_commits=100, history_bytes=2**23)
        self.history = CommitHistory(SimpleNamespace(control=control))
        self.changes = []
        self.failure = None
        self.is_leader = True
        self.leader_address = ""
        self._results = {}

    def freshness_age_s(self, now):
        return 0.25

    async def confirm_leadership(self, timeout_s):
        return True

    async def propose(self, change):
        if self.failure is not None:
            return self.failure
        if change.request_id in self._results:
            return self._results[change.request_id]
        base = change.base_revision
        state = self.state
        if base and base != state.operator_revision:
            return fail(
                ErrorKind.CONFLICT,
                f"based on revision {base}",
                revision=state.operator_revision,
            )
        state.revision += 1
        state.operator_revision = state.revision
        self.history.add(Commit(state.revision, 0.0, change))
        self.changes.append(change)
        result = Ok(Applied(revision=state.revision))
        self._results[change.request_id] = result
        return result


class FakeReports:
    def __init__(self, reports=()):
        self._reports = reports

    def list_recent(self, now, max_age_s):
        return tuple(self._reports)


class _Server(uvicorn.Server):
    def capture_signals(self):
        return contextlib.nullcontext()


def make_admin(replica):
    """Return a `FleetAdmin` on a fake replica without peers."""
    settings = SimpleNamespace(
        vm=SimpleNamespace(name="control-1"),
        control=SimpleNamespace(replicas=()),
    )
    return FleetAdmin(settings, replica, None, FakeReports())


@contextlib.asynccontextmanager
async def serve_api(admin, folder):
    """Serve the API over a real connection; yield its `ApiClient`."""
    path = folder / "operators"
    path.write_text(
        "".join(
            f"{name} {hashlib.sha256(token.encode()).hexdigest()}\n"
            for name, token in OPERATORS.items()
        )
    )
    settings = SimpleNamespace(admin=SimpleNamespace(tokens_file=str(path)))
    app = make_admin_app(admin, OperatorTokens(settings))
    address = free_addresses(1)[0]
    host, port = parse_address(address)
    config = uvicorn.Config(
        app, host=host, port=port, log_config=None, lifespan="off"
    )
    server = _Server(config)
    task = asyncio.create_task(server.serve())
    async with asyncio.timeout(5), aiohttp.ClientSession() as client:
        while not server.started:
            await asyncio.sleep(0.01)
        yield ApiClient(client, address, app)
    server.should_exit = True
    await task


class ApiClient:
    """Send requests, by default as ana; return status and JSON."""

    def __init__(self, client, address, app):
        self._client = client
        self.address = address
        self.app = app

    async def send(
        self, method, path, body=None, operator="ana", data=None, **headers
    ):
        headers = {
            name.replace("_", "-"): text for name, text in headers.items()
        }
        if operator:
            headers["authorization"] = f"Bearer {OPERATORS[operator]}"
        async with self._client.request(
            method,
            f"http://{self.address}{path}",
            json=body,
            data=data,
            headers=headers,
        ) as response:
            return response.status, await response.json()
