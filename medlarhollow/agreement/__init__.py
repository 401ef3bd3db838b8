"""Consensus between the control replicas."""

from .ledger import Ledger
from .replica import Replica
from .service import RaftService

__all__ = ["Ledger", "RaftService", "Replica"]
