"""Decodes the rows of the operator's tables, and says which row is invalid and why."""

from __future__ import annotations

from collections.abc import Callable, Hashable, Mapping
from typing import Any, Generic, Protocol, TypeVar

from .fields import FieldError, Table


class _Named(Protocol):
    @property
    def name(self) -> str: ...


E = TypeVar("E", bound=_Named)

TABLE_FAULT = 0
"""Row of a fault of a whole table; rows count from 1."""


class RowError(FieldError):
    """A row of a table is invalid.

    Args:
        table: Name of the table, empty for a fault outside of all tables.
        row: Number of the row, counted from 1, or `TABLE_FAULT`.
        reason: What is wrong; never contains a key.
    """

    def __init__(self, table: str, row: int, reason: str) -> None:
        super().__init__(reason)
        self.table = table
        self.row = row
        self.reason = reason


class RowDecoder(Generic[E]):
    """Decodes one table and reuses the entries of rows that the previous version has in common.

    A change affects a few of several hundred rows, and decoding all of them took most of the time
    that a node spends on a change.

    Args:
        table: Name of the table.
        decode: Decodes one row, given as a map by column name.
        mark: Returns by what a row is remembered, given as text. A row with keys must not be
            remembered as it is.
    """

    def __init__(
        self,
        table: str,
        decode: Callable[[Mapping[str, Any]], E],
        *,
        mark: Callable[[str], Hashable] = str,
    ) -> None:
        self._table = table
        self._decode = decode
        self._mark = mark
        self._columns: list[str] = []
        self._known: dict[Hashable, E] = {}

    def decode(self, fields: Mapping[str, Any]) -> dict[str, E]:
        """Return the entries of the table by name.

        Raises:
            RowError: If the table is missing, a row is invalid or two rows have one name.
        """
        try:
            table = Table.of(fields, self._table)
        except FieldError as error:
            raise RowError(self._table, TABLE_FAULT, str(error)) from error
        if table.columns != self._columns:
            self._columns, self._known = table.columns, {}
        known: dict[Hashable, E] = {}
        entries: dict[str, E] = {}
        for number, row in enumerate(table.rows, start=1):
            try:
                mark = self._mark(repr(row))
                entry = self._known.get(mark) or self._decode(table.as_map(row))
            except (FieldError, RecursionError) as error:
                reason = str(error) if isinstance(error, FieldError) else "nested too deeply"
                raise RowError(self._table, number, reason) from error
            if entry.name in entries:
                first = list(entries).index(entry.name) + 1
                raise RowError(self._table, number, f"row {first} has the same name")
            known[mark] = entries[entry.name] = entry
        self._known = known
        return entries
