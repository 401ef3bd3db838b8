"""Front doors of an entry VM: callers and backend servers."""

from .announce import make_announce_app
from .callers import make_caller_app
from .vm import EntryVm

__all__ = ["EntryVm", "make_announce_app", "make_caller_app"]
