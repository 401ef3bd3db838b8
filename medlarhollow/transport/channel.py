"""Client connections to other processes of the fleet."""

import asyncio

from grpclib.client import Channel
from grpclib.config import Configuration
from grpclib.events import listen
from grpclib.events import SendRequest

from ..messages import RecordCodec
from .address import parse_address
from .secret import create_client_tls
from .secret import read_secret

__all__ = ["SECRET_HEADER", "Channels", "call"]

SECRET_HEADER = "x-fleet-secret"


class Channels:
    """Manage one gRPC connection per peer address.

    Parameters
    ----------
    settings : Settings
        The settings of the process; section ``peer`` is read.
    telemetry : Telemetry or None
        Traces calls and counts their bytes.
    """

    def __init__(self, settings, telemetry=None):
        self._settings = settings.peer
        self._telemetry = telemetry
        self._codec = telemetry.codec() if telemetry else RecordCodec()
        self._secret = read_secret(settings.peer)
        self._tls = create_client_tls(settings.peer)
        self._channels = {}

    def get(self, address):
        """Return the channel to an address, opened on first use.

        Parameters
        ----------
        address : str
            ``host:port`` of the peer.

        Returns
        -------
        grpclib.client.Channel
            Channel that adds the fleet's secret to each call.
        """
        channel = self._channels.get(address)
        if channel is None:
            channel = self._channels[address] = self._open(address)
        return channel

    def drop(self, address):
        """Close the connection to an address; the next call opens a new one.

        A connection may be half-open: neither end has seen it close, but a
        device between them has lost its state.
        """
        channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()

    def trace_context(self):
        """Return the ``traceparent`` of the current span or an empty string.

        It is meant for messages on a stream that outlives the request for
        which they are sent.
        """
        headers = {}
        if self._telemetry is not None:
            self._telemetry.inject(headers)
        return headers.get("traceparent", "")

    def close(self):
        """Close all connections."""
        for address in list(self._channels):
            self.drop(address)

    def _open(self, address):
        host, port = parse_address(address)
        channel = Channel(
            host,
            port,
            ssl=self._tls,
            codec=self._codec,
            config=Configuration(
                _keepalive_time=self._settings.silence_timeout_s,
                _keepalive_timeout=self._settings.silence_timeout_s,
                _http2_max_pings_without_data=0,
                _http2_min_sent_ping_interval_without_data=(
                    self._settings.silence_timeout_s / 2
                ),
            ),
        )
        listen(channel, SendRequest, self._add_secret)
        return channel

    async def _add_secret(self, event):
        event.metadata[SECRET_HEADER] = self._secret
        if self._telemetry is not None:
            self._telemetry.inject(event.metadata)


async def call(method, request, timeout_s):
    """Call a unary method with a timeout in seconds.

    Raises
    ------
    asyncio.TimeoutError
        If there is no response within the timeout, connecting included.
    """
    async with asyncio.timeout(timeout_s):
        return await method(request)
