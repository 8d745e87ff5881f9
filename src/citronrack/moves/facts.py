"""Facts about moves that spread between nodes without the log."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Protocol

import xxhash
from attrs import frozen

from ..config import Move
from ..log.fold import mark_key
from ..log.records import Marked

MARK_PREFIX = "mark/"
ZONE_PREFIX = "zone/"
REFERENCE_PREFIX = "slow/"
_STEP_RANGE = 100  # more than a move has steps
_BUCKET_RANGE = 1 << 36  # buckets of 2 s
_LATENCY_RANGE = 1 << 26  # microseconds; 67 s
_TIME_RANGE = 1 << 44  # milliseconds; until the year 2527


class FactEntry(Protocol):
    """A fact as `Facts.items` yields it."""

    @property
    def key(self) -> str: ...

    @property
    def rank(self) -> int: ...

    @property
    def payload(self) -> bytes: ...


class Facts(Protocol):
    """A grow-only map that spreads between nodes; the greater rank of a key wins."""

    def put(self, key: str, rank: int, payload: bytes) -> Any:
        """Add a fact; a fact with a greater rank under the same key stays."""

    def items(self) -> Iterable[FactEntry]:
        """Return all facts that this node knows."""


class Phase:
    """How far a zone is with a move; the greater one wins."""

    RUNNING = 0
    FULL = 1
    WATCHED = 2
    TAKEN_BACK = 3


def move_tag(move: Move) -> str:
    """Return a short name of a move and its epoch; ids of moves would fill the store of facts."""
    return f"{move.epoch}/{xxhash.xxh64_intdigest(move.move_id.encode()) >> 16:012x}"


@frozen
class ZoneProgress:
    """What a zone says about a move.

    Attributes:
        tag: The move, see `move_tag`.
        availability_zone: The zone.
        phase: A value of `Phase`.
        cleared: Number of cleared steps.
        at_ms: Wall time of the phase; of the full share for `FULL` and `WATCHED`.
        calls: Calls that the new version had received in the zone.
        short: Whether the deadline passed with too little evidence.
    """

    tag: str
    availability_zone: str
    phase: int
    cleared: int
    at_ms: int
    calls: int
    lacks_evidence: bool = False

    @property
    def key(self) -> str:
        """Key of the fact."""
        return f"{ZONE_PREFIX}{self.tag}/{self.availability_zone}"

    @property
    def order(self) -> int:
        """How far the zone is; it only grows."""
        return (self.phase * _STEP_RANGE + self.cleared) * 2 + self.lacks_evidence

    @property
    def rank(self) -> int:
        """Order of the reports of a zone; of two equal reports the earlier one wins."""
        return self.order * _TIME_RANGE + _earliest(self.at_ms)


@frozen
class SlowReference:
    """Latency above which a call of a move counts as slow in a zone.

    Attributes:
        tag: The move, see `move_tag`.
        availability_zone: The zone.
        latency_us: The limit in microseconds.
        from_bucket: First bucket in which slow calls are counted, the same on all nodes.
    """

    tag: str
    availability_zone: str
    latency_us: int
    from_bucket: int

    @property
    def key(self) -> str:
        """Key of the fact."""
        return f"{REFERENCE_PREFIX}{self.tag}/{self.availability_zone}"

    @property
    def rank(self) -> int:
        """Order of two references: the one that holds from an earlier bucket, then the higher."""
        latency = min(self.latency_us, _LATENCY_RANGE - 1)
        return (_BUCKET_RANGE - 1 - self.from_bucket) * _LATENCY_RANGE + latency


def epoch_of(tag: str) -> int:
    """Return the epoch of a move by its tag, -1 when the tag is malformed."""
    text = tag.split("/", 1)[0]
    return int(text) if text.isascii() and text.isdigit() else -1


def mark_fact_key(mark: Marked) -> str:
    """Return the key of a mark's fact; facts under `MARK_PREFIX` are urgent."""
    return MARK_PREFIX + mark_key(mark.service, mark.service_version, mark.epoch)


def mark_rank(mark: Marked) -> int:
    """Return the rank of a mark; of two marks the earlier one is kept."""
    return _earliest(mark.marked_ms)


def _earliest(moment: int) -> int:
    return _TIME_RANGE - 1 - max(0, min(moment, _TIME_RANGE - 1))
