"""Schema of one option."""

import attrs

__all__ = ["Option"]


@attrs.frozen(kw_only=True)
class Option:
    """Type and limits of one option, and whether it is required.

    Attributes
    ----------
    name : str
        Name of the option in its INI section.
    type : str
        One of str, int, float, bool, list, address, addresses, choice, path.
    required : bool
        Whether the file must set the option.
    lowest, highest : float or None
        Inclusive limits of a number.
    allowed : tuple of str
        Allowed values of a choice or of the items of a list.
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
