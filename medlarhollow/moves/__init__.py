"""Moves to new versions and shifts between presets."""

from .samples import SampleCounter
from .versions import choose_version

__all__ = ["SampleCounter", "choose_version"]
