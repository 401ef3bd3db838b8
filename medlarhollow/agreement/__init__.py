"""Raft consensus among the control replicas."""

from .replica import Replica
from .service import RaftService
from .state_machine import StateMachine

__all__ = [
    "RaftService",
    "Replica",
    "StateMachine",
]
