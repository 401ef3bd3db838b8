"""Changes of evacuated data centres."""

from result import Ok

from ..messages.records import EndEvacuation
from ..messages.records import Evacuation
from ..messages.records import StartEvacuation
from .apply import apply
from .names import check_name

__all__ = []


@apply.register
def _start_evacuation(change: StartEvacuation, state, now):
    name = check_name("data centre", change.data_centre)
    if name.is_err():
        return name
    # An order that is sent again changes nothing.
    state.evacuations.setdefault(
        change.data_centre, Evacuation(change.data_centre, now)
    )
    return Ok(None)


@apply.register
def _end_evacuation(change: EndEvacuation, state, now):
    state.evacuations.pop(change.data_centre, None)
    return Ok(None)
