"""What the tasks of one entry VM share."""

import attrs

from ..control import ControlClient
from ..limits import Limiter
from ..membership import Directory
from ..moves import VersionSelector
from ..settings import Settings
from ..steering import Dispatcher

__all__ = ["EntryVm"]


@attrs.define
class EntryVm:
    """Hold the parts of an entry VM that its tasks use.

    Attributes
    ----------
    settings : Settings
        The settings of the process.
    copy : FleetCopy
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
    client : aiohttp.ClientSession
        Connections to backend servers.
    """

    settings: Settings
    copy: object
    directory: Directory
    limiter: Limiter
    dispatcher: Dispatcher
    samples: VersionSelector
    control: ControlClient
    client: object
