"""State of the fleet and the rules by which changes alter it."""

from . import accounts as accounts
from . import roster as roster
from . import services as services
from .apply import apply
from .history import History
from .keys import check_key
from .keys import hash_secret
from .keys import new_key
from .routes import match_route
from .state import FleetState

__all__ = [
    "FleetState",
    "History",
    "apply",
    "check_key",
    "hash_secret",
    "match_route",
    "new_key",
]
