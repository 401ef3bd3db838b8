"""Service of a control replica, its client, and the leader tasks."""

from .client import ControlClient
from .service import ControlService

__all__ = ["ControlClient", "ControlService"]
