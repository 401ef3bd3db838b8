"""Log lines written by a thread, so that no task blocks on output."""

import collections
import logging
import threading

from .. import clock

__all__ = ["BackgroundHandler", "LineWriter"]

# Lines queued within this time are written together, with a single wake-up of
# the thread.
_BATCH_DELAY_S = 0.05
# Longest wait for a blocked write when the process exits.
_FLUSH_TIMEOUT_S = 1.0
# Size limit of the queue; a few thousand lines.
_QUEUE_LIMIT_BYTES = 1 << 20


class LineWriter:
    """Queue lines for a thread that writes them.

    Parameters
    ----------
    stream : io.TextIOBase
        Destination of the lines. A write may block indefinitely.
    limit_bytes : int
        Size limit of the queued lines; further lines are dropped.

    Notes
    -----
    The thread is a daemon thread, so that unread standard output does not keep
    the process alive.
    """

    def __init__(self, stream, limit_bytes=_QUEUE_LIMIT_BYTES):
        self._stream = stream
        self._limit_bytes = limit_bytes
        self._lines = collections.deque()
        self._queued_bytes = 0
        self._dropped = 0
        self._lock = threading.Lock()
        self._lines_queued = threading.Event()
        self._closing = threading.Event()
        self._idle = threading.Condition(self._lock)
        self._is_writing = False
        self._thread = threading.Thread(
            target=self._run, name="log-writer", daemon=True
        )
        self._thread.start()

    @property
    def dropped(self):
        """Number of lines dropped because the queue was full."""
        return self._dropped

    def write(self, line):
        """Queue a line, or drop it if the queue is full.

        Parameters
        ----------
        line : str
            Line without a trailing line break.
        """
        with self._lock:
            size = len(line) + 1
            if self._queued_bytes + size > self._limit_bytes:
                self._dropped += 1
                return
            self._lines.append(line)
            self._queued_bytes += size
        self._lines_queued.set()

    def flush(self, limit_s=_FLUSH_TIMEOUT_S):
        """Wait until all lines are written, for up to `limit_s` seconds."""
        deadline = clock.monotonic() + limit_s
        with self._lock:
            while self._lines or self._is_writing:
                remaining_s = deadline - clock.monotonic()
                if remaining_s <= 0 or not self._thread.is_alive():
                    return
                self._idle.wait(remaining_s)

    def close(self, limit_s=_FLUSH_TIMEOUT_S):
        """Flush for up to `limit_s` seconds and end the thread."""
        self._closing.set()
        self.flush(limit_s)
        self._lines_queued.set()

    def _run(self):
        while True:
            self._lines_queued.wait()
            self._closing.wait(_BATCH_DELAY_S)
            self._lines_queued.clear()
            lines = self._pop_lines()
            if lines:
                self._write_lines(lines)
            elif self._closing.is_set():
                return

    def _pop_lines(self):
        with self._lock:
            lines = list(self._lines)
            self._lines.clear()
            self._queued_bytes = 0
            self._is_writing = bool(lines)
            return lines

    def _write_lines(self, lines):
        try:
            self._stream.write("\n".join(lines) + "\n")
            self._stream.flush()
        except (OSError, ValueError):
            # The reader has closed the stream, so the error cannot be logged.
            self._dropped += len(lines)
        finally:
            with self._lock:
                self._is_writing = False
                self._idle.notify_all()


class BackgroundHandler(logging.Handler):
    """Logging handler that never blocks the caller.

    Parameters
    ----------
    stream : io.TextIOBase
        Destination of the lines.
    limit_bytes : int
        Size limit of the queued lines.

    Notes
    -----
    After lines were dropped, the next record contains their total number in
    the field ``lines_dropped``.
    """

    def __init__(self, stream, limit_bytes=_QUEUE_LIMIT_BYTES):
        super().__init__()
        self._writer = LineWriter(stream, limit_bytes)
        self._reported = 0

    def emit(self, record):
        """Format a record and queue its line."""
        try:
            dropped = self._writer.dropped
            if dropped > self._reported:
                self._reported = dropped
                record.lines_dropped = dropped
            self._writer.write(self.format(record))
        except Exception:  # noqa: BLE001 - logging must not fail a request
            self.handleError(record)

    def flush(self):
        """Wait for a limited time until all lines are written."""
        self._writer.flush()

    def close(self):
        """Flush the queue and end the thread."""
        self._writer.close()
        super().close()
