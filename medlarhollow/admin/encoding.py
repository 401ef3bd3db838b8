"""Convert records to JSON and back."""

import enum
import functools
import json
import math

import attrs
import cattrs
from result import Ok

from ..errors import fail
from ..messages import records
from ..messages.records import ErrorKind

__all__ = ["from_json", "parse_json", "to_json"]


@functools.singledispatch
def to_json(value):
    """Return a value as JSON data.

    Parameters
    ----------
    value : object
        Record, enumeration, bytes, tuple, dict or plain value.

    Returns
    -------
    object
        Bytes as hexadecimal text, enumerations as lower-case names,
        records as objects, infinite numbers and NaN as null.

    Examples
    --------
    >>> to_json((b"ab", 1.5))
    ['6162', 1.5]
    """
    if attrs.has(type(value)):
        return {
            field.name: to_json(getattr(value, field.name))
            for field in attrs.fields(type(value))
        }
    return value


@to_json.register
def _bytes_to_json(value: bytes):
    return value.hex()


@to_json.register
def _enum_to_json(value: enum.Enum):
    return value.name.lower()


@to_json.register
def _float_to_json(value: float):
    return value if math.isfinite(value) else None


@to_json.register(tuple)
@to_json.register(list)
def _sequence_to_json(value):
    return [to_json(item) for item in value]


@to_json.register
def _dict_to_json(value: dict):
    return {name: to_json(item) for name, item in value.items()}


def parse_json(data):
    """Parse the body of a request.

    Parameters
    ----------
    data : bytes
        JSON text in UTF-8.

    Returns
    -------
    result.Result
        ``Ok`` with the data or ``BAD_REQUEST``.
    """
    try:
        return Ok(json.loads(data, parse_constant=_reject_constant))
    except (ValueError, RecursionError) as error:
        return fail(ErrorKind.BAD_REQUEST, f"the body is not JSON: {error}")


def from_json(cls, data):
    """Build a record from JSON data.

    Parameters
    ----------
    cls : type
        Record class.
    data : object
        Parsed JSON.

    Returns
    -------
    result.Result
        ``Ok`` with the record, or ``BAD_REQUEST`` that gives the path of
        each invalid value.

    Examples
    --------
    >>> from medlarhollow.messages.records import Link
    >>> from_json(Link, {"mbit_per_s": "much"}).err_value.detail
    'Link: $.mbit_per_s: must be a number'
    """
    if not isinstance(data, dict):
        return fail(
            ErrorKind.BAD_REQUEST, f"{cls.__name__}: must be an object"
        )
    try:
        return Ok(_CONVERTER.structure(data, cls))
    except cattrs.BaseValidationError as error:
        lines = cattrs.transform_error(error, format_exception=_format_error)
        messages = [_put_path_first(line) for line in lines]
        return fail(
            ErrorKind.BAD_REQUEST, f"{cls.__name__}: {'; '.join(messages)}"
        )


def _put_path_first(line):
    """Move the JSON path, which cattrs writes last, to the front."""
    text, _, path = line.rpartition(" @ ")
    return f"{path}: {text}"


def _format_error(error, cls):
    if isinstance(error, cattrs.ForbiddenExtraKeysError):
        return f"unknown: {', '.join(sorted(error.extra_fields))}"
    return str(error)


def _reject_constant(name):
    raise ValueError(f"{name} is not a JSON number")


def _structure_str(value, _):
    if not isinstance(value, str):
        raise ValueError("must be a string")
    return value


def _structure_bool(value, _):
    if not isinstance(value, bool):
        raise ValueError("must be true or false")
    return value


def _structure_int(value, _):
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError("must be an integer")
    if not 0 <= value < 2**63:
        raise ValueError("must be from 0 to 2**63 - 1")
    return value


def _structure_float(value, _):
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError("must be a number")
    try:
        number = float(value)
    except OverflowError:
        number = math.inf
    if not math.isfinite(number):
        raise ValueError("must be a finite number")
    return number


def _structure_bytes(value, _):
    try:
        return bytes.fromhex(value)
    except (TypeError, ValueError):
        raise ValueError("must be a hexadecimal string") from None


def _structure_enum(value, cls):
    names = {member.name.lower(): member for member in cls}
    if not isinstance(value, str) or value not in names:
        raise ValueError(f"one of {', '.join(names)} is required")
    return names[value]


def _make_converter():
    converter = cattrs.Converter(forbid_extra_keys=True)
    converter.register_structure_hook(str, _structure_str)
    converter.register_structure_hook(bool, _structure_bool)
    converter.register_structure_hook(int, _structure_int)
    converter.register_structure_hook(float, _structure_float)
    converter.register_structure_hook(bytes, _structure_bytes)
    for cls in vars(records).values():
        # Registered per class; otherwise the hook for int applies to IntEnum.
        if isinstance(cls, type) and issubclass(cls, enum.IntEnum):
            converter.register_structure_hook(cls, _structure_enum)
    return converter


_CONVERTER = _make_converter()
