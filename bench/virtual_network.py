"""Virtual time and a network for experiments on allocators of tokens."""

import asyncio
import contextlib
import selectors

from medlarhollow.limits.token_stream import serve_tokens
from medlarhollow.messages import decode
from medlarhollow.messages import encode
from medlarhollow.messages.records import TokenRequests
from medlarhollow.messages.records import TokenResponses

__all__ = ["Channels", "Network", "VirtualLoop"]

# One way, in seconds.
LATENCY_S = {"data centre": 0.0002, "region": 0.0009, "fleet": 0.02}


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose time passes only while all tasks wait."""

    def __init__(self):
        self._now = 1000.0
        super().__init__(_InstantSelector(self))

    def time(self):
        """Return the virtual time in seconds."""
        return self._now

    def advance(self, duration_s):
        """Let time pass."""
        self._now += duration_s


class _InstantSelector(selectors.DefaultSelector):
    def __init__(self, loop):
        super().__init__()
        self._loop = loop

    def select(self, timeout=None):
        """Return no events; let the time pass instead of waiting."""
        if timeout:
            self._loop.advance(timeout)
        return []


class Network:
    """Delivers messages between data centres, unless they are cut off."""

    def __init__(self):
        self.allocators = {}
        self.cut_off = set()
        self.fleet_bytes = 0

    def latency_s(self, source, target):
        """Return the latency one way, or None if nothing is delivered."""
        if source == target:
            return LATENCY_S["data centre"]
        if {source, target} & self.cut_off:
            return None
        same_region = source[0] == target[0]
        return LATENCY_S["region" if same_region else "fleet"]


class Channels:
    """Channels of a VM to the allocators, over a `Network`."""

    def __init__(self, network, data_centre):
        self._network = network
        self._data_centre = data_centre

    def get(self, address):
        """Return a channel."""
        return _Channel(self._network, self._data_centre, address)

    def drop(self, address):
        """Do nothing."""

    def trace_context(self):
        """Return no trace context."""
        return ""


class _Channel:
    def __init__(self, network, source, target):
        self._ends = network, source, target

    def request(self, name, cardinality, request_type, reply_type, **_):
        return _Stream(*self._ends)


class _Stream:
    def __init__(self, network, source, target):
        self._network = network
        self._source = source
        self._target = target
        self._requests = asyncio.Queue()
        self._responses = asyncio.Queue()
        self._task = None

    async def __aenter__(self):
        allocator = self._network.allocators[self._target]
        self._task = asyncio.create_task(
            serve_tokens(_ServerStream(self), allocator, _NoTelemetry())
        )
        return self

    async def __aexit__(self, *_):
        self._task.cancel()

    async def send_request(self):
        await asyncio.sleep(0)

    async def send_message(self, message):
        self._deliver(
            self._source, self._target, self._requests, encode(message)
        )

    async def recv_message(self):
        return decode(TokenResponses, await self._responses.get())

    async def receive_request(self):
        return decode(TokenRequests, await self._requests.get())

    def respond(self, message):
        self._deliver(
            self._target, self._source, self._responses, encode(message)
        )

    def _deliver(self, source, target, queue, data):
        latency_s = self._network.latency_s(source, target)
        if latency_s is None:
            return
        if source[0] != target[0]:
            self._network.fleet_bytes += len(data)
        asyncio.get_running_loop().call_later(
            latency_s, queue.put_nowait, data
        )


class _ServerStream:
    def __init__(self, stream):
        self._stream = stream

    async def recv_message(self):
        return await self._stream.receive_request()

    async def send_message(self, message):
        self._stream.respond(message)


class _NoTelemetry:
    def span(self, name, headers):
        return contextlib.nullcontext()
