"""Parts of the simulated fleet: sizes, nodes, facts and totals of calls."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

from attrs import define, frozen

from ..clock import ManualClock
from ..membership.member import Member
from ..moves import MoveCore


@frozen
class FleetFact:
    """A fact in transit or in a store."""

    key: str
    rank: int
    payload: bytes


class FactsFake:
    """The facts of a node; new ones are passed to the fleet, which replicates them.

    Args:
        spread: Called with each fact that is new to this node.
    """

    def __init__(self, spread: Callable[[FleetFact], None]) -> None:
        self._spread = spread
        self._facts: dict[str, FleetFact] = {}

    def put(self, key: str, rank: int, payload: bytes) -> None:
        """Store the fact when its rank is greater than that of the known one."""
        known = self._facts.get(key)
        if known is None or (rank, payload) > (known.rank, known.payload):
            fact = FleetFact(key, rank, payload)
            self._facts[key] = fact
            self._spread(fact)

    def items(self) -> Iterable[FleetFact]:
        """Return all facts."""
        return self._facts.values()


@frozen
class Deployment:
    """Sizes of a fleet.

    Attributes:
        zones: Names of the availability zones.
        workers: Targets of the service whose traffic moves; half of them run the new version.
        other_workers: Targets of the other service.
        calls_per_second: Calls of the moving service, fleet-wide.
        other_calls_per_second: Calls of the other service.
    """

    zones: tuple[str, ...]
    workers: int
    other_workers: int
    calls_per_second: float
    other_calls_per_second: float


SPOORHOUT = Deployment(("lowlands-a", "lowlands-b", "lowlands-c"), 8, 3, 300.0, 60.0)
HARBOR_LANTERN = Deployment(
    ("wharf-row", "mill-square", "chapel-lane", "depot-yard"), 8, 4, 300.0, 60.0
)


@define
class FleetNode:
    """One node with its target.

    Attributes:
        member: Description of the node.
        core: Core that decides moves.
        facts: Its facts.
        clock: Its clock, with an individual error.
        is_alive: Whether node and target are running.
        is_paused: Whether the node is paused while its target still responds.
        is_demoted: Whether the node has lost its rank in the zone.
    """

    member: Member
    core: MoveCore
    facts: FactsFake
    clock: ManualClock
    is_alive: bool = True
    is_paused: bool = False
    is_demoted: bool = False
    sequence: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0

    @property
    def zone(self) -> str:
        """Zone of the node."""
        return self.member.availability_zone


@define
class Tally:
    """Totals of the calls of the moving service.

    Attributes:
        calls: All calls.
        new_calls: Calls of the new version.
        new_after_fault: Calls of the new version since its fault began.
        all_after_fault: All calls since the fault began.
        all_until_last_new: Of these, the calls until the last one of the new version.
        first_fault_s: First call of the faulty version, seconds since the start of the move.
        last_new_s: Last call of the new version.
    """

    calls: int = 0
    new_calls: int = 0
    new_after_fault: int = 0
    all_after_fault: int = 0
    all_until_last_new: int = 0
    first_fault_s: float | None = None
    last_new_s: float | None = None


class Controller(Protocol):
    """Decides the share of the new version instead of the nodes."""

    def share(self, age_s: float) -> float:
        """Return the share, ``age_s`` seconds after the start of the move."""

    def observe(self, age_s: float, calls: int, failures: int) -> None:
        """Add calls of the new version."""
