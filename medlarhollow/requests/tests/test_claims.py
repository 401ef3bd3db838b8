"""Tests of the claim ledger under faults and random interleavings."""

import uuid

import attrs
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
import pytest

from medlarhollow.messages.records import Claim
from medlarhollow.messages.records import ClaimStatus
from medlarhollow.messages.records import CompleteClaim
from medlarhollow.messages.records import ErrorKind
from medlarhollow.messages.records import Outcome
from medlarhollow.messages.records import ReleaseClaim
from medlarhollow.requests import ClaimLedger
from medlarhollow.settings.load import parse_settings

NOW = 1_800_000_000.0
RETENTION_S = 600.0
OUTCOME = Outcome(status=201, body=b"order 7", body_kept=True)


def make_settings():
    return parse_settings(
        "[vm]\nname=c\ncluster=x\nregion=r\ndata_centre=d\n"
        "[peer]\nlisten=127.0.0.1:1\nsecret_file=x\n"
        f"[control]\nreplicas=127.0.0.1:1\nclaim_retention_s={RETENTION_S}\n"
    )


def make_key(time_s=NOW, number=0):
    value = int(time_s * 1000) << 80 | 7 << 76 | 2 << 62 | number
    return str(uuid.UUID(int=value))


KEY = make_key()


def claim(attempt, fingerprint=b"f", key=KEY):
    return Claim("crew", key, attempt, fingerprint)


def complete(attempt, key=KEY):
    return CompleteClaim("crew", key, attempt, OUTCOME)


def release(attempt, key=KEY):
    return ReleaseClaim("crew", key, attempt)


@pytest.fixture
def ledger():
    return ClaimLedger(make_settings())


GRANTED = ClaimStatus.GRANTED
PENDING = ClaimStatus.PENDING
COMPLETED = ClaimStatus.COMPLETED
MISMATCHED = ClaimStatus.MISMATCHED
RELEASED = ClaimStatus.RELEASED
CASES = {
    "lost response, claimed again": [
        (claim("a"), GRANTED),
        (claim("a"), GRANTED),
    ],
    "resend while running": [(claim("a"), GRANTED), (claim("b"), PENDING)],
    "resend after the outcome": [
        (claim("a"), GRANTED),
        (complete("a"), COMPLETED),
        (claim("b"), COMPLETED),
        (claim("a"), COMPLETED),
    ],
    "another request under the key": [
        (claim("a"), GRANTED),
        (claim("b", b"g"), MISMATCHED),
        (complete("a"), COMPLETED),
        (claim("c", b"g"), MISMATCHED),
    ],
    "released attempt frees the key": [
        (claim("a"), GRANTED),
        (release("a"), RELEASED),
        (claim("b"), GRANTED),
        (claim("a"), RELEASED),
    ],
    "release overtakes its claim": [
        (release("a"), RELEASED),
        (claim("a"), RELEASED),
        (claim("b"), GRANTED),
    ],
    "late release of another attempt": [
        (claim("a"), GRANTED),
        (release("b"), RELEASED),
        (claim("c"), PENDING),
    ],
    "completed claim cannot be released": [
        (claim("a"), GRANTED),
        (complete("a"), COMPLETED),
        (release("a"), ErrorKind.CONFLICT),
        (claim("b"), COMPLETED),
    ],
    "outcome of another attempt": [
        (claim("a"), GRANTED),
        (complete("b"), ErrorKind.CONFLICT),
        (claim("c"), PENDING),
    ],
    "outcome after the release": [
        (claim("a"), GRANTED),
        (release("a"), RELEASED),
        (complete("a"), ErrorKind.CONFLICT),
    ],
    "key of another version": [
        (claim("a", key=str(uuid.UUID(int=4 << 76))), ErrorKind.BAD_REQUEST),
    ],
    "key not in canonical form": [
        (
            claim("a", key=make_key(number=0xAB).upper()),
            ErrorKind.BAD_REQUEST,
        ),
    ],
    "key older than the retention": [
        (claim("a", key=make_key(NOW - RETENTION_S)), ErrorKind.BAD_REQUEST),
    ],
    "key far in the future": [
        (claim("a", key=make_key(NOW + 400)), ErrorKind.BAD_REQUEST),
    ],
    "no account": [(Claim("", KEY, "a", b"f"), ErrorKind.BAD_REQUEST)],
    "no attempt": [(claim(""), ErrorKind.BAD_REQUEST)],
}


@pytest.mark.parametrize("steps", CASES.values(), ids=CASES.keys())
@pytest.mark.parametrize("restored", [False, True])
def test_claims_in_log_order(steps, restored):
    """Guards each rule of the ledger, also with a restart after each entry: a
    wrong grant would execute an order twice."""
    ledger = ClaimLedger(make_settings())
    for body, expected in steps:
        result = ledger.execute(body, NOW)
        if isinstance(expected, ErrorKind):
            assert result.err_value.kind is expected
        else:
            assert result.ok_value.claim_status is expected
            if expected is COMPLETED:
                assert result.ok_value.outcome == OUTCOME
        if restored:
            records = ledger.records
            ledger = ClaimLedger(make_settings())
            ledger.restore(records)
            assert ledger.records == records


@pytest.mark.parametrize("ahead_s", [0.0, 250.0])
@pytest.mark.parametrize("body", [complete("a"), release("a"), None])
def test_expired_record_is_never_claimed_again(body, ahead_s):
    """Guards against a second execution after the record expired: without a
    record the key must be rejected, even if the caller's clock is ahead."""
    ledger = ClaimLedger(make_settings())
    key = make_key(NOW + ahead_s)
    assert ledger.execute(claim("a", key=key), NOW).is_ok()
    if isinstance(body, CompleteClaim):
        assert ledger.execute(complete("a", key), NOW).is_ok()
    accepted_at_s = []
    for step in range(0, 2000, 7):
        result = ledger.execute(claim("b", key=key), NOW + step)
        if result.is_ok():
            assert result.ok_value.claim_status in (PENDING, COMPLETED)
            accepted_at_s.append(step)
        else:
            assert result.err_value.kind is ErrorKind.BAD_REQUEST
    assert max(accepted_at_s) > 0.8 * RETENTION_S
    assert len(ledger.records) == 1, "only the log time is left"


def test_records_are_kept_for_the_retention(ledger):
    """Guards against records that expire early or never."""
    ledger.execute(claim("a"), NOW)
    ledger.execute(claim("z", key=make_key(NOW, 1)), NOW + RETENTION_S - 61)
    assert len(ledger.records) == 3
    ledger.execute(claim("y", key=make_key(NOW + 600)), NOW + RETENTION_S + 1)
    assert {record.attempt for record in ledger.records} == {"", "z", "y"}


def test_slow_clock_of_a_new_leader_revives_no_key(ledger):
    """Guards against a second execution when a leader with a slow clock
    follows one that has expired the record, also after a restart."""
    ledger.execute(claim("a"), NOW)
    ledger.execute(claim("z", key=make_key(NOW + 700)), NOW + 700)
    restored = ClaimLedger(make_settings())
    restored.restore(ledger.records)
    for replica in (ledger, restored):
        result = replica.execute(claim("b"), NOW + 10)
        assert result.err_value.kind is ErrorKind.BAD_REQUEST


def test_accounts_do_not_share_keys(ledger):
    """Guards against an account that reads or blocks another's claim."""
    ledger.execute(claim("a"), NOW)
    other = Claim("nursery", KEY, "b", b"f")
    assert ledger.execute(other, NOW).ok_value.claim_status is GRANTED


ATTEMPTS = st.sampled_from(["a", "b", "c"])
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["claim", "send", "claim", "complete", "release"]),
        ATTEMPTS,
        st.integers(0, 1),
        st.sampled_from([0, 0, 50, 300, 700, -40]),
        st.booleans(),
    ),
    max_size=60,
)


@hypothesis_settings(max_examples=300, deadline=None)
@given(STEPS)
def test_at_most_one_execution_for_each_key(steps):
    """Guards invariant 10 under random interleavings: entry VMs claim, lose
    responses, send, complete and release while time passes and replicas
    restart; a key must be executed at most once."""
    ledger = ClaimLedger(make_settings())
    now = NOW
    granted, executions, released = set(), {}, set()
    for action, attempt, number, wait, lost in steps:
        now += wait
        key = make_key(NOW, number)
        claimant = (attempt, number)
        if action == "claim":
            result = ledger.execute(claim(attempt, key=key), now)
            status = result.is_ok() and result.ok_value.claim_status
            if status is GRANTED and result.is_ok():
                assert claimant not in released, (
                    "late claim of a released attempt"
                )
                if not lost:
                    granted.add(claimant)
        elif action == "send" and claimant in granted:
            executions.setdefault(number, set()).add(attempt)
        elif action == "complete" and attempt in executions.get(number, ()):
            ledger.execute(complete(attempt, key), now)
        elif action == "release" and attempt not in executions.get(number, ()):
            granted.discard(claimant)
            if ledger.execute(release(attempt, key), now).is_ok():
                released.add(claimant)
        if lost:
            records = ledger.records
            ledger = ClaimLedger(make_settings())
            ledger.restore(records)
    assert all(len(attempts) == 1 for attempts in executions.values())


LIMIT_BYTES = 100 * 1024


@pytest.fixture
def small_ledger():
    settings = make_settings()
    control = attrs.evolve(settings.control, claim_bytes=LIMIT_BYTES)
    return ClaimLedger(attrs.evolve(settings, control=control))


def fill(ledger, account, count, start_s=0.0, body=b"order 7"):
    """Claim and complete orders; return their keys."""
    keys = []
    for number in range(count):
        now = NOW + start_s + number / 100
        key = make_key(now, number)
        keys.append(key)
        claimed = ledger.execute(Claim(account, key, "a", b"f"), now)
        assert claimed.ok_value.claim_status is GRANTED
        outcome = Outcome(status=201, body=body, body_kept=True)
        completion = CompleteClaim(account, key, "a", outcome)
        assert ledger.execute(completion, now).is_ok()
    return keys


def test_claims_beyond_the_memory_limit_drop_the_oldest(small_ledger, caplog):
    """Guards the memory of control replicas, and invariant 10: the key of a
    dropped claim must not run again."""
    keys = fill(small_ledger, "crew", 1000)
    assert len(small_ledger.records) < 110
    assert len([r for r in caplog.records if "crew" in r.getMessage()]) == 1
    now = NOW + 10.0
    for key in keys[:-150:50]:
        result = small_ledger.execute(claim("b", key=key), now)
        assert result.err_value.kind is ErrorKind.BAD_REQUEST
    latest = small_ledger.execute(claim("b", key=keys[-1]), now)
    assert latest.ok_value.claim_status is COMPLETED
    assert fill(small_ledger, "crew", 1, start_s=11.0)


def test_dropped_keys_stay_rejected_after_a_snapshot(small_ledger):
    """Guards invariant 10 on replicas that start from a snapshot."""
    keys = fill(small_ledger, "crew", 300)
    restored = ClaimLedger(make_settings())
    restored.restore(small_ledger.records)
    assert restored.records == small_ledger.records
    result = restored.execute(claim("b", key=keys[0]), NOW + 4.0)
    assert result.err_value.kind is ErrorKind.BAD_REQUEST


@pytest.mark.parametrize("body", [b"order 7", bytes(16384)])
def test_flood_of_claims_drops_none_of_another_account(small_ledger, body):
    """Guards the replays of an account against the orders of another one."""
    keys = fill(small_ledger, "crew", 5)
    fill(small_ledger, "flood", 500, start_s=1.0, body=body)
    for key in keys:
        result = small_ledger.execute(claim("b", key=key), NOW + 7.0)
        assert result.ok_value.claim_status is COMPLETED


def test_claims_of_silent_accounts_expire(small_ledger):
    """Guards memory against accounts that stop to order."""
    for number in range(20):
        fill(small_ledger, f"crew-{number}", 2)
    fill(small_ledger, "crew", 1, start_s=RETENTION_S + 10.0)
    claims = [r for r in small_ledger.records if r.idempotency_key]
    assert len(claims) == 1
