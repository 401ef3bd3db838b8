"""Limits on the bytes of a response that are not part of its body."""

__all__ = ["FramingLimitError", "HEAD_LIMIT_BYTES", "INTERIM_LIMIT"]

# Largest size of the head of a response with all interim heads before it.
HEAD_LIMIT_BYTES = 65536
# Interim responses before the final one; servers send one or two (RFC 9110,
# section 15.2).
INTERIM_LIMIT = 16


class FramingLimitError(Exception):
    """A response has more heads, chunk lines or trailers than allowed."""
