"""Log lines that a thread writes."""

import contextlib
import io
import json
import logging
import os
import time

import pytest

from medlarhollow.telemetry import LogRateLimiter
from medlarhollow.telemetry.writer import BackgroundHandler
from medlarhollow.telemetry.writer import LineWriter

LIMIT_BYTES = 4096


@pytest.fixture
def unread_pipe():
    """A pipe that nobody reads, filled to the brim."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    try:
        while True:
            os.write(writer, b"x" * 4096)
    except BlockingIOError:
        os.set_blocking(writer, True)
    stream = os.fdopen(writer, "w")
    yield stream
    # Ends the write of the thread, and with it the thread.
    os.close(reader)
    with contextlib.suppress(BrokenPipeError):
        stream.close()


def test_lines_keep_their_order():
    """Guards against lines that are lost or change places."""
    stream = io.StringIO()
    writer = LineWriter(stream)
    for number in range(500):
        writer.write(str(number))
    writer.close()
    assert stream.getvalue().split() == [str(n) for n in range(500)]


def test_unread_pipe_costs_lines_and_no_time(unread_pipe):
    """Guards against a request that waits until its log line is read."""
    writer = LineWriter(unread_pipe, LIMIT_BYTES)
    started_at = time.monotonic()
    for _ in range(1000):
        writer.write("y" * 100)
    # Far above the time for a thousand lines, far below a blocked write.
    assert time.monotonic() - started_at < 1
    assert writer.dropped >= 1000 - 2 * LIMIT_BYTES // 100


def test_unread_pipe_does_not_hold_up_the_end(unread_pipe):
    """Guards against a process that cannot end while nobody reads."""
    writer = LineWriter(unread_pipe, LIMIT_BYTES)
    writer.write("y")
    started_at = time.monotonic()
    writer.close(limit_s=0.1)
    assert time.monotonic() - started_at < 1


def test_next_record_tells_the_lines_dropped():
    """Guards against gaps that nobody notices."""
    stream = io.StringIO()
    handler = BackgroundHandler(stream, limit_bytes=200)
    handler.setFormatter(_Json())
    log = logging.Logger("medlarhollow.entry.test")
    log.addHandler(handler)
    for _ in range(50):
        log.info("x" * 50)
    handler.flush()
    log.info("after")
    handler.close()
    last = json.loads(stream.getvalue().splitlines()[-1])
    assert last["message"] == "after"
    assert last["lines_dropped"] > 40


class _Json(logging.Formatter):
    def format(self, record):
        dropped = getattr(record, "lines_dropped", 0)
        return json.dumps(
            {"message": record.getMessage(), "lines_dropped": dropped}
        )


def test_budget_bounds_lines_and_counts_the_rest():
    """Guards against a flood of lines under load."""
    limiter = LogRateLimiter(10.0)
    taken = [limiter.try_consume(step * 0.01) for step in range(200)]
    # Two seconds at 10 a second and what was saved before.
    assert 25 <= sum(taken) <= 30
    assert limiter.pop_skipped() == 200 - sum(taken)
    assert limiter.pop_skipped() == 0
