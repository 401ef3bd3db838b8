"""Background log writer and rate limiter of log lines."""

import contextlib
import io
import json
import logging
import os

import pytest

from medlarhollow import clock
from medlarhollow.telemetry import LogRateLimiter
from medlarhollow.telemetry.writer import BackgroundHandler
from medlarhollow.telemetry.writer import LineWriter

LIMIT_BYTES = 4096


@pytest.fixture
def full_pipe():
    """A pipe that is full and not read."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    try:
        while True:
            os.write(writer, b"x" * 4096)
    except BlockingIOError:
        os.set_blocking(writer, True)
    stream = os.fdopen(writer, "w")
    yield stream
    # Ends the blocked write, and thereby the thread.
    os.close(reader)
    with contextlib.suppress(BrokenPipeError):
        stream.close()


def test_lines_are_written_in_order():
    """Guards against lost or reordered lines."""
    stream = io.StringIO()
    writer = LineWriter(stream)
    for number in range(500):
        writer.write(str(number))
    writer.close()
    assert stream.getvalue().split() == [str(n) for n in range(500)]


def test_full_pipe_drops_lines_without_blocking(full_pipe):
    """Guards against requests that wait until their log lines are read."""
    writer = LineWriter(full_pipe, LIMIT_BYTES)
    started_at = clock.monotonic()
    for _ in range(1000):
        writer.write("y" * 100)
    # Much longer than a thousand lines take, much shorter than a blocked
    # write.
    assert clock.monotonic() - started_at < 1
    assert writer.dropped >= 1000 - 2 * LIMIT_BYTES // 100


def test_full_pipe_does_not_block_close(full_pipe):
    """Guards against a process that cannot exit while output is not read."""
    writer = LineWriter(full_pipe, LIMIT_BYTES)
    writer.write("y")
    started_at = clock.monotonic()
    writer.close(limit_s=0.1)
    assert clock.monotonic() - started_at < 1


def test_next_record_contains_dropped_lines():
    """Gaps in the log must be reported."""
    stream = io.StringIO()
    handler = BackgroundHandler(stream, limit_bytes=200)
    handler.setFormatter(_JsonFormatter())
    logger = logging.Logger("medlarhollow.entry.test")
    logger.addHandler(handler)
    for _ in range(50):
        logger.info("x" * 50)
    handler.flush()
    logger.info("after")
    handler.close()
    last_line = json.loads(stream.getvalue().splitlines()[-1])
    assert last_line["message"] == "after"
    assert last_line["lines_dropped"] > 40


class _JsonFormatter(logging.Formatter):
    def format(self, record):
        dropped = getattr(record, "lines_dropped", 0)
        return json.dumps(
            {"message": record.getMessage(), "lines_dropped": dropped}
        )


def test_rate_limiter_limits_lines_and_counts_suppressed_ones():
    """Guards against excessive logging under load."""
    limiter = LogRateLimiter(10.0)
    allowed = [limiter.try_consume(tick * 0.01) for tick in range(200)]
    # 10 lines per second for two seconds, and the initial capacity.
    assert 25 <= sum(allowed) <= 30
    assert limiter.pop_skipped() == 200 - sum(allowed)
    assert limiter.pop_skipped() == 0
