"""Parsing of option values."""

import math

from ..transport.address import parse_address

__all__ = ["parse_value"]

_BOOLEANS = {
    "yes": True,
    "true": True,
    "on": True,
    "1": True,
    "no": False,
    "false": False,
    "off": False,
    "0": False,
}


def parse_value(option, text):
    """Parse the text of an option.

    Parameters
    ----------
    option : Option
        Type and limits of the option.
    text : str
        Text from the INI file.

    Returns
    -------
    str, int, float, bool or tuple of str
        The parsed value.

    Raises
    ------
    ValueError
        If the text is invalid; the message says what is allowed.
    """
    return _PARSERS[option.type](option, text.strip())


def _parse_str(option, text):
    if option.required and not text:
        raise ValueError("must not be empty")
    return text


def _parse_choice(option, text):
    if text not in option.allowed:
        raise ValueError(f"allowed: {', '.join(option.allowed)}")
    return text


def _parse_bool(option, text):
    if text.lower() not in _BOOLEANS:
        raise ValueError("allowed: yes, no")
    return _BOOLEANS[text.lower()]


def _parse_int(option, text):
    try:
        return _check_range(option, int(text))
    except ValueError:
        raise ValueError(_describe_range(option, "a whole number")) from None


def _parse_float(option, text):
    try:
        return _check_range(option, float(text))
    except ValueError:
        raise ValueError(_describe_range(option, "a number")) from None


def _check_range(option, number):
    if not math.isfinite(number):
        raise ValueError("not finite")
    if option.lowest is not None and number < option.lowest:
        raise ValueError("too low")
    if option.highest is not None and number > option.highest:
        raise ValueError("too high")
    return number


def _describe_range(option, kind):
    return f"allowed: {kind} from {option.lowest} to {option.highest}"


def _parse_list(option, text):
    items = tuple(part.strip() for part in text.split(",") if part.strip())
    invalid = [item for item in items if item not in option.allowed]
    if invalid or not items:
        raise ValueError(f"allowed: one or more of {list(option.allowed)}")
    return items


def _parse_address(option, text):
    parse_address(text)
    return text


def _parse_addresses(option, text):
    items = tuple(part.strip() for part in text.split(",") if part.strip())
    for item in items:
        parse_address(item)
    return items


_PARSERS = {
    "str": _parse_str,
    "path": _parse_str,
    "choice": _parse_choice,
    "bool": _parse_bool,
    "int": _parse_int,
    "float": _parse_float,
    "list": _parse_list,
    "address": _parse_address,
    "addresses": _parse_addresses,
}
