"""What the tasks of one entry VM share."""

import attrs

from ..membership import Directory
from ..settings import Settings

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
    client : aiohttp.ClientSession
        Connections to backend servers.
    """

    settings: Settings
    copy: object
    directory: Directory
    client: object
