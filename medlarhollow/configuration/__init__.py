"""Replicated fleet state and the rules for applying changes to it."""

from . import accounts as accounts
from . import divisions as divisions
from . import evacuations as evacuations
from . import moves as moves
from . import network as network
from . import presets as presets
from . import replacement as replacement
from . import roster as roster
from . import services as services
from . import shares as shares
from .apply import apply
from .authority import check_author
from .history import CommitHistory
from .history import count_records
from .keys import authenticate_key
from .keys import generate_key
from .keys import hash_secret
from .keys import make_key_record
from .orders import order_subject
from .orders import resolve_superseded
from .routes import choose_destination
from .routes import match_route
from .state import FleetState
from .weights import effective_weights

__all__ = [
    "CommitHistory",
    "FleetState",
    "apply",
    "authenticate_key",
    "check_author",
    "choose_destination",
    "count_records",
    "effective_weights",
    "generate_key",
    "hash_secret",
    "make_key_record",
    "match_route",
    "order_subject",
    "resolve_superseded",
]
