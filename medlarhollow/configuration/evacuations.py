"""Apply the start and end of data centre evacuations."""

import attrs
from result import Ok

from ..messages.records import EndEvacuation
from ..messages.records import Evacuation
from ..messages.records import StartEvacuation
from .apply import apply
from .names import check_name

__all__ = []

# Time for which the end of an evacuation is kept: longer than the lease of a
# backend server, within which it announces whether it is cold.
_RETENTION_S = 30.0


@apply.register
def _start_evacuation(change: StartEvacuation, state, now):
    checked_name = check_name("data centre", change.data_centre)
    if checked_name.is_err():
        return checked_name
    _discard_old(state, now)
    state.ended_evacuations.pop(change.data_centre, None)
    # A repeated order is idempotent and keeps the original start time.
    state.evacuations.setdefault(
        change.data_centre, Evacuation(change.data_centre, now)
    )
    return Ok(None)


@apply.register
def _end_evacuation(change: EndEvacuation, state, now):
    _discard_old(state, now)
    evacuation = state.evacuations.pop(change.data_centre, None)
    if evacuation is not None:
        state.ended_evacuations[change.data_centre] = attrs.evolve(
            evacuation, ended_at_s=now
        )
    return Ok(None)


def _discard_old(state, now):
    for evacuation in list(state.ended_evacuations.values()):
        if now - evacuation.ended_at_s > _RETENTION_S:
            del state.ended_evacuations[evacuation.data_centre]
