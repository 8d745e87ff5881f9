"""Decides the shares of all open moves on one node."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from ..calls.record import CallRecord
from ..calls.view import RouteShare
from ..clock import Clock
from ..log.fold import FoldState, mark_key
from ..log.records import Marked
from ..membership.member import Member
from ..telemetry.events import Event
from ..transport.send import Send
from .counting import EvidenceCounter
from .dependencies import MoveDependencies
from .due_records import DueRecords
from .evaluator import EVALUATORS_PER_ZONE
from .evidence import OTHER_ROUTES, Counts, EvidenceCell, EvidenceStore, Side, Source, bucket_of
from .messages import CellCounts, EvidenceUpdate, MoveEvidence
from .move_facts import MoveFacts
from .open_moves import OpenMoves
from .policy import Policy, policy_or_safest
from .status import MoveNotice, MoveStatus
from .zone import ZoneMoves

OTHER_ROUTE_NODES = 16  # nodes of a zone that tell about routes without a move
EVALUATOR_MESSAGES_PER_S = 30.0  # received by a judging node; about 6 KB/s
_SIDES = frozenset(int(side) for side in Side)


class MoveCore:
    """Counts, exchanges and judges evidence, and decides shares, marks and outcomes.

    Args:
        own_name: Name of this node.
        boot_id: Id of this process.
        availability_zone: Zone of this node.
        clock: Source of time.
        around: Other parts of the node.
        policy_of: Returns the policy of a profile.
    """

    MESSAGES: tuple[type[Any], ...] = (EvidenceUpdate,)

    def __init__(
        self,
        *,
        own_name: str,
        boot_id: str,
        availability_zone: str,
        clock: Clock,
        dependencies: MoveDependencies,
        policy_of: Callable[[str], Policy] = policy_or_safest,
    ) -> None:
        self._own_name = own_name
        self._zone = availability_zone
        self._clock = clock
        self._dependencies = dependencies
        self._policy_of = policy_of
        self._state = FoldState()
        self._store = EvidenceStore()
        self._move_facts = MoveFacts(dependencies.facts, clock)
        self._counter = EvidenceCounter(
            own_name=own_name, boot_id=boot_id, clock=clock, store=self._store
        )
        self._open_moves = OpenMoves(
            availability_zone=availability_zone,
            clock=clock,
            move_facts=self._move_facts,
            dependencies=dependencies,
        )
        self._zone_moves = ZoneMoves(
            availability_zone=availability_zone,
            clock=clock,
            store=self._store,
            move_facts=self._move_facts,
            policy_of=policy_of,
            zones=dependencies.zones,
        )
        self._due = DueRecords(
            own_name=own_name,
            availability_zone=availability_zone,
            clock=clock,
            move_facts=self._move_facts,
            dependencies=dependencies,
            policy_of=policy_of,
        )
        self._next_send_s = 0.0
        self._reported_marks: set[str] = set()
        self._notices: list[MoveNotice] = []

    def on_state(self, state: FoldState) -> None:
        """Take over the folded log; called after each accepted record."""
        self._state = state
        self._open_moves.config = state.config
        moves = state.config.moves.values()
        self._counter.set_moves({move.route: move for move in moves})
        kept = {move.move_id for move in moves}
        if kept:
            kept.add(OTHER_ROUTES)
        self._store.retain_moves(frozenset(kept))
        self._move_facts.on_state(state)

    def observe(self, record: CallRecord, number: int = 1) -> None:
        """Count ``number`` calls with the same record."""
        self._counter.observe(record, number)

    def on_message(self, sender: str, message: Any) -> list[Send]:
        """Merge the cells of another node of the zone."""
        if isinstance(message, EvidenceUpdate) and message.node != self._own_name:
            for evidence in message.moves:
                self._merge(message, evidence)
        return []

    def on_tick(self) -> list[Send]:
        """Tell about own calls, and judge when this node is one of the zone's judging nodes."""
        self._move_facts.refresh()
        self._report_new_marks()
        self._store.fold(now_bucket=bucket_of(self._clock.wall_ms()))
        moves = self._state.config.moves.values()
        if not moves:
            return []
        for move in moves:
            reference = self._move_facts.reference_of(move, self._zone)
            if reference is not None:
                self._counter.set_reference(move.move_id, reference)
        ranked = self._dependencies.ranked()
        interval_s = self._interval_s(ranked)
        sends = self._send_evidence(ranked, interval_s)
        if self._own_name in (member.name for member in ranked[:EVALUATORS_PER_ZONE]):
            self._evaluate(interval_s)
        return sends

    def shares(self) -> dict[str, RouteShare]:
        """Return the division of calls of each route with an open move."""
        return {
            move.route: RouteShare(
                move.move_id, move.from_version, move.to_version, self._open_moves.share(move)
            )
            for move in self._state.config.moves.values()
        }

    def marks(self) -> tuple[Marked, ...]:
        """Return all marks that this node knows."""
        return self._move_facts.marks

    def due_records(self) -> list[Any]:
        """Return the record bodies to append now; each is repeated until it is folded."""
        return self._due.collect(self._state)

    def statuses(self) -> tuple[MoveStatus, ...]:
        """Return the open moves for operators."""
        return tuple(self._open_moves.status(move) for move in self._state.config.moves.values())

    def stale_facts(self) -> list[str]:
        """Return the keys of facts about moves that can be removed."""
        return self._move_facts.stale_facts()

    def take_notices(self) -> list[MoveNotice]:
        """Return what is to be logged since the last call."""
        notices = [*self._notices, *self._zone_moves.take_notices()]
        self._notices = []
        return notices

    def _interval_s(self, ranked: Sequence[Member]) -> float:
        """Return the time between two messages, longer when many nodes of the zone send them."""
        config = self._state.config
        moving = {config.routes[move.route].service for move in config.moves.values()}
        telling = sum(member.service in moving for member in ranked)
        policies = (self._policy_of(move.profile) for move in config.moves.values())
        return max(
            min(policy.evidence_interval_s for policy in policies),
            telling / EVALUATOR_MESSAGES_PER_S,
        )

    def _evaluate(self, interval_s: float) -> None:
        for move in self._state.config.moves.values():
            if self._move_facts.reference_of(move, self._zone) is not None:
                continue
            calls, latency_us = self._counter.reference_estimate(move.move_id)
            estimate = MoveEvidence(move.move_id, (), calls, latency_us)
            self._zone_moves.add_estimate(self._own_name, estimate)
        self._zone_moves.advance(self._state.config, interval_s=interval_s)

    def _send_evidence(self, ranked: Sequence[Member], interval_s: float) -> list[Send]:
        now = self._clock.monotonic()
        if now < self._next_send_s:
            return []
        self._next_send_s = now + interval_s
        others = (member.name for member in ranked[:OTHER_ROUTE_NODES])
        update = self._counter.update(with_other=self._own_name in others)
        if update is None:
            return []
        evaluators = ranked[:EVALUATORS_PER_ZONE]
        return [Send(m.address, update) for m in evaluators if m.name != self._own_name]

    def _merge(self, update: EvidenceUpdate, evidence: MoveEvidence) -> None:
        move = self._state.config.moves.get(evidence.move)
        if move is None and evidence.move != OTHER_ROUTES:
            return
        route = move.route if move is not None else ""
        cells = (
            _cell(update, evidence.move, route, counts)
            for counts in evidence.cells
            if counts.side in _SIDES
        )
        self._store.merge(cells, now_bucket=bucket_of(self._clock.wall_ms()))
        self._zone_moves.add_estimate(update.node, evidence)

    def _report_new_marks(self) -> None:
        for mark in self._move_facts.marks:
            key = mark_key(mark.service, mark.service_version, mark.epoch)
            if key not in self._reported_marks:
                self._reported_marks.add(key)
                self._notices.append(MoveNotice(Event.MOVE_TAKEN_BACK, key, mark.reason))


def _cell(update: EvidenceUpdate, move: str, route: str, counts: CellCounts) -> EvidenceCell:
    return EvidenceCell(
        Source(update.node, update.boot, move, route, Side(counts.side)),
        counts.bucket,
        Counts(counts.calls, counts.failures, counts.slow, counts.refused, counts.cold),
    )
