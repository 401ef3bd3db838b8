"""Tests of the request log."""

import logging

import aiohttp
import pytest

from ..request_log import RequestLog
from ..request_log import RequestTrace
from .fakes import EntryHarness
from .fakes import FakeBackend
from .fakes import FakeStateCache
from .fakes import make_settings
from .fakes import never_respond
from .fakes import respond
from .fakes import truncate_body

REQUEST_ID = {"x-request-id": "req-1"}


@pytest.fixture
def log_records(caplog):
    """Return a function that returns the log records so far."""
    caplog.set_level(logging.INFO, "medlarhollow.entry.request_log")
    return lambda: caplog.records


async def test_served_request_is_logged_with_its_server(log_records):
    """Guards the lookup of a request's server by request identifier."""
    entry = EntryHarness()
    async with entry.run(FakeBackend(respond())) as running:
        await entry.call(headers=REQUEST_ID)
        server = running.dispatcher.servers[0]
    (record,) = log_records()
    assert record.request_id == "req-1"
    assert record.outcome == "ok"
    assert record.service == "plots"
    assert record.route == "/plots"
    assert record.account == "crew"
    assert record.revision == 1
    assert record.attempts[0].startswith(f"{server} answered 200 ")
    assert ", warm, record 0.00 s old, lease " in record.attempts[0]
    assert 0 <= record.slot_wait_ms <= record.total_ms


async def test_each_attempt_is_logged(log_records):
    """Guards against a retry that hides the first, faulty server."""
    entry = EntryHarness()
    async with entry.run(FakeBackend(never_respond), FakeBackend(respond())):
        await entry.call(headers=REQUEST_ID | {"x-deadline-ms": "400"})
    (record,) = log_records()
    assert [attempt.split()[1] for attempt in record.attempts] == [
        "unanswered",
        "answered",
    ]


@pytest.mark.parametrize(
    ("path", "key", "outcome"),
    [("/plots/1", False, "unauthenticated"), ("/none", True, "not_found")],
)
async def test_refusal_is_logged_with_reason(log_records, path, key, outcome):
    """Guards against refusals that are not logged."""
    entry = EntryHarness()
    async with entry.run(FakeBackend(respond())):
        await entry.call(path, key=key, headers=REQUEST_ID)
    (record,) = log_records()
    assert record.request_id == "req-1"
    assert record.outcome == outcome
    assert record.detail


async def test_truncated_response_is_logged(log_records):
    """Guards against truncated responses that are logged as served."""
    entry = EntryHarness()
    async with entry.run(FakeBackend(truncate_body)):
        with pytest.raises(aiohttp.ClientError):
            await entry.call(headers=REQUEST_ID)
    (record,) = log_records()
    assert record.outcome == "cut"
    assert record.detail.startswith("response truncated")


def test_log_rate_is_limited(log_records):
    """Guards against log volume that grows with the load."""
    log = RequestLog(make_settings(), FakeStateCache())
    for number in range(200):
        log.record_request("ok", "req-1", RequestTrace(), 0.0, number * 0.001)
    log.record_request("overloaded", "req-2", RequestTrace(), 0.0, 0.2)
    log.record_request("ok", "req-3", RequestTrace(), 0.0, 1.2)
    served = [record for record in log_records() if record.outcome == "ok"]
    # The default rate of 50 lines per second, and the lines of 0.2 s.
    assert 50 <= len(served) - 1 <= 60
    skipped = sum(getattr(record, "lines_skipped", 0) for record in served)
    assert skipped == 201 - len(served)
    # Refusals have a separate rate limit.
    assert "req-2" in {record.request_id for record in log_records()}
