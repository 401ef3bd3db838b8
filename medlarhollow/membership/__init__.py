"""Directory of backend servers, exchange between VMs, and look-ups."""

from .announcement import apply_announcement
from .announcement import check_announcement
from .announcement import check_open_announcement
from .directory import Directory
from .exchange import Exchange
from .lease import is_overdue
from .local_load import LocalLoad
from .lookup import list_entry_vms
from .lookup import list_nearest_entry_vms
from .lookup import LookupOrder
from .order import is_other_process

__all__ = [
    "Directory",
    "Exchange",
    "LocalLoad",
    "is_other_process",
    "is_overdue",
    "check_announcement",
    "check_open_announcement",
    "LookupOrder",
    "list_entry_vms",
    "list_nearest_entry_vms",
    "apply_announcement",
]
