"""Records of messages and fleet state, generated from the schema."""

from .codec import decode
from .codec import encode
from .codec import RecordCodec

__all__ = ["RecordCodec", "decode", "encode"]
