"""Bring the agreed state, and proof of its freshness, to every VM."""

from .copy import FleetCopy
from .follow import follow
from .reports import Reports
from .serve import serve_sync

__all__ = ["FleetCopy", "Reports", "follow", "serve_sync"]
