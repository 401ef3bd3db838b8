"""One fault of a settings file."""

import attrs

__all__ = ["Fault"]


@attrs.frozen
class Fault:
    """Say where a settings file is wrong and what is allowed.

    Attributes
    ----------
    path : str
        The file.
    section, option : str or None
        Where the fault is.
    value : str or None
        What the file says there.
    detail : str
        What is wrong or allowed.
    """

    path: str
    section: str | None = None
    option: str | None = None
    value: str | None = None
    detail: str = ""

    def __str__(self):
        place = f" [{self.section}]" if self.section else ""
        name = f" {self.option}" if self.option else ""
        value = f" = '{self.value}'" if self.value is not None else ""
        return f"{self.path}:{place}{name}{value}: {self.detail}"
