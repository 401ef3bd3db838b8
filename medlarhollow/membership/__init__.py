"""Backend servers and entry VMs: leases, liveness, look-ups."""

from .announcement import check_announcement
from .directory import Directory
from .lookup import list_entry_vms

__all__ = ["Directory", "check_announcement", "list_entry_vms"]
