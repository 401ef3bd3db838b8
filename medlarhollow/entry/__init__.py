"""Front doors of an entry VM: callers and backend servers."""

from .announce import make_announce_app
from .answers import answer_failure
from .backend_client import BackendClient
from .callers import make_caller_app
from .callers import make_request_app
from .dialect import Dialect
from .drain import Drain
from .registry import is_ready
from .registry import list_nearest_vms
from .registry import register_server
from .registry import unregister_server
from .vm import EntryVm

__all__ = [
    "BackendClient",
    "Dialect",
    "Drain",
    "EntryVm",
    "answer_failure",
    "is_ready",
    "list_nearest_vms",
    "make_announce_app",
    "make_caller_app",
    "make_request_app",
    "register_server",
    "unregister_server",
]
