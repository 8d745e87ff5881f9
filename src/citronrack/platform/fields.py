"""Type-checked access to the fields of the platform's messages and settings."""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping
from typing import Any, TypeVar

from attrs import frozen

from ..validators import MAX_NUMBER, MAX_TEXT

T = TypeVar("T")

MAX_SECONDS = 1e9
"""Longest duration that is accepted, about 30 years."""

_UNITS_S = {"ms": 0.001, "s": 1.0}


class FieldError(ValueError):
    """A field is missing or has an invalid type or format."""


def parse_object(body: bytes) -> dict[str, Any]:
    """Return the JSON object in a body.

    Raises:
        FieldError: If the body is not a JSON object.
    """
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:  # Nested too deeply, or too many digits.
        raise FieldError("the body is not JSON") from error
    if not isinstance(value, dict):
        raise FieldError("the body is not a JSON object")
    return value


def require(fields: Mapping[str, Any], name: str, kind: type[T]) -> T:
    """Return a field of the given type.

    Raises:
        FieldError: If it is missing or of another type.
    """
    value = fields.get(name)
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise FieldError(f"field {name!r} is missing or not of type {kind.__name__}")
    return value


def require_number(
    fields: Mapping[str, Any], name: str, *, least: int = 0, most: int = MAX_NUMBER
) -> int:
    """Return a field that is a whole number within limits.

    Raises:
        FieldError: If it is missing, of another type or beyond the limits.
    """
    value = require(fields, name, int)
    if not least <= value <= most:
        raise FieldError(f"field {name!r} is not between {least} and {most}")
    return value


def require_rate(fields: Mapping[str, Any], name: str) -> float:
    """Return a field that is a rate or another amount, with or without a fraction.

    Raises:
        FieldError: If it is missing, of another type, negative or beyond any use.
    """
    value = fields.get(name)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise FieldError(f"field {name!r} is missing or not a number")
    if not 0 <= value <= MAX_NUMBER:  # Also refuses NaN.
        raise FieldError(f"field {name!r} is not between 0 and {MAX_NUMBER}")
    return float(value)


def require_text(fields: Mapping[str, Any], name: str, *, longest: int = MAX_TEXT) -> str:
    """Return a field that is a short text which can stand in a header.

    Raises:
        FieldError: If it is missing, of another type, too long or not printable Latin-1.
    """
    value = require(fields, name, str)
    if len(value) > longest or not value.isprintable() or any(char > "\xff" for char in value):
        raise FieldError(f"field {name!r} is not a printable text of up to {longest} characters")
    return value


def require_seconds(fields: Mapping[str, Any], name: str, *, least: float = 0.0) -> float:
    """Return a duration in seconds; the field is a number with the unit ``ms`` or ``s``.

    Args:
        fields: The fields.
        name: Name of the field.
        least: Shortest duration that is accepted, in seconds.

    Raises:
        FieldError: If it is missing, beyond the limits or not a duration.
    """
    text = require(fields, name, str)
    for unit, factor in _UNITS_S.items():
        number = text.removesuffix(unit)
        if number != text:
            try:
                seconds = float(number) * factor
            except ValueError:
                continue
            if least <= seconds <= MAX_SECONDS:
                return seconds
    raise FieldError(f"field {name!r} is not a time: {text!r}")


@frozen
class Table:
    """A table whose rows hold their values in the order of the columns.

    Attributes:
        columns: Names of the columns.
        rows: The rows.
    """

    columns: list[str]
    rows: list[Any]

    @classmethod
    def of(cls, fields: Mapping[str, Any], name: str) -> Table:
        """Return the table in a field.

        Raises:
            FieldError: If the field is missing or not a table.
        """
        table = require(fields, name, dict)
        columns = require(table, "columns", list)
        if not all(isinstance(column, str) for column in columns):
            raise FieldError(f"a column of {name!r} has no name")
        return cls(columns, require(table, "rows", list))

    def as_map(self, row: Any) -> dict[str, Any]:
        """Return a row as a map by column name, without null values.

        Raises:
            FieldError: If the row does not match the columns.
        """
        if not isinstance(row, list) or len(row) != len(self.columns):
            raise FieldError(f"a row does not fit the columns {self.columns}")
        pairs = zip(self.columns, row, strict=True)
        return {column: value for column, value in pairs if value is not None}

    def maps(self) -> Iterator[dict[str, Any]]:
        """Yield all rows as maps by column name.

        Raises:
            FieldError: If a row does not match the columns.
        """
        return map(self.as_map, self.rows)
