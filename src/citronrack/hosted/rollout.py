"""Moves a service's traffic to a new version in steps and rolls a bad version back."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from attrs import define, evolve, field

from ..clock import Clock
from ..rendezvous import weight
from ..telemetry import Event, EventLog
from ..validators import MAX_NUMBER
from .evidence import Evidence, EvidenceAggregator
from .ramp import COMPLETE_AT, MIN_CALLS, RAMP, TIMEOUT_AT
from .rollout_record import (
    FIRST_REVISION,
    Phase,
    RolloutOrder,
    RolloutRecord,
    VersionShare,
    withdrawn_by,
)

HEARTBEAT_INTERVAL_S = 1.0
"""Interval at which the holder of a running rollout broadcasts its record."""

TAKEOVER_TIMEOUT_S = 2.5
"""Time without a record after which another node takes over a rollout; over two heartbeat
intervals, so that a single lost heartbeat does not cause a takeover."""

RANK_DELAY_S = 0.3
"""Additional delay per better-ranked node, so that few nodes write at the same time."""

SETTLE_S = 0.6
"""Delay between the decision and the final status, in which all nodes read the decision."""


@define(eq=False)
class _Rollout:
    """This node's state of one service's rollout."""

    order: RolloutOrder
    started: float
    skipped: tuple[str, ...] = ()
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
"""Writes a record to the store, or only broadcasts it to the other nodes."""

WriteStatus = Callable[[str, str, Phase], None]
"""Called with service, version and phase."""


class RolloutCore:
    """Follows all rollouts and leads those that this node holds.

    Every node applies the share in the newest record. The node that wrote the record leads the
    rollout: it collects evidence, raises the share, and ends the rollout. A step takes effect once
    it is stored, and it only replaces an older record, so two concurrent holders are harmless.

    Args:
        own_name: Name of this node.
        clock: Source of time.
        events: Event log.
        write_record: Writes a record to the store if it is newer than the one there.
        broadcast_record: Sends a record to all nodes; it serves as the holder's heartbeat.
        write_status: Reports the phase of a rollout to the operator.
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
        self._newest: dict[str, RolloutRecord] = {}

    def on_order(self, order: RolloutOrder, *, written_again: bool = False) -> bool:
        """Apply an order of an operator; an older one than the known order is ignored.

        Args:
            order: The order.
            written_again: Whether the store has just returned from a copy, so that an equal order
                is the known one that the operator has written again.

        Returns:
            Whether a rollout begins.
        """
        known = self._rollouts.get(order.service)
        if known is not None and known.order.order_id >= order.order_id:
            return False
        if known is not None and written_again and order.repeats(known.order):
            self._continue(known, order)
            return False
        now = self._clock.monotonic()
        rollout = _Rollout(order, started=now, last_record_at=now)
        if known is not None and known.record is None:
            rollout.skipped = (*known.skipped, known.order.target_version)
        self._rollouts[order.service] = rollout
        if order.service in self._newest:
            self._apply_record(rollout, self._newest[order.service])
        self._events.write(
            Event.ROLLOUT_ORDERED,
            service=order.service,
            target_version=order.target_version,
            duration_s=order.duration_s,
            order=order.order_id,
        )
        return True

    def _continue(self, rollout: _Rollout, order: RolloutOrder) -> None:
        """Let a rollout go on under the new id of its order; its holder writes it again."""
        rollout.order = order
        rollout.evidence = EvidenceAggregator()
        if rollout.record is not None:
            rollout.record = evolve(rollout.record, order_id=order.order_id)
            self._remember(rollout.record)
            self._write_again(rollout, rollout.record)

    def write_again(self) -> None:
        """Write the rollouts that this node holds, and their status, to the store again.

        Both writes depend on the value in the store, so they do nothing if that is up to date.
        """
        for rollout in self._rollouts.values():
            if rollout.record is not None:
                self._write_again(rollout, rollout.record)

    def _write_again(self, rollout: _Rollout, record: RolloutRecord) -> None:
        if record.holder != self._own_name:
            return
        self._write_record(record)
        if rollout.status or record.reported:
            self._write_status(record.service, record.target_version, Phase(record.phase))

    def on_record(self, record: RolloutRecord) -> None:
        """Apply a record of the store or of another node."""
        self._remember(record)
        rollout = self._rollouts.get(record.service)
        if rollout is not None:
            self._apply_record(rollout, record)

    def on_evidence(self, evidence: Evidence) -> None:
        """Add the evidence that a node has collected at its target."""
        rollout = self._rollouts.get(evidence.service)
        if rollout is None or rollout.order.order_id != evidence.order_id:
            return
        if not self.is_withdrawn(evidence.service, evidence.service_version):
            rollout.evidence.put(evidence)

    def records(self) -> tuple[RolloutRecord, ...]:
        """Return the newest record of each service; it may be of an order before the current."""
        return tuple(self._newest.values())

    def running(self, service: str) -> RolloutOrder | None:
        """Return the order of a service whose rollout is undecided, None for any other."""
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

    def shares(self) -> dict[str, VersionShare]:
        """Return the division of calls by service."""
        return {
            service: VersionShare(
                rollout.order.target_version,
                rollout.record.share if rollout.record is not None else 0.0,
                rollout.order.order_id,
                self._withdrawn(rollout),
            )
            for service, rollout in self._rollouts.items()
        }

    def is_withdrawn(self, service: str, version: str) -> bool:
        """Return whether a version was rolled back, by any order so far, and gets no calls."""
        rollout = self._rollouts.get(service)
        return rollout is not None and version in self._withdrawn(rollout)

    def _withdrawn(self, rollout: _Rollout) -> tuple[str, ...]:
        """Return the versions that get no calls, also before the order has a record."""
        record = rollout.record
        if record is None:
            previous = self._newest.get(rollout.order.service)
            return withdrawn_by(rollout.order, previous, rollout.skipped)
        if record.phase == Phase.ROLLED_BACK:
            return (*record.withdrawn, record.target_version)
        return record.withdrawn

    def _remember(self, record: RolloutRecord) -> None:
        known = self._newest.get(record.service)
        if known is None or (known.order_id, known.revision) < (record.order_id, record.revision):
            self._newest[record.service] = record

    def on_tick(self, *, names: Sequence[str]) -> None:
        """Lead the rollouts that this node holds and take over those whose holder has timed out.

        Args:
            names: Names of all known nodes; they are ranked for the takeover.
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
        """Apply a record if it belongs to the current order and has a greater revision."""
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
        self._remember(record)

    def _rank_delay_s(self, rollout: _Rollout, names: Sequence[str]) -> float:
        """Return how long this node yields a rollout to better-ranked nodes."""
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
            withdrawn=rollout.skipped,
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
        elapsed_share = rollout.elapsed_s(now) / max(rollout.order.duration_s, 0.001)
        next_step = RAMP[record.step + 1] if record.step + 1 < len(RAMP) else None
        enough_calls = (
            rollout.evidence.calls_since(record.target_version, rollout.stepped_at) >= MIN_CALLS
        )
        if next_step is None and elapsed_share >= COMPLETE_AT and enough_calls:
            self._decide(rollout, record, Phase.COMPLETED, "no fault was seen", now)
        elif elapsed_share >= TIMEOUT_AT:
            self._decide(rollout, record, Phase.ROLLED_BACK, "the time is up", now)
        elif next_step is not None and elapsed_share >= next_step.at and enough_calls:
            stepped = evolve(record, share=next_step.share, step=record.step + 1)
            self._propose(rollout, evolve(stepped, reason="the step before is clear"), now)
        elif now - rollout.last_record_at >= HEARTBEAT_INTERVAL_S:
            heartbeat = self._next_record(rollout, record, now)
            self._apply_record(rollout, heartbeat)
            self._broadcast_record(heartbeat)

    def _decide(
        self, rollout: _Rollout, record: RolloutRecord, phase: Phase, reason: str, now: float
    ) -> None:
        share = 1.0 if phase is Phase.COMPLETED else 0.0
        self._propose(rollout, evolve(record, phase=phase, share=share, reason=reason), now)

    def _propose(self, rollout: _Rollout, record: RolloutRecord, now: float) -> None:
        self._write_record(self._next_record(rollout, record, now))

    def _next_record(self, rollout: _Rollout, record: RolloutRecord, now: float) -> RolloutRecord:
        """Return a record with this node as holder and the next revision."""
        known = rollout.record
        return evolve(
            record,
            holder=self._own_name,
            revision=(min(known.revision + 1, MAX_NUMBER) if known is not None else FIRST_REVISION),
            elapsed_ms=int(rollout.elapsed_s(now) * 1000),
        )

    def _report_status(self, rollout: _Rollout, now: float, names: Sequence[str]) -> None:
        """Write the final status once all nodes have had time to read the decision."""
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
