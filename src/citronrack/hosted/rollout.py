"""Decides how a service's traffic moves to a new version, and takes a bad version back."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from enum import StrEnum

from attrs import define, evolve, field, frozen

from ..clock import Clock
from ..codec import decode, encode
from ..errors import MessageRejected
from ..rendezvous import weight
from ..telemetry import Event, EventLog
from ..transport.messages import message_codec
from .evidence import Evidence, EvidenceAggregator
from .publish import Write
from .ramp import COMPLETE_AT, MIN_CALLS, RAMP, TIMEOUT_AT
from .store import MESH_TOPIC

ROLLOUT_PREFIX = "rollout/"

HEARTBEAT_INTERVAL_S = 1.0
"""How often the holder of a running rollout shows that it is alive."""

TAKEOVER_TIMEOUT_S = 2.5
"""Time without a word after which another node takes a rollout over: two beats may be lost."""

RANK_DELAY_S = 0.3
"""Further delay for each node with a better rank, so that few nodes write at once."""

SETTLE_S = 0.6
"""Time between the last step and the status: all nodes have read the step by then."""


class Phase(StrEnum):
    """State of a rollout."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled-back"


@frozen
class RolloutOrder:
    """What an operator asked for.

    Attributes:
        order_id: Offset of the order in the store; a greater one replaces the order.
        service: The service.
        target_version: Version that gets the service's traffic.
        duration_s: Time in which the traffic should have moved, in seconds.
    """

    order_id: int
    service: str
    target_version: str
    duration_s: float


@message_codec.register("h-roll")
@frozen
class RolloutRecord:
    """State of a rollout, as it stands in the store and as nodes tell it to each other.

    Attributes:
        order_id: The order.
        service: The service.
        target_version: The new version.
        phase: A `Phase`.
        share: Part of the calls that the new version gets.
        step: Index of the ramp's step.
        elapsed_ms: Time since the order when the record was written.
        holder: Name of the node that wrote it.
        revision: Grows with each record of an order.
        reason: Why the phase or share was chosen.
        told: Whether the operator has been told the phase.
    """

    order_id: int
    service: str
    target_version: str
    phase: str
    share: float
    step: int
    elapsed_ms: int
    holder: str
    revision: int
    reason: str = ""
    reported: bool = False

    def encode(self) -> bytes:
        """Return the value for the store."""
        return encode(self)


def decode_record(value: bytes | None) -> RolloutRecord | None:
    """Return the record in a store value, None for none or one that cannot be read."""
    if value is None:
        return None
    try:
        return decode(value, RolloutRecord)
    except MessageRejected:
        return None


def rollout_write(record: RolloutRecord) -> Write:
    """Return the write of a record that replaces an older one only."""

    def is_older(present: bytes | None) -> bool:
        known = decode_record(present)
        if known is None:
            return True
        return (known.order_id, known.revision) < (record.order_id, record.revision)

    key = ROLLOUT_PREFIX + record.service
    return Write(MESH_TOPIC, key, record.encode(), may_replace=is_older, once=True)


@define(eq=False)
class _Rollout:
    """What the node knows of one service's rollout."""

    order: RolloutOrder
    started: float
    record: RolloutRecord | None = None
    last_record_at: float = 0.0
    stepped_at: float = 0.0
    written: RolloutRecord | None = None
    status: str = ""
    evidence: EvidenceAggregator = field(factory=EvidenceAggregator)

    def elapsed_s(self, now: float) -> float:
        """Return the time since the order."""
        return now - self.started


WriteRecord = Callable[[RolloutRecord], None]
"""Writes a record to the store, or only tells it to the other nodes."""

WriteStatus = Callable[[str, str, Phase], None]
"""Gets service, version and phase."""


class RolloutCore:
    """Follows all rollouts, and leads those that this node holds.

    Every node follows the share that the newest record says. The node that made it leads: it
    collects evidence, steps up, and ends the rollout. A step counts once it stands in the store,
    where it is written only over an older record, so two holders do no harm.

    Args:
        own_name: Name of this node.
        clock: Source of time.
        events: Log lines.
        write_record: Writes a record to the store if it is newer than the one there.
        broadcast_record: Tells a record to all nodes; it shows that the holder is alive.
        write_status: Tells the operator the phase of a rollout.
    """

    def __init__(
        self,
        *,
        own_name: str,
        clock: Clock,
        events: EventLog,
        write_record: WriteRecord,
        broadcast_record: WriteRecord,
        write_status: WriteStatus,
    ) -> None:
        self._own_name = own_name
        self._clock = clock
        self._events = events
        self._write_record = write_record
        self._broadcast_record = broadcast_record
        self._write_status = write_status
        self._rollouts: dict[str, _Rollout] = {}

    def on_order(self, order: RolloutOrder) -> None:
        """Take an order of an operator."""
        known = self._rollouts.get(order.service)
        if known is not None and known.order.order_id >= order.order_id:
            return
        now = self._clock.monotonic()
        rollout = _Rollout(order, started=now, last_record_at=now)
        self._rollouts[order.service] = rollout
        if known is not None and known.record is not None:
            self._apply_record(rollout, known.record)
        self._events.write(
            Event.ROLLOUT_ORDERED,
            service=order.service,
            target_version=order.target_version,
            duration_s=order.duration_s,
            order=order.order_id,
        )

    def on_record(self, record: RolloutRecord) -> None:
        """Take a record that stands in the store."""
        rollout = self._rollouts.get(record.service)
        if rollout is not None:
            self._apply_record(rollout, record)

    def on_evidence(self, evidence: Evidence) -> None:
        """Take what a node has seen of the target beside it."""
        rollout = self._rollouts.get(evidence.service)
        if rollout is not None and rollout.order.order_id == evidence.order_id:
            rollout.evidence.put(evidence)

    def records(self) -> tuple[RolloutRecord, ...]:
        """Return the newest record of each rollout."""
        rollouts = self._rollouts.values()
        return tuple(rollout.record for rollout in rollouts if rollout.record is not None)

    def running(self, service: str) -> RolloutOrder | None:
        """Return the order of a service whose rollout is not decided."""
        rollout = self._rollouts.get(service)
        if rollout is None:
            return None
        record = rollout.record
        decided = record is not None and record.phase != Phase.RUNNING
        return None if decided else rollout.order

    def holder(self, service: str) -> str:
        """Return the name of the node that leads a service's rollout, empty for none."""
        rollout = self._rollouts.get(service)
        record = rollout.record if rollout is not None else None
        return record.holder if record is not None else ""

    def shares(self) -> dict[str, tuple[str, float, int]]:
        """Return target version, share and order id by service."""
        return {
            service: (
                rollout.order.target_version,
                rollout.record.share if rollout.record is not None else 0.0,
                rollout.order.order_id,
            )
            for service, rollout in self._rollouts.items()
        }

    def is_rolled_back(self, service: str, version: str) -> bool:
        """Return whether a version was found bad and gets no calls."""
        rollout = self._rollouts.get(service)
        record = rollout.record if rollout is not None else None
        return (
            record is not None
            and record.phase == Phase.ROLLED_BACK
            and record.target_version == version
        )

    def on_tick(self, *, names: Sequence[str]) -> None:
        """Lead the rollouts of this node and take over those whose holder is silent.

        Args:
            names: Names of all known nodes, for the order of taking over.
        """
        now = self._clock.monotonic()
        for rollout in self._rollouts.values():
            record = rollout.record
            if record is None:
                self._begin(rollout, now, names)
            elif record.phase != Phase.RUNNING:
                self._report_status(rollout, now, names)
            elif record.holder == self._own_name:
                self._lead(rollout, record, now)
            elif now - rollout.last_record_at > TAKEOVER_TIMEOUT_S + self._rank_delay_s(
                rollout, names
            ):
                self._propose(rollout, evolve(record, reason="the holder is silent"), now)

    def _apply_record(self, rollout: _Rollout, record: RolloutRecord) -> None:
        """Use a record if it belongs to the present order and is new."""
        known = rollout.record
        if record.order_id != rollout.order.order_id:
            return
        if known is not None and record.revision <= known.revision:
            return
        now = self._clock.monotonic()
        rollout.last_record_at = now
        rollout.started = min(rollout.started, now - record.elapsed_ms / 1000)
        if known is None or (known.share, known.phase) != (record.share, record.phase):
            rollout.stepped_at = now
            self._events.write(
                Event.ROLLOUT_STEP,
                service=record.service,
                target_version=record.target_version,
                phase=record.phase,
                share=record.share,
                holder=record.holder,
                reason=record.reason,
            )
        rollout.record = record

    def _rank_delay_s(self, rollout: _Rollout, names: Sequence[str]) -> float:
        """Return how long this node leaves a rollout to nodes of a better rank."""
        scope = f"rollout/{rollout.order.order_id}"
        own = weight(scope, self._own_name)
        return RANK_DELAY_S * sum(weight(scope, name) < own for name in names)

    def _begin(self, rollout: _Rollout, now: float, names: Sequence[str]) -> None:
        if rollout.elapsed_s(now) < self._rank_delay_s(rollout, names):
            return
        order = rollout.order
        first = RolloutRecord(
            order_id=order.order_id,
            service=order.service,
            target_version=order.target_version,
            phase=Phase.RUNNING,
            share=RAMP[0].share,
            step=0,
            elapsed_ms=0,
            holder=self._own_name,
            revision=0,
            reason="the rollout was ordered",
        )
        self._propose(rollout, first, now)

    def _lead(self, rollout: _Rollout, record: RolloutRecord, now: float) -> None:
        if rollout.status != Phase.RUNNING:
            rollout.status = Phase.RUNNING
            self._write_status(record.service, record.target_version, Phase.RUNNING)
        rollout.evidence.sample(now)
        fault = rollout.evidence.fault(record.target_version)
        if fault:
            self._decide(rollout, record, Phase.ROLLED_BACK, fault, now)
            return
        part = rollout.elapsed_s(now) / max(rollout.order.duration_s, 0.001)
        following = RAMP[record.step + 1] if record.step + 1 < len(RAMP) else None
        cleared = (
            rollout.evidence.calls_since(record.target_version, rollout.stepped_at) >= MIN_CALLS
        )
        if following is None and part >= COMPLETE_AT and cleared:
            self._decide(rollout, record, Phase.COMPLETED, "no fault was seen", now)
        elif part >= TIMEOUT_AT:
            self._decide(rollout, record, Phase.ROLLED_BACK, "the time is up", now)
        elif following is not None and part >= following.at and cleared:
            stepped = evolve(record, share=following.share, step=record.step + 1)
            self._propose(rollout, evolve(stepped, reason="the step before is clear"), now)
        elif now - rollout.last_record_at >= HEARTBEAT_INTERVAL_S:
            beat = self._next_record(rollout, record, now)
            self._apply_record(rollout, beat)
            self._broadcast_record(beat)

    def _decide(
        self, rollout: _Rollout, record: RolloutRecord, phase: Phase, reason: str, now: float
    ) -> None:
        share = 1.0 if phase is Phase.COMPLETED else 0.0
        self._propose(rollout, evolve(record, phase=phase, share=share, reason=reason), now)

    def _propose(self, rollout: _Rollout, record: RolloutRecord, now: float) -> None:
        self._write_record(self._next_record(rollout, record, now))

    def _next_record(self, rollout: _Rollout, record: RolloutRecord, now: float) -> RolloutRecord:
        """Return the record that follows the known one."""
        known = rollout.record
        return evolve(
            record,
            holder=self._own_name,
            revision=known.revision + 1 if known is not None else 1,
            elapsed_ms=int(rollout.elapsed_s(now) * 1000),
        )

    def _report_status(self, rollout: _Rollout, now: float, names: Sequence[str]) -> None:
        """Write the final status once every node can have read the decision."""
        record = rollout.record
        if record is None or record.reported or rollout.status == record.phase:
            return
        delay = SETTLE_S
        if record.holder != self._own_name:
            delay += TAKEOVER_TIMEOUT_S + self._rank_delay_s(rollout, names)
        if now - rollout.stepped_at < delay:
            return
        rollout.status = record.phase
        self._write_status(record.service, record.target_version, Phase(record.phase))
        reported = evolve(self._next_record(rollout, record, now), reported=True)
        self._apply_record(rollout, reported)
        self._broadcast_record(reported)
