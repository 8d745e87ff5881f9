"""Counters of what the two service versions of a move did, merged by maximum."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from enum import IntEnum

import attrs
from attrs import define, field, frozen

BUCKET_MS = 2_000
KEPT_BUCKETS = 30  # closed buckets are tested after one or two; the rest absorbs a long pause
MAX_CELLS = 8_192  # about 2 MB
MAX_FUTURE_BUCKETS = 2  # a sender whose clock is further ahead is not comparable
OTHER_ROUTES = ""  # move id of the cells that count routes without a move


class Side(IntEnum):
    """Which calls a cell counts."""

    OLD = 0
    NEW = 1
    OTHER = 2
    """Calls of routes that take part in no move; they show whether a fault is shared."""


@define
class Counts:
    """Growing counters of one cell.

    Attributes:
        calls: Calls that ran on a warm target.
        failures: Of these, calls without a proper answer.
        slow: Of these, good answers that took longer than the reference.
        refused: Attempts that did not run, connection refusals included; not part of ``calls``.
        cold: Calls on a target that had just started; not part of ``calls``.
    """

    calls: int = 0
    failures: int = 0
    slow: int = 0
    refused: int = 0
    cold: int = 0

    def merge_maximum(self, other: Counts) -> bool:
        """Take the maximum of each counter and return whether one has grown."""
        grown = False
        for name in COUNTERS:
            theirs = getattr(other, name)
            if theirs > getattr(self, name):
                setattr(self, name, theirs)
                grown = True
        return grown

    def add(self, other: Counts) -> None:
        """Add the counters of another cell."""
        self.calls += other.calls
        self.failures += other.failures
        self.slow += other.slow
        self.refused += other.refused
        self.cold += other.cold


COUNTERS = ("calls", "failures", "slow", "refused", "cold")


@frozen
class Source:
    """A series of cells of one process.

    Attributes:
        node: Name of the node that delivered the calls.
        boot: Id of its process; a restarted node counts from 0 under a new id.
        move: Id of the move, `OTHER_ROUTES` for routes without one.
        route: Name of the route.
        side: Service version that was called.
    """

    node: str
    boot: str
    move: str
    route: str
    side: Side


@frozen
class EvidenceCell:
    """Counters of one source in one bucket of 2 s."""

    source: Source
    bucket: int
    counts: Counts

    def merged(self, other: EvidenceCell) -> EvidenceCell:
        """Return the maximum of two states of the same cell."""
        counts = attrs.evolve(self.counts)
        counts.merge_maximum(other.counts)
        return attrs.evolve(self, counts=counts)


def bucket_of(wall_ms: int) -> int:
    """Return the number of the bucket that contains a wall time."""
    return wall_ms // BUCKET_MS


@define
class EvidenceStore:
    """A bounded set of cells; old buckets are folded into one total per source.

    Attributes:
        max_cells: Largest number of cells.
    """

    max_cells: int = MAX_CELLS
    _buckets: dict[int, dict[Source, Counts]] = field(factory=lambda: defaultdict(dict), init=False)
    _totals: dict[Source, Counts] = field(factory=dict, init=False)
    _folded_through: int = field(default=-1, init=False)
    _cells: int = field(default=0, init=False)

    def __len__(self) -> int:
        return self._cells

    def cell(self, source: Source, bucket: int) -> Counts:
        """Return the counters of a cell to count in, a new one when needed."""
        cells = self._buckets[bucket]
        counts = cells.get(source)
        if counts is None:
            counts = cells[source] = Counts()
            self._cells += 1
        return counts

    def find(self, source: Source, bucket: int) -> Counts | None:
        """Return the counters of a cell, None when it has been folded or dropped."""
        return self._buckets[bucket].get(source) if bucket in self._buckets else None

    def merge(self, cells: Iterable[EvidenceCell], *, now_bucket: int) -> None:
        """Take over the greater counters; folded and far future buckets are ignored."""
        for cell in cells:
            if not self._folded_through < cell.bucket <= now_bucket + MAX_FUTURE_BUCKETS:
                continue
            if self._cells >= self.max_cells and cell.source not in self._buckets[cell.bucket]:
                continue
            self.cell(cell.source, cell.bucket).merge_maximum(cell.counts)

    def fold(self, *, now_bucket: int) -> None:
        """Fold the buckets that are no longer needed; each one is folded once."""
        oldest = now_bucket - KEPT_BUCKETS
        for bucket in sorted(self._buckets):
            if bucket > oldest and self._cells < self.max_cells:
                break
            if bucket >= now_bucket:
                break
            cells = self._buckets.pop(bucket)
            self._cells -= len(cells)
            self._folded_through = max(self._folded_through, bucket)
            for source, counts in cells.items():
                self._totals.setdefault(source, Counts()).add(counts)

    def retain_moves(self, kept: frozenset[str]) -> None:
        """Forget the cells of moves that are not in ``kept``."""
        for cells in self._buckets.values():
            for source in [s for s in cells if s.move not in kept]:
                del cells[source]
                self._cells -= 1
        self._totals = {s: counts for s, counts in self._totals.items() if s.move in kept}

    def cells(self, bucket: int) -> Iterator[tuple[Source, Counts]]:
        """Yield the cells of a bucket that has not been folded."""
        if bucket in self._buckets:
            yield from self._buckets[bucket].items()

    def in_bucket(self, bucket: int, move: str, side: Side) -> Counts:
        """Return the sum over all nodes in one bucket."""
        total = Counts()
        for source, counts in self.cells(bucket):
            if source.move == move and source.side is side:
                total.add(counts)
        return total

    def total(self, move: str, side: Side) -> Counts:
        """Return the sum over all nodes and buckets."""
        total = Counts()
        for source, counts in self._totals.items():
            if source.move == move and source.side is side:
                total.add(counts)
        for bucket in self._buckets:
            total.add(self.in_bucket(bucket, move, side))
        return total
