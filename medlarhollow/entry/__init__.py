"""Front doors of an entry VM: callers and backend servers."""

from .announce import make_announce_app
from .backend_client import BackendClient
from .callers import make_caller_app
from .drain import Drain
from .vm import EntryVm

__all__ = [
    "BackendClient",
    "Drain",
    "EntryVm",
    "make_announce_app",
    "make_caller_app",
]
