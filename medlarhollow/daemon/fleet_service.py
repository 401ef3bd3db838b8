"""RPC service between the VMs of a fleet."""

from .. import clock
from ..distribution import serve_sync
from ..limits import serve_tokens
from ..messages.services import FleetBase

__all__ = ["FleetService"]


class FleetService(FleetBase):
    """Serve Sync, Exchange and the acquisition of tokens and credit.

    Parameters
    ----------
    settings : Settings
        The settings of the process.
    select_source : callable
        Returns the `Replica` or `FleetStateCache` to serve from.
    reports : Reports
        Stores the reports of downstream VMs.
    allocator : ShareAllocator
        Issues tokens from the shares of the data centre.
    exchange : Exchange
        Exchanges directory updates with the VMs of the data centre.
    dispatcher : Dispatcher
        Grants credit from measured headroom.
    telemetry : Telemetry
        Traces the requests for tokens.
    fleet_clock : FleetClock or None
        Supplies the fleet time; None if the fleet needs none.
    """

    def __init__(
        self,
        settings,
        select_source,
        reports,
        allocator,
        exchange,
        dispatcher,
        telemetry,
        fleet_clock=None,
    ):
        self._settings = settings
        self._select_source = select_source
        self._reports = reports
        self._allocator = allocator
        self._exchange = exchange
        self._dispatcher = dispatcher
        self._telemetry = telemetry
        self._fleet_clock = fleet_clock

    async def Sync(self, stream):
        """Serve the replicated state to one downstream VM."""
        await serve_sync(
            stream,
            self._select_source(),
            self._reports,
            self._settings,
            self._fleet_clock,
        )

    async def Exchange(self, stream):
        """Exchange directory updates with one VM of the data centre."""
        await self._exchange.serve(stream)

    async def AcquireTokens(self, stream):
        """Issue tokens from the share of this data centre."""
        await serve_tokens(stream, self._allocator, self._telemetry)

    async def AcquireCredit(self, stream):
        """Grant credit for requests from another data centre."""
        request = await stream.recv_message()
        if request is not None:
            now = clock.monotonic()
            await stream.send_message(
                self._dispatcher.grant_credit(request, now)
            )
