"""Selection of the backend server or data centre for each request."""

from .assignment import Assignment
from .assignment import AttemptResult
from .assignment import SlotRequest
from .dispatcher import Dispatcher
from .regions.caller_regions import CallerRegions
from .servers.cold_senders import select_cold_senders
from .servers.reported_load import ServerLoad

__all__ = [
    "Assignment",
    "AttemptResult",
    "CallerRegions",
    "SlotRequest",
    "Dispatcher",
    "ServerLoad",
    "select_cold_senders",
]
