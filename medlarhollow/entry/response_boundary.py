"""End of a response in the bytes that a backend server sends."""

import re

from .chunk_framing import ChunkFraming
from .framing_limits import FramingLimitError
from .framing_limits import HEAD_LIMIT_BYTES
from .framing_limits import INTERIM_LIMIT

__all__ = ["ResponseBoundary"]

_HEAD_END = b"\r\n\r\n"
_STATUS = re.compile(rb"HTTP/1\.[01] ([0-9]{3})[ \r]")
_LENGTH = re.compile(rb"\r\ncontent-length:[ \t]*([0-9]{1,18})[ \t]*\r\n")
_CHUNKED = re.compile(rb"\r\ntransfer-encoding:[ \t]*chunked[ \t]*\r\n")
_BODILESS = frozenset({204, 304})


class ResponseBoundary:
    """Separate a response from bytes after it, which belong to no request.

    The ends that a length or chunks give are found. Other responses end with
    the connection.

    Parameters
    ----------
    has_body : bool
        Whether the request permits a body in the response.

    Notes
    -----
    The time is linear in the data. At most a head or a line of the framing
    is kept.
    """

    def __init__(self, has_body=True):
        self._has_body = has_body
        self._head = bytearray()
        self._head_bytes = 0
        self._interim_heads = 0
        self._is_in_head = True
        # Bytes of the body that are missing; None if no length gives the end.
        self._left = None
        self._chunks = None

    @property
    def is_length_known(self):
        """Whether the head was read, and gives the length of the body."""
        return self._left is not None

    def count_own(self, data):
        """Return how many bytes of the next data belong to the response.

        Parameters
        ----------
        data : bytes
            Received after the data of earlier calls.

        Raises
        ------
        FramingLimitError
            If the heads, a chunk line or the trailers exceed their limit.
        """
        start = self._read_heads(data) if self._is_in_head else 0
        if self._is_in_head:
            return len(data)
        if self._chunks is not None:
            return self._chunks.count_own(data, start)
        if self._left is None:
            return len(data)
        own = min(self._left, len(data) - start)
        self._left -= own
        return start + own

    def _read_heads(self, data):
        """Return how many bytes of the data belong to heads."""
        buffer = self._head
        known = len(buffer)
        buffer += data
        begin = 0
        searched = max(0, known - len(_HEAD_END) + 1)
        while self._is_in_head:
            end = buffer.find(_HEAD_END, searched)
            if end < 0:
                del buffer[:begin]
                self._check_limits(len(buffer))
                return len(data)
            end += len(_HEAD_END)
            self._head_bytes += end - begin
            self._check_limits(0)
            self._read_head(bytes(buffer[begin:end]))
            begin = searched = end
        self._head = bytearray()
        return begin - known

    def _check_limits(self, incomplete_bytes):
        if self._head_bytes + incomplete_bytes > HEAD_LIMIT_BYTES:
            raise FramingLimitError(
                f"more than {HEAD_LIMIT_BYTES} bytes of heads"
            )
        if self._interim_heads > INTERIM_LIMIT:
            raise FramingLimitError(
                f"more than {INTERIM_LIMIT} interim responses"
            )

    def _read_head(self, head):
        status = _STATUS.match(head)
        if status is None or b"\n\n" in head:
            # Not the syntax of which the end was searched.
            self._is_in_head = False
        elif status[1].startswith(b"1") and status[1] != b"101":
            self._interim_heads += 1
        else:
            self._is_in_head = False
            if not self._has_body or int(status[1]) in _BODILESS:
                self._left = 0
            else:
                self._read_framing(head.lower())

    def _read_framing(self, head):
        lengths = _LENGTH.findall(head)
        count = head.count(b"\ncontent-length")
        codings = head.count(b"\ntransfer-encoding")
        if codings == 1 and not count and _CHUNKED.search(head):
            self._chunks = ChunkFraming()
        elif not codings and len(lengths) == count == 1:
            self._left = int(lengths[0])
