"""Settings of a process, read from an INI file and validated."""

from .generated import Settings
from .load import load_settings
from .load import SettingsError

__all__ = ["Settings", "SettingsError", "load_settings"]
