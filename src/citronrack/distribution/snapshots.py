"""Snapshots in parts that fit into frames."""

from __future__ import annotations

from collections.abc import Callable

from ..clock import Clock
from .messages import PullSnapshot, SnapshotPage

PART_BYTES = 128 * 1024  # half of the frame limit
MAX_PARTS = 64  # 8 MB, the largest snapshot that the fold accepts
CACHE_S = 60.0


class SnapshotSource:
    """Hands out the parts of a recent snapshot.

    Args:
        clock: Source of time.
        make: Returns the snapshot of the present state.
    """

    def __init__(self, *, clock: Clock, make: Callable[[], bytes]) -> None:
        self._clock = clock
        self._make = make
        self._through = -1
        self._parts: tuple[bytes, ...] = ()
        self._made_at = 0.0

    def first_part(self, next_offset: int, *, at_least: int) -> SnapshotPage | None:
        """Return the first part of a snapshot.

        Args:
            next_offset: Offset at which a snapshot made now would end.
            at_least: A cached snapshot must not end before this offset.
        """
        now = self._clock.monotonic()
        if self._through < at_least or now - self._made_at > CACHE_S:
            data = self._make()
            parts = (data[i : i + PART_BYTES] for i in range(0, len(data), PART_BYTES))
            self._parts, self._through, self._made_at = tuple(parts), next_offset, now
        return self._part(0)

    def part(self, wanted: PullSnapshot) -> SnapshotPage | None:
        """Return one part, or the first part of the present snapshot when that one is gone."""
        same = wanted.through == self._through and 0 <= wanted.index < len(self._parts)
        return self._part(wanted.index if same else 0)

    def drop_old(self) -> None:
        """Release the memory of a snapshot that is no longer asked for."""
        if self._parts and self._clock.monotonic() - self._made_at > 2 * CACHE_S:
            self._parts, self._through = (), -1

    def _part(self, index: int) -> SnapshotPage | None:
        if not self._parts:
            return None
        return SnapshotPage(self._through, index, len(self._parts), self._parts[index])


class SnapshotAssembler:
    """Puts the parts of one snapshot together."""

    def __init__(self) -> None:
        self._through = -1
        self._parts: list[bytes] = []

    def take(self, page: SnapshotPage) -> bytes | None:
        """Take the next part; returns the snapshot when it is complete."""
        if not 0 < page.count <= MAX_PARTS:
            return None
        if page.through != self._through or page.index == 0:
            self._through, self._parts = page.through, []
        if page.index != len(self._parts):
            return None
        self._parts.append(page.data)
        if len(self._parts) < page.count:
            return None
        data = b"".join(self._parts)
        self._through, self._parts = -1, []
        return data

    def next_request(self) -> PullSnapshot | None:
        """Return the request for the next part, None when no snapshot is under way."""
        return PullSnapshot(self._through, len(self._parts)) if self._parts else None
