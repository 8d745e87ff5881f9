"""Deduplication of records by writer and sequence number."""

from __future__ import annotations

from enum import Enum

from .state import WriterState

WRITER_RETENTION_OFFSETS = 50_000  # a retry gives up long before this many records have passed
KEPT_WRITERS = 4_096  # above the fleet's 3,500 nodes; keeps a snapshot below one 256 KB frame
KEPT_GAPS = 8  # ranges per writer; an outage makes one


class Arrival(Enum):
    """How a record relates to the earlier records of its writer."""

    FIRST = "first"
    DUPLICATE = "duplicate"
    SUPERSEDED = "superseded"


def classify_arrival(
    writers: dict[str, WriterState], writer: str, sequence: int, offset: int
) -> Arrival:
    """Record that ``sequence`` of ``writer`` stands at ``offset``, and say how it relates.

    A record below the writer's highest sequence never takes effect: once a newer record was folded,
    the fate of all older appends of that writer is known.

    Args:
        writers: State by writer, least recently seen first; changed in place.
        writer: ``node name/boot id``.
        sequence: Number of the append.
        offset: Offset of the record.
    """
    known = writers.pop(writer, None)
    if known is None:
        known = WriterState(0, offset)
    arrival, skipped = _compare_sequence(known, sequence)
    writers[writer] = WriterState(max(known.sequence, sequence), offset, skipped)
    _evict_old_writers(writers, offset)
    return arrival


def _compare_sequence(
    known: WriterState, sequence: int
) -> tuple[Arrival, tuple[tuple[int, int], ...]]:
    """Return the arrival and the ranges of numbers that are missing after it."""
    if sequence > known.sequence:
        gap = ((known.sequence + 1, sequence - 1),) if sequence > known.sequence + 1 else ()
        return Arrival.FIRST, (known.skipped + gap)[-KEPT_GAPS:]
    for index, (first, last) in enumerate(known.skipped):
        if first <= sequence <= last:
            parts = ((first, sequence - 1), (sequence + 1, last))
            left = tuple(part for part in parts if part[0] <= part[1])
            skipped = known.skipped[:index] + left + known.skipped[index + 1 :]
            return Arrival.SUPERSEDED, skipped[-KEPT_GAPS:]
    return Arrival.DUPLICATE, known.skipped


def _evict_old_writers(writers: dict[str, WriterState], offset: int) -> None:
    while writers:
        oldest = next(iter(writers))
        recent = writers[oldest].offset >= offset - WRITER_RETENTION_OFFSETS
        if recent and len(writers) <= KEPT_WRITERS:
            return
        del writers[oldest]
