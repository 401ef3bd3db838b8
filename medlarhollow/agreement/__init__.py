"""Raft consensus among the control replicas."""

from .proposals import MAX_CHANGE_BYTES
from .replica import Replica
from .service import RaftService
from .state_machine import StateMachine

__all__ = [
    "MAX_CHANGE_BYTES",
    "RaftService",
    "Replica",
    "StateMachine",
]
