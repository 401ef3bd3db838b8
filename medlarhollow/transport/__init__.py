"""Authenticated gRPC between processes of the fleet."""

from .address import parse_address
from .channel import call
from .channel import Channels
from .server import PeerServer

__all__ = ["Channels", "PeerServer", "call", "parse_address"]
