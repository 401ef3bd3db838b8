"""Shared components of one entry VM."""

import attrs

from ..control import ControlClient
from ..errors import fail
from ..limits import Limiter
from ..membership import Directory
from ..membership import LookupOrder
from ..messages.records import ErrorKind
from ..moves import VersionSelector
from ..requests import Hedging
from ..requests import RetryBudget
from ..settings import Settings
from ..steering import CallerRegions
from ..steering import Dispatcher
from ..telemetry import Telemetry
from .backend_client import BackendClient
from .dialect import Dialect
from .drain import Drain
from .request_log import RequestLog

__all__ = ["EntryVm"]


async def _share_with_nobody(now):
    return True


@attrs.define
class EntryVm:
    """Hold the components that the tasks of an entry VM share.

    Attributes
    ----------
    settings : Settings
        The settings of the process.
    state_cache : FleetStateCache
        Replicated fleet state.
    directory : Directory
        Backend servers of the data centre.
    limiter : Limiter
        Rate and burst limits of client accounts.
    dispatcher : Dispatcher
        Assigns slots of backend servers.
    version_selector : VersionSelector
        Receives error and latency samples by service version.
    control : ControlClient
        Proposes claims to the control replicas.
    client : BackendClient
        HTTP client for backend servers.
    telemetry : Telemetry
        Metrics and traces.
    secret : str
        Shared secret with which entry VMs authenticate each other.
    drain : Drain
        Drain state of this VM.
    retry_budget : RetryBudget
        Retries allowed per service.
    hedging : Hedging
        Decides on second attempts while the first one runs.
    caller_regions : CallerRegions
        Regions of callers by client block.
    lookup_order : LookupOrder
        Order in which look-up responses list entry VMs.
    dialect : Dialect
        Names of the headers.
    request_log : RequestLog
        Log of completed requests.
    share_directory : callable
        Coroutine function that waits until other VMs know the servers that
        are known now, given the monotonic time, and returns whether enough
        of them confirmed it.
    usage_counter : UsageCounter or None
        Counts attempts by account; None if the fleet counts none.
    queued : int
        Requests that wait for a token or a slot.
    """

    settings: Settings
    state_cache: object
    directory: Directory
    limiter: Limiter
    dispatcher: Dispatcher
    version_selector: VersionSelector
    control: ControlClient
    client: BackendClient
    telemetry: Telemetry
    secret: str = attrs.field(repr=False)
    drain: Drain = attrs.field(factory=Drain)
    retry_budget: RetryBudget = attrs.field(
        default=attrs.Factory(
            lambda self: RetryBudget(self.settings, self.state_cache),
            takes_self=True,
        )
    )
    hedging: Hedging = attrs.field(
        default=attrs.Factory(
            lambda self: Hedging(self.settings, self.retry_budget),
            takes_self=True,
        )
    )
    caller_regions: CallerRegions = attrs.field(
        default=attrs.Factory(
            lambda self: CallerRegions(self.state_cache), takes_self=True
        )
    )
    lookup_order: LookupOrder = attrs.field(
        default=attrs.Factory(
            lambda self: LookupOrder(self.settings), takes_self=True
        )
    )
    dialect: Dialect = attrs.field(factory=Dialect)
    request_log: RequestLog = attrs.field(
        default=attrs.Factory(
            lambda self: RequestLog(self.settings, self.state_cache),
            takes_self=True,
        )
    )
    share_directory: object = _share_with_nobody
    usage_counter: object = None
    queued: int = 0

    async def wait_in_queue(self, acquisition):
        """Wait for a token or a slot, unless the queue is full.

        Parameters
        ----------
        acquisition : coroutine
            Acquires the token or the slot; returns a `Result`.

        Returns
        -------
        result.Result
            The result of `acquisition`, or ``OVERLOADED``.
        """
        if self.queued >= self.settings.entry.queue_limit:
            acquisition.close()
            return fail(ErrorKind.OVERLOADED, "too many requests are queued")
        self.queued += 1
        try:
            return await acquisition
        finally:
            self.queued -= 1
