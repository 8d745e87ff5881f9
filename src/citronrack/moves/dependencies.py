"""Parts of the node that the core of moves depends on."""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence

from attrs import define, field

from ..membership.member import Member
from .capacity import CapacityView, unknown_capacity
from .facts import Facts


@define
class MoveDependencies:
    """Dependencies of `MoveCore` on other parts of the node.

    Attributes:
        facts: Replicates facts between nodes.
        ranked: Returns the live members of the own zone, lowest rank first.
        zones: Returns all zones of the mesh.
        unreachable_zones: Returns the zones of which no node can currently be reached.
        capacity: Returns the capacity of a service version, as far as it is known.
        duty_term: Returns the term under which this node may write outcomes, 0 for none. If None,
            the term is read from the folded log.
    """

    facts: Facts
    ranked: Callable[[], Sequence[Member]]
    zones: Callable[[], Sequence[str]]
    unreachable_zones: Callable[[], Collection[str]] = field(default=tuple)
    capacity: CapacityView = unknown_capacity
    duty_term: Callable[[], int] | None = None
