"""Type-checked access to the fields of the platform's messages and settings."""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping
from typing import Any, TypeVar

from attrs import frozen

T = TypeVar("T")

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
    except (ValueError, RecursionError) as error:
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


def require_seconds(fields: Mapping[str, Any], name: str) -> float:
    """Return a duration in seconds; the field is a number with the unit ``ms`` or ``s``.

    Raises:
        FieldError: If it is missing or not a duration.
    """
    text = require(fields, name, str)
    for unit, factor in _UNITS_S.items():
        number = text.removesuffix(unit)
        if number != text:
            try:
                return float(number) * factor
            except ValueError:
                continue
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
