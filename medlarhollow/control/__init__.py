"""Services of a control replica and tasks of the leader."""

from .client import ControlClient
from .service import ControlService

__all__ = ["ControlClient", "ControlService"]
