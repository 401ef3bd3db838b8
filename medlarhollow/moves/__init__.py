"""Moves of services to new versions."""

from .samples import SampleCounter
from .selector import VersionSelector
from .versions import choose_version
from .versions import find_last_move
from .versions import may_stop_old_version

__all__ = [
    "SampleCounter",
    "VersionSelector",
    "choose_version",
    "find_last_move",
    "may_stop_old_version",
]
