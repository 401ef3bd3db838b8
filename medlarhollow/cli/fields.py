"""Command-line options for the fields of record classes."""

import enum
import typing

import attrs
from cleo.helpers import option

from .command import UsageError

__all__ = ["make_body", "make_options", "split_parts"]


def make_options(cls, skip=()):
    """Return an option for each field of a record class.

    Parameters
    ----------
    cls : type
        Record class.
    skip : tuple of str
        Fields without an option.

    Returns
    -------
    list of cleo Option
        ``rate_per_s`` becomes ``--rate-per-s``; booleans become flags.
    """
    return [
        option(_option_name(name), None, _help(kind), flag=kind is bool)
        for name, kind in _fields(cls, skip)
    ]


def make_body(command, cls, skip=()):
    """Return the request body that the options describe.

    Parameters
    ----------
    command : FleetCommand
        Command with the options.
    cls : type
        Record class.
    skip : tuple of str
        Fields without an option.

    Returns
    -------
    dict
        JSON data with the fields that were given.

    Raises
    ------
    UsageError
        If a number is invalid; the API validates the other fields.
    """
    body = {}
    for name, kind in _fields(cls, skip):
        text = command.option(_option_name(name))
        if text is None or text is False:
            continue
        body[name] = _parse(command, name, kind, text)
    return body


def _fields(cls, skip):
    attrs.resolve_types(cls)
    return [
        (field.name, field.type)
        for field in attrs.fields(cls)
        if field.name not in skip and typing.get_origin(field.type) is None
    ]


def _option_name(name):
    return name.replace("_", "-")


def _help(kind):
    if issubclass(kind, enum.Enum):
        return f"One of {', '.join(item.name.lower() for item in kind)}."
    return {bool: "Yes if given.", str: "Text."}.get(kind, "Number.")


def _parse(command, name, kind, text):
    if kind in (int, float):
        return command.parse_number(_option_name(name), kind)
    if kind is bool:
        return True
    return text


def split_parts(text, count, form):
    """Split a text at its colons into a fixed number of parts.

    The error message names `form`, the expected form of the text.

    Raises
    ------
    UsageError
        If the number of parts differs from `count`.
    """
    parts = text.split(":")
    if len(parts) != count:
        raise UsageError(f"'{text}': {form} is required")
    return parts
