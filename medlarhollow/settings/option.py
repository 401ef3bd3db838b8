"""Description of one setting."""

import attrs

__all__ = ["Option"]


@attrs.frozen(kw_only=True)
class Option:
    """Describe one setting: its type, whether it is required, its limits.

    Attributes
    ----------
    name : str
        Name of the option in its INI section.
    type : str
        One of str, int, float, bool, list, address, addresses, choice, path.
    required : bool
        Whether the file must give a value.
    lowest, highest : float or None
        Inclusive limits of a number.
    allowed : tuple of str
        Values allowed for a choice or for the items of a list.
    help : str
        One sentence for operators.
    """

    name: str
    type: str
    required: bool = False
    lowest: float | None = None
    highest: float | None = None
    allowed: tuple[str, ...] = ()
    help: str = ""
