"""Administration API of the control replicas."""

from .app import make_admin_app
from .fleet_admin import FleetAdmin

__all__ = ["FleetAdmin", "make_admin_app"]
