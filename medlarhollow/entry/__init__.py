"""HTTP front end of an entry VM for callers and backend servers."""

from .announce import make_announce_app
from .backend_client import BackendClient
from .caller_app import make_caller_app
from .caller_app import make_request_app
from .dialect import Dialect
from .drain import Drain
from .registry import confirm_leave
from .registry import is_ready
from .registry import list_nearest_vms
from .registry import register_server
from .registry import unregister_server
from .responses import make_failure_response
from .vm import EntryVm

__all__ = [
    "BackendClient",
    "Dialect",
    "Drain",
    "EntryVm",
    "make_failure_response",
    "is_ready",
    "list_nearest_vms",
    "make_announce_app",
    "make_caller_app",
    "make_request_app",
    "confirm_leave",
    "register_server",
    "unregister_server",
]
