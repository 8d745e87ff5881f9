"""Counts the calls that this node delivered, for the evaluating nodes of its zone."""

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

SENDS_PER_CELL = 2  # a cell is sent twice, so that one lost message loses no evidence
OTHER_REFERENCE_CALLS = 100
OTHER_SLOW_MARGIN = 1.5
REFERENCE_QUANTILE = 0.9
FIRST_FAILURE_STATUS = 500

Cell = tuple[Source, int]


@define
class _Reference:
    """Latencies of the old version or other routes on this node, and the limit once it is set."""

    histogram: LatencyHistogram = field(factory=LatencyHistogram)
    limit_s: float = 0.0
    from_bucket: int = 0


class EvidenceCounter:
    """Turns call records into cells.

    Args:
        own_name: Name of this node.
        boot_id: Id of this process.
        clock: Source of time.
        store: Store of the cells.
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
        retained = {move.move_id for move in by_route.values()}
        if retained:
            retained.add(OTHER_ROUTES)
        self._references = {m: r for m, r in self._references.items() if m in retained}
        self._unsent = {cell: n for cell, n in self._unsent.items() if cell[0].move in retained}

    def set_reference(self, move_id: str, reference: SlowReference) -> None:
        """Count slow responses from the reference's first bucket on."""
        local = self._reference(move_id)
        local.limit_s = reference.latency_us / 1e6
        local.from_bucket = reference.from_bucket

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
        """Return the cells whose counters have increased, or None when there are none.

        Args:
            with_other: Whether to report calls of routes without a move even when this node has
                delivered no call of a move.
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
        local = self._reference(source.move)
        if not local.limit_s and source.side is not Side.NEW:
            local.histogram.add(record.latency_s, number)
            if source.side is Side.OTHER and local.histogram.calls >= OTHER_REFERENCE_CALLS:
                quantile = local.histogram.quantile_us(REFERENCE_QUANTILE)
                local.limit_s = quantile / 1e6 * OTHER_SLOW_MARGIN
        return (
            bool(local.limit_s) and bucket >= local.from_bucket and record.latency_s > local.limit_s
        )

    def _reference(self, move_id: str) -> _Reference:
        return self._references.setdefault(move_id, _Reference())
