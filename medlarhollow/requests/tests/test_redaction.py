"""Tests of the redaction of keys in text and in streamed bodies."""

import re
from urllib.parse import quote

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
import pytest

from medlarhollow.configuration.keys import KEY_PATTERN
from medlarhollow.requests import BodyRedactor
from medlarhollow.requests import contains_key
from medlarhollow.requests import redact_text

KEY = "mhk_" + "Ab3" * 5 + "x_" + "Zz9" * 14 + "q"
STARS = "*" * len(KEY)
ALL_ESCAPED = "".join(f"%{ord(c):02X}" for c in KEY)
CASES = {
    "plain": (KEY, STARS),
    "bearer": (f"Bearer {KEY}", f"Bearer {STARS}"),
    "cookie": (f"a=1; k={KEY}; b=2", f"a=1; k={STARS}; b=2"),
    "query": (f"q=1&key={KEY}&x=%20", f"q=1&key={STARS}&x=%20"),
    "escaped underscore": (KEY.replace("_", "%5f"), STARS),
    "all escaped": (f"k={ALL_ESCAPED}&z", f"k={STARS}&z"),
    "escaped twice": (f"k={quote(ALL_ESCAPED)}&z", f"k={STARS}&z"),
    "two keys": (f"{KEY}{KEY}", STARS + STARS),
    "too short": (KEY[:-1], KEY[:-1]),
    "other escapes": ("a=%41%zz%", "a=%41%zz%"),
    "inside a word": (f"x{KEY}y", f"x{STARS}y"),
}


@pytest.mark.parametrize(("text", "expected"), CASES.values(), ids=CASES)
def test_keys_in_text_are_masked(text, expected):
    """Guards invariant 4: a key anywhere in a header or query must not
    reach a backend server, and other text must not change."""
    assert redact_text(text) == expected
    assert contains_key(text) is (text != expected)


# Prefixes, suffixes and near misses of keys, so that random bodies reach all
# states of the redactor.
PIECES = st.sampled_from(
    [
        KEY.encode(),
        KEY.encode()[:30],
        KEY.encode()[30:],
        KEY.encode()[:-1],
        b"mhk",
        b"mhk_",
        b"m",
        b"_",
        b"mhk_" + b"a" * 13 + b"mhk_" + b"b" * 16 + b"_" + b"c" * 43,
        b"\x00\xff",
        b" ",
    ]
)


@hypothesis_settings(max_examples=500, deadline=None)
@given(st.lists(PIECES, max_size=8), st.data())
def test_chunked_body_is_redacted_as_the_whole(pieces, data):
    """Guards invariant 4 across chunk boundaries: any chunking must give the
    same result as replacement in the whole body."""
    whole = b"".join(pieces)
    pattern = re.compile(KEY_PATTERN.pattern.encode())
    expected = pattern.sub(lambda match: b"*" * len(match[0]), whole)
    cuts = data.draw(st.lists(st.integers(0, len(whole)), max_size=12))
    redactor = BodyRedactor()
    result, start = b"", 0
    for cut in [*sorted(cuts), len(whole)]:
        result += redactor.feed(whole[start:cut])
        start = cut
    result += redactor.finish()
    assert result == expected


def test_ordinary_bytes_are_not_buffered():
    """Guards against a streamed body that stalls in the redactor."""
    redactor = BodyRedactor()
    assert redactor.feed(b"plots m") == b"plots "
    assert redactor.feed(b"ap") == b"map"
