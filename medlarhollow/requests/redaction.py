"""Remove callers' keys from what is passed on."""

import re

from ..configuration.keys import KEY_PATTERN

__all__ = ["BodyRedactor", "contains_key", "redact_text"]

_MARK = "*"
_BODY_PATTERN = re.compile(KEY_PATTERN.pattern.encode())
_KEY_BYTES = 64
_PREFIX = b"mhk_"
_ID_END = 20
_ESCAPE = re.compile("%[0-9A-Fa-f]{2}")
# Text that was percent-encoded more often than this is not decoded by any
# backend server in one request.
_DECODINGS = 4


def redact_text(text):
    """Overwrite each key in a header value or a query.

    Parameters
    ----------
    text : str
        Text that may contain keys, also percent-encoded.

    Returns
    -------
    str
        The text with a ``*`` for each character of a key. Other text is
        unchanged.
    """
    for start, end, length in reversed(_find_keys(text)):
        text = text[:start] + _MARK * length + text[end:]
    return text


def contains_key(text):
    """Return whether a text contains a key, also percent-encoded."""
    return bool(_find_keys(text))


class BodyRedactor:
    """Overwrite each key in a streamed body, also across chunks.

    The length of the body does not change. Only bytes that may be the
    start of a key are held back until the next chunk.
    """

    def __init__(self):
        self._held = b""

    def feed(self, chunk):
        """Take a chunk and return the bytes that can be passed on.

        Parameters
        ----------
        chunk : bytes
            Next part of the body.

        Returns
        -------
        bytes
            Redacted bytes, perhaps none.
        """
        data = _BODY_PATTERN.sub(_overwrite, self._held + chunk)
        end = len(data) - _partial_length(data)
        self._held = data[end:]
        return data[:end]

    def finish(self):
        """Return the bytes held back at the end of the body."""
        rest, self._held = self._held, b""
        return rest


def _overwrite(match):
    return _MARK.encode() * len(match[0])


def _partial_length(data):
    """Return the length of the longest end that may begin a key."""
    start = max(0, len(data) - _KEY_BYTES + 1)
    while (start := data.find(b"m", start)) >= 0:
        if _is_partial(data[start:]):
            return len(data) - start
        start += 1
    return 0


def _is_partial(tail):
    if tail[:4] != _PREFIX[: len(tail)]:
        return False
    middle = tail[4:_ID_END]
    if middle and not middle.isalnum():
        return False
    if tail[_ID_END : _ID_END + 1] not in (b"", b"_"):
        return False
    secret = tail[_ID_END + 1 :]
    return not secret or secret.isalnum()


def _find_keys(text):
    """Return (start, end, length of the decoded key) of each key."""
    # Most headers have neither, and decoding them costs 0.02 ms each.
    if _PREFIX.decode() not in text and not _ESCAPE.search(text):
        return []
    found = {}
    characters = [(c, i, i + 1) for i, c in enumerate(text)]
    for _ in range(_DECODINGS + 1):
        plain = "".join(character for character, _, _ in characters)
        for match in KEY_PATTERN.finditer(plain):
            start = characters[match.start()][1]
            end = characters[match.end() - 1][2]
            found.setdefault(start, (start, end, len(match[0])))
        if not _ESCAPE.search(plain):
            break
        characters = _decode(plain, characters)
    return _without_overlaps(sorted(found.values()))


def _decode(plain, characters):
    decoded = []
    place = 0
    for match in _ESCAPE.finditer(plain):
        decoded += characters[place : match.start()]
        first, last = characters[match.start()], characters[match.end() - 1]
        decoded.append((chr(int(match[0][1:], 16)), first[1], last[2]))
        place = match.end()
    return decoded + characters[place:]


def _without_overlaps(spans):
    kept = []
    for start, end, length in spans:
        if kept and start < kept[-1][1]:
            first = kept[-1]
            kept[-1] = (first[0], max(first[1], end), first[2])
        else:
            kept.append((start, end, length))
    return kept
