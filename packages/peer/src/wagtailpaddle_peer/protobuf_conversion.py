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


def fill_message(message: Any, value: Any) -> Any:
    """Set the fields of a protobuf message from the data class ``value``."""
    kind: Any = type(value)
    for name in _field_names(kind):
        _set_field(message, name, getattr(value, name))
    return message


def read_message(message: Any, kind: type) -> Any:
    """Return ``message`` as a data class ``kind``. Raises ``ConversionError``."""
    try:
        values = {
            name: _read_field(message, name, reader, is_optional)
            for name, reader, is_optional in _field_readers(kind)
        }
        return kind(**values)
    except (ValueError, TypeError) as exc:
        raise ConversionError(f"{kind.__name__}: {exc}") from None


def _set_field(message: Any, name: str, value: Any) -> None:
    if value is None:
        return
    if isinstance(value, tuple):
        _extend_repeated(getattr(message, name), value)
    elif is_dataclass(value):
        target = getattr(message, name)
        target.SetInParent()
        fill_message(target, value)
    elif isinstance(value, Enum):
        setattr(message, name, value.value)
    else:
        setattr(message, name, value)


def _extend_repeated(target: Any, values: tuple[Any, ...]) -> None:
    if not values or isinstance(values[0], int | float | str | bytes):
        target.extend(values)
        return
    for value in values:
        if is_dataclass(value):
            fill_message(target.add(), value)
        else:
            target.add(first=value[0], second=value[1])


def _read_field(message: Any, name: str, reader: FieldReader, is_optional: bool) -> Any:
    if is_optional and not message.HasField(name):
        return None
    return reader(getattr(message, name))


@cache
def _field_names(kind: Any) -> tuple[str, ...]:
    return tuple(field.name for field in fields(kind))


@cache
def _field_readers(kind: Any) -> tuple[tuple[str, FieldReader, bool], ...]:
    hints = get_type_hints(kind)
    readers = []
    for name in _field_names(kind):
        hint, is_optional = _strip_none(hints[name])
        readers.append((name, _make_reader(hint), is_optional))
    return tuple(readers)


def _strip_none(hint: Any) -> tuple[Any, bool]:
    if get_origin(hint) not in (Union, UnionType):
        return hint, False
    members = [member for member in get_args(hint) if member is not NoneType]
    if len(members) != 1:
        raise TypeError(f"unsupported union type: {hint}")
    return members[0], True


def _make_reader(hint: Any) -> FieldReader:
    hint = getattr(hint, "__supertype__", hint)
    if get_origin(hint) is tuple:
        return _make_tuple_reader(get_args(hint)[0])
    if is_dataclass(hint):
        return lambda message: read_message(message, hint)  # type: ignore[arg-type]
    if hint is float:
        return _read_float
    return hint


def _make_tuple_reader(item_type: Any) -> FieldReader:
    if get_origin(item_type) is tuple:
        return lambda message: tuple((pair.first, pair.second) for pair in message)
    if item_type is int:
        return tuple
    reader = _make_reader(item_type)
    return lambda message: tuple(reader(value) for value in message)


def _read_float(value: float) -> float:
    if isnan(value):
        raise ValueError(f"number is {value}")
    return value
