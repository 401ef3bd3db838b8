"""Durable storage of a control replica."""

from .frames import StorageError
from .log_files import LogFiles
from .store import ReplicaStore

__all__ = ["LogFiles", "ReplicaStore", "StorageError"]
