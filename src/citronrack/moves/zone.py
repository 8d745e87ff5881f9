"""Judges all open moves for an availability zone; run by its two judging nodes."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

import attrs
from attrs import frozen

from ..clock import Clock
from ..config import ConfigSet, Move, Step
from ..log.records import Marked
from ..telemetry.events import Event
from .evaluator import RouteEvaluator, VersionEvaluator
from .evidence import BUCKET_MS, EvidenceStore, bucket_of
from .facts import Phase, SlowReference, ZoneProgress, move_tag
from .messages import MoveEvidence
from .move_facts import MoveFacts
from .policy import InsufficientEvidenceAction, Policy
from .status import MoveNotice

SETTLE_MS = 500  # delay of a message and difference of the clocks within a zone
COUNT_SETTLE_S = 3.0  # calls to a marked version have ended and are counted after this
REFERENCE_MIN_CALLS = 50
REFERENCE_LEAD_BUCKETS = 2  # all nodes of the zone know the reference by then
INSUFFICIENT_EVIDENCE_LEAD_MS = (
    2_000  # the last steps are taken one by one and must end by the deadline
)
MIN_EVALUATED_MS = 10_000  # a node that has just begun to judge has no evidence yet
FOLLOW_FRACTION = 0.25  # part of the way to the next step after which a zone follows another one

VersionKey = tuple[str, str, int]


@frozen
class _MoveContext:
    """What one move is advanced with."""

    move: Move
    present: ZoneProgress
    evaluator: VersionEvaluator
    route: RouteEvaluator
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
        move_facts: MoveFacts,
        policy_of: Callable[[str], Policy],
        zones: Callable[[], Sequence[str]],
    ) -> None:
        self._zone = availability_zone
        self._clock = clock
        self._store = store
        self._move_facts = move_facts
        self._policy_of = policy_of
        self._zones = zones
        self._evaluators: dict[VersionKey, VersionEvaluator] = {}
        self._estimates: dict[str, dict[str, MoveEvidence]] = {}
        self._notices: list[MoveNotice] = []

    def take_notices(self) -> list[MoveNotice]:
        """Return what has happened since the last call."""
        notices, self._notices = self._notices, []
        return notices

    def add_estimate(self, node: str, evidence: MoveEvidence) -> None:
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
        self._evaluators = {
            key: evaluator for key, evaluator in self._evaluators.items() if key in groups
        }
        self._estimates = {m: e for m, e in self._estimates.items() if m in config.moves}
        for key, moves in groups.items():
            self._advance_version(key, moves, settle_ms)

    def _advance_version(self, key: VersionKey, moves: list[Move], settle_ms: int) -> None:
        now_ms = self._clock.wall_ms()
        policy = self._policy_of(moves[0].profile)
        evaluator = self._evaluators.get(key)
        if evaluator is None:
            evaluator = self._evaluators[key] = VersionEvaluator(
                moves,
                policy=policy,
                zones=len(self._zones()),
                first_bucket=bucket_of(now_ms),
            )
        evaluator.advance(self._store, through=bucket_of(now_ms - settle_ms) - 1)
        service = key[0]
        if self._move_facts.mark_of(moves[0], service) is None:
            self._mark_if_bad(evaluator, key, now_ms)
        for move in moves:
            self._publish_reference(move, policy)
            reports = self._move_facts.progress_of(move)
            present = reports.get(self._zone) or self._first_report(move)
            route = evaluator.routes[move.move_id]
            self._advance_move(
                _MoveContext(move, present, evaluator, route, policy, reports), service
            )

    def _mark_if_bad(self, evaluator: VersionEvaluator, key: VersionKey, now_ms: int) -> None:
        found = evaluator.regression()
        if found is None:
            return
        service, service_version, epoch = key
        self._move_facts.put_mark(
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

    def _advance_move(self, context: _MoveContext, service: str) -> None:
        present = context.present
        if context.route.step != present.cleared:
            begin_ms = max(present.at_ms, _step(context.move, present.cleared).at_ms)
            context.route.begin_step(present.cleared, from_bucket=bucket_of(begin_ms) + 1)
        known = self._move_facts.mark_of(context.move, service)
        if known is not None:
            if self._clock.monotonic() - known.since_s >= COUNT_SETTLE_S:
                self._publish(context, phase=Phase.TAKEN_BACK)
        elif present.phase == Phase.RUNNING:
            self._advance_ramp(context)
        elif present.phase == Phase.FULL:
            watched_ms = self._clock.wall_ms() - present.at_ms
            if watched_ms >= context.policy.watch_ms:
                self._publish(context, phase=Phase.WATCHED, at_ms=present.at_ms)

    def _advance_ramp(self, context: _MoveContext) -> None:
        cleared = context.present.cleared
        last = _steps_to_clear(context.move)
        begun = self._clock.wall_ms() >= _step(context.move, cleared).at_ms
        if cleared == last:
            if begun:
                self._publish(context, phase=Phase.FULL)
            return
        has_shortage = self._lacks_evidence(context)
        finishes = (
            context.policy.insufficient_evidence_action is InsufficientEvidenceAction.FINISH
            and context.evaluator.is_clean()
            and not context.route.refuses_too_many()
        )
        if has_shortage and finishes:
            self._publish(context, cleared=last)
        elif begun and (
            context.evaluator.clears_step(context.move.move_id) or self._follows_other_zone(context)
        ):
            self._publish(context, cleared=cleared + 1)
        elif has_shortage and not context.present.lacks_evidence:
            self._publish(context, lacks_evidence=True)

    def _follows_other_zone(self, context: _MoveContext) -> bool:
        """Whether this zone has too few calls to judge and another zone has cleared the step."""
        cleared = context.present.cleared
        begin, end = (_step(context.move, index).at_ms for index in (cleared, cleared + 1))
        wait_over = self._clock.wall_ms() >= end + FOLLOW_FRACTION * (end - begin)
        few = context.route.step_calls < context.policy.min_calls
        cleared_elsewhere = any(report.cleared > cleared for report in context.reports.values())
        sound = not context.evaluator.is_suspicious() and not context.route.refuses_too_many()
        return wait_over and few and cleared_elsewhere and sound

    def _lacks_evidence(self, context: _MoveContext) -> bool:
        late = self._clock.wall_ms() >= context.move.deadline_ms - INSUFFICIENT_EVIDENCE_LEAD_MS
        few = context.route.step_calls < context.policy.min_calls
        judged = context.evaluator.evaluated_ms >= MIN_EVALUATED_MS
        return late and few and judged and not context.evaluator.is_suspicious()

    def _publish_reference(self, move: Move, policy: Policy) -> None:
        if self._move_facts.reference_of(move, self._zone) is not None:
            return
        known = self._estimates.get(move.move_id, {}).values()
        if sum(estimate.reference_calls for estimate in known) < REFERENCE_MIN_CALLS:
            return
        ordered = sorted(estimate.reference_us for estimate in known)
        self._move_facts.put_reference(
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
        context: _MoveContext,
        *,
        phase: int | None = None,
        cleared: int | None = None,
        at_ms: int | None = None,
        lacks_evidence: bool = False,
    ) -> None:
        """Publish what has changed; a report of the same order as the present one says nothing."""
        present = context.present
        progress = attrs.evolve(
            present,
            phase=present.phase if phase is None else phase,
            cleared=present.cleared if cleared is None else cleared,
            at_ms=self._clock.wall_ms() if at_ms is None else at_ms,
            calls=max(context.route.new.calls + context.route.new.cold, present.calls),
            lacks_evidence=lacks_evidence,
        )
        if progress.order <= present.order:
            return
        self._move_facts.put_progress(progress)
        if progress.cleared != present.cleared:
            text = f"zone {self._zone} has cleared {progress.cleared} steps"
            self._notices.append(MoveNotice(Event.MOVE_STEP, context.move.move_id, text))

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
