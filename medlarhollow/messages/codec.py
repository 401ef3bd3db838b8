"""Protobuf encoding and decoding of records.

All other code uses the `attrs` records; only this module accesses protobuf
messages.
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
class _MessageLayout:
    """Fields of a protobuf message, grouped by how they are converted."""

    message: type
    scalars: tuple
    enums: tuple
    messages: tuple
    repeated: tuple
    repeated_messages: tuple
    oneofs: tuple


def encode(record):
    """Encode a record as protobuf.

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
        If a value does not match its field type, such as a negative count.

    Examples
    --------
    >>> decode(records.Header, encode(records.Header("a", "b"))).value
    'b'
    """
    try:
        return _fill_message(
            _layout(type(record)).message(), record
        ).SerializeToString()
    except (TypeError, ValueError) as error:
        name = type(record).__name__
        raise ValueError(f"cannot encode {name}: {error}") from error


def decode(cls, data, omit=()):
    """Decode a record from protobuf.

    Parameters
    ----------
    cls : type
        A class in :mod:`medlarhollow.messages.records`.
    data : bytes
        Its protobuf encoding.
    omit : collection of str
        Names of fields with a record that are left out, as if they were not
        set.

    Returns
    -------
    object
        The record.

    Raises
    ------
    ValueError
        If the data is not a valid encoding of that class.
    """
    try:
        message = _layout(cls).message.FromString(data)
    except DecodeError as error:
        raise ValueError(f"cannot decode {cls.__name__}: {error}") from error
    return _read_record(cls, message, omit)


class RecordCodec(CodecBase):
    """Codec with which grpclib sends and receives records."""

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
def _layout(cls):
    message = _message_class(cls.__name__)
    fields_by_category = {
        name: []
        for name in (
            "scalars",
            "enums",
            "messages",
            "repeated",
            "repeated_messages",
        )
    }
    for field in message.DESCRIPTOR.fields:
        if field.containing_oneof is None:
            fields_by_category[_field_category(field)].append(
                _field_and_class(field)
            )
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
    field_groups = [
        tuple(fields_by_category[name])
        for name in (
            "scalars",
            "enums",
            "messages",
            "repeated",
            "repeated_messages",
        )
    ]
    return _MessageLayout(message, *field_groups, oneofs)


def _field_category(field):
    if field.is_repeated:
        return "repeated_messages" if field.message_type else "repeated"
    if field.message_type:
        return "messages"
    return "enums" if field.enum_type else "scalars"


def _field_and_class(field):
    field_class = field.message_type or field.enum_type
    return field.name, field_class and getattr(records, field_class.name)


def _fill_message(message, record):
    layout = _layout(type(record))
    for name, _ in layout.scalars + layout.enums:
        setattr(message, name, getattr(record, name))
    for name, _ in layout.messages:
        value = getattr(record, name)
        if value is not None:
            getattr(message, name).SetInParent()
            _fill_message(getattr(message, name), value)
    for name, _ in layout.repeated:
        getattr(message, name).extend(getattr(record, name))
    for name, _ in layout.repeated_messages:
        container = getattr(message, name)
        for value in getattr(record, name):
            _fill_message(container.add(), value)
    for name, fields, _ in layout.oneofs:
        value = getattr(record, name)
        if value is not None:
            target = getattr(message, fields[type(value)])
            target.SetInParent()
            _fill_message(target, value)
    return message


def _read_record(cls, message, omit=()):
    layout = _layout(cls)
    values = {name: getattr(message, name) for name, _ in layout.scalars}
    for name, field_class in layout.enums:
        values[name] = field_class(getattr(message, name))
    for name, field_class in layout.messages:
        present = name not in omit and message.HasField(name)
        values[name] = (
            _read_record(field_class, getattr(message, name))
            if present
            else None
        )
    for name, _ in layout.repeated:
        values[name] = tuple(getattr(message, name))
    for name, field_class in layout.repeated_messages:
        values[name] = tuple(
            _read_record(field_class, value)
            for value in getattr(message, name)
        )
    for name, _, field_classes in layout.oneofs:
        field = message.WhichOneof(name)
        values[name] = (
            _read_record(field_classes[field], getattr(message, field))
            if field
            else None
        )
    return cls(**values)
