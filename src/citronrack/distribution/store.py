"""Records that this node keeps for others."""

from __future__ import annotations

from collections.abc import Sequence

KEPT_RECORDS = 5_000
KEPT_BYTES = 4 * 1024 * 1024  # an eighth of the node's 32 MB
EARLY_RECORDS = 512
EARLY_BYTES = 512 * 1024
PAGE_BYTES = 64 * 1024


class RecordStore:
    """The newest records without gaps, and some that arrived before their predecessors.

    Args:
        next_offset: First offset that is missing.
    """

    def __init__(self, next_offset: int) -> None:
        self._first = next_offset
        self._next = next_offset
        self._kept: dict[int, bytes] = {}
        self._kept_bytes = 0
        self._early: dict[int, bytes] = {}
        self._early_bytes = 0

    @property
    def first(self) -> int:
        """Oldest kept offset."""
        return self._first

    @property
    def next(self) -> int:
        """First offset that is missing."""
        return self._next

    @property
    def size_bytes(self) -> int:
        """Size of all records held."""
        return self._kept_bytes + self._early_bytes

    def jump_to(self, offset: int) -> None:
        """Forget everything before ``offset`` and continue there."""
        self._kept.clear()
        self._kept_bytes = 0
        self._first = self._next = offset
        self._drop_passed_early()

    def offer(self, offset: int, data: bytes) -> list[tuple[int, bytes]]:
        """Take a record; returns the records that are now next in order."""
        if offset < self._next:
            return []
        if offset > self._next:
            self._keep_early(offset, data)
            return []
        ready = [(offset, data)]
        while ready[-1][0] + 1 in self._early:
            following = ready[-1][0] + 1
            early = self._early.pop(following)
            self._early_bytes -= len(early)
            ready.append((following, early))
        for number, content in ready:
            self._keep(number, content)
        return ready

    def page(self, start: int) -> tuple[bytes, ...]:
        """Return records from ``start`` on, at least one and at most a page of bytes."""
        page: list[bytes] = []
        size = 0
        for offset in range(start, self._next):
            data = self._kept[offset]
            size += len(data)
            if page and size > PAGE_BYTES:
                break
            page.append(data)
        return tuple(page)

    def _keep(self, offset: int, data: bytes) -> None:
        self._kept[offset] = data
        self._kept_bytes += len(data)
        self._next = offset + 1
        while len(self._kept) > KEPT_RECORDS or self._kept_bytes > KEPT_BYTES:
            self._kept_bytes -= len(self._kept.pop(self._first))
            self._first += 1

    def _keep_early(self, offset: int, data: bytes) -> None:
        if offset in self._early or offset - self._next > EARLY_RECORDS:
            return
        if self._early_bytes + len(data) <= EARLY_BYTES:
            self._early[offset] = data
            self._early_bytes += len(data)

    def _drop_passed_early(self) -> None:
        for offset in [number for number in self._early if number < self._next]:
            self._early_bytes -= len(self._early.pop(offset))


def pages(first: int, records: Sequence[bytes]) -> list[tuple[int, tuple[bytes, ...]]]:
    """Split records into pages of at most `PAGE_BYTES`, each with at least one record."""
    result: list[tuple[int, tuple[bytes, ...]]] = []
    page: list[bytes] = []
    size = 0
    start = first
    for index, data in enumerate(records):
        if page and size + len(data) > PAGE_BYTES:
            result.append((start, tuple(page)))
            page, size, start = [], 0, first + index
        page.append(data)
        size += len(data)
    if page:
        result.append((start, tuple(page)))
    return result
