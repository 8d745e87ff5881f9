"""Folds log records into state; the same records result in the same state on every node."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import xxhash
from attrs import frozen

from ..config import ConfigSet, apply_change, withdraw_move
from ..errors import ConfigInvalid, MessageRejected
from . import marks
from ._conflicts import move_conflict
from ._limits import body_violation, envelope_violation
from ._snapshot_format import pack_state, unpack_state
from ._writers import Arrival, classify_arrival
from .marks import mark_key
from .records import (
    Cancelled,
    Claim,
    Confirmed,
    Duty,
    Marked,
    MoveOutcome,
    MoveResult,
    SeedList,
    SnapshotTaken,
    decode_record,
)
from .state import FoldState, LeaseState, PlanState, WriterState

__all__ = [
    "FoldResult",
    "FoldState",
    "LeaseState",
    "LogFold",
    "PlanState",
    "WriterState",
    "mark_key",
]

KEPT_PLANS = 1_000
KEPT_OUTCOMES = 1_000
KEPT_SEED_ZONES = 64
MAX_REASON = 500  # characters; a change with many faults would otherwise fill the snapshot
MAX_CONFIG_ENTRIES = 20_000  # services, routes and moves; 50 times the two-year target

SUPERSEDED = "a newer record of the same writer was folded before this one"

_KEEPS_NEW_VERSION = {
    MoveResult.FINISHED_IN_TIME.value: True,
    MoveResult.FINISHED_LATE.value: True,
    MoveResult.TAKEN_BACK.value: False,
}


@frozen
class FoldResult:
    """Effect of one record.

    Attributes:
        offset: Offset of the record.
        accepted: Whether the record took effect.
        reason: Why it did not, empty otherwise.
        body: The decoded record, or None when it could not be decoded.
    """

    offset: int
    accepted: bool
    reason: str = ""
    body: Any = None


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
            Confirmed: self._apply_confirmed,
            Cancelled: self._apply_cancelled,
            Claim: self._apply_claim,
            Marked: self._apply_marked,
            MoveOutcome: self._apply_outcome,
            SeedList: self._apply_seeds,
            SnapshotTaken: self._apply_snapshot_taken,
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
        """Return the whole state as bytes with a checksum."""
        return pack_state(self._state)

    @classmethod
    def from_snapshot(cls, data: bytes) -> LogFold:
        """Return a fold that continues from a snapshot.

        Raises:
            MessageRejected: When the bytes are damaged or not a snapshot.
        """
        return cls(unpack_state(data))

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
        body = envelope.body
        reason = envelope_violation(envelope)
        if reason:
            return FoldResult(offset, accepted=False, reason=reason, body=body)
        # A record is registered even if it is refused: limits depend on the offset, and a refused
        # record that arrives again must not take effect.
        arrival = classify_arrival(self._state.writers, envelope.writer, envelope.sequence, offset)
        if arrival is Arrival.DUPLICATE:
            return FoldResult(offset, accepted=False, reason="duplicate", body=body)
        reason = body_violation(offset, body)
        if reason:
            return FoldResult(offset, accepted=False, reason=reason, body=body)
        if arrival is Arrival.SUPERSEDED:
            self._store_superseded(offset, body)
            return FoldResult(offset, accepted=False, reason=SUPERSEDED, body=body)
        reason = self._handlers[type(body)](offset, body)
        if not reason:
            self._state.digest = xxhash.xxh64_intdigest(data, seed=self._state.digest)
        return FoldResult(offset, accepted=not reason, reason=reason, body=body)

    def _store_superseded(self, offset: int, body: Any) -> None:
        """Store the refusal of a plan, for operators whose confirmation had an unknown result."""
        if isinstance(body, Confirmed) and body.plan_id not in self._state.plans:
            self._store_plan(body.plan_id, PlanState(False, offset, SUPERSEDED))

    def _store_plan(self, plan_id: str, plan: PlanState) -> None:
        self._state.plans.pop(plan_id, None)
        self._state.plans[plan_id] = plan
        _drop_oldest(self._state.plans, KEPT_PLANS)

    def _apply_confirmed(self, offset: int, body: Confirmed) -> str:
        known = self._state.plans.get(body.plan_id)
        if known is not None and known.accepted:
            return f"plan is already in force since version {known.offset}"
        before = self._state.config
        reason = self._apply_plan(offset, body)[:MAX_REASON]
        self._store_plan(body.plan_id, PlanState(not reason, offset, reason))
        if not reason:
            self._store_removed_moves(before, body)
            marks.remove_obsolete(self._state)
        return reason

    def _apply_plan(self, offset: int, body: Confirmed) -> str:
        current = self._state.config
        if body.base_version != current.version:
            return (
                f"plan rests on version {body.base_version}, but version {current.version} "
                "is in force"
            )
        if body.confirmed_ms > body.expires_ms:
            return "plan had expired when it was confirmed"
        conflict = move_conflict(current, body.change)
        if conflict:
            return conflict
        try:
            result = apply_change(current, body.change, version=offset)
        except ConfigInvalid as error:
            return f"configuration would be invalid: {error}"
        if len(result.services) + len(result.routes) + len(result.moves) > MAX_CONFIG_ENTRIES:
            return f"configuration would have more than {MAX_CONFIG_ENTRIES} entries"
        self._state.config = result
        return ""

    def _store_removed_moves(self, before: ConfigSet, body: Confirmed) -> None:
        """Store an outcome for each open move that the plan removed by name."""
        for move_id in body.change.remove_moves:
            move = before.moves.get(move_id)
            if move is not None:
                self._store_cancelled(move_id, move.epoch, body.operator)

    def _apply_cancelled(self, offset: int, body: Cancelled) -> str:
        if not self._is_open(body.move_id, body.epoch):
            return "move is not open"
        self._close_move(offset, body.move_id, finished=False)
        self._store_cancelled(body.move_id, body.epoch, body.operator)
        return ""

    def _store_cancelled(self, move_id: str, epoch: int, operator: str) -> None:
        self._store_outcome(
            MoveOutcome(
                duty_term=0,
                move_id=move_id,
                epoch=epoch,
                result=MoveResult.CANCELLED.value,
                detail=f"cancelled by {operator}",
                ended_ms=0,
            )
        )

    def _apply_claim(self, offset: int, body: Claim) -> str:
        current = self._state.leases.get(body.duty)
        term = current.term if current is not None else 0
        if body.term != term + 1:
            return f"duty {body.duty!r} is at term {term}"
        self._state.leases[body.duty] = LeaseState(body.term, body.holder, body.lease_ms, offset)
        return ""

    def _apply_marked(self, offset: int, body: Marked) -> str:
        reason = marks.rejection_reason(self._state, body)
        if not reason:
            self._state.marks[mark_key(body.service, body.service_version, body.epoch)] = body
            marks.remove_obsolete(self._state)
        return reason

    def _apply_outcome(self, offset: int, body: MoveOutcome) -> str:
        if not self._is_current_term(Duty.OUTCOMES, body.duty_term):
            return "lease term has passed"
        if not self._is_open(body.move_id, body.epoch):
            return "move is not open"
        if body.result == MoveResult.UNKNOWN:
            self._store_outcome(body)
            return ""
        finished = _KEEPS_NEW_VERSION.get(body.result)
        if finished is None:
            return f"result {body.result[:40]!r} cannot be decided"
        if finished and self._is_marked(body):
            return "service version is marked as bad and cannot finish its move"
        self._close_move(offset, body.move_id, finished=finished)
        self._store_outcome(body)
        return ""

    def _is_marked(self, body: MoveOutcome) -> bool:
        move = self._state.config.moves[body.move_id]
        service = self._state.config.routes[move.route].service
        return mark_key(service, move.to_version, move.epoch) in self._state.marks

    def _apply_seeds(self, offset: int, body: SeedList) -> str:
        self._state.seeds.pop(body.availability_zone, None)
        self._state.seeds[body.availability_zone] = body.addresses
        _drop_oldest(self._state.seeds, KEPT_SEED_ZONES)
        return ""

    def _apply_snapshot_taken(self, offset: int, body: SnapshotTaken) -> str:
        if not self._is_current_term(Duty.COMPACTOR, body.duty_term):
            return "lease term has passed"
        if body.through <= self._state.snapshot_through:
            return "an equal or newer snapshot exists"
        self._state.snapshot_through = body.through
        self._state.snapshot_offset = body.snapshot_offset
        self._state.snapshot_announced = offset
        return ""

    def _is_current_term(self, duty: Duty, term: int) -> bool:
        lease = self._state.leases.get(duty.value)
        return lease is not None and lease.term == term

    def _is_open(self, move_id: str, epoch: int) -> bool:
        move = self._state.config.moves.get(move_id)
        return move is not None and move.epoch == epoch

    def _close_move(self, offset: int, move_id: str, *, finished: bool) -> None:
        self._state.config = withdraw_move(
            self._state.config, move_id, version=offset, finished=finished
        )
        marks.remove_obsolete(self._state)

    def _store_outcome(self, outcome: MoveOutcome) -> None:
        self._state.outcomes.pop(outcome.move_id, None)
        self._state.outcomes[outcome.move_id] = outcome
        _drop_oldest(self._state.outcomes, KEPT_OUTCOMES)
