"""Stand-ins for the parts that the administration API talks to."""

import asyncio
import contextlib
import hashlib
from types import SimpleNamespace

import aiohttp
from result import Ok
import uvicorn

from medlarhollow.admin import FleetAdmin
from medlarhollow.admin import make_admin_app
from medlarhollow.admin.operators import Operators
from medlarhollow.configuration import CommitHistory
from medlarhollow.configuration import FleetState
from medlarhollow.errors import fail
from medlarhollow.localfleet.ports import free_addresses
from medlarhollow.messages.records import Applied
from medlarhollow.messages.records import Commit
from medlarhollow.messages.records import ErrorKind
from medlarhollow.transport import parse_address

OPERATORS = {"ana": "token-of-ana", "rui": "token-of-rui"}


class FakeReplica:
    """Accepts every change, checks base revision and request identifier.

    It keeps what the contract of a replica says: the first answer to a
    request identifier, and a conflict that names the revision in force.
    """

    def __init__(self):
        self.state = FleetState(cluster="test")
        self.history = CommitHistory(100)
        self.changes = []
        self.failure = None
        self.is_leader = True
        self.leader_address = ""
        self._answers = {}

    def freshness_age_s(self, now):
        return 0.25

    async def confirm_leadership(self, timeout_s):
        return True

    async def propose(self, change):
        if self.failure is not None:
            return self.failure
        if change.request_id in self._answers:
            return self._answers[change.request_id]
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
        answer = Ok(Applied(revision=state.revision))
        self._answers[change.request_id] = answer
        return answer


class FakeReports:
    def __init__(self, reports=()):
        self._reports = reports

    def list_recent(self, now, limit_s):
        return tuple(self._reports)


class _Server(uvicorn.Server):
    def capture_signals(self):
        return contextlib.nullcontext()


def make_admin(replica):
    """Return the orders of operators on a fake replica without peers."""
    settings = SimpleNamespace(
        vm=SimpleNamespace(name="control-1"),
        control=SimpleNamespace(replicas=()),
    )
    return FleetAdmin(settings, replica, None, FakeReports())


@contextlib.asynccontextmanager
async def serve_api(admin, folder):
    """Serve the API on a real connection; yields an `Api` for ana."""
    path = folder / "operators"
    path.write_text(
        "".join(
            f"{name} {hashlib.sha256(token.encode()).hexdigest()}\n"
            for name, token in OPERATORS.items()
        )
    )
    settings = SimpleNamespace(admin=SimpleNamespace(tokens_file=str(path)))
    app = make_admin_app(admin, Operators(settings))
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
        yield Api(client, address, app)
    server.should_exit = True
    await task


class Api:
    """Send requests and return status and JSON."""

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
        ) as answer:
            return answer.status, await answer.json()
