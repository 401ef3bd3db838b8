"""Random sequences of changes keep the rules of the fleet state."""

import math

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from medlarhollow.configuration import apply
from medlarhollow.configuration import effective_weights
from medlarhollow.configuration import FleetState
from medlarhollow.messages.records import Account
from medlarhollow.messages.records import ActivatePreset
from medlarhollow.messages.records import DeleteAccount
from medlarhollow.messages.records import DeletePreset
from medlarhollow.messages.records import FinishMove
from medlarhollow.messages.records import MoveState
from medlarhollow.messages.records import PutAccount
from medlarhollow.messages.records import PutPreset
from medlarhollow.messages.records import PutService
from medlarhollow.messages.records import RollBackMove
from medlarhollow.messages.records import Service
from medlarhollow.messages.records import SetShares
from medlarhollow.messages.records import Share
from medlarhollow.messages.records import StartMove
from medlarhollow.messages.records import StepMove
from medlarhollow.messages.records import StepShift

from .samples import HASH
from .samples import make_state
from .samples import move
from .samples import NOW
from .samples import preset

ALMOST = 1e-6
caps = st.sampled_from([0.1, 0.3, 1.0])
names = st.sampled_from(["day", "peak", "night"])
move_ids = st.sampled_from(["m1", "m2"])
fractions = st.sampled_from([0.0, 0.005, 0.01, 0.1, 0.3, 0.31, 0.6, 0.9, 1.0])
rows = st.dictionaries(
    st.sampled_from(["n", "s"]),
    st.dictionaries(
        st.sampled_from(["n", "s", "t"]),
        st.sampled_from([0.5, 1.0, 4.0]),
        min_size=1,
    ),
)
figures = st.sampled_from([1.0, 5.0, 20.0, 60.0])
one_share = st.builds(
    Share,
    st.sampled_from(["crew", "office"]),
    st.sampled_from(["dc-a", "dc-b", "dc-c"]),
    st.sampled_from([0.0, 1.0, 5.0, 20.0, 60.0]),
    figures,
)
bodies = st.one_of(
    st.builds(
        PutPreset,
        st.builds(preset, names, rows, caps, st.sampled_from([1.0, 10.0])),
    ),
    st.builds(DeletePreset, names),
    st.builds(ActivatePreset, names),
    st.builds(StepShift, fractions),
    st.builds(
        StartMove,
        st.builds(
            move,
            move_id=move_ids,
            to_version=st.sampled_from(["1", "2", "3"]),
            cap=caps,
            deadline_s=st.sampled_from([NOW + 20, NOW + 200]),
        ),
    ),
    st.builds(StepMove, move_ids, fractions),
    st.builds(RollBackMove, move_ids, st.just("test")),
    st.builds(FinishMove, move_ids),
    st.builds(
        PutService,
        st.builds(
            Service, st.just("plots"), st.just(HASH), st.sampled_from("12")
        ),
    ),
    st.builds(
        PutAccount,
        st.builds(
            Account, st.sampled_from(["crew", "office"]), figures, figures
        ),
    ),
    st.builds(DeleteAccount, st.just("office")),
    st.builds(SetShares, st.tuples(one_share)),
    st.builds(SetShares, st.tuples(one_share, one_share)),
)
waits = st.sampled_from([0.0, 0.0, 1.0, 10.0, 60.0])


def moved(before, after):
    """Return the largest part of a region's traffic that changed place."""
    regions = {*before, *after}
    return max(
        (
            sum(
                abs(
                    before.get(origin, {origin: 1.0}).get(place, 0.0)
                    - after.get(origin, {origin: 1.0}).get(place, 0.0)
                )
                for place in ("n", "s", "t")
            )
            / 2
            for origin in regions
        ),
        default=0.0,
    )


def new_fraction(state, service="plots"):
    """Return the part of traffic by version, as callers see it."""
    parts = {state.services[service].version: 1.0}
    for record in state.moves.values():
        if (
            record.service == service
            and record.state is MoveState.IN_PROGRESS
            and record.fraction
        ):
            parts = {
                record.from_version: 1 - record.fraction,
                record.to_version: record.fraction,
            }
    return parts


def check_rules(before, state, body):
    if state.presets:
        assert state.shift.preset in state.presets
    for name, account in state.accounts.items():
        held = [s for s in state.shares.values() if s.account == name]
        rate = math.fsum(s.rate_per_s for s in held)
        burst = math.fsum(s.burst for s in held)
        assert rate <= account.rate_per_s * (1 + ALMOST)
        assert burst <= account.burst * (1 + ALMOST)
    assert all(place[0] in state.accounts for place in state.shares)
    open_moves = [
        record.service
        for record in state.moves.values()
        if record.state is MoveState.IN_PROGRESS
    ]
    assert len(open_moves) == len(set(open_moves))
    if not isinstance(body, RollBackMove):
        old, new = new_fraction(before), new_fraction(state)
        jump = max(
            abs(old.get(name, 0.0) - new.get(name, 0.0))
            for name in {*old, *new}
        )
        cap = max((m.cap for m in before.moves.values()), default=0.0)
        assert jump <= cap + ALMOST


@settings(max_examples=300, deadline=None)
@given(st.lists(st.tuples(bodies, waits), max_size=40))
def test_any_sequence_keeps_the_rules(sequence):
    """Guards the cap, the step time, the active preset and the sums of
    shares against combinations of changes nobody thought of."""
    state = make_state()
    now = NOW
    shifted_at = -math.inf
    for body, wait_s in sequence:
        now += wait_s
        before = FleetState.from_snapshot(state.snapshot())
        weights = effective_weights(state)
        result = apply(body, state, now)
        if result.is_err():
            assert state.snapshot() == before.snapshot()
            assert result.err_value.detail
            continue
        state.revision += 1
        check_rules(before, state, body)
        part = moved(weights, effective_weights(state))
        if part > ALMOST:
            active = state.presets[state.shift.preset]
            assert part <= active.shift_cap + ALMOST
            assert now - shifted_at >= active.shift_step_s - ALMOST
            shifted_at = now
    restored = FleetState.from_snapshot(state.snapshot())
    assert restored.snapshot() == state.snapshot()
    for row in effective_weights(state).values():
        assert math.fsum(row.values()) == pytest.approx(1.0)
