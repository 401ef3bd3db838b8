"""Fault in a settings file."""

import attrs

__all__ = ["Fault"]


@attrs.frozen
class Fault:
    """Location and description of one fault in a settings file.

    Attributes
    ----------
    path : str
        Path of the file.
    section, option : str or None
        Location of the fault.
    value : str or None
        Text of the option in the file.
    detail : str
        What is invalid, or which values are allowed.
    """

    path: str
    section: str | None = None
    option: str | None = None
    value: str | None = None
    detail: str = ""

    def __str__(self):
        section = f" [{self.section}]" if self.section else ""
        name = f" {self.option}" if self.option else ""
        value = f" = '{self.value}'" if self.value is not None else ""
        return f"{self.path}:{section}{name}{value}: {self.detail}"
