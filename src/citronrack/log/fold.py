"""Folds log records into state; the same records lead to the same state on every node."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import xxhash
from attrs import define, field, frozen

from ..codec import decode, encode
from ..config import ConfigSet, apply_change, withdraw_move
from ..errors import ConfigInvalid, MessageRejected
from .records import (
    Cancelled,
    Claim,
    Confirmed,
    Duty,
    Envelope,
    Marked,
    MoveOutcome,
    MoveResult,
    SeedList,
    SnapshotTaken,
    decode_record,
)

MAX_SNAPSHOT_BYTES = 8 * 1024 * 1024
WRITER_MEMORY_OFFSETS = 50_000  # a retry gives up long before this many records have passed
KEPT_PLANS = 1_000
KEPT_OUTCOMES = 1_000


@frozen
class FoldResult:
    """What one record did.

    Attributes:
        offset: Offset of the record.
        accepted: Whether the record changed the state.
        reason: Why it did not, empty otherwise.
        body: The decoded record, or None when it could not be decoded.
    """

    offset: int
    accepted: bool
    reason: str = ""
    body: Any = None


@define
class WriterState:
    """Highest sequence number of a writer and where it stood."""

    sequence: int
    offset: int


@define
class PlanState:
    """What became of a confirmed plan.

    Attributes:
        accepted: Whether the plan took effect.
        offset: Offset of the record that decided it.
        reason: Why it was refused, empty otherwise.
    """

    accepted: bool
    offset: int
    reason: str = ""


@define
class LeaseState:
    """Present term of a duty."""

    term: int
    holder: str
    lease_ms: int
    offset: int


@define
class FoldState:
    """Everything that the log says; this is what a snapshot contains.

    Attributes:
        next_offset: Offset of the next record to fold.
        digest: Chained hash over all accepted records.
        config: Configuration in force.
        writers: Highest sequence number by writer.
        plans: Decided plans by id, oldest first, bounded.
        leases: Present holder by duty.
        marks: Bad service versions by ``service/service_version/epoch``.
        outcomes: Decided moves by id, oldest first, bounded.
        seeds: Addresses of nodes by availability zone.
        snapshot_through: Offset below which the newest snapshot covers everything.
        snapshot_offset: Where the newest snapshot stands in the snapshots stream, -1 for none.
    """

    next_offset: int = 0
    digest: int = 0
    config: ConfigSet = field(factory=ConfigSet)
    writers: dict[str, WriterState] = field(factory=dict)
    plans: dict[str, PlanState] = field(factory=dict)
    leases: dict[str, LeaseState] = field(factory=dict)
    marks: dict[str, Marked] = field(factory=dict)
    outcomes: dict[str, MoveOutcome] = field(factory=dict)
    seeds: dict[str, tuple[str, ...]] = field(factory=dict)
    snapshot_through: int = 0
    snapshot_offset: int = -1


def mark_key(service: str, service_version: str, epoch: int) -> str:
    """Return the key of a mark in `FoldState.marks`."""
    return f"{service}/{service_version}/{epoch}"


def _drop_oldest(entries: dict[str, Any], keep: int) -> None:
    while len(entries) > keep:
        del entries[next(iter(entries))]


class LogFold:
    """Applies records in offset order.

    Example:
        >>> fold = LogFold()
        >>> fold.next_offset
        0
    """

    def __init__(self, state: FoldState | None = None) -> None:
        self._state = state if state is not None else FoldState()
        self._handlers: dict[type[Any], Callable[[int, Any], str]] = {
            Confirmed: self._confirmed,
            Cancelled: self._cancelled,
            Claim: self._claim,
            Marked: self._marked,
            MoveOutcome: self._outcome,
            SeedList: self._seeds,
            SnapshotTaken: self._snapshot_taken,
        }

    @property
    def state(self) -> FoldState:
        """The folded state; read-only for callers."""
        return self._state

    @property
    def next_offset(self) -> int:
        """Offset of the next record to apply."""
        return self._state.next_offset

    @property
    def config(self) -> ConfigSet:
        """The configuration in force after the last applied record."""
        return self._state.config

    def to_snapshot(self) -> bytes:
        """Return the whole state as bytes."""
        return encode(self._state)

    @classmethod
    def from_snapshot(cls, data: bytes) -> LogFold:
        """Return a fold that continues from a snapshot.

        Raises:
            MessageRejected: When the bytes are not a snapshot.
        """
        return cls(decode(data, FoldState, limit=MAX_SNAPSHOT_BYTES))

    def apply(self, offset: int, data: bytes) -> FoldResult:
        """Apply the record at ``offset``.

        Args:
            offset: Must equal `next_offset`.
            data: Bytes of the record; a record that cannot be decoded is skipped by every node.

        Raises:
            ValueError: When the offset is not the next one.
        """
        if offset != self._state.next_offset:
            raise ValueError(f"expected offset {self._state.next_offset}, got {offset}")
        self._state.next_offset = offset + 1
        try:
            envelope = decode_record(data)
        except MessageRejected as error:
            return FoldResult(offset, accepted=False, reason=error.reason)
        if not self._is_first(envelope, offset):
            return FoldResult(offset, accepted=False, reason="duplicate", body=envelope.body)
        reason = self._handlers[type(envelope.body)](offset, envelope.body)
        if not reason:
            self._state.digest = xxhash.xxh64_intdigest(data, seed=self._state.digest)
        return FoldResult(offset, accepted=not reason, reason=reason, body=envelope.body)

    def _is_first(self, envelope: Envelope, offset: int) -> bool:
        writers = self._state.writers
        known = writers.pop(envelope.writer, None)
        if known is not None and envelope.sequence <= known.sequence:
            writers[envelope.writer] = WriterState(known.sequence, offset)
            return False
        writers[envelope.writer] = WriterState(envelope.sequence, offset)
        oldest = next(iter(writers))
        if writers[oldest].offset < offset - WRITER_MEMORY_OFFSETS:
            del writers[oldest]
        return True

    def _confirmed(self, offset: int, body: Confirmed) -> str:
        known = self._state.plans.get(body.plan_id)
        if known is not None and known.accepted:
            return f"plan is already in force since version {known.offset}"
        reason = self._confirmed_reason(offset, body)
        plans = self._state.plans
        plans.pop(body.plan_id, None)
        plans[body.plan_id] = PlanState(not reason, offset, reason)
        _drop_oldest(plans, KEPT_PLANS)
        return reason

    def _confirmed_reason(self, offset: int, body: Confirmed) -> str:
        present = self._state.config
        if body.base_version != present.version:
            return (
                f"plan rests on version {body.base_version}, but version {present.version} "
                "is in force"
            )
        if body.confirmed_ms > body.expires_ms:
            return "plan had expired when it was confirmed"
        try:
            self._state.config = apply_change(present, body.change, version=offset)
        except ConfigInvalid as error:
            return f"configuration would be invalid: {error}"
        return ""

    def _cancelled(self, offset: int, body: Cancelled) -> str:
        move = self._state.config.moves.get(body.move_id)
        if move is None or move.epoch != body.epoch:
            return "move is not open"
        self._close_move(offset, body.move_id, finished=False)
        outcome = MoveOutcome(
            duty_term=0,
            move_id=body.move_id,
            epoch=body.epoch,
            result=MoveResult.CANCELLED.value,
            detail=f"cancelled by {body.operator}",
            ended_ms=0,
        )
        self._keep_outcome(outcome)
        return ""

    def _claim(self, offset: int, body: Claim) -> str:
        present = self._state.leases.get(body.duty)
        term = present.term if present is not None else 0
        if body.term != term + 1:
            return f"duty {body.duty!r} is at term {term}"
        self._state.leases[body.duty] = LeaseState(body.term, body.holder, body.lease_ms, offset)
        return ""

    def _marked(self, offset: int, body: Marked) -> str:
        key = mark_key(body.service, body.service_version, body.epoch)
        if key in self._state.marks:
            return "service version is already marked"
        self._state.marks[key] = body
        return ""

    def _outcome(self, offset: int, body: MoveOutcome) -> str:
        if not self._term_holds(Duty.OUTCOMES, body.duty_term):
            return "lease term has passed"
        move = self._state.config.moves.get(body.move_id)
        if move is None or move.epoch != body.epoch:
            return "move is not open"
        if body.result == MoveResult.UNKNOWN:
            self._keep_outcome(body)
            return ""
        finished = body.result in (MoveResult.FINISHED_IN_TIME, MoveResult.FINISHED_LATE)
        self._close_move(offset, body.move_id, finished=finished)
        self._keep_outcome(body)
        return ""

    def _seeds(self, offset: int, body: SeedList) -> str:
        self._state.seeds[body.availability_zone] = body.addresses
        return ""

    def _snapshot_taken(self, offset: int, body: SnapshotTaken) -> str:
        if not self._term_holds(Duty.COMPACTOR, body.duty_term):
            return "lease term has passed"
        if body.through <= self._state.snapshot_through:
            return "an equal or newer snapshot exists"
        self._state.snapshot_through = body.through
        self._state.snapshot_offset = body.snapshot_offset
        return ""

    def _term_holds(self, duty: Duty, term: int) -> bool:
        lease = self._state.leases.get(duty.value)
        return lease is not None and lease.term == term

    def _close_move(self, offset: int, move_id: str, *, finished: bool) -> None:
        self._state.config = withdraw_move(
            self._state.config, move_id, version=offset, finished=finished
        )

    def _keep_outcome(self, outcome: MoveOutcome) -> None:
        self._state.outcomes.pop(outcome.move_id, None)
        self._state.outcomes[outcome.move_id] = outcome
        _drop_oldest(self._state.outcomes, KEPT_OUTCOMES)
