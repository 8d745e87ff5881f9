"""Judges all open moves for an availability zone; run by its two judging nodes."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

import attrs
from attrs import frozen

from ..clock import Clock
from ..config import ConfigSet, Move, Step
from ..log.records import Marked
from ..telemetry.events import Event
from .board import MoveBoard
from .evidence import BUCKET_MS, EvidenceStore, bucket_of
from .facts import Phase, SlowReference, ZoneProgress, move_tag
from .judge import RouteJudge, VersionJudge
from .messages import MoveEvidence
from .policy import Policy, Shortage
from .status import MoveNotice

SETTLE_MS = 500  # delay of a message and difference of the clocks within a zone
COUNT_SETTLE_S = 3.0  # calls to a marked version have ended and are counted after this
REFERENCE_MIN_CALLS = 50
REFERENCE_LEAD_BUCKETS = 2  # all nodes of the zone know the reference by then
SHORTAGE_LEAD_MS = 2_000  # the last steps are taken one by one and must end by the deadline
SHORTAGE_MIN_JUDGED_MS = 10_000  # a node that has just begun to judge has no evidence yet
FOLLOW_PART = 0.25  # part of the way to the next step after which a zone follows another one

VersionKey = tuple[str, str, int]


@frozen
class _Turn:
    """What one move is advanced with."""

    move: Move
    present: ZoneProgress
    judge: VersionJudge
    route: RouteJudge
    policy: Policy
    reports: Mapping[str, ZoneProgress]


class ZoneMoves:
    """Advances, marks and watches the moves of the own zone.

    Args:
        availability_zone: The zone.
        clock: Source of time.
        store: Merged evidence of the zone.
        board: Facts about moves.
        policy_of: Returns the policy of a profile.
        zones: Returns all zones of the mesh.
    """

    def __init__(
        self,
        *,
        availability_zone: str,
        clock: Clock,
        store: EvidenceStore,
        board: MoveBoard,
        policy_of: Callable[[str], Policy],
        zones: Callable[[], Sequence[str]],
    ) -> None:
        self._zone = availability_zone
        self._clock = clock
        self._store = store
        self._board = board
        self._policy_of = policy_of
        self._zones = zones
        self._judges: dict[VersionKey, VersionJudge] = {}
        self._estimates: dict[str, dict[str, MoveEvidence]] = {}
        self._notices: list[MoveNotice] = []

    def take_notices(self) -> list[MoveNotice]:
        """Return what has happened since the last call."""
        notices, self._notices = self._notices, []
        return notices

    def take_estimate(self, node: str, evidence: MoveEvidence) -> None:
        """Keep a node's estimate of the old version's latency."""
        if evidence.reference_calls > 0:
            self._estimates.setdefault(evidence.move, {})[node] = evidence

    def advance(self, config: ConfigSet, *, interval_s: float) -> None:
        """Take in closed buckets and act on what they show.

        Args:
            config: Configuration in force.
            interval_s: Time between two evidence messages of a node.
        """
        settle_ms = SETTLE_MS + int(interval_s * 1000)
        groups = self._groups(config)
        self._judges = {key: judge for key, judge in self._judges.items() if key in groups}
        self._estimates = {m: e for m, e in self._estimates.items() if m in config.moves}
        for key, moves in groups.items():
            self._advance_version(key, moves, settle_ms)

    def _advance_version(self, key: VersionKey, moves: list[Move], settle_ms: int) -> None:
        now_ms = self._clock.wall_ms()
        policy = self._policy_of(moves[0].profile)
        judge = self._judges.get(key)
        if judge is None:
            judge = self._judges[key] = VersionJudge(
                moves,
                policy=policy,
                zones=len(self._zones()),
                first_bucket=bucket_of(now_ms),
            )
        judge.advance(self._store, through=bucket_of(now_ms - settle_ms) - 1)
        service = key[0]
        if self._board.mark_of(moves[0], service) is None:
            self._convict(judge, key, now_ms)
        for move in moves:
            self._publish_reference(move, policy)
            reports = self._board.progress_of(move)
            present = reports.get(self._zone) or self._first_report(move)
            route = judge.routes[move.move_id]
            self._advance_move(_Turn(move, present, judge, route, policy, reports), service)

    def _convict(self, judge: VersionJudge, key: VersionKey, now_ms: int) -> None:
        found = judge.conviction()
        if found is None:
            return
        service, service_version, epoch = key
        self._board.put_mark(
            Marked(
                service=service,
                service_version=service_version,
                epoch=epoch,
                reason=found.reason,
                route=found.route,
                calls=found.calls,
                marked_ms=now_ms,
                availability_zone=self._zone,
            )
        )

    def _advance_move(self, turn: _Turn, service: str) -> None:
        present = turn.present
        if turn.route.step != present.cleared:
            begin_ms = max(present.at_ms, _step(turn.move, present.cleared).at_ms)
            turn.route.begin_step(present.cleared, from_bucket=bucket_of(begin_ms) + 1)
        known = self._board.mark_of(turn.move, service)
        if known is not None:
            if self._clock.monotonic() - known.since_s >= COUNT_SETTLE_S:
                self._publish(turn, phase=Phase.TAKEN_BACK)
        elif present.phase == Phase.RUNNING:
            self._run(turn)
        elif present.phase == Phase.FULL:
            watched_ms = self._clock.wall_ms() - present.at_ms
            if watched_ms >= turn.policy.watch_ms:
                self._publish(turn, phase=Phase.WATCHED, at_ms=present.at_ms)

    def _run(self, turn: _Turn) -> None:
        cleared = turn.present.cleared
        last = _steps_to_clear(turn.move)
        begun = self._clock.wall_ms() >= _step(turn.move, cleared).at_ms
        if cleared == last:
            if begun:
                self._publish(turn, phase=Phase.FULL)
            return
        has_shortage = self._has_shortage(turn)
        finishes = (
            turn.policy.shortage is Shortage.FINISH
            and turn.judge.is_clean()
            and not turn.route.refuses()
        )
        if has_shortage and finishes:
            self._publish(turn, cleared=last)
        elif begun and (turn.judge.clears(turn.move.move_id) or self._follows(turn)):
            self._publish(turn, cleared=cleared + 1)
        elif has_shortage and not turn.present.short:
            self._publish(turn, short=True)

    def _follows(self, turn: _Turn) -> bool:
        """Whether this zone has too few calls to judge and another zone has cleared the step."""
        cleared = turn.present.cleared
        begin, end = (_step(turn.move, index).at_ms for index in (cleared, cleared + 1))
        wait_over = self._clock.wall_ms() >= end + FOLLOW_PART * (end - begin)
        few = turn.route.step_calls < turn.policy.min_calls
        cleared_elsewhere = any(report.cleared > cleared for report in turn.reports.values())
        sound = not turn.judge.suspicious() and not turn.route.refuses()
        return wait_over and few and cleared_elsewhere and sound

    def _has_shortage(self, turn: _Turn) -> bool:
        late = self._clock.wall_ms() >= turn.move.deadline_ms - SHORTAGE_LEAD_MS
        few = turn.route.step_calls < turn.policy.min_calls
        judged = turn.judge.judged_ms >= SHORTAGE_MIN_JUDGED_MS
        return late and few and judged and not turn.judge.suspicious()

    def _publish_reference(self, move: Move, policy: Policy) -> None:
        if self._board.reference_of(move, self._zone) is not None:
            return
        known = self._estimates.get(move.move_id, {}).values()
        if sum(estimate.reference_calls for estimate in known) < REFERENCE_MIN_CALLS:
            return
        ordered = sorted(estimate.reference_us for estimate in known)
        self._board.put_reference(
            SlowReference(
                move_tag(move),
                self._zone,
                int(ordered[len(ordered) // 2] * policy.slow_margin),
                bucket_of(self._clock.wall_ms()) + REFERENCE_LEAD_BUCKETS,
            )
        )

    def _first_report(self, move: Move) -> ZoneProgress:
        return ZoneProgress(
            tag=move_tag(move),
            availability_zone=self._zone,
            phase=Phase.RUNNING,
            cleared=0,
            at_ms=self._clock.wall_ms(),
            calls=0,
        )

    def _publish(
        self,
        turn: _Turn,
        *,
        phase: int | None = None,
        cleared: int | None = None,
        at_ms: int | None = None,
        short: bool = False,
    ) -> None:
        """Publish what has changed; a report of the same order as the present one says nothing."""
        present = turn.present
        progress = attrs.evolve(
            present,
            phase=present.phase if phase is None else phase,
            cleared=present.cleared if cleared is None else cleared,
            at_ms=self._clock.wall_ms() if at_ms is None else at_ms,
            calls=max(turn.route.new.calls + turn.route.new.cold, present.calls),
            short=short,
        )
        if progress.order <= present.order:
            return
        self._board.put_progress(progress)
        if progress.cleared != present.cleared:
            text = f"zone {self._zone} has cleared {progress.cleared} steps"
            self._notices.append(MoveNotice(Event.MOVE_STEP, turn.move.move_id, text))

    def _groups(self, config: ConfigSet) -> dict[VersionKey, list[Move]]:
        """Return the moves of each new version of which one has started or is about to."""
        groups: dict[VersionKey, list[Move]] = {}
        for move in config.moves.values():
            groups.setdefault(self._key(move, config), []).append(move)
        soon_ms = self._clock.wall_ms() + BUCKET_MS
        return {
            key: moves
            for key, moves in groups.items()
            if any(move.start_ms <= soon_ms for move in moves)
        }

    @staticmethod
    def _key(move: Move, config: ConfigSet) -> VersionKey:
        return config.routes[move.route].service, move.to_version, move.epoch


def _steps_to_clear(move: Move) -> int:
    """Return the number of cleared steps that gives the new version all calls.

    The last step is watched, not cleared. A ramp of one step still begins with the unproven
    share.
    """
    return max(len(move.steps) - 1, 1)


def _step(move: Move, index: int) -> Step:
    return move.steps[min(index, len(move.steps) - 1)]
