"""Framing of a body in chunks."""

import re

from .framing_limits import FramingLimitError

__all__ = ["ChunkFraming"]

# Largest line with the size and the extensions of a chunk.
CHUNK_LINE_LIMIT_BYTES = 4096
# Largest size of all trailers of a response.
TRAILER_LIMIT_BYTES = 16384
_CHUNK_LINE = re.compile(rb"([0-9a-fA-F]{1,15})[ \t]*(?:;[^\r\n]*)?\r\n")
_LINE_END = b"\r\n"
# Sizes of short chunks by their usual spellings.
_SHORT_SIZES = {
    spelling % size: size
    for size in range(1, 256)
    for spelling in (b"%x", b"%X")
}
_SHORT_LINE_BYTES = 4


class ChunkFraming:
    """Find the end of a body in chunks (RFC 9112, section 7.1).

    The time is linear in the data, and at most one line is kept.
    """

    def __init__(self):
        self._line = b""
        # Missing bytes of the current chunk, with the line end after it.
        self._left = 0
        self._is_in_trailers = False
        self._trailer_bytes = 0
        self._is_complete = False
        self._is_malformed = False

    @property
    def is_complete(self):
        """Whether the last chunk and the trailers were received."""
        return self._is_complete

    def count_own(self, data, start):
        """Return the end of the part of some data that belongs to the body.

        Parameters
        ----------
        data : bytes
            Received after the data of earlier calls.
        start : int
            Offset of the first byte after those of earlier calls.

        Returns
        -------
        int
            Offset after the last byte of the body. The end of the data if the
            framing is malformed, which the parser reports.

        Raises
        ------
        FramingLimitError
            If a line or the trailers exceed their limit.
        """
        position = start
        while position < len(data) and not self._is_complete:
            if self._is_malformed:
                return len(data)
            if self._left:
                size = min(self._left, len(data) - position)
                self._left -= size
                position += size
                continue
            position = self._skip_chunks(data, position)
            if self._left or position == len(data):
                continue
            end = data.find(b"\n", position) + 1
            stop = end or len(data)
            self._line += data[position:stop]
            position = stop
            self._check_limits()
            if end:
                line, self._line = self._line, b""
                self._read_line(line)
        return position

    def _skip_chunks(self, data, position):
        """Return the offset after the plain chunks that are complete.

        It costs a fraction of what reading a line does, for chunks that are
        shorter than their framing.
        """
        if self._line or self._is_in_trailers:
            return position
        while True:
            end = data.find(_LINE_END, position, position + _SHORT_LINE_BYTES)
            size = _SHORT_SIZES.get(data[position:end]) if end > 0 else None
            if size is None:
                return position
            following = end + size + 2 * len(_LINE_END)
            if following > len(data):
                return position
            position = following

    def _check_limits(self):
        size = len(self._line)
        if self._is_in_trailers:
            if self._trailer_bytes + size > TRAILER_LIMIT_BYTES:
                raise FramingLimitError(
                    f"more than {TRAILER_LIMIT_BYTES} bytes of trailers"
                )
        elif size > CHUNK_LINE_LIMIT_BYTES:
            raise FramingLimitError(
                f"a chunk line of more than {CHUNK_LINE_LIMIT_BYTES} bytes"
            )

    def _read_line(self, line):
        if not self._is_in_trailers:
            match = _CHUNK_LINE.fullmatch(line)
            self._is_malformed = match is None
            if match is not None:
                size = int(match[1], 16)
                self._is_in_trailers = not size
                self._left = size + len(_LINE_END) if size else 0
            return
        self._trailer_bytes += len(line)
        self._is_complete = line == _LINE_END
        self._is_malformed = not line.endswith(_LINE_END)
