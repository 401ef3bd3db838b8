"""Backend servers and entry VMs: leases, liveness, look-ups."""

from .announcement import check_announcement
from .announcement import check_unsigned
from .announcement import take_announcement
from .directory import Directory
from .exchange import Exchange
from .exchange import OwnLoad
from .lookup import list_entry_vms
from .lookup import list_nearest
from .lookup import LookupOrder

__all__ = [
    "Directory",
    "Exchange",
    "OwnLoad",
    "check_announcement",
    "check_unsigned",
    "LookupOrder",
    "list_entry_vms",
    "list_nearest",
    "take_announcement",
]
