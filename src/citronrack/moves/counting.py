"""Counts the calls that this node delivered, and tells the judging nodes about them."""

from __future__ import annotations

from collections.abc import Mapping

from attrs import define, field

from ..calls.record import CallRecord
from ..clock import Clock
from ..config import Move
from .evidence import OTHER_ROUTES, EvidenceStore, Side, Source, bucket_of
from .facts import SlowReference
from .latency import LatencyHistogram
from .messages import CellCounts, EvidenceUpdate, MoveEvidence

SENDS_PER_CELL = 2  # a cell is repeated once, so that one lost message costs nothing
OTHER_REFERENCE_CALLS = 100
OTHER_SLOW_MARGIN = 1.5
REFERENCE_QUANTILE = 0.9
FIRST_FAILURE_STATUS = 500

Cell = tuple[Source, int]


@define
class _Reference:
    """The old version's latencies on this node, and the limit once the zone has one."""

    histogram: LatencyHistogram = field(factory=LatencyHistogram)
    limit_s: float = 0.0
    from_bucket: int = 0


class EvidenceCounter:
    """Turns call records into cells.

    Args:
        own_name: Name of this node.
        boot_id: Id of this process.
        clock: Source of time.
        store: Where the cells are kept.
    """

    def __init__(self, *, own_name: str, boot_id: str, clock: Clock, store: EvidenceStore) -> None:
        self._own_name = own_name
        self._boot_id = boot_id
        self._clock = clock
        self._store = store
        self._moves: Mapping[str, Move] = {}
        self._references: dict[str, _Reference] = {}
        self._unsent: dict[Cell, int] = {}

    def set_moves(self, by_route: Mapping[str, Move]) -> None:
        """Replace the open moves, by route."""
        self._moves = by_route
        kept = {move.move_id for move in by_route.values()}
        if kept:
            kept.add(OTHER_ROUTES)
        self._references = {m: r for m, r in self._references.items() if m in kept}
        self._unsent = {cell: n for cell, n in self._unsent.items() if cell[0].move in kept}

    def set_reference(self, move_id: str, reference: SlowReference) -> None:
        """Count answers as slow from the reference's bucket on."""
        own = self._reference(move_id)
        own.limit_s = reference.latency_us / 1e6
        own.from_bucket = reference.from_bucket

    def observe(self, record: CallRecord, number: int = 1) -> None:
        """Count ``number`` calls with the same record; does nothing while no move is open."""
        if not self._moves or not (record.delivered_here or record.refused):
            return
        source = self._source(record)
        if source is None:
            return
        bucket = bucket_of(self._clock.wall_ms())
        counts = self._store.cell(source, bucket)
        self._unsent[source, bucket] = SENDS_PER_CELL
        if record.refused:
            counts.refused += number
        elif record.cold:
            counts.cold += number
        else:
            counts.calls += number
            if record.status == 0 or record.status >= FIRST_FAILURE_STATUS:
                counts.failures += number
            elif self._is_slow(record, source, bucket, number):
                counts.slow += number

    def update(self, *, with_other: bool) -> EvidenceUpdate | None:
        """Return the cells that have grown, or None when there are none.

        Args:
            with_other: Whether calls of routes without a move are told even when this node saw
                no call of a move.
        """
        by_move: dict[str, list[CellCounts]] = {}
        for (source, bucket), sends in list(self._unsent.items()):
            counts = self._store.find(source, bucket)
            if counts is None:
                del self._unsent[source, bucket]
                continue
            by_move.setdefault(source.move, []).append(
                CellCounts(
                    int(source.side),
                    bucket,
                    counts.calls,
                    counts.failures,
                    counts.slow,
                    counts.refused,
                    counts.cold,
                )
            )
            if sends == 1:
                del self._unsent[source, bucket]
            else:
                self._unsent[source, bucket] = sends - 1
        if not by_move or (set(by_move) == {OTHER_ROUTES} and not with_other):
            return None
        moves = tuple(self._evidence(move, cells) for move, cells in by_move.items())
        return EvidenceUpdate(self._own_name, self._boot_id, moves)

    def reference_estimate(self, move_id: str) -> tuple[int, int]:
        """Return ``(calls, quantile in microseconds)`` of the old version on this node."""
        histogram = self._reference(move_id).histogram
        return histogram.calls, histogram.quantile_us(REFERENCE_QUANTILE)

    def _evidence(self, move: str, cells: list[CellCounts]) -> MoveEvidence:
        if move == OTHER_ROUTES or self._reference(move).limit_s:
            return MoveEvidence(move, tuple(cells))
        calls, latency_us = self.reference_estimate(move)
        return MoveEvidence(move, tuple(cells), calls, latency_us)

    def _source(self, record: CallRecord) -> Source | None:
        move = self._moves.get(record.route)
        if move is None:
            return Source(self._own_name, self._boot_id, OTHER_ROUTES, "", Side.OTHER)
        side = {move.from_version: Side.OLD, move.to_version: Side.NEW}.get(record.service_version)
        if side is None:
            return None
        return Source(self._own_name, self._boot_id, move.move_id, move.route, side)

    def _is_slow(self, record: CallRecord, source: Source, bucket: int, number: int) -> bool:
        own = self._reference(source.move)
        if not own.limit_s and source.side is not Side.NEW:
            own.histogram.add(record.latency_s, number)
            if source.side is Side.OTHER and own.histogram.calls >= OTHER_REFERENCE_CALLS:
                quantile = own.histogram.quantile_us(REFERENCE_QUANTILE)
                own.limit_s = quantile / 1e6 * OTHER_SLOW_MARGIN
        return bool(own.limit_s) and bucket >= own.from_bucket and record.latency_s > own.limit_s

    def _reference(self, move_id: str) -> _Reference:
        return self._references.setdefault(move_id, _Reference())
