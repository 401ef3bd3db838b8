"""Log line of each request."""

import logging

import aiohttp
import pytest

from ..request_log import RequestLog
from ..request_log import Trail
from .stand_ins import answer
from .stand_ins import Backend
from .stand_ins import cut_body
from .stand_ins import FakeStateCache
from .stand_ins import Front
from .stand_ins import make_settings
from .stand_ins import stay_silent

ID = {"x-request-id": "req-1"}


@pytest.fixture
def lines(caplog):
    """Return the records of the requests so far."""
    caplog.set_level(logging.INFO, "medlarhollow.entry.request_log")
    return lambda: caplog.records


async def test_served_request_names_what_decided_it(lines):
    """Guards the way from a request's identifier to its server."""
    front = Front()
    async with front.run(Backend(answer())) as running:
        await front.call(headers=ID)
        server = running.dispatcher.servers[0]
    (line,) = lines()
    assert line.request_id == "req-1"
    assert line.outcome == "ok"
    assert line.service == "plots"
    assert line.route == "/plots"
    assert line.account == "crew"
    assert line.revision == 1
    assert line.attempts[0].startswith(f"{server} answered 200 ")
    assert 0 <= line.slot_wait_ms <= line.total_ms


async def test_each_attempt_is_named(lines):
    """Guards against a retry that hides the server that failed first."""
    front = Front()
    async with front.run(Backend(stay_silent), Backend(answer())):
        await front.call(headers=ID | {"x-deadline-ms": "400"})
    (line,) = lines()
    assert [attempt.split()[1] for attempt in line.attempts] == [
        "unanswered",
        "answered",
    ]


@pytest.mark.parametrize(
    ("path", "key", "outcome"),
    [("/plots/1", False, "unauthenticated"), ("/none", True, "not_found")],
)
async def test_refused_request_says_why(lines, path, key, outcome):
    """Guards against a refusal that leaves no trace."""
    front = Front()
    async with front.run(Backend(answer())):
        await front.call(path, key=key, headers=ID)
    (line,) = lines()
    assert line.request_id == "req-1"
    assert line.outcome == outcome
    assert line.detail


async def test_cut_answer_says_so(lines):
    """Guards against a cut answer that looks served."""
    front = Front()
    async with front.run(Backend(cut_body)):
        with pytest.raises(aiohttp.ClientError):
            await front.call(headers=ID)
    (line,) = lines()
    assert line.outcome == "cut"
    assert line.detail.startswith("answer cut")


def test_lines_are_bounded_and_counted(lines):
    """Guards against logs that grow with the load."""
    log = RequestLog(make_settings(), FakeStateCache())
    for number in range(200):
        log.note("ok", "req-1", Trail(), 0.0, number * 0.001)
    log.note("overloaded", "req-2", Trail(), 0.0, 0.2)
    log.note("ok", "req-3", Trail(), 0.0, 1.2)
    served = [line for line in lines() if line.outcome == "ok"]
    # The default of 50 lines a second, and what 0.2 s added.
    assert 50 <= len(served) - 1 <= 60
    skipped = sum(getattr(line, "lines_skipped", 0) for line in served)
    assert skipped == 201 - len(served)
    # Refusals have a budget of their own.
    assert "req-2" in {line.request_id for line in lines()}
