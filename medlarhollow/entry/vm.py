"""What the tasks of one entry VM share."""

import attrs

from ..control import ControlClient
from ..errors import fail
from ..limits import Limiter
from ..membership import Directory
from ..membership import LookupOrder
from ..messages.records import ErrorKind
from ..moves import VersionSelector
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


@attrs.define
class EntryVm:
    """Hold the parts of an entry VM that its tasks use.

    Attributes
    ----------
    settings : Settings
        The settings of the process.
    state_cache : FleetStateCache
        The agreed state.
    directory : Directory
        Backend servers of the data centre.
    limiter : Limiter
        Shares of rate and burst.
    dispatcher : Dispatcher
        Slots of backend servers.
    samples : VersionSelector
        How versions answer.
    control : ControlClient
        Proposes claims.
    client : BackendClient
        Connections to backend servers.
    secret : str
        Secret that entry VMs show to each other.
    drain : Drain
        Whether this VM drains.
    budget : RetryBudget
        Retries allowed.
    regions : CallerRegions
        Regions of callers by client block.
    lookups : LookupOrder
        Order of the entry VMs named to callers.
    dialect : Dialect
        Names of the headers.
    request_log : RequestLog
        Lines of the requests that ended.
    waiting : int
        Requests that wait for a token or a slot.
    """

    settings: Settings
    state_cache: object
    directory: Directory
    limiter: Limiter
    dispatcher: Dispatcher
    samples: VersionSelector
    control: ControlClient
    client: BackendClient
    telemetry: Telemetry
    secret: str = attrs.field(repr=False)
    drain: Drain = attrs.field(factory=Drain)
    budget: RetryBudget = attrs.field(
        default=attrs.Factory(
            lambda self: RetryBudget(self.settings, self.state_cache),
            takes_self=True,
        )
    )
    regions: CallerRegions = attrs.field(
        default=attrs.Factory(
            lambda self: CallerRegions(self.state_cache), takes_self=True
        )
    )
    lookups: LookupOrder = attrs.field(
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
    waiting: int = 0

    async def wait_in_queue(self, waiting):
        """Await a token or a slot, unless too many requests wait.

        Parameters
        ----------
        waiting : coroutine
            Returns a `Result`.

        Returns
        -------
        result.Result
            That result, or ``OVERLOADED``.
        """
        if self.waiting >= self.settings.entry.queue_limit:
            waiting.close()
            return fail(ErrorKind.OVERLOADED, "too many requests wait")
        self.waiting += 1
        try:
            return await waiting
        finally:
            self.waiting -= 1
