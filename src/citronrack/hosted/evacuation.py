"""Evacuation of a zone: nothing more is sent to its targets until the operator ends it."""

from __future__ import annotations

from collections.abc import Callable

from attrs import evolve, frozen

from ..calls.target_identity import TargetIdentity

EVACUATED = "the zone of the target is evacuated"
NOT_INFORMED = "the node does not know yet whether its zone is evacuated"


@frozen
class EvacuationOrder:
    """What an operator asks of a zone.

    Attributes:
        availability_zone: The zone.
        active: Whether it is to be evacuated; false at the end of an evacuation.
    """

    availability_zone: str
    active: bool


class LocalEvacuation:
    """Refuses calls for the local target while its zone is evacuated.

    A node that has just started takes no calls for its target until it holds the operator's
    records: they say whether the zone is evacuated, and how many calls a cold target tolerates.

    Args:
        availability_zone: Zone of this node.
        evacuated: Returns the zones whose evacuation is in force.
    """

    def __init__(self, availability_zone: str, *, evacuated: Callable[[], frozenset[str]]) -> None:
        self._zone = availability_zone
        self._evacuated = evacuated
        self._informed = False

    @property
    def active(self) -> bool:
        """Whether the zone of this node is evacuated."""
        return self._zone in self._evacuated()

    def inform(self) -> None:
        """Allow calls, because the operator's records are known and in force."""
        self._informed = True

    def is_ended_by(self, order: EvacuationOrder) -> bool:
        """Return whether an order ends the evacuation of the zone of this node."""
        return self.active and not order.active and order.availability_zone == self._zone

    def restrict(self, identity: TargetIdentity) -> TargetIdentity:
        """Return the identity with what the operator's records say of the zone."""
        if identity.refusal:
            return identity
        if not self._informed:
            return evolve(identity, refusal=NOT_INFORMED)
        return evolve(identity, refusal=EVACUATED, evacuated=True) if self.active else identity
