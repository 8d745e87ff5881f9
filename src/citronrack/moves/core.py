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
from .around import MoveSurroundings
from .board import MoveBoard
from .counting import EvidenceCounter
from .due import DueRecords
from .evidence import OTHER_ROUTES, Counts, EvidenceCell, EvidenceStore, Side, Source, bucket_of
from .judge import JUDGING_NODES
from .messages import CellCounts, EvidenceUpdate, MoveEvidence
from .policy import Policy, policy_or_safest
from .standing import MoveStanding
from .status import MoveNotice, MoveStatus
from .zone import ZoneMoves

OTHER_ROUTE_NODES = 16  # nodes of a zone that tell about routes without a move
JUDGE_MESSAGES_PER_S = 30.0  # received by a judging node; about 6 KB/s
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
        around: MoveSurroundings,
        policy_of: Callable[[str], Policy] = policy_or_safest,
    ) -> None:
        self._own_name = own_name
        self._zone = availability_zone
        self._clock = clock
        self._around = around
        self._policy_of = policy_of
        self._state = FoldState()
        self._store = EvidenceStore()
        self._board = MoveBoard(around.facts, clock)
        self._counter = EvidenceCounter(
            own_name=own_name, boot_id=boot_id, clock=clock, store=self._store
        )
        self._standing = MoveStanding(
            availability_zone=availability_zone, clock=clock, board=self._board, around=around
        )
        self._zone_moves = ZoneMoves(
            availability_zone=availability_zone,
            clock=clock,
            store=self._store,
            board=self._board,
            policy_of=policy_of,
            zones=around.zones,
        )
        self._due = DueRecords(
            own_name=own_name,
            availability_zone=availability_zone,
            clock=clock,
            board=self._board,
            around=around,
            policy_of=policy_of,
        )
        self._next_send_s = 0.0
        self._noticed_marks: set[str] = set()
        self._notices: list[MoveNotice] = []

    def on_state(self, state: FoldState) -> None:
        """Take over the folded log; called after each accepted record."""
        self._state = state
        self._standing.config = state.config
        moves = state.config.moves.values()
        self._counter.set_moves({move.route: move for move in moves})
        kept = {move.move_id for move in moves}
        if kept:
            kept.add(OTHER_ROUTES)
        self._store.drop_moves(frozenset(kept))
        self._board.on_state(state)

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
        self._board.refresh()
        self._note_marks()
        self._store.fold(now_bucket=bucket_of(self._clock.wall_ms()))
        moves = self._state.config.moves.values()
        if not moves:
            return []
        for move in moves:
            reference = self._board.reference_of(move, self._zone)
            if reference is not None:
                self._counter.set_reference(move.move_id, reference)
        ranked = self._around.ranked()
        interval_s = self._interval_s(ranked)
        sends = self._tell(ranked, interval_s)
        if self._own_name in (member.name for member in ranked[:JUDGING_NODES]):
            self._judge(interval_s)
        return sends

    def shares(self) -> dict[str, RouteShare]:
        """Return the division of calls of each route with an open move."""
        return {
            move.route: RouteShare(
                move.move_id, move.from_version, move.to_version, self._standing.share(move)
            )
            for move in self._state.config.moves.values()
        }

    def marks(self) -> tuple[Marked, ...]:
        """Return all marks that this node knows."""
        return self._board.marks

    def due_records(self) -> list[Any]:
        """Return the record bodies to append now; each is repeated until it is folded."""
        return self._due.collect(self._state)

    def statuses(self) -> tuple[MoveStatus, ...]:
        """Return the open moves for operators."""
        return tuple(self._standing.status(move) for move in self._state.config.moves.values())

    def stale_facts(self) -> list[str]:
        """Return the keys of facts about moves that can be removed."""
        return self._board.stale_facts()

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
            telling / JUDGE_MESSAGES_PER_S,
        )

    def _judge(self, interval_s: float) -> None:
        for move in self._state.config.moves.values():
            if self._board.reference_of(move, self._zone) is not None:
                continue
            calls, latency_us = self._counter.reference_estimate(move.move_id)
            estimate = MoveEvidence(move.move_id, (), calls, latency_us)
            self._zone_moves.take_estimate(self._own_name, estimate)
        self._zone_moves.advance(self._state.config, interval_s=interval_s)

    def _tell(self, ranked: Sequence[Member], interval_s: float) -> list[Send]:
        now = self._clock.monotonic()
        if now < self._next_send_s:
            return []
        self._next_send_s = now + interval_s
        others = (member.name for member in ranked[:OTHER_ROUTE_NODES])
        update = self._counter.update(with_other=self._own_name in others)
        if update is None:
            return []
        judges = ranked[:JUDGING_NODES]
        return [Send(m.address, update) for m in judges if m.name != self._own_name]

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
        self._zone_moves.take_estimate(update.node, evidence)

    def _note_marks(self) -> None:
        for mark in self._board.marks:
            key = mark_key(mark.service, mark.service_version, mark.epoch)
            if key not in self._noticed_marks:
                self._noticed_marks.add(key)
                self._notices.append(MoveNotice(Event.MOVE_TAKEN_BACK, key, mark.reason))


def _cell(update: EvidenceUpdate, move: str, route: str, counts: CellCounts) -> EvidenceCell:
    return EvidenceCell(
        Source(update.node, update.boot, move, route, Side(counts.side)),
        counts.bucket,
        Counts(counts.calls, counts.failures, counts.slow, counts.refused, counts.cold),
    )
