"""Test doubles for the components around the HTTP front end."""

import asyncio
import contextlib
import socket
import time
import uuid

import aiohttp
import attrs
from result import Ok

from medlarhollow.configuration import FleetState
from medlarhollow.configuration import generate_key
from medlarhollow.daemon.http import HttpServer
from medlarhollow.entry import BackendClient
from medlarhollow.entry import EntryVm
from medlarhollow.entry import make_caller_app
from medlarhollow.errors import fail
from medlarhollow.localfleet.ports import free_addresses
from medlarhollow.membership import Directory
from medlarhollow.messages.records import BackendServer
from medlarhollow.messages.records import ErrorKind
from medlarhollow.messages.records import Route
from medlarhollow.messages.records import Service
from medlarhollow.messages.records import Vm
from medlarhollow.requests import ClaimLedger
from medlarhollow.settings.load import parse_settings
from medlarhollow.steering import Assignment
from medlarhollow.telemetry import Telemetry

SECRET = "fleet-secret-of-the-tests"


def make_settings(listen="127.0.0.1:1", **entry):
    entry_lines = "".join(f"{name}={value}\n" for name, value in entry.items())
    return parse_settings(
        "[vm]\nname=a-1\ncluster=x\nregion=north\ndata_centre=a\n"
        "[peer]\nlisten=127.0.0.1:1\nsecret_file=x\n"
        "[control]\nreplicas=127.0.0.1:1\n"
        "[backends]\nconnect_timeout_s=0.2\n"
        f"[entry]\nlisten={listen}\n{entry_lines}"
    )


def make_idempotency_key():
    """Return a version 7 UUID with the current time."""
    value = int(time.time() * 1000) << 80 | uuid.uuid4().int % 2**62
    return str(uuid.UUID(int=value | 7 << 76 | 2 << 62))


@attrs.define
class Request:
    """Request that a fake backend server received."""

    head: bytes
    body: bytes = b""
    connection: int = 0


class FakeBackend:
    """Raw HTTP server whose behaviour is a function provided by the test."""

    def __init__(self, behaviour):
        self._behaviour = behaviour
        self._server = None
        self._tasks = set()
        self.requests = []
        self.connections = 0
        self.closed = 0
        self.address = ""

    async def __aenter__(self):
        self._server = await asyncio.start_server(
            self._accept, "127.0.0.1", 0, limit=2**20
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    async def __aexit__(self, *details):
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _accept(self, reader, writer):
        """Serve a connection in a task of this server.

        The standard library reports its own tasks that are cancelled.
        """
        self._tasks.add(asyncio.create_task(self._serve(reader, writer)))

    async def _serve(self, reader, writer):
        self.connections += 1
        number = self.connections
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                request = Request(head, connection=number)
                self.requests.append(request)
                if not await self._behaviour(request, reader, writer):
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.closed += 1
            writer.close()


async def read_body(request, reader):
    """Read the body of a request into `request.body`."""
    head = request.head.lower()
    if b"transfer-encoding: chunked" in head:
        while size := int(await reader.readline(), 16):
            request.body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    elif b"content-length: " in head:
        size = head.split(b"content-length: ")[1].split(b"\r\n")[0]
        request.body = await reader.readexactly(int(size))


def respond(body=b"done", status="200 OK", headers="", delay_s=0.0):
    """Return a behaviour that sends a complete response after a delay."""

    async def behaviour(request, reader, writer):
        await read_body(request, reader)
        await asyncio.sleep(delay_s)
        writer.write(
            f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{headers}"
            "\r\n".encode()
            + body
        )
        await writer.drain()
        return True

    return behaviour


async def never_respond(request, reader, writer):
    """Read the request and never respond, until the connection closes."""
    await reader.read()


async def close_after_head(request, reader, writer):
    """Close the connection once the request head has been received."""


async def truncate_body(request, reader, writer):
    """Send a body shorter than its Content-Length."""
    await read_body(request, reader)
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")


async def truncate_chunks(request, reader, writer):
    """Close the connection before the last chunk of a response."""
    await read_body(request, reader)
    writer.write(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"
    )


def close_on_reuse(serve):
    """Serve the first request of each connection; close it at the second."""
    seen = set()

    async def behaviour(request, reader, writer):
        if request.connection in seen:
            return False
        seen.add(request.connection)
        return await serve(request, reader, writer)

    return behaviour


class FakeStateCache:
    """Replicated fleet state that is set by the test."""

    has_proof = True

    def __init__(self):
        self.state = FleetState(cluster="x", revision=1)
        self.age_s = 0.0

    def freshness_age_s(self, now):
        return self.age_s


class FakeLimiter:
    """Grant every token and record the accounts."""

    def __init__(self):
        self.admitted = []

    async def admit(self, account, deadline_at):
        self.admitted.append(account)
        return Ok(None)


class FakeDispatcher:
    """Assign the servers in order while the gate is open."""

    def __init__(self):
        self.servers = []
        self.remote = set()
        self.slot_requests = []
        self.released = []
        self.pauses = []
        self.gate = asyncio.Event()
        self.gate.set()

    async def acquire(self, slot_request):
        self.slot_requests.append(slot_request)
        await self.gate.wait()
        for address in self.servers:
            if address not in slot_request.excluded:
                server = BackendServer(server_id=address, address=address)
                remote = address in self.remote
                return Ok(Assignment(server, "1", remote=remote))
        return fail(ErrorKind.NO_BACKEND, "no backend server")

    def release(self, assignment, result, latency_s, now):
        self.released.append(result.value)

    def is_withdrawn(self, assignment, now):
        return False

    def record_pause(self, assignment, pause_s, now):
        self.pauses.append(pause_s)


class FakeControl:
    """Control quorum that can be unreachable or lose its responses."""

    def __init__(self, settings):
        self.ledger = ClaimLedger(settings)
        self.responses_to_lose = 0
        self.unreachable = False
        self.changes = []

    async def propose(self, change, deadline_at):
        if self.unreachable:
            return fail(ErrorKind.NO_QUORUM, "unreachable")
        self.changes.append(change.body)
        result = self.ledger.execute(change.body, time.time())
        if self.responses_to_lose:
            self.responses_to_lose -= 1
            return fail(ErrorKind.NO_QUORUM, "response lost")
        return result


class FakeVersionSelector:
    """Record the samples."""

    def __init__(self):
        self.added = []

    def record_attempt(self, *sample):
        self.added.append(sample)


class EntryHarness:
    """One entry VM with a real HTTP listener for callers."""

    def __init__(self, control=None, **entry):
        self.address = free_addresses(1)[0]
        self.settings = make_settings(self.address, **entry)
        self.control = control or FakeControl(self.settings)
        self.state_cache = FakeStateCache()
        self.dispatcher = FakeDispatcher()
        self.limiter = FakeLimiter()
        self.version_selector = FakeVersionSelector()
        self.telemetry = Telemetry(self.settings)
        self.key, record = generate_key("crew")
        self.state_cache.state.keys[record.key_id] = record
        self.state_cache.state.services["plots"] = Service(
            "plots", version="1"
        )
        self.state_cache.state.vms = {
            name: Vm(name, "", region, centre, f"192.0.2.{index}:80")
            for index, (name, region, centre) in enumerate(
                [("a-1", "north", "a"), ("b-1", "south", "b")]
            )
        }
        self.add_route("/plots", idempotent=True)
        self.add_route("/orders", idempotent=False)
        self.add_route("/open", open=True, idempotent=True)
        self.add_route("/post", open=True, idempotent=False)
        self.vm = None
        self.server = None

    def add_route(self, prefix, timeout_s=2.0, **options):
        self.state_cache.state.routes[("", prefix)] = Route(
            path_prefix=prefix,
            service="plots",
            timeout_s=timeout_s,
            **options,
        )

    @contextlib.asynccontextmanager
    async def run(self, *backends):
        """Serve callers with these fakes or addresses as backend servers."""
        stop = asyncio.Event()
        async with contextlib.AsyncExitStack() as stack:
            client = BackendClient(self.settings)
            await stack.enter_async_context(client)
            for backend in backends:
                self.dispatcher.servers.append(
                    backend
                    if isinstance(backend, str)
                    else (await stack.enter_async_context(backend)).address
                )
            self.vm = EntryVm(
                settings=self.settings,
                state_cache=self.state_cache,
                directory=Directory(self.settings),
                limiter=self.limiter,
                dispatcher=self.dispatcher,
                version_selector=self.version_selector,
                control=self.control,
                client=client,
                telemetry=self.telemetry,
                secret=SECRET,
            )
            self.server = HttpServer(
                make_caller_app(self.vm),
                self.address,
                1.0,
                self.settings.entry,
            )
            task = asyncio.create_task(self.server.serve_until(stop))
            while not self.server.started:
                await asyncio.sleep(0.005)
            try:
                yield self
            finally:
                self.dispatcher.gate.set()
                for connection in list(self.server.server_state.connections):
                    connection.transport.abort()
                stop.set()
                await task
                await self.vm.drain.wait(1.0)

    async def call(self, path="/plots/7", method="GET", key=True, **options):
        """Send a request; return status, headers and body of the response."""
        headers = {"x-medlarhollow-key": self.key} if key else {}
        headers |= options.pop("headers", {})
        async with (
            aiohttp.ClientSession(auto_decompress=False) as session,
            session.request(
                method,
                f"http://{self.address}{path}",
                headers=headers,
                allow_redirects=False,
                **options,
            ) as response,
        ):
            return response.status, response.headers, await response.read()

    async def order(self, idempotency_key, body=b"cuttings", **options):
        """Send one non-idempotent request."""
        headers = {"idempotency-key": idempotency_key}
        headers |= options.pop("headers", {})
        return await self.call(
            "/orders", "POST", headers=headers, data=body, **options
        )

    async def connect(self, head):
        """Send a raw request; return reader and writer."""
        host, port = self.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(head)
        return reader, writer


async def connect_narrowly(address, data):
    """Send data from a client whose buffers take a few kilobytes."""
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    connection.setblocking(False)
    host, port = address.split(":")
    loop = asyncio.get_running_loop()
    await loop.sock_connect(connection, (host, int(port)))
    reader, writer = await asyncio.open_connection(sock=connection, limit=4096)
    writer.write(data)
    return reader, writer


async def eventually(check, limit_s=3.0):
    """Wait until `check` returns a true value."""
    async with asyncio.timeout(limit_s):
        while not check():
            await asyncio.sleep(0.01)
