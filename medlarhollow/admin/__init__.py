"""Administration API of the control replicas."""

from .app import make_admin_app
from .fleet_admin import FleetAdmin
from .requests import Order

__all__ = ["FleetAdmin", "Order", "make_admin_app"]
