"""Shares of the rate and burst of client accounts."""

from .allocator import ShareAllocator
from .limiter import Limiter

__all__ = ["Limiter", "ShareAllocator"]
