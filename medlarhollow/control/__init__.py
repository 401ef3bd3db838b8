"""Services of a control replica and the duties of the leader."""

from .service import ControlService

__all__ = ["ControlService"]
