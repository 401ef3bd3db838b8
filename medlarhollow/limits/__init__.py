"""Rate limits of client accounts, enforced with leased tokens."""

from .allocator import ShareAllocator
from .limiter import DEMAND_PERIOD_S
from .limiter import Limiter
from .token_stream import serve_tokens

__all__ = ["DEMAND_PERIOD_S", "Limiter", "ShareAllocator", "serve_tokens"]
