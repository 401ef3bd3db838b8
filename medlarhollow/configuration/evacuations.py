"""Apply the start and end of data centre evacuations."""

from result import Ok

from ..messages.records import EndEvacuation
from ..messages.records import Evacuation
from ..messages.records import StartEvacuation
from .apply import apply
from .names import check_name

__all__ = []


@apply.register
def _start_evacuation(change: StartEvacuation, state, now):
    checked_name = check_name("data centre", change.data_centre)
    if checked_name.is_err():
        return checked_name
    # A repeated order is idempotent and keeps the original start time.
    state.evacuations.setdefault(
        change.data_centre, Evacuation(change.data_centre, now)
    )
    return Ok(None)


@apply.register
def _end_evacuation(change: EndEvacuation, state, now):
    state.evacuations.pop(change.data_centre, None)
    return Ok(None)
