"""Administration API of the control replicas."""

from .app import make_admin_app
from .fleet_admin import FleetAdmin
from .requests import OperatorRequest

__all__ = ["FleetAdmin", "OperatorRequest", "make_admin_app"]
