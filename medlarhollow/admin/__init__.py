"""Administration API of the control replicas."""

from .app import make_admin_app
from .fleet_admin import FleetAdmin
from .orders import OrderSender
from .requests import OperatorRequest

__all__ = [
    "FleetAdmin",
    "OperatorRequest",
    "OrderSender",
    "make_admin_app",
]
