"""Authenticated gRPC between processes of the fleet."""

from .address import parse_address
from .channel import call
from .channel import Channels
from .server import PeerServer
from .staggered import first_result

__all__ = [
    "Channels",
    "PeerServer",
    "call",
    "first_result",
    "parse_address",
]
