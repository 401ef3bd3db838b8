"""State of the fleet and the rules by which changes alter it."""

from . import accounts as accounts
from . import moves as moves
from . import network as network
from . import presets as presets
from . import roster as roster
from . import services as services
from . import shares as shares
from .apply import apply
from .authority import check_author
from .history import History
from .keys import check_key
from .keys import hash_secret
from .keys import new_key
from .routes import match_route
from .state import FleetState
from .weights import effective_weights

__all__ = [
    "FleetState",
    "History",
    "apply",
    "check_author",
    "check_key",
    "effective_weights",
    "hash_secret",
    "match_route",
    "new_key",
]
