"""Fleets of local processes, for the quick start, tests and benchmarks."""

from .backend import make_backend_app
from .fleet import LocalFleet
from .process import LocalProcess

__all__ = ["LocalFleet", "LocalProcess", "make_backend_app"]
