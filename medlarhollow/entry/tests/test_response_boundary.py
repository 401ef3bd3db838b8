"""End of a response in the bytes that a backend server sends."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from medlarhollow.entry.framing_limits import FramingLimitError
from medlarhollow.entry.response_boundary import ResponseBoundary

HEAD = b"HTTP/1.1 200 OK\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: Chunked\r\n\r\n"
IN_CHUNKS = CHUNKED + b"5;a=b\r\nwhole\r\n00c\r\n and\r\n\r\n0\n\r\n\r\n"
WITH_LENGTH = HEAD + b"content-length: 5 \r\nX-A: b\r\n\r\nwhole"


def count(chunks, **options):
    boundary = ResponseBoundary(**options)
    return sum(boundary.count_own(chunk) for chunk in chunks)


@pytest.mark.parametrize(
    ("response", "options"),
    [
        (WITH_LENGTH, {}),
        (INTERIM + INTERIM + WITH_LENGTH, {}),
        (IN_CHUNKS + b"0 ;last\r\n\r\n", {}),
        (IN_CHUNKS + b"0\r\nX-A: b\r\nX-B:\r\n\r\n", {}),
        (HEAD + b"Content-Length:0\r\n\r\n", {}),
        (b"HTTP/1.1 204 Empty\r\n\r\n", {}),
        (b"HTTP/1.1 304 Same\r\nContent-Length: 9\r\n\r\n", {}),
        (HEAD + b"Content-Length: 9\r\n\r\n", {"has_body": False}),
    ],
)
@given(data=st.data())
def test_bytes_after_a_response_are_not_its_own(response, options, data):
    """Guards invariant 8, however the bytes are split into reads."""
    extra = data.draw(st.sampled_from([b"", b"\0garbage", HEAD, WITH_LENGTH]))
    sent = response + extra
    cuts = data.draw(st.lists(st.integers(0, len(sent)), max_size=6))
    edges = [0, *sorted(cuts), len(sent)]
    chunks = [
        sent[start:end] for start, end in zip(edges, edges[1:], strict=False)
    ]
    assert count(chunks, **options) == len(response)


@pytest.mark.parametrize(
    "response",
    [
        HEAD + b"\r\nuntil the connection ends",
        HEAD + b"Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n0",
        HEAD + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nabc",
        HEAD + b"Content-Length: 1, 1\r\n\r\nabc",
        HEAD + b"Content-Length: -1\r\n\r\nabc",
        b"HTTP/1.1 200 OK\nContent-Length: 9\n\na\r\n\r\nb and more",
        b"\0garbage\r\n\r\nmore",
        CHUNKED + b"5x\r\nwhole\r\n0\r\n\r\nmore",
        CHUNKED + b"5\nwhole\r\n0\r\n\r\nmore",
        CHUNKED + b"0\r\nX-A: b\n\r\nmore",
    ],
)
def test_other_ends_are_left_to_the_parser(response):
    assert count([response]) == len(response)
    assert count([response[:40], response[40:]]) == len(response)


@pytest.mark.parametrize(
    "response",
    [
        HEAD + b"X-Long: " + b"x" * 200_000 + b"\r\n\r\nmore",
        HEAD + b"X-Many: a\r\n" * 20_000 + b"\r\nmore",
        INTERIM * 17 + WITH_LENGTH,
        b"HTTP/1.1 103 Hints\r\nX: " + b"x" * 65_536 + b"\r\n\r\n",
        CHUNKED + b"5;" + b"a=b;" * 1025,
        CHUNKED + b"0\r\n" + b"X-More: again\r\n" * 1_100,
    ],
)
@pytest.mark.parametrize("size", [1, 4096, 1 << 20])
def test_framing_without_end_exceeds_a_limit(response, size):
    """Guards against responses that keep the parser busy for ever."""
    chunks = [
        response[start : start + size]
        for start in range(0, len(response), size)
    ]
    with pytest.raises(FramingLimitError):
        count(chunks)
