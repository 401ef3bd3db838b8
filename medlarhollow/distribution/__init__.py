"""Bring the agreed state, and proof of its freshness, to every VM."""

from .follow import follow
from .reports import Reports
from .serve import serve_sync
from .state_cache import FleetStateCache

__all__ = ["FleetStateCache", "Reports", "follow", "serve_sync"]
