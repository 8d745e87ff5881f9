"""Which records about moves this node appends to the log, and when."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..clock import Clock
from ..config import Move
from ..log.fold import FoldState, mark_key
from ..log.records import Duty, Marked, MoveOutcome, MoveResult
from .around import MoveSurroundings
from .board import MoveBoard
from .judge import JUDGING_NODES
from .outcome import Outcome, OutcomeInputs
from .policy import Policy

RECORD_RETRY_S = 15.0  # by then an append has been folded, or its answer is lost
KEPT_QUESTIONS = 200
KEPT_QUESTIONS_S = 600.0  # far longer than a record takes to be folded
SECOND_JUDGE_DELAY_S = 5.0
OTHER_ZONE_DELAY_S = 10.0


class DueRecords:
    """Repeats marks and outcomes until the folded log contains them.

    Args:
        own_name: Name of this node.
        availability_zone: Zone of this node.
        clock: Source of time.
        board: Facts about moves.
        around: Other parts of the node.
        policy_of: Returns the policy of a profile.
    """

    def __init__(
        self,
        *,
        own_name: str,
        availability_zone: str,
        clock: Clock,
        board: MoveBoard,
        around: MoveSurroundings,
        policy_of: Callable[[str], Policy],
    ) -> None:
        self._own_name = own_name
        self._zone = availability_zone
        self._clock = clock
        self._board = board
        self._around = around
        self._policy_of = policy_of
        self._due_s: dict[str, float] = {}

    def collect(self, state: FoldState) -> list[Any]:
        """Return the record bodies to append now."""
        self._forget_old()
        records: list[Any] = [m for m in self._board.marks if self._is_mark_due(m, state)]
        term = self._duty_term(state)
        if term > 0:
            for move in state.config.moves.values():
                outcome = Outcome(self._inputs(move, state), duty_term=term).decide()
                if outcome is not None and self._is_outcome_due(outcome, state):
                    records.append(outcome)
        return records

    def _duty_term(self, state: FoldState) -> int:
        if self._around.duty_term is not None:
            return self._around.duty_term()
        lease = state.leases.get(Duty.OUTCOMES.value)
        return lease.term if lease is not None and lease.holder == self._own_name else 0

    def _is_mark_due(self, mark: Marked, state: FoldState) -> bool:
        """Whether to append a mark: the marking zone's first judging node goes first."""
        key = mark_key(mark.service, mark.service_version, mark.epoch)
        if key in state.marks:
            return False
        judges = [member.name for member in self._around.ranked()[:JUDGING_NODES]]
        if self._own_name not in judges:
            return False
        delay = judges.index(self._own_name) * SECOND_JUDGE_DELAY_S
        if mark.availability_zone != self._zone:
            zones = sorted(self._around.zones())
            place = zones.index(self._zone) if self._zone in zones else len(zones)
            delay += (place + 1) * OTHER_ZONE_DELAY_S
        return self._is_due(f"mark/{key}", delay)

    def _is_outcome_due(self, outcome: MoveOutcome, state: FoldState) -> bool:
        written = state.outcomes.get(outcome.move_id)
        if (
            written is not None
            and written.epoch == outcome.epoch
            and written.result == outcome.result == MoveResult.UNKNOWN
            and written.missing_zones == outcome.missing_zones
        ):
            return False
        missing = ",".join(outcome.missing_zones)
        key = f"outcome/{outcome.move_id}/{outcome.duty_term}/{outcome.result}/{missing}"
        return self._is_due(key, 0.0)

    def _is_due(self, key: str, delay_s: float) -> bool:
        """Whether ``delay_s`` has passed since the first question, then once per retry time."""
        now = self._clock.monotonic()
        if now < self._due_s.setdefault(key, now + delay_s):
            return False
        self._due_s[key] = now + RECORD_RETRY_S
        return True

    def _forget_old(self) -> None:
        if len(self._due_s) > KEPT_QUESTIONS:
            oldest = self._clock.monotonic() - KEPT_QUESTIONS_S
            self._due_s = {key: due for key, due in self._due_s.items() if due >= oldest}

    def _inputs(self, move: Move, state: FoldState) -> OutcomeInputs:
        service = state.config.routes[move.route].service
        known = self._board.mark_of(move, service)
        old = self._around.capacity(service, move.from_version)
        age_s = self._clock.monotonic() - known.since_s if known is not None else 0.0
        return OutcomeInputs(
            move=move,
            policy=self._policy_of(move.profile),
            zones=tuple(self._around.zones()),
            unheard=frozenset(self._around.unheard()),
            progress=self._board.progress_of(move),
            mark=known.mark if known is not None else None,
            mark_age_ms=int(age_s * 1000),
            now_ms=self._clock.wall_ms(),
            old_is_gone=old is not None and old.targets == 0,
        )
