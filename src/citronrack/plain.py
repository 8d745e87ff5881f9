"""Strict conversion between attrs classes and the plain maps of YAML and JSON."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, TypeVar

import attrs
import cattrs
from cattrs.errors import (
    ClassValidationError,
    ForbiddenExtraKeysError,
    IterableValidationError,
)

T = TypeVar("T")

_TYPE_NAMES = {int: "a whole number", float: "a number", str: "a text", bool: "true or false"}


def _strict_hook(value: Any, kind: type) -> Any:
    accepted = (int, float) if kind is float else (kind,)
    if not isinstance(value, accepted) or (isinstance(value, bool) and kind is not bool):
        raise TypeError(f"expected {_TYPE_NAMES[kind]}, got {value!r}")
    return value


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    for kind in _TYPE_NAMES:
        converter.register_structure_hook(kind, _strict_hook)
    return converter


_converter = _make_converter()


class PlainFormatError(ValueError):
    """A plain map does not fit its class.

    Args:
        lines: One line per fault, each with key path and what was expected.
    """

    def __init__(self, lines: list[str]) -> None:
        super().__init__("; ".join(lines))
        self.lines = tuple(lines)


def to_plain(value: Any) -> Any:
    """Return maps, lists, texts and numbers for an attrs instance."""
    return _converter.unstructure(value)


def from_plain(content: Any, kind: type[T], *, name: str) -> T:
    """Return the instance of ``kind`` that ``content`` describes.

    Args:
        content: Maps and lists as read from YAML or JSON.
        kind: An attrs class.
        name: What to call the whole in messages.

    Raises:
        PlainFormatError: With one line per unknown key, missing key, wrong type or refused value.
    """
    if not isinstance(content, dict):
        raise PlainFormatError([f"{name}: expected a map of keys, got {type(content).__name__}"])
    try:
        with attrs.validators.disabled():
            result = _converter.structure(content, kind)
    except Exception as error:  # cattrs groups whatever the hooks raise.
        raise PlainFormatError(list(_error_lines(error, "", name))) from error
    faults = list(_value_errors(result, ""))
    if faults:
        raise PlainFormatError(faults)
    return result


def _join(path: str, key: str) -> str:
    return f"{path}.{key}" if path else key


def _error_lines(error: BaseException, path: str, name: str) -> Iterator[str]:
    """Yield one ``key path: expectation`` line for each leaf of an error tree."""
    if isinstance(error, ClassValidationError):
        named, others = error.group_exceptions()
        for inner, note in named:
            yield from _error_lines(inner, _join(path, note.name), name)
        for inner in others:
            yield from _error_lines(inner, path, name)
    elif isinstance(error, IterableValidationError):
        for inner, index in error.group_exceptions()[0]:
            yield from _error_lines(inner, f"{path}[{index.index}]", name)
    elif isinstance(error, ForbiddenExtraKeysError):
        for key in sorted(error.extra_fields):
            yield f"{_join(path, key)}: unknown key"
    elif isinstance(error, KeyError):
        yield f"{path}: missing"
    else:
        yield f"{path or name}: {error}"


def _value_errors(part: Any, path: str) -> Iterator[str]:
    """Yield one line for each value that its validator refuses, in all sections.

    Validators are disabled while cattrs builds the classes, because attrs stops at the first fault.
    """
    for attribute in attrs.fields(type(part)):
        value = getattr(part, attribute.name)
        where = _join(path, attribute.name)
        if attrs.has(type(value)):
            yield from _value_errors(value, where)
        elif attribute.validator is not None:
            try:
                attribute.validator(part, attribute, value)
            except ValueError as error:
                yield f"{where}: {error}"
