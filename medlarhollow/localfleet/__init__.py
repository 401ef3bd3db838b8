"""Fleets of real processes on one machine, for the quick start and tests."""

from .backend import make_backend_app
from .fleet import LocalFleet
from .process import LocalProcess

__all__ = ["LocalFleet", "LocalProcess", "make_backend_app"]
