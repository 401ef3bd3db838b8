"""Test invariants of the fleet state with random sequences of changes."""

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

ROUNDING_TOLERANCE = 1e-6
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
limits = st.sampled_from([1.0, 5.0, 20.0, 60.0])
share_records = st.builds(
    Share,
    st.sampled_from(["crew", "office"]),
    st.sampled_from(["dc-a", "dc-b", "dc-c"]),
    st.sampled_from([0.0, 1.0, 5.0, 20.0, 60.0]),
    limits,
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
            Account, st.sampled_from(["crew", "office"]), limits, limits
        ),
    ),
    st.builds(DeleteAccount, st.just("office")),
    st.builds(SetShares, st.tuples(share_records)),
    st.builds(SetShares, st.tuples(share_records, share_records)),
)
wait_times = st.sampled_from([0.0, 0.0, 1.0, 10.0, 60.0])


def shifted_fraction(before, after):
    """Return the largest fraction of a region's traffic that was shifted."""
    origins = {*before, *after}
    return max(
        (
            sum(
                abs(
                    before.get(origin, {origin: 1.0}).get(region, 0.0)
                    - after.get(origin, {origin: 1.0}).get(region, 0.0)
                )
                for region in ("n", "s", "t")
            )
            / 2
            for origin in origins
        ),
        default=0.0,
    )


def version_fractions(state, service="plots"):
    """Return the fraction of traffic of each version of a service."""
    fractions_by_version = {state.services[service].version: 1.0}
    for record in state.moves.values():
        if (
            record.service == service
            and record.state is MoveState.IN_PROGRESS
            and record.fraction
        ):
            fractions_by_version = {
                record.from_version: 1 - record.fraction,
                record.to_version: record.fraction,
            }
    return fractions_by_version


def check_invariants(before, state, body):
    if state.presets:
        assert state.shift.preset in state.presets
    for name, account in state.accounts.items():
        shares = [s for s in state.shares.values() if s.account == name]
        rate = math.fsum(s.rate_per_s for s in shares)
        burst = math.fsum(s.burst for s in shares)
        assert rate <= account.rate_per_s * (1 + ROUNDING_TOLERANCE)
        assert burst <= account.burst * (1 + ROUNDING_TOLERANCE)
    assert all(key[0] in state.accounts for key in state.shares)
    services_in_move = [
        record.service
        for record in state.moves.values()
        if record.state is MoveState.IN_PROGRESS
    ]
    assert len(services_in_move) == len(set(services_in_move))
    if not isinstance(body, RollBackMove):
        old, new = version_fractions(before), version_fractions(state)
        change = max(
            abs(old.get(name, 0.0) - new.get(name, 0.0))
            for name in {*old, *new}
        )
        cap = max((m.cap for m in before.moves.values()), default=0.0)
        assert change <= cap + ROUNDING_TOLERANCE


@settings(max_examples=300, deadline=None)
@given(st.lists(st.tuples(bodies, wait_times), max_size=40))
def test_invariants_hold_after_any_sequence_of_changes(sequence):
    """Guards cap, step interval, active preset and sums of shares against
    unforeseen combinations of changes."""
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
        check_invariants(before, state, body)
        fraction = shifted_fraction(weights, effective_weights(state))
        if fraction > ROUNDING_TOLERANCE:
            active = state.presets[state.shift.preset]
            assert fraction <= active.shift_cap + ROUNDING_TOLERANCE
            assert now - shifted_at >= active.shift_step_s - ROUNDING_TOLERANCE
            shifted_at = now
    restored = FleetState.from_snapshot(state.snapshot())
    assert restored.snapshot() == state.snapshot()
    for row in effective_weights(state).values():
        assert math.fsum(row.values()) == pytest.approx(1.0)
