"""Replicas in one process, connected by a fake network."""

import asyncio
import contextlib
import pathlib

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.exceptions import ProtocolError

from medlarhollow import clock
from medlarhollow.agreement import RaftService
from medlarhollow.agreement import Replica
from medlarhollow.control import ControlService
from medlarhollow.messages import decode
from medlarhollow.messages import encode
from medlarhollow.messages.records import Account
from medlarhollow.messages.records import Change
from medlarhollow.messages.records import PutAccount
from medlarhollow.settings.load import parse_settings

LIMIT_S = 20.0
_CLOSED = object()


class FakeNetwork:
    """Deliver calls between addresses, except over links that are cut."""

    def __init__(self):
        self._handlers = {}
        self.cuts = set()

    def serve(self, address, services):
        self._handlers[address] = {
            name: handler
            for service in services
            for name, handler in service.__mapping__().items()
        }

    def remove(self, address):
        self._handlers.pop(address, None)

    def cut(self, source, target):
        """Drop all messages from one address to another."""
        self.cuts.add((source, target))

    def isolate(self, address, others):
        for other in others:
            self.cut(address, other)
            self.cut(other, address)

    def heal(self):
        self.cuts.clear()

    def find(self, address, name):
        if address not in self._handlers:
            raise ConnectionRefusedError(f"nothing listens on {address}")
        return self._handlers[address][name]


class FakeChannels:
    """Fake of the `Channels` of one process."""

    def __init__(self, network, address):
        self._network = network
        self._address = address

    def get(self, address):
        return FakeChannel(self._network, self._address, address)

    def drop(self, address):
        pass

    def close(self):
        pass


class FakeChannel:
    """Fake of `grpclib.client.Channel`."""

    def __init__(self, network, source, target):
        self._network = network
        self._source = source
        self._target = target

    def request(self, name, cardinality, request_type, reply_type, **_):
        return FakeStream(
            self._network, self._source, self._target, name, reply_type
        )


class FakeStream:
    """Client side of one call; messages are encoded and decoded."""

    def __init__(self, network, source, target, name, reply_type):
        self._network = network
        self._source = source
        self._target = target
        self._name = name
        self._reply_type = reply_type
        self._requests = asyncio.Queue()
        self._responses = asyncio.Queue()
        self._task = None
        self._sent = False

    async def __aenter__(self):
        handler = self._network.find(self._target, self._name)
        server = FakeServerStream(self, handler.request_type)
        self._task = asyncio.create_task(self._run(handler.func, server))
        return self

    async def __aexit__(self, *_):
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task

    async def send_message(self, message, end=False):
        self._sent = True
        if (self._source, self._target) not in self._network.cuts:
            self._requests.put_nowait(encode(message))

    async def recv_message(self):
        response = await self._responses.get()
        if isinstance(response, Exception):
            raise response
        return (
            None if response is _CLOSED else decode(self._reply_type, response)
        )

    async def cancel(self):
        # Raises as the stream of grpclib does.
        if not self._sent:
            raise ProtocolError("Request was not sent yet")
        self._task.cancel()

    def respond(self, message):
        if (self._target, self._source) not in self._network.cuts:
            self._responses.put_nowait(message)

    async def next_request(self):
        return await self._requests.get()

    async def _run(self, handler, server):
        try:
            await handler(server)
            self.respond(_CLOSED)
        except GRPCError as error:
            self.respond(error)
        except Exception as error:  # noqa: BLE001 - as grpclib does
            self.respond(GRPCError(Status.UNKNOWN, repr(error)))


class FakeServerStream:
    """Server side of one call."""

    def __init__(self, client, request_type):
        self._client = client
        self._request_type = request_type

    def __aiter__(self):
        return self

    async def __anext__(self):
        return await self.recv_message()

    async def recv_message(self):
        return decode(self._request_type, await self._client.next_request())

    async def send_message(self, message):
        self._client.respond(encode(message))


class FakeCluster:
    """Replicas named a, b, c, ... on a fake network."""

    def __init__(self, folder, names="abc", **control):
        self.folder = pathlib.Path(folder)
        self.network = FakeNetwork()
        self.names = list(names)
        self.bootstrapped = list(names)
        # Replicas that start after the first start of the cluster.
        self.successors = set()
        self.data_centres = {}
        self.replicas = {}
        self.stopped = []
        self.control = {
            "heartbeat_s": "0.02",
            "election_timeout_s": "0.15",
            "propose_timeout_s": "5",
            **{name: str(value) for name, value in control.items()},
        }

    def settings(self, name):
        addresses = ", ".join(map(address_of, self.bootstrapped))
        options = {
            "replicas": addresses,
            "data_dir": str(self.folder / name),
            "bootstrap": "no" if name in self.successors else "yes",
            **self.control,
        }
        lines = "\n".join(f"{key} = {value}" for key, value in options.items())
        data_centre = self.data_centres.get(name, "d")
        return parse_settings(
            f"[vm]\nname = {name}\ncluster = test\nregion = r\n"
            f"data_centre = {data_centre}\nroles = control\n"
            f"[peer]\nlisten = {address_of(name)}\nsecret_file = unused\n"
            f"[admin]\ntokens_file = unused\n[control]\n{lines}\n",
            "test.ini",
        )

    async def start(self, *names):
        for name in names or self.names:
            address = address_of(name)
            channels = FakeChannels(self.network, address)
            replica = Replica(
                self.settings(name), channels, self.stopped.append
            )
            await replica.start()
            self.replicas[name] = replica
            services = [RaftService(replica), ControlService(replica)]
            self.network.serve(address, services)

    async def stop(self, *names):
        for name in names or list(self.replicas):
            self.network.remove(address_of(name))
            await self.replicas.pop(name).stop()

    async def leader(self, *names):
        """Wait for a leader among some replicas and return its name."""

        def find():
            for name in names or self.replicas:
                if self.replicas[name].is_leader:
                    return name
            return None

        return await eventually(find)

    def others(self, name):
        return [other for other in self.replicas if other != name]

    def isolate(self, name):
        self.network.isolate(
            address_of(name), map(address_of, self.others(name))
        )

    def status(self, name):
        return self.replicas[name].status(clock.monotonic())

    async def wait_until_caught_up(self, *names):
        """Wait until the replicas have reached the leader's revision."""
        leader = await self.leader()
        revision = self.replicas[leader].state.revision
        await eventually(
            lambda: all(
                self.replicas[name].state.revision >= revision
                for name in names or self.replicas
            )
        )


def address_of(name):
    return f"127.0.0.1:{1000 + ord(name)}"


def put_account(name, request_id="", base_revision=0, rate=1.0):
    return Change(
        request_id=request_id or f"put-{name}",
        base_revision=base_revision,
        author="operator",
        body=PutAccount(Account(name=name, rate_per_s=rate, burst=2.0)),
    )


async def eventually(check, limit_s=LIMIT_S):
    """Poll `check` and return its first true result."""
    deadline = clock.monotonic() + limit_s
    while clock.monotonic() < deadline:
        if result := check():
            return result
        await asyncio.sleep(0.005)
    raise AssertionError("the condition was not met within the limit")
