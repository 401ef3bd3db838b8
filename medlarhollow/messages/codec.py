"""Encode records as protobuf and decode them.

Decisions work on the `attrs` records; only this module knows the encoding.
"""

import functools

import attrs
from google.protobuf.message import DecodeError
from grpclib.encoding.base import CodecBase

from . import fleet_pb2
from . import peer_pb2
from . import records

__all__ = ["RecordCodec", "decode", "encode"]


@attrs.frozen
class _Plan:
    """How the fields of one record class map to its protobuf message."""

    message: type
    scalars: tuple
    enums: tuple
    messages: tuple
    repeated: tuple
    repeated_messages: tuple
    oneofs: tuple


def encode(record):
    """Encode a record.

    Parameters
    ----------
    record : object
        Instance of a class in :mod:`medlarhollow.messages.records`.

    Returns
    -------
    bytes
        Its protobuf encoding.

    Raises
    ------
    ValueError
        If a value does not fit its field, for example a negative count.

    Examples
    --------
    >>> decode(records.Header, encode(records.Header("a", "b"))).value
    'b'
    """
    try:
        return _fill(_plan(type(record)).message(), record).SerializeToString()
    except (TypeError, ValueError) as error:
        name = type(record).__name__
        raise ValueError(f"cannot encode {name}: {error}") from error


def decode(cls, data):
    """Decode a record.

    Parameters
    ----------
    cls : type
        A class in :mod:`medlarhollow.messages.records`.
    data : bytes
        Its protobuf encoding.

    Returns
    -------
    object
        The record.

    Raises
    ------
    ValueError
        If the data is not an encoding of that class.
    """
    try:
        message = _plan(cls).message.FromString(data)
    except DecodeError as error:
        raise ValueError(f"cannot decode {cls.__name__}: {error}") from error
    return _read(cls, message)


class RecordCodec(CodecBase):
    """Let grpclib send and receive records."""

    __content_subtype__ = "proto"

    def encode(self, message, message_type):
        """Return the bytes of a record."""
        return encode(message)

    def decode(self, data, message_type):
        """Return the record of `message_type` in the bytes."""
        return decode(message_type, data)


def _message_class(name):
    return getattr(fleet_pb2, name, None) or getattr(peer_pb2, name)


@functools.cache
def _plan(cls):
    message = _message_class(cls.__name__)
    parts = {name: [] for name in ("s", "e", "m", "r", "rm")}
    for field in message.DESCRIPTOR.fields:
        if field.containing_oneof is None:
            parts[_shape(field)].append(_described(field))
    oneofs = tuple(
        (
            oneof.name,
            {
                getattr(records, field.message_type.name): field.name
                for field in oneof.fields
            },
            {
                field.name: getattr(records, field.message_type.name)
                for field in oneof.fields
            },
        )
        for oneof in message.DESCRIPTOR.oneofs
    )
    shapes = [tuple(parts[name]) for name in ("s", "e", "m", "r", "rm")]
    return _Plan(message, *shapes, oneofs)


def _shape(field):
    if field.is_repeated:
        return "rm" if field.message_type else "r"
    if field.message_type:
        return "m"
    return "e" if field.enum_type else "s"


def _described(field):
    kind = field.message_type or field.enum_type
    return field.name, kind and getattr(records, kind.name)


def _fill(message, record):
    plan = _plan(type(record))
    for name, _ in plan.scalars + plan.enums:
        setattr(message, name, getattr(record, name))
    for name, _ in plan.messages:
        part = getattr(record, name)
        if part is not None:
            getattr(message, name).SetInParent()
            _fill(getattr(message, name), part)
    for name, _ in plan.repeated:
        getattr(message, name).extend(getattr(record, name))
    for name, _ in plan.repeated_messages:
        container = getattr(message, name)
        for part in getattr(record, name):
            _fill(container.add(), part)
    for name, fields, _ in plan.oneofs:
        part = getattr(record, name)
        if part is not None:
            target = getattr(message, fields[type(part)])
            target.SetInParent()
            _fill(target, part)
    return message


def _read(cls, message):
    plan = _plan(cls)
    values = {name: getattr(message, name) for name, _ in plan.scalars}
    for name, kind in plan.enums:
        values[name] = kind(getattr(message, name))
    for name, kind in plan.messages:
        present = message.HasField(name)
        values[name] = _read(kind, getattr(message, name)) if present else None
    for name, _ in plan.repeated:
        values[name] = tuple(getattr(message, name))
    for name, kind in plan.repeated_messages:
        values[name] = tuple(
            _read(kind, part) for part in getattr(message, name)
        )
    for name, _, kinds in plan.oneofs:
        field = message.WhichOneof(name)
        values[name] = (
            _read(kinds[field], getattr(message, field)) if field else None
        )
    return cls(**values)
