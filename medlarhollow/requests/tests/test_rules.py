"""Tests of deadlines, retry rule, retry budget and idempotency keys."""

import pytest

from medlarhollow.limits.tests import support
from medlarhollow.messages.records import ErrorKind
from medlarhollow.messages.records import Route
from medlarhollow.requests import Answered
from medlarhollow.requests import check_age
from medlarhollow.requests import choose_timeout
from medlarhollow.requests import format_remaining
from medlarhollow.requests import may_have_run
from medlarhollow.requests import may_retry
from medlarhollow.requests import NotSent
from medlarhollow.requests import parse_idempotency_key
from medlarhollow.requests import Refused
from medlarhollow.requests import RetryBudget
from medlarhollow.requests import Unanswered

from .test_claims import make_key
from .test_claims import make_settings

NOW = 1_800_000_000.0


@pytest.mark.parametrize(
    ("outcome", "idempotent", "retried", "may_have_executed"),
    [
        (NotSent("refused"), True, True, False),
        (NotSent("refused"), False, True, False),
        (Refused("no slot"), False, True, False),
        (Unanswered("closed"), True, True, True),
        (Unanswered("closed"), False, False, True),
        (Answered(200), True, False, True),
        (Answered(500), True, False, True),
        (Answered(503), True, True, True),
        (Answered(503), False, False, True),
        (Answered(502), True, True, True),
        (Answered(504), False, False, True),
    ],
)
def test_retry_rule(outcome, idempotent, retried, may_have_executed):
    """Guards invariants 9 and 10: a non-idempotent request is sent again
    only if it certainly did not run."""
    assert may_retry(outcome, idempotent) is retried
    assert may_have_run(outcome) is may_have_executed


@pytest.mark.parametrize(
    ("header", "timeout_s", "expected"),
    [
        (None, 3.0, 3.0),
        (None, 0.0, 10.0),
        ("500", 3.0, 0.5),
        ("60000", 3.0, 3.0),
        ("0", 3.0, ErrorKind.DEADLINE_EXCEEDED),
        ("-5", 3.0, ErrorKind.BAD_REQUEST),
        ("1.5", 3.0, ErrorKind.BAD_REQUEST),
        ("٣", 3.0, ErrorKind.BAD_REQUEST),
        ("", 3.0, ErrorKind.BAD_REQUEST),
        ("9" * 5000, 3.0, ErrorKind.BAD_REQUEST),
    ],
)
def test_deadline_is_bounded_by_the_route(header, timeout_s, expected):
    """Guards against callers that occupy slots longer than the route allows,
    and against headers that raise an exception."""
    route = Route(timeout_s=timeout_s)
    result = choose_timeout(header, route, make_settings())
    if isinstance(expected, ErrorKind):
        assert result.err_value.kind is expected
    else:
        assert result.ok_value == expected


def test_remaining_time_is_never_zero():
    """Guards against a deadline of 0, which the next hop rejects."""
    assert format_remaining(5.0, 4.75) == "250"
    assert format_remaining(5.0, 6.0) == "1"


def test_retries_are_a_fraction_of_requests():
    """Guards against retries that amplify the load of a failing service:
    after the initial burst, one retry for ten requests is allowed."""
    budget = RetryBudget(make_settings())
    while budget.try_consume("plots"):
        pass
    consumed = 0
    for _ in range(1000):
        budget.count_request("plots")
        consumed += budget.try_consume("plots")
    assert 95 <= consumed <= 100


@pytest.mark.parametrize("vms", [1, 11, 84, 3400])
def test_retry_bursts_of_all_vms_stay_within_the_fleet_burst(vms):
    settings = support.make_settings("vm-0", entry__retry_burst="50")
    names = [f"vm-{number}" for number in range(vms)]
    state = support.make_state(
        vms=[(name, "north", "north-a", "h:1") for name in names]
    )
    state_cache = support.FakeStateCache(state)
    budgets = [RetryBudget(settings, state_cache) for _ in range(vms)]
    consumed = sum(
        budget.try_consume("plots") for budget in budgets for _ in range(99)
    )
    assert consumed <= 50
    for budget in budgets:
        for _ in range(20):
            budget.count_request("plots")
    assert all(budget.try_consume("plots") for budget in budgets)


def test_retry_budgets_of_services_are_separate():
    """Guards a small service against retries paid for by the requests to a
    large one."""
    budget = RetryBudget(make_settings())
    while budget.try_consume("surveys"):
        pass
    for _ in range(1000):
        budget.count_request("plots")
    assert not budget.try_consume("surveys")


@pytest.mark.parametrize(
    "text",
    [
        "",
        "7",
        "0190a1b2-c3d4-4e5f-8a6b-7c8d9e0f1a2b",
        "0190a1b2-c3d4-7e5f-ca6b-7c8d9e0f1a2b",
        "{0190a1b2-c3d4-7e5f-8a6b-7c8d9e0f1a2b}",
        "0190a1b2c3d47e5f8a6b7c8d9e0f1a2b",
        "0190a1b2-c3d4-7e5f-8a6b-7c8d9e0f1a2b\n0",
    ],
)
def test_other_keys_are_rejected(text):
    """Guards against keys of unknown age or with several spellings."""
    assert parse_idempotency_key(text).err_value.kind is (
        ErrorKind.BAD_REQUEST
    )


def test_key_contains_its_time():
    """Guards the age of a key; quotes and capitals make no difference."""
    text = make_key(NOW + 0.25, 0xABC)
    key = parse_idempotency_key(f'"{text.upper()}"').ok_value
    assert (key.text, key.time_s) == (text, NOW + 0.25)
    assert check_age(key, NOW, 600.0).is_ok()
    assert check_age(key, NOW + 541, 600.0).is_err()
    assert check_age(key, NOW - 301, 600.0).is_err()
