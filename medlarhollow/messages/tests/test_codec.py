"""Encoding of records, compared with a naive implementation."""

import enum
import math
import random

import attrs
import pytest

from medlarhollow.messages import records
from medlarhollow.messages.codec import _layout
from medlarhollow.messages.codec import decode
from medlarhollow.messages.codec import encode

CLASSES = [
    cls
    for cls in vars(records).values()
    if isinstance(cls, type) and attrs.has(cls)
]
MAX_REPEATED = 3


def make_scalar(field, source):
    """Return a random value for a field, often the default."""
    is_empty = source.random() < 0.4
    if field.enum_type:
        field_class = getattr(records, field.enum_type.name)
        return field_class(0) if is_empty else source.choice(list(field_class))
    if field.type in (field.TYPE_DOUBLE, field.TYPE_FLOAT):
        values = [source.uniform(-1e9, 1e9), math.inf, -1.0]
        return 0.0 if is_empty else source.choice(values)
    if field.type == field.TYPE_BOOL:
        return not is_empty
    if field.type == field.TYPE_STRING:
        return "" if is_empty else source.choice(["a", "straße", "x" * 300])
    if field.type == field.TYPE_BYTES:
        return b"" if is_empty else source.randbytes(source.randint(1, 40))
    return 0 if is_empty else source.choice([1, 127, 2**31 - 1])


def make_record(cls, source, depth=0):
    """Return a record with random contents."""
    values = {}
    for field in _layout(cls).message.DESCRIPTOR.fields:
        if field.containing_oneof is not None:
            continue
        count = source.randint(0, MAX_REPEATED) if depth < 4 else 0
        if field.message_type:
            field_class = getattr(records, field.message_type.name)
            nested = tuple(
                make_record(field_class, source, depth + 1)
                for _ in range(count)
            )
            single = nested[0] if nested else None
            values[field.name] = nested if field.is_repeated else single
        elif field.is_repeated:
            values[field.name] = tuple(
                make_scalar(field, source) for _ in range(count)
            )
        else:
            values[field.name] = make_scalar(field, source)
    for name, fields, _ in _layout(cls).oneofs:
        field_classes = [None, *fields] if depth < 4 else [None]
        field_class = source.choice(field_classes)
        values[name] = field_class and make_record(
            field_class, source, depth + 1
        )
    return cls(**values)


def fill_naively(message, record):
    """Set every field of a message, including default values."""
    layout = _layout(type(record))
    for field in attrs.fields(type(record)):
        value = getattr(record, field.name)
        if isinstance(value, tuple):
            container = getattr(message, field.name)
            for item in value:
                if attrs.has(type(item)):
                    fill_naively(container.add(), item)
                else:
                    container.append(item)
        elif attrs.has(type(value)):
            name = field.name
            for oneof, fields, _ in layout.oneofs:
                if oneof == name:
                    name = fields[type(value)]
            getattr(message, name).SetInParent()
            fill_naively(getattr(message, name), value)
        elif value is not None:
            setattr(message, field.name, value)
    return message


@pytest.mark.parametrize("cls", CLASSES, ids=lambda cls: cls.__name__)
def test_encoding_matches_the_naive_implementation(cls):
    source = random.Random(cls.__name__)
    for _ in range(30):
        record = make_record(cls, source)
        data = encode(record)
        message = fill_naively(_layout(cls).message(), record)
        assert _layout(cls).message.FromString(data) == message
        assert decode(cls, data) == record


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("account", None),
        ("account", 5),
        ("tokens", "many"),
        ("epoch", -1),
        ("batches", None),
    ],
)
def test_value_of_the_wrong_type_is_an_error(name, value):
    with pytest.raises(ValueError, match="cannot encode TokenRequest"):
        encode(attrs.evolve(records.TokenRequest(), **{name: value}))


def test_enumerations_are_decoded_as_members():
    vm = decode(records.Vm, encode(records.Vm(state=records.VmState.GONE)))
    assert isinstance(vm.state, enum.IntEnum)
