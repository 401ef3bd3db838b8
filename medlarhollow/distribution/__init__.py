"""Distribute the fleet state and proofs of its freshness to all VMs."""

from .follow import follow
from .reports import Reports
from .serve import serve_sync
from .state_cache import FleetStateCache
from .upstreams import STALE_PROOF_S

__all__ = [
    "FleetStateCache",
    "Reports",
    "STALE_PROOF_S",
    "follow",
    "serve_sync",
]
