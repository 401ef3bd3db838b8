"""Orders that the model of late orders explores."""

import attrs

from ..messages.records import Account
from ..messages.records import ActivatePreset
from ..messages.records import EndEvacuation
from ..messages.records import IssueKey
from ..messages.records import Key
from ..messages.records import Move
from ..messages.records import Preset
from ..messages.records import PutAccount
from ..messages.records import PutPreset
from ..messages.records import PutService
from ..messages.records import RegionWeight
from ..messages.records import RevokeKey
from ..messages.records import Service
from ..messages.records import StartEvacuation
from ..messages.records import StartMove

__all__ = ["ORDER_KINDS", "OrderKind"]

_DATA_CENTRE = "north-a"
_SERVICE = "plots"


@attrs.frozen
class OrderKind:
    """Orders of a scenario and the property of the last one.

    Attributes
    ----------
    initial : tuple
        Changes executed before.
    orders : tuple
        Bodies of the orders, sent one after the other.
    holds : callable
        Returns whether a fleet state is right once all are acknowledged.
    ends_moves : bool
        Whether the leader rolls a move back after a while.
    has_identifiers : bool
        Whether all copies of an order carry the same identifier, as those of
        the administration API do.
    """

    initial: tuple
    orders: tuple
    holds: object
    ends_moves: bool = False
    has_identifiers: bool = False


_KEY = Key(key_id="k" * 16, account="crew", secret_sha256=bytes(32))


def _make_preset(name):
    return Preset(
        name=name,
        weights=(RegionWeight("north", "north", 1.0),),
        shift_cap=1.0,
        shift_step_s=0.1,
    )


_START_MOVE = StartMove(
    Move(
        service=_SERVICE,
        to_version="2",
        deadline_s=1e6,
        cap=1.0,
        step_s=0.1,
    )
)
ORDER_KINDS = {
    "end, then start an evacuation": OrderKind(
        (StartEvacuation(_DATA_CENTRE),),
        (EndEvacuation(_DATA_CENTRE), StartEvacuation(_DATA_CENTRE)),
        lambda state: _DATA_CENTRE in state.evacuations,
    ),
    "start, then end an evacuation": OrderKind(
        (),
        (StartEvacuation(_DATA_CENTRE), EndEvacuation(_DATA_CENTRE)),
        lambda state: _DATA_CENTRE not in state.evacuations,
    ),
    "move that is rolled back": OrderKind(
        (
            PutService(
                Service(_SERVICE, version="1", announce_sha256=bytes(32))
            ),
        ),
        (_START_MOVE,),
        lambda state: len(state.moves) == 1,
        ends_moves=True,
    ),
    "activate one preset, then another": OrderKind(
        (PutPreset(_make_preset("calm")), PutPreset(_make_preset("peak"))),
        (ActivatePreset("peak"), ActivatePreset("calm")),
        lambda state: state.shift.preset == "calm",
        has_identifiers=True,
    ),
    "issue a key, then revoke it": OrderKind(
        (PutAccount(Account("crew", rate_per_s=1.0, burst=1.0)),),
        (IssueKey(_KEY), RevokeKey(_KEY.key_id)),
        lambda state: _KEY.key_id not in state.keys,
        has_identifiers=True,
    ),
}
