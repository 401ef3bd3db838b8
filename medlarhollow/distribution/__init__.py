"""Distribute the fleet state and proofs of its freshness to all VMs."""

from .follow import follow
from .reports import Reports
from .serve import serve_sync
from .state_cache import FleetStateCache

__all__ = ["FleetStateCache", "Reports", "follow", "serve_sync"]
