"""gRPC server for calls of other processes of the fleet."""

from grpclib.const import Status
from grpclib.events import listen
from grpclib.events import RecvRequest
from grpclib.exceptions import GRPCError
from grpclib.server import Server

from ..messages import RecordCodec
from ..telemetry import set_activity
from .address import parse_address
from .channel import SECRET_HEADER
from .secret import create_server_tls
from .secret import read_secret
from .secret import secrets_equal

__all__ = ["PeerServer"]


class PeerServer:
    """Serve gRPC services to processes that know the fleet's secret.

    Parameters
    ----------
    settings : Settings
        The settings of the process; section ``peer`` is read.
    services : list
        Instances of the generated service classes.
    telemetry : Telemetry or None
        Traces calls and counts their bytes.
    """

    def __init__(self, settings, services, telemetry=None):
        self._settings = settings.peer
        self._secret = read_secret(settings.peer)
        codec = telemetry.codec() if telemetry else RecordCodec()
        self._server = Server(services, codec=codec)
        listen(self._server, RecvRequest, _set_call_activity)
        listen(self._server, RecvRequest, self._authenticate)
        if telemetry is not None:
            telemetry.trace_server(self._server)

    async def start(self):
        """Listen on the peer address."""
        host, port = parse_address(self._settings.listen)
        await self._server.start(
            host, port, ssl=create_server_tls(self._settings)
        )

    async def stop(self):
        """Stop listening and cancel running calls."""
        self._server.close()
        await self._server.wait_closed()

    async def _authenticate(self, event):
        received = event.metadata.get(SECRET_HEADER, "")
        if not secrets_equal(received, self._secret):
            raise GRPCError(
                Status.UNAUTHENTICATED, "fleet secret is missing or wrong"
            )


async def _set_call_activity(event):
    """Attribute the time of a call to its method's activity, such as sync."""
    set_activity(event.method_name.rpartition("/")[2].lower())
