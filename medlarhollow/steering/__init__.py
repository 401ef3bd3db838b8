"""Selection of the backend server or data centre for each request."""

from .assignment import Assignment
from .assignment import AttemptResult
from .assignment import SlotRequest
from .caller_regions import CallerRegions
from .cold_senders import select_cold_senders
from .dispatcher import Dispatcher
from .reported_load import ServerLoad

__all__ = [
    "Assignment",
    "AttemptResult",
    "CallerRegions",
    "SlotRequest",
    "Dispatcher",
    "ServerLoad",
    "select_cold_senders",
]
