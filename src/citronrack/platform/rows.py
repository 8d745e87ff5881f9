"""Decodes the rows of the operator's tables, and says which row is invalid and why."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any, Generic, Protocol, TypeVar

from ..config import KeyDigester
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
    that a node spends on a change. Rows are remembered by digests, because a row of a workspace
    contains its keys.

    Args:
        table: Name of the table.
        decode: Decodes one row, given as a map by column name.
        digester: Computes the digests.
    """

    def __init__(
        self, table: str, decode: Callable[[Mapping[str, Any]], E], digester: KeyDigester
    ) -> None:
        self._table = table
        self._decode = decode
        self._digester = digester
        self._columns: list[str] = []
        self._known: dict[bytes, E] = {}

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
        known: dict[bytes, E] = {}
        entries = []
        for number, row in enumerate(table.rows, start=1):
            try:
                digest = self._digester.digest(repr(row).encode("utf-8", "backslashreplace"))
                entry = self._known.get(digest) or self._decode(table.as_map(row))
            except (FieldError, RecursionError) as error:
                reason = str(error) if isinstance(error, FieldError) else "nested too deeply"
                raise RowError(self._table, number, reason) from error
            known[digest] = entry
            entries.append(entry)
        self._known = known
        return self._by_name(entries)

    def _by_name(self, entries: Iterable[E]) -> dict[str, E]:
        rows: dict[str, int] = {}
        by_name = {}
        for number, entry in enumerate(entries, start=1):
            first = rows.setdefault(entry.name, number)
            if first != number:
                raise RowError(self._table, number, f"row {first} has the same name")
            by_name[entry.name] = entry
        return by_name
