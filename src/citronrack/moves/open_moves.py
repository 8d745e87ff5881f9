"""The present share of each move, and why it is what it is."""

from __future__ import annotations

from collections.abc import Callable

from ..clock import Clock
from ..config import ConfigSet, Move
from .dependencies import MoveDependencies
from .facts import Phase, ZoneProgress
from .move_facts import KnownMark, MoveFacts
from .share import share_of, step_index
from .status import MoveStatus, ZoneMove

_PHASES = {
    Phase.RUNNING: "running",
    Phase.FULL: "full",
    Phase.WATCHED: "watched",
    Phase.TAKEN_BACK: "taken back",
}


class OpenMoves:
    """Answers questions about open moves on one node.

    Args:
        availability_zone: Zone of this node.
        clock: Source of time.
        board: Facts about moves.
        around: Other parts of the node.
    """

    def __init__(
        self,
        *,
        availability_zone: str,
        clock: Clock,
        move_facts: MoveFacts,
        dependencies: MoveDependencies,
    ) -> None:
        self._zone = availability_zone
        self._clock = clock
        self._move_facts = move_facts
        self._dependencies = dependencies
        self.config = ConfigSet()

    def service(self, move: Move) -> str:
        """Return the service whose traffic shifts."""
        return self.config.routes[move.route].service

    def mark(self, move: Move) -> KnownMark | None:
        """Return the mark of the new version, if there is one."""
        return self._move_facts.mark_of(move, self.service(move))

    def share(self, move: Move) -> float:
        """Return the share of the new version.

        A version that is known to have no target gets no calls. For that reason a marked version
        keeps its share while the old one has no target at all.
        """
        if self._is_gone(move, move.to_version):
            return 0.0
        own = self._move_facts.progress_of(move).get(self._zone)
        marked = self.mark(move) is not None and not self._is_gone(move, move.from_version)
        cleared = own.cleared if own is not None else 0
        return share_of(move, self._clock.wall_ms(), cleared, marked)

    def status(self, move: Move) -> MoveStatus:
        """Return what operators are told about a move."""
        reports = self._move_facts.progress_of(move)
        own = reports.get(self._zone)
        return MoveStatus(
            move_id=move.move_id,
            route=move.route,
            from_version=move.from_version,
            to_version=move.to_version,
            share=self.share(move),
            steps=len(move.steps),
            cleared=own.cleared if own is not None else 0,
            deadline_ms=move.deadline_ms,
            marked=self.mark(move) is not None,
            reason=self.reason(move, own),
            zones=tuple(
                _zone_move(zone, reports.get(zone))
                for zone in sorted({*self._dependencies.zones(), *reports})
            ),
        )

    def reason(self, move: Move, own: ZoneProgress | None) -> str:
        """Return one sentence on why the share is what it is; the first rule that fits."""
        rules: tuple[Callable[[Move, ZoneProgress | None], str], ...] = (
            self._taken_back,
            self._without_targets,
            self._in_phase,
            self._in_ramp,
        )
        return next((text for rule in rules if (text := rule(move, own))), "")

    def _taken_back(self, move: Move, own: ZoneProgress | None) -> str:
        known = self.mark(move)
        if known is None:
            return ""
        why = f"{move.to_version} is marked as bad: {known.mark.reason}"
        if self._is_gone(move, move.from_version):
            return (
                f"{why}; its calls are not taken back because no target of {move.from_version} "
                "is left: start one, or state an intent for another version"
            )
        capacity = self._dependencies.capacity(self.service(move), move.from_version)
        if capacity is not None and 0 < capacity.slots <= capacity.load:
            return f"{why}; {move.from_version} has no free slot, calls may be refused"
        return why

    def _without_targets(self, move: Move, own: ZoneProgress | None) -> str:
        if self._is_gone(move, move.to_version):
            return f"no target of {move.to_version} is announced; it gets no calls"
        if self._is_gone(move, move.from_version):
            return (
                f"no target of {move.from_version} is left; calls that the ramp keeps on it are "
                "refused before they run"
            )
        return ""

    def _in_phase(self, move: Move, own: ZoneProgress | None) -> str:
        if own is None or own.phase == Phase.RUNNING:
            return ""
        return {
            Phase.FULL: f"gets all calls and is watched; compared with {move.from_version}",
            Phase.WATCHED: "done in this zone; waits for the other zones and the log",
        }.get(own.phase, "")

    def _in_ramp(self, move: Move, own: ZoneProgress | None) -> str:
        index = step_index(move, self._clock.wall_ms())
        cleared = own.cleared if own is not None else 0
        if index < 0:
            return "has not started"
        if own is not None and own.lacks_evidence:
            return "too little evidence by the deadline"
        if index > cleared:
            return f"waits until the evidence clears step {cleared + 1} of {len(move.steps)}"
        return f"step {index + 1} of {len(move.steps)}"

    def _is_gone(self, move: Move, service_version: str) -> bool:
        """Whether it is known that a version has no target."""
        capacity = self._dependencies.capacity(self.service(move), service_version)
        return capacity is not None and capacity.targets == 0


def _zone_move(zone: str, report: ZoneProgress | None) -> ZoneMove:
    if report is None:
        return ZoneMove(zone, "unheard", 0, 0)
    return ZoneMove(zone, _PHASES.get(report.phase, "running"), report.cleared, report.calls)
