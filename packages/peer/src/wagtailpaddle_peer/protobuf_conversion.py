"""Conversion between frozen data classes and protobuf messages.

Fields are matched by name. A data class and its protobuf message therefore have
the same fields, and no message needs conversion functions of its own. Enumeration
members are encoded as their string values, pairs of strings as ``TextPair``.
"""

from collections.abc import Callable
from dataclasses import fields, is_dataclass
from enum import Enum
from functools import cache
from math import isnan
from types import NoneType, UnionType
from typing import Any, Union, get_args, get_origin, get_type_hints

FieldReader = Callable[[Any], Any]
"""Converts the value of a protobuf field to the value of a data class field."""


class ConversionError(ValueError):
    """The fields of a protobuf message are not valid for its data class."""


def fill_message(wire: Any, value: Any) -> Any:
    """Set the fields of the protobuf message ``wire`` from the data class ``value``."""
    kind: Any = type(value)
    for name in _field_names(kind):
        _set(wire, name, getattr(value, name))
    return wire


def read_message(wire: Any, kind: type) -> Any:
    """Return ``wire`` as a data class ``kind``. Raises ``ConversionError``."""
    try:
        values = {
            name: _read_field(wire, name, reader, is_optional)
            for name, reader, is_optional in _readers(kind)
        }
        return kind(**values)
    except (ValueError, TypeError) as exc:
        raise ConversionError(f"{kind.__name__}: {exc}") from None


def _set(wire: Any, name: str, value: Any) -> None:
    if value is None:
        return
    if isinstance(value, tuple):
        _extend(getattr(wire, name), value)
    elif is_dataclass(value):
        held = getattr(wire, name)
        held.SetInParent()
        fill_message(held, value)
    elif isinstance(value, Enum):
        setattr(wire, name, value.value)
    else:
        setattr(wire, name, value)


def _extend(held: Any, values: tuple[Any, ...]) -> None:
    if not values or isinstance(values[0], int | float | str | bytes):
        held.extend(values)
        return
    for value in values:
        if is_dataclass(value):
            fill_message(held.add(), value)
        else:
            held.add(first=value[0], second=value[1])


def _read_field(wire: Any, name: str, reader: FieldReader, is_optional: bool) -> Any:
    if is_optional and not wire.HasField(name):
        return None
    return reader(getattr(wire, name))


@cache
def _field_names(kind: Any) -> tuple[str, ...]:
    return tuple(field.name for field in fields(kind))


@cache
def _readers(kind: Any) -> tuple[tuple[str, FieldReader, bool], ...]:
    hints = get_type_hints(kind)
    readers = []
    for name in _field_names(kind):
        hint, is_optional = _strip_none(hints[name])
        readers.append((name, _reader(hint), is_optional))
    return tuple(readers)


def _strip_none(hint: Any) -> tuple[Any, bool]:
    if get_origin(hint) not in (Union, UnionType):
        return hint, False
    rest = [arm for arm in get_args(hint) if arm is not NoneType]
    if len(rest) != 1:
        raise TypeError(f"unsupported union type: {hint}")
    return rest[0], True


def _reader(hint: Any) -> FieldReader:
    hint = getattr(hint, "__supertype__", hint)
    if get_origin(hint) is tuple:
        return _tuple_reader(get_args(hint)[0])
    if is_dataclass(hint):
        return lambda wire: read_message(wire, hint)  # type: ignore[arg-type]
    if hint is float:
        return _read_float
    return hint


def _tuple_reader(item: Any) -> FieldReader:
    if get_origin(item) is tuple:
        return lambda wire: tuple((pair.first, pair.second) for pair in wire)
    if item is int:
        return tuple
    reader = _reader(item)
    return lambda wire: tuple(reader(value) for value in wire)


def _read_float(value: float) -> float:
    if isnan(value):
        raise ValueError(f"number is {value}")
    return value
