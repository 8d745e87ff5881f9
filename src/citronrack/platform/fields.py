"""Checked access to the fields of the platform's bodies."""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping
from typing import Any, TypeVar

from attrs import frozen

T = TypeVar("T")

_UNITS_S = {"ms": 0.001, "s": 1.0}


class FieldError(ValueError):
    """A body lacks a field, or a field is of another type."""


def parse_object(body: bytes) -> dict[str, Any]:
    """Return the JSON object in a body.

    Raises:
        FieldError: When the bytes hold something else.
    """
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise FieldError("the body is not JSON") from error
    if not isinstance(value, dict):
        raise FieldError("the body is not a JSON object")
    return value


def require(fields: Mapping[str, Any], name: str, kind: type[T]) -> T:
    """Return a field of a type.

    Raises:
        FieldError: When it is missing or of another type.
    """
    value = fields.get(name)
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise FieldError(f"field {name!r} is missing or not of type {kind.__name__}")
    return value


def require_seconds(fields: Mapping[str, Any], name: str) -> float:
    """Return a time, written as a number with the unit ``ms`` or ``s``, in seconds.

    Raises:
        FieldError: When it is missing or of another form.
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
    """Rows whose values stand in the order of the columns.

    Attributes:
        columns: Names of the columns.
        rows: The rows.
    """

    columns: list[str]
    rows: list[Any]

    @classmethod
    def of(cls, fields: Mapping[str, Any], name: str) -> Table:
        """Return a field that holds a table.

        Raises:
            FieldError: When the field has another form.
        """
        table = require(fields, name, dict)
        columns = require(table, "columns", list)
        if not all(isinstance(column, str) for column in columns):
            raise FieldError(f"a column of {name!r} has no name")
        return cls(columns, require(table, "rows", list))

    def as_map(self, row: Any) -> dict[str, Any]:
        """Return a row by column; values that are null are left out.

        Raises:
            FieldError: When the row does not fit the columns.
        """
        if not isinstance(row, list) or len(row) != len(self.columns):
            raise FieldError(f"a row does not fit the columns {self.columns}")
        pairs = zip(self.columns, row, strict=True)
        return {column: value for column, value in pairs if value is not None}

    def maps(self) -> Iterator[dict[str, Any]]:
        """Yield all rows by column.

        Raises:
            FieldError: When a row does not fit the columns.
        """
        return map(self.as_map, self.rows)
