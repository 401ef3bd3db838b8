"""Consensus between the control replicas."""

from .ledger import Ledger
from .replica import Replica

__all__ = ["Ledger", "Replica"]
