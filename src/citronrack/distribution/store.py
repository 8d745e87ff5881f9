"""Records that this node keeps for peers."""

from __future__ import annotations

from collections.abc import Sequence

KEPT_RECORDS = 5_000
KEPT_BYTES = 4 * 1024 * 1024  # an eighth of the node's 32 MB of memory
MAX_BUFFERED_RECORDS = 512
MAX_BUFFERED_BYTES = 512 * 1024
PAGE_BYTES = 64 * 1024


class RecordStore:
    """The newest contiguous records, and a buffer of records that arrived out of order.

    Args:
        next_offset: First missing offset.
    """

    def __init__(self, next_offset: int) -> None:
        self._first = next_offset
        self._next = next_offset
        self._kept: dict[int, bytes] = {}
        self._kept_bytes = 0
        self._buffered: dict[int, bytes] = {}
        self._buffered_bytes = 0

    @property
    def first(self) -> int:
        """Oldest retained offset."""
        return self._first

    @property
    def next(self) -> int:
        """First missing offset."""
        return self._next

    @property
    def size_bytes(self) -> int:
        """Size of all retained and buffered records."""
        return self._kept_bytes + self._buffered_bytes

    def jump_to(self, offset: int) -> None:
        """Discard the retained records and continue at ``offset``."""
        self._kept.clear()
        self._kept_bytes = 0
        self._first = self._next = offset
        self._drop_obsolete_buffered()

    def offer(self, offset: int, data: bytes) -> list[tuple[int, bytes]]:
        """Add a record; returns the records that became contiguous, in order."""
        if offset < self._next:
            return []
        if offset > self._next:
            self._buffer(offset, data)
            return []
        ready = [(offset, data)]
        while ready[-1][0] + 1 in self._buffered:
            next_offset = ready[-1][0] + 1
            buffered = self._buffered.pop(next_offset)
            self._buffered_bytes -= len(buffered)
            ready.append((next_offset, buffered))
        for number, content in ready:
            self._keep(number, content)
        return ready

    def page(self, start: int) -> tuple[bytes, ...]:
        """Return records from ``start`` on: up to `PAGE_BYTES`, but at least one."""
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

    def _buffer(self, offset: int, data: bytes) -> None:
        if offset in self._buffered or offset - self._next > MAX_BUFFERED_RECORDS:
            return
        if self._buffered_bytes + len(data) <= MAX_BUFFERED_BYTES:
            self._buffered[offset] = data
            self._buffered_bytes += len(data)

    def _drop_obsolete_buffered(self) -> None:
        for offset in [number for number in self._buffered if number < self._next]:
            self._buffered_bytes -= len(self._buffered.pop(offset))


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
