"""Decides how a move ended from what the zones have reported."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from attrs import frozen

from ..config import Move
from ..log.records import Marked, MoveOutcome, MoveResult
from .facts import Phase, ZoneProgress
from .policy import Policy
from .share import in_time

OUTCOME_GRACE_MS = 10_000  # one log append and one exchange between zones


@frozen
class OutcomeInputs:
    """What the holder of the duty knows about a move.

    Attributes:
        move: The move.
        policy: How it is judged.
        zones: All zones of the mesh.
        unheard: Zones from which nothing is heard at present.
        progress: Last report by zone.
        mark: Mark of the new version, None when there is none.
        mark_age_ms: Time for which the holder has known the mark.
        now_ms: Wall time.
        old_is_gone: Whether it is known that the old version has no target; the move then stays
            open, because its end would send all calls to that version.
    """

    move: Move
    policy: Policy
    zones: Sequence[str]
    unreachable_zones: frozenset[str]
    progress: Mapping[str, ZoneProgress]
    mark: Marked | None
    mark_age_ms: int
    now_ms: int
    old_is_gone: bool = False


class OutcomeDecider:
    """The result of a move under a term of the duty ``outcomes``.

    Args:
        inputs: What the holder knows.
        duty_term: Term of the holder's lease.
    """

    def __init__(self, inputs: OutcomeInputs, *, duty_term: int) -> None:
        self._inputs = inputs
        self._term = duty_term

    def decide(self) -> MoveOutcome | None:
        """Return the record to write, or None while nothing is decided."""
        inputs = self._inputs
        if inputs.mark is not None:
            return None if inputs.old_is_gone else self._taken_back(inputs.mark)
        if inputs.zones and self._in_phase(Phase.WATCHED) == set(inputs.zones):
            return self._finished()
        if inputs.now_ms < inputs.move.deadline_ms + OUTCOME_GRACE_MS:
            return None
        if self._missing():
            return self._unknown()
        return None if inputs.old_is_gone else self._abandoned()

    def _abandoned(self) -> MoveOutcome | None:
        """End a move that cannot go on, so that it does not stay between two versions."""
        inputs = self._inputs
        if all(self._lacks_evidence(zone) for zone in inputs.zones):
            detail = "too little evidence by the deadline"
            return self._record(MoveResult.TAKEN_BACK, detail, inputs.now_ms)
        move = inputs.move
        extra_ms = max(inputs.policy.watch_ms, move.deadline_ms - move.start_ms)
        held = sorted(set(inputs.zones) - self._in_phase(Phase.FULL))
        if held and inputs.now_ms >= move.deadline_ms + extra_ms:
            detail = "the evidence did not clear the next step in " + ", ".join(held)
            return self._record(MoveResult.TAKEN_BACK, detail, inputs.now_ms)
        return None

    def _taken_back(self, mark: Marked) -> MoveOutcome | None:
        """Wait a short while for the zones' counts of calls; the result itself is certain."""
        inputs = self._inputs
        missing = set(inputs.zones) - self._in_phase(Phase.TAKEN_BACK)
        if missing and inputs.mark_age_ms < OUTCOME_GRACE_MS:
            return None
        where = f"route {mark.route}" if mark.route else "all routes"
        detail = f"{mark.reason} ({where}, zone {mark.availability_zone})"
        return self._record(MoveResult.TAKEN_BACK, detail, mark.marked_ms, missing)

    def _finished(self) -> MoveOutcome:
        inputs = self._inputs
        full_ms = max(inputs.progress[zone].at_ms for zone in inputs.zones)
        kept = in_time(inputs.move, full_ms, tolerance_ms=inputs.policy.skew_tolerance_ms)
        result = MoveResult.FINISHED_IN_TIME if kept else MoveResult.FINISHED_LATE
        return self._record(result, "", full_ms)

    def _unknown(self) -> MoveOutcome:
        missing = self._missing()
        detail = "not heard from: " + ", ".join(sorted(missing))
        return self._record(MoveResult.UNKNOWN, detail, self._inputs.move.deadline_ms, missing)

    def _missing(self) -> set[str]:
        """Return the zones whose part cannot be told."""
        known = self._in_phase(Phase.FULL)
        inputs = self._inputs
        return {
            zone
            for zone in inputs.zones
            if zone not in known
            and (zone in inputs.unreachable_zones or zone not in inputs.progress)
        } | {
            zone
            for zone in known & inputs.unreachable_zones
            if inputs.progress[zone].phase != Phase.WATCHED
        }

    def _in_phase(self, phase: int) -> set[str]:
        zones = set(self._inputs.zones)
        return {z for z, p in self._inputs.progress.items() if z in zones and p.phase >= phase}

    def _lacks_evidence(self, zone: str) -> bool:
        progress = self._inputs.progress.get(zone)
        return progress is not None and progress.lacks_evidence

    def _record(
        self, result: MoveResult, detail: str, ended_ms: int, missing: set[str] | None = None
    ) -> MoveOutcome:
        inputs = self._inputs
        return MoveOutcome(
            duty_term=self._term,
            move_id=inputs.move.move_id,
            epoch=inputs.move.epoch,
            result=result.value,
            detail=detail,
            ended_ms=ended_ms,
            missing_zones=tuple(sorted(missing or ())),
            calls=sum(progress.calls for progress in inputs.progress.values()),
        )
