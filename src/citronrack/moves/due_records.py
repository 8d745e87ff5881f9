"""Which records about moves this node appends to the log, and when."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..clock import Clock
from ..config import Move
from ..log.fold import FoldState, mark_key
from ..log.records import Duty, Marked, MoveOutcome, MoveResult
from .dependencies import MoveDependencies
from .evaluator import EVALUATORS_PER_ZONE
from .move_facts import MoveFacts
from .outcome import OutcomeDecider, OutcomeInputs
from .policy import Policy

RECORD_RETRY_S = 15.0  # by then an append has been folded, or its answer is lost
MAX_DUE_ENTRIES = 200
DUE_ENTRY_LIFETIME_S = 600.0  # far longer than a record takes to be folded
SECOND_EVALUATOR_DELAY_S = 5.0
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
        move_facts: MoveFacts,
        dependencies: MoveDependencies,
        policy_of: Callable[[str], Policy],
    ) -> None:
        self._own_name = own_name
        self._zone = availability_zone
        self._clock = clock
        self._move_facts = move_facts
        self._dependencies = dependencies
        self._policy_of = policy_of
        self._due_s: dict[str, float] = {}

    def collect(self, state: FoldState) -> list[Any]:
        """Return the record bodies to append now."""
        self._evict_old_entries()
        records: list[Any] = [m for m in self._move_facts.marks if self._is_mark_due(m, state)]
        term = self._duty_term(state)
        if term > 0:
            for move in state.config.moves.values():
                outcome = OutcomeDecider(self._inputs(move, state), duty_term=term).decide()
                if outcome is not None and self._is_outcome_due(outcome, state):
                    records.append(outcome)
        return records

    def _duty_term(self, state: FoldState) -> int:
        if self._dependencies.duty_term is not None:
            return self._dependencies.duty_term()
        lease = state.leases.get(Duty.OUTCOMES.value)
        return lease.term if lease is not None and lease.holder == self._own_name else 0

    def _is_mark_due(self, mark: Marked, state: FoldState) -> bool:
        """Whether to append a mark: the marking zone's first judging node goes first."""
        key = mark_key(mark.service, mark.service_version, mark.epoch)
        if key in state.marks:
            return False
        evaluators = [member.name for member in self._dependencies.ranked()[:EVALUATORS_PER_ZONE]]
        if self._own_name not in evaluators:
            return False
        delay = evaluators.index(self._own_name) * SECOND_EVALUATOR_DELAY_S
        if mark.availability_zone != self._zone:
            zones = sorted(self._dependencies.zones())
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

    def _evict_old_entries(self) -> None:
        if len(self._due_s) > MAX_DUE_ENTRIES:
            oldest = self._clock.monotonic() - DUE_ENTRY_LIFETIME_S
            self._due_s = {key: due for key, due in self._due_s.items() if due >= oldest}

    def _inputs(self, move: Move, state: FoldState) -> OutcomeInputs:
        service = state.config.routes[move.route].service
        known = self._move_facts.mark_of(move, service)
        old = self._dependencies.capacity(service, move.from_version)
        age_s = self._clock.monotonic() - known.since_s if known is not None else 0.0
        return OutcomeInputs(
            move=move,
            policy=self._policy_of(move.profile),
            zones=tuple(self._dependencies.zones()),
            unreachable_zones=frozenset(self._dependencies.unreachable_zones()),
            progress=self._move_facts.progress_of(move),
            mark=known.mark if known is not None else None,
            mark_age_ms=int(age_s * 1000),
            now_ms=self._clock.wall_ms(),
            old_is_gone=old is not None and old.targets == 0,
        )
