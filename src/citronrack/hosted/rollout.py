"""Moves a service's traffic to a new version in steps and rolls a bad version back."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random

from attrs import define, evolve, field

from ..clock import Clock
from ..rendezvous import weight
from ..telemetry import Event, EventLog
from ..validators import MAX_NUMBER
from .evidence import Evidence, EvidenceAggregator
from .position import era_of
from .ramp import COMPLETE_AT, MIN_CALLS, RAMP, TIMEOUT_AT
from .replica import REWRITE_S
from .rollout_record import (
    FIRST_REVISION,
    Phase,
    Proposal,
    RolloutOrder,
    RolloutRecord,
    VersionShare,
    next_term,
    withdrawn_by,
)

HEARTBEAT_INTERVAL_S = 1.0
"""Interval at which the holder of a running rollout stores its record again and broadcasts it."""

TAKEOVER_TIMEOUT_S = 2.5
"""Time without a record after which another node takes over a rollout; over two heartbeat
intervals, so that a single lost heartbeat does not cause a takeover."""

RANK_DELAY_S = 0.3
"""Additional delay per better-ranked node, so that few nodes write at the same time."""

SETTLE_S = 0.6
"""Delay between the decision and the final status, in which all nodes read the decision."""

EVIDENCE_SETTLE_S = 1.0
"""Time after which a new holder has the evidence of all nodes: two intervals of its sending."""

ISOLATED_AFTER_S = 3.0
"""Time without a message of any node after which a node counts as isolated; a few intervals of the
exchange between nodes."""

ISOLATED_DELAY_S = 2.0
"""How long an isolated node yields a rollout to nodes that hear each other. The best-ranked ones
take it over meanwhile if they reach the store; if none does, this node goes on alone."""

WRITE_TIMEOUT_S = 7.0
"""Time after which a record counts as not stored if nothing was heard of its write: the timeouts of
a read and of an append, and a second in the queue."""

RETRY_PAUSE_S = 1.0
"""Mean pause after a failed write, unless it is the first one of a holder; a store that is back
must be used again within two seconds."""

STATUS_RETRY_S = 2.0
"""Pause before the final status is submitted again, if the store lacked the decision."""


@define(eq=False)
class _Rollout:
    """This node's state of one service's rollout.

    Attributes:
        order: The order.
        order_ids: Its ids, those that it had before a return of the store included.
        started: Time of the order.
        skipped: Versions of earlier orders that never had a record.
        record: Newest stored record of the order, None before the first one.
        last_record_at: When ``record`` became known, or the order if there is none.
        stepped_at: When the share or phase changed last.
        held_since: When the holder of the record took it over.
        judged: Revision that was judged, and the verdict; each is logged once.
        propose_at: Earliest time of the next proposal.
        alone: Whether this node leads although it is isolated, since no other has taken over.
        status_submitted: Whether this node has submitted the status of the running rollout.
        status_at: Earliest time to submit the final status.
        confirmed: Whether the operator's status is known to show the decision.
        evidence: Calls to both versions.
    """

    order: RolloutOrder
    order_ids: frozenset[int]
    started: float
    skipped: tuple[str, ...] = ()
    record: RolloutRecord | None = None
    last_record_at: float = 0.0
    stepped_at: float = 0.0
    held_since: float = 0.0
    judged: tuple[int, str] = (0, "")
    propose_at: float = 0.0
    alone: bool = False
    status_submitted: bool = False
    status_at: float = 0.0
    confirmed: bool = False
    evidence: EvidenceAggregator = field(factory=EvidenceAggregator)

    def elapsed_s(self, now: float) -> float:
        """Return the time since the order."""
        return now - self.started


WriteRecord = Callable[[Proposal], None]

BroadcastRecord = Callable[[RolloutRecord], None]

WriteStatus = Callable[[str], None]
"""Called with the service."""


class RolloutCore:
    """Follows all rollouts and leads those that this node holds.

    Every node applies the share in the newest record. The node that wrote the record leads the
    rollout: it collects evidence, raises the share, and ends the rollout.

    Everything that a holder does takes effect once the store has taken it, and the store takes only
    a record that follows the one there. So several nodes may believe that they hold a rollout, but
    one of them at most can change anything. Heartbeats are stored, too: a holder that the store
    turns away falls silent and is replaced, and one that was cut off has counted up nothing.

    Args:
        own_name: Name of this node.
        clock: Clock that keeps running while the instance is suspended.
        random: Source of random numbers.
        events: Event log.
        write_record: Writes a record to the store if it follows the one there.
        broadcast_record: Sends a stored record to all nodes; it serves as the holder's heartbeat.
        write_status: Reports the stored phase of a rollout to the operator.
    """

    def __init__(
        self,
        *,
        own_name: str,
        clock: Clock,
        random: Random,
        events: EventLog,
        write_record: WriteRecord,
        broadcast_record: BroadcastRecord,
        write_status: WriteStatus,
    ) -> None:
        self._own_name = own_name
        self._clock = clock
        self._random = random
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
        rollout = _Rollout(order, frozenset({order.order_id}), started=now, last_record_at=now)
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
        rollout.order_ids |= {order.order_id}
        rollout.evidence = EvidenceAggregator()
        if rollout.record is not None:
            rollout.record = evolve(rollout.record, order_id=order.order_id)
            self._remember(rollout.record)
            self._write_again(rollout, rollout.record)

    def write_again(self) -> None:
        """Write the rollouts to the store again after its return from a copy.

        Their holders write those that are running, and any node the decisions. All writes depend on
        what the store has, so they do nothing if that is up to date.
        """
        for rollout in self._rollouts.values():
            if rollout.record is not None:
                self._write_again(rollout, rollout.record)

    def _write_again(self, rollout: _Rollout, record: RolloutRecord) -> None:
        if record.decided:
            rollout.confirmed = False
            rollout.status_at = self._clock.monotonic() + SETTLE_S
        elif record.holder == self._own_name:
            self._write_record(Proposal(record, record, rollout.order_ids))
            self._write_status(record.service)

    def on_write_failed(self, service: str) -> None:
        """Handle a record that the store has not taken; this node decides again what to write."""
        rollout = self._rollouts.get(service)
        if rollout is None:
            return
        now = self._clock.monotonic()
        leads = self.holder(service) == self._own_name
        at_once = leads and now - rollout.last_record_at < TAKEOVER_TIMEOUT_S
        pause_s = 0.0 if at_once else RETRY_PAUSE_S * self._random.uniform(0.5, 1.5)
        rollout.propose_at = now + pause_s

    def on_status(self, source: RolloutRecord | None) -> None:
        """Handle that the operator's status shows what the store says of a rollout.

        Args:
            source: The stored record, None if the store has none that can be decoded.
        """
        rollout = self._rollouts.get(source.service) if source is not None else None
        record = rollout.record if rollout is not None else None
        if source is None or rollout is None or record is None or not record.decided:
            return
        if source.order_id == record.order_id and source.decided:
            rollout.confirmed = True
            self._announce_confirmed(rollout, record)

    def _announce_confirmed(self, rollout: _Rollout, record: RolloutRecord) -> None:
        """Tell the other nodes that the operator's status shows a decision."""
        revision = min(record.revision + 1, MAX_NUMBER)
        confirmed = evolve(record, reported=True, confirmed=True, revision=revision)
        self._apply_record(rollout, confirmed)
        self._broadcast_record(confirmed)

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
        return None if record is not None and record.decided else rollout.order

    def elapsed_s(self, service: str) -> float:
        """Return the time since a service's order, 0 without one."""
        rollout = self._rollouts.get(service)
        return rollout.elapsed_s(self._clock.monotonic()) if rollout is not None else 0.0

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
        if record.supersedes(self._newest.get(record.service)):
            self._newest[record.service] = record

    def on_tick(self, *, names: Sequence[str], silence_s: float = 0.0) -> None:
        """Lead the rollouts that this node holds and take over those whose holder has timed out.

        Args:
            names: Names of all known nodes; they are ranked for the takeover.
            silence_s: Time since any other node was heard.
        """
        now = self._clock.monotonic()
        for rollout in self._rollouts.values():
            record = rollout.record
            if record is not None and record.decided:
                self._report_status(rollout, record, now, names)
                continue
            isolated = silence_s > ISOLATED_AFTER_S and self._has_rivals(record, names)
            rollout.alone = rollout.alone and isolated
            yield_s = ISOLATED_DELAY_S if isolated and not rollout.alone else 0.0
            if record is None:
                self._begin(rollout, now, names, yield_s)
            elif record.holder == self._own_name:
                self._lead(rollout, record, now, yield_s)
            else:
                self._take_over(rollout, record, now, yield_s + self._rank_delay_s(rollout, names))

    def _has_rivals(self, record: RolloutRecord | None, names: Sequence[str]) -> bool:
        """Return whether other nodes may take a rollout over from its holder."""
        holder = record.holder if record is not None else ""
        return any(name not in (self._own_name, holder) for name in names)

    def _apply_record(self, rollout: _Rollout, record: RolloutRecord) -> None:
        """Apply a record if it belongs to the current order and supersedes the known one."""
        known = rollout.record
        if record.order_id not in rollout.order_ids:
            return
        record = evolve(record, order_id=rollout.order.order_id)
        if not record.supersedes(known):
            return
        now = self._clock.monotonic()
        rollout.last_record_at = now
        rollout.propose_at = 0.0
        rollout.confirmed = rollout.confirmed or record.confirmed
        rollout.started = min(rollout.started, now - record.elapsed_ms / 1000)
        if known is None or known.holder != record.holder:
            rollout.held_since = now
        if known is None or (known.share, known.phase) != (record.share, record.phase):
            rollout.stepped_at = now
            rollout.evidence.begin_step()
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

    def _begin(self, rollout: _Rollout, now: float, names: Sequence[str], yield_s: float) -> None:
        wait_s = self._rank_delay_s(rollout, names) + yield_s
        if self._may_be_written_again(rollout.order):
            wait_s += REWRITE_S
        if rollout.elapsed_s(now) < wait_s:
            return
        rollout.alone = yield_s > 0.0
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
            revision=FIRST_REVISION,
            reason="the rollout was ordered",
            withdrawn=rollout.skipped,
        )
        self._propose(rollout, first, now)

    def _may_be_written_again(self, order: RolloutOrder) -> bool:
        """Return whether an order may be one from before a return of the store.

        A node that started after the return cannot know; the others write its record again.
        """
        known = self._newest.get(order.service)
        return (
            known is not None
            and known.target_version == order.target_version
            and era_of(known.order_id) < era_of(order.order_id)
        )

    def _take_over(
        self, rollout: _Rollout, record: RolloutRecord, now: float, yield_s: float
    ) -> None:
        """Lead a rollout whose holder has been silent.

        The write has no effect if the holder has stored a later record meanwhile, which this node
        then follows.
        """
        if now - rollout.last_record_at <= TAKEOVER_TIMEOUT_S + yield_s:
            return
        taken = evolve(record, revision=next_term(record.revision), reason="the holder is silent")
        self._propose(rollout, taken, now)

    def _lead(self, rollout: _Rollout, record: RolloutRecord, now: float, yield_s: float) -> None:
        """Step, decide or store the record again.

        Args:
            rollout: The rollout.
            record: Its record, which this node has written.
            now: The time.
            yield_s: How long this node lets others take over, 0 if it hears other nodes.
        """
        silent_s = now - rollout.last_record_at
        renewed = evolve(record, revision=record.revision + 1)
        if silent_s > TAKEOVER_TIMEOUT_S or yield_s:
            # Another node may lead by now; only the store knows.
            if not yield_s or silent_s > TAKEOVER_TIMEOUT_S + yield_s:
                rollout.alone = yield_s > 0.0
                self._propose(rollout, renewed, now)
            return
        if not rollout.status_submitted:
            rollout.status_submitted = True
            self._write_status(record.service)
        if now - rollout.held_since < EVIDENCE_SETTLE_S:
            return  # After a takeover the evidence of a part of the nodes would mislead.
        fault = rollout.evidence.fault(record.target_version)
        if fault:
            self._decide(rollout, record, Phase.ROLLED_BACK, fault, now)
            return
        elapsed_share = rollout.elapsed_s(now) / max(rollout.order.duration_s, 0.001)
        next_step = RAMP[record.step + 1] if record.step + 1 < len(RAMP) else None
        enough_calls = rollout.evidence.calls_since_step(record.target_version) >= MIN_CALLS
        if next_step is None and elapsed_share >= COMPLETE_AT and enough_calls:
            self._decide(rollout, record, Phase.COMPLETED, "no fault was seen", now)
        elif elapsed_share >= TIMEOUT_AT:
            self._decide(rollout, record, Phase.ROLLED_BACK, "the time is up", now)
        elif next_step is not None and elapsed_share >= next_step.at and enough_calls:
            stepped = evolve(renewed, share=next_step.share, step=record.step + 1)
            self._propose(rollout, evolve(stepped, reason="the step before is clear"), now)
        elif silent_s >= HEARTBEAT_INTERVAL_S:
            self._propose(rollout, renewed, now)

    def _decide(
        self, rollout: _Rollout, record: RolloutRecord, phase: Phase, reason: str, now: float
    ) -> None:
        if rollout.judged != (record.revision, phase):
            rollout.judged = (record.revision, phase)
            self._events.write(
                Event.VERSION_JUDGED,
                service=record.service,
                target_version=record.target_version,
                phase=phase,
                reason=reason,
                evidence=rollout.evidence.summary(),
            )
        share = 1.0 if phase is Phase.COMPLETED else 0.0
        decision = evolve(
            record, revision=next_term(record.revision), phase=phase, share=share, reason=reason
        )
        self._propose(rollout, decision, now)

    def _propose(self, rollout: _Rollout, record: RolloutRecord, now: float) -> None:
        """Write a record with this node as holder, unless it waits for the store's answer."""
        if now < rollout.propose_at:
            return
        rollout.propose_at = now + WRITE_TIMEOUT_S
        proposed = evolve(
            record,
            holder=self._own_name,
            revision=min(record.revision, MAX_NUMBER),
            elapsed_ms=int(rollout.elapsed_s(now) * 1000),
        )
        self._write_record(Proposal(proposed, rollout.record, rollout.order_ids))

    def _report_status(
        self, rollout: _Rollout, record: RolloutRecord, now: float, names: Sequence[str]
    ) -> None:
        """Write the final status until the store has taken it.

        The holder does so once all nodes have had time to read the decision, any other node if it
        does not hear that the holder has done it.
        """
        if rollout.confirmed or now < rollout.status_at:
            return
        delay = SETTLE_S
        if record.holder != self._own_name:
            delay += TAKEOVER_TIMEOUT_S + self._rank_delay_s(rollout, names)
        if now - rollout.stepped_at < delay:
            return
        rollout.status_at = now + STATUS_RETRY_S
        # Has no effect unless the store has lost the decision.
        self._write_record(Proposal(record, record, rollout.order_ids))
        self._write_status(record.service)
