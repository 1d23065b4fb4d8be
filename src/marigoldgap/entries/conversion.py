"""Converts NamedTuples to and from structs of the schema.

The converter of a type is built once from its type hints. A new message
therefore needs only a NamedTuple and a struct in the schema.
"""

from __future__ import annotations

from collections.abc import Callable
import functools
import types
import typing
from typing import Any
from typing import NamedTuple

# Represents None in an optional integer; no field uses the lowest Int64.
_NO_INTEGER = -(2**63)


class Converter(NamedTuple):
    """Writes a value into a struct builder and reads it from a reader."""

    write: Callable[[Any, Any], None]
    read: Callable[[Any], Any]


@functools.cache
def converter_of(message_type: type) -> Converter:
    """Returns the converter of a NamedTuple type.

    Raises:
        TypeError: A field has a type without a counterpart in the schema.
    """
    hints = typing.get_type_hints(message_type)
    fields = [_field_converter(name, hint) for name, hint in hints.items()]
    writers = [field.write for field in fields]
    readers = [field.read for field in fields]

    def write(builder: Any, value: Any) -> None:
        for writer, part in zip(writers, value, strict=True):
            writer(builder, part)

    def read(reader: Any) -> Any:
        return message_type(*[field(reader) for field in readers])

    return Converter(write, read)


def camel_case(name: str) -> str:
    """Returns the name of a Python field in the schema."""
    first, *others = name.split("_")
    return first + "".join(part.capitalize() for part in others)


def _field_converter(name: str, hint: Any) -> Converter:
    """Returns the converter of a field of the given type."""
    wire_name = camel_case(name)
    if hint in (int, str, bool, bytes):
        return _plain_field(wire_name)
    if _is_optional_integer(hint):
        return _optional_integer_field(wire_name)
    if typing.get_origin(hint) is tuple:
        return _list_field(wire_name, typing.get_args(hint)[0])
    if isinstance(hint, type) and issubclass(hint, tuple):
        return _struct_field(wire_name, converter_of(hint))
    raise TypeError(f"field {name}: no schema type for {hint}")


def _is_optional_integer(hint: Any) -> bool:
    """Whether the hint is `int | None`."""
    if not isinstance(hint, types.UnionType):
        return False
    return set(typing.get_args(hint)) == {int, type(None)}


def _plain_field(wire_name: str) -> Converter:
    """Returns the converter of a number, text or bytes field."""

    def write(builder: Any, value: Any) -> None:
        if value:
            setattr(builder, wire_name, value)

    def read(reader: Any) -> Any:
        return getattr(reader, wire_name)

    return Converter(write, read)


def _optional_integer_field(wire_name: str) -> Converter:
    """Returns the converter of an integer field that may be None."""

    def write(builder: Any, value: Any) -> None:
        setattr(builder, wire_name, _NO_INTEGER if value is None else value)

    def read(reader: Any) -> Any:
        value = getattr(reader, wire_name)
        return None if value == _NO_INTEGER else value

    return Converter(write, read)


def _struct_field(wire_name: str, inner: Converter) -> Converter:
    """Returns the converter of a nested struct field."""

    def write(builder: Any, value: Any) -> None:
        inner.write(builder.init(wire_name), value)

    def read(reader: Any) -> Any:
        return inner.read(getattr(reader, wire_name))

    return Converter(write, read)


def _list_field(wire_name: str, element: Any) -> Converter:
    """Returns the converter of a field with a list of texts or structs."""
    if element is str:
        return _text_list_field(wire_name)
    inner = converter_of(element)

    def write(builder: Any, value: Any) -> None:
        if not value:
            return
        items = builder.init(wire_name, len(value))
        for index, item in enumerate(value):
            inner.write(items[index], item)

    def read(reader: Any) -> Any:
        return tuple(inner.read(item) for item in getattr(reader, wire_name))

    return Converter(write, read)


def _text_list_field(wire_name: str) -> Converter:
    """Returns the converter of a field with a list of texts."""

    def write(builder: Any, value: Any) -> None:
        if not value:
            return
        items = builder.init(wire_name, len(value))
        for index, item in enumerate(value):
            items[index] = item

    def read(reader: Any) -> Any:
        return tuple(getattr(reader, wire_name))

    return Converter(write, read)
