"""Connects the decisions about moves with the other parts of a node."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from ..calls import RouteShare
from ..calls.record import CallRecord
from ..clock import Clock
from ..distribution import DistributionCore
from ..log.fold import LogFold
from ..log.marks import is_obsolete
from ..log.records import Duty, Marked
from ..log.state import FoldState
from ..membership import Member, MemberState, MemberTable, ZoneDirectory
from ..moves import MoveCore, MoveDependencies, MoveStatus
from ..moves.facts import MARK_PREFIX, FactEntry
from ..telemetry import EventLog
from ..transport.send import Send
from .capacity import MeshCapacity
from .duties import Duties


class NodeFacts:
    """Facts of the distribution core, with the messages that new ones cause."""

    def __init__(self, distribution: DistributionCore) -> None:
        self._distribution = distribution
        self._effects: list[Send] = []

    def put(self, key: str, rank: int, payload: bytes) -> None:
        """Add a fact; a mark is pushed to other nodes at once."""
        urgent = key.startswith(MARK_PREFIX)
        self._effects += self._distribution.put_fact(key, rank, payload, urgent=urgent)

    def items(self) -> Iterable[FactEntry]:
        """Return all facts."""
        return self._distribution.facts.items()

    def take_effects(self) -> list[Send]:
        """Return the messages that became due since the last call."""
        effects, self._effects = self._effects, []
        return effects


class MoveRunner:
    """Runs the core of moves on behalf of the node's core.

    Args:
        table: Members of the own zone.
        directory: Members of other zones.
        distribution: Spreads facts.
        duties: Knows whether this node may write outcomes.
        clock: Source of time.
        events: Where log events go.
        boot_id: Id of this process.
        append: Queues a record body for the log.
    """

    def __init__(
        self,
        *,
        table: MemberTable,
        directory: ZoneDirectory,
        distribution: DistributionCore,
        duties: Duties,
        clock: Clock,
        events: EventLog,
        boot_id: str,
        append: Callable[[object], None],
    ) -> None:
        self._table = table
        self._directory = directory
        self._distribution = distribution
        self._events = events
        self._append = append
        self._state = FoldState()
        self._facts = NodeFacts(distribution)
        self.capacity = MeshCapacity(table=table, directory=directory)
        self.core = MoveCore(
            own_name=table.own.name,
            boot_id=boot_id,
            availability_zone=table.own.availability_zone,
            clock=clock,
            dependencies=MoveDependencies(
                facts=self._facts,
                ranked=self._ranked,
                zones=self._zones,
                unreachable_zones=self._unheard,
                capacity=self.capacity,
                duty_term=lambda: duties.term(Duty.OUTCOMES),
            ),
        )

    def on_fold(self, fold: LogFold) -> None:
        """Take over the folded log."""
        self._state = fold.state
        self.core.on_state(fold.state)

    def observe(self, record: CallRecord) -> None:
        """Count a call."""
        self.core.observe(record)

    def on_tick(self) -> list[Send]:
        """Judge, append due records, write notices, and return what to send."""
        effects = self.core.on_tick()
        for body in self.core.due_records():
            if not (isinstance(body, Marked) and is_obsolete(self._state, body)):
                self._append(body)
        for notice in self.core.take_notices():
            self._events.write(notice.event, move=notice.move_id, text=notice.text)
        stale = frozenset(self.core.stale_facts())
        if stale:
            self._distribution.facts.prune(lambda fact: fact.key in stale)
        return [*effects, *self._facts.take_effects()]

    def shares(self) -> dict[str, RouteShare]:
        """Return the division of calls by route."""
        return self.core.shares()

    def statuses(self) -> tuple[MoveStatus, ...]:
        """Return the open moves."""
        return self.core.statuses()

    def _ranked(self) -> Sequence[Member]:
        return [m for m in self._distribution.tree.ranking if m.state == MemberState.ALIVE]

    def _zones(self) -> Sequence[str]:
        return (self._table.own.availability_zone, *self._directory.zones())

    def _unheard(self) -> tuple[str, ...]:
        """Return the other zones of which no node is heard."""
        return tuple(
            zone
            for zone in self._directory.zones()
            if not any(known.known for known in self._directory.members(zone))
        )
