"""Pending suspicions, and when they are resolved."""

from __future__ import annotations

from attrs import define, field, frozen

from .messages import Suspicion

WITNESS_QUORUM = 2
CONFIRM_S = 1.0  # time for a suspect to refute once the quorum is reached
SINGLE_WITNESS_TIMEOUT_S = 8.0
MAX_WITNESSES = 4


@frozen
class ResolvedSuspicion:
    """A suspicion whose time to refute has passed.

    Attributes:
        name: The suspected member.
        incarnation: Its incarnation.
        confirmed: Whether the quorum of witnesses was reached.
    """

    name: str
    incarnation: int
    confirmed: bool


@define
class _PendingSuspicion:
    incarnation: int
    since: float
    witnesses: dict[str, None] = field(factory=dict)
    confirmed_at: float | None = None


class Suspicions:
    """Pending suspicions by member.

    Only a witness resolves a suspicion after `CONFIRM_S`. Other nodes wait for its result or for
    `SINGLE_WITNESS_TIMEOUT_S`, because a refutation may still be in transit to them.

    Args:
        own: Name of this node.
    """

    def __init__(self, own: str) -> None:
        self._own = own
        self._pending: dict[str, _PendingSuspicion] = {}

    def __contains__(self, name: object) -> bool:
        return name in self._pending

    def add(self, suspicion: Suspicion, now: float) -> bool:
        """Record a suspicion and return whether its witness is new."""
        pending = self._pending.get(suspicion.name)
        if pending is None or pending.incarnation < suspicion.incarnation:
            pending = self._pending[suspicion.name] = _PendingSuspicion(suspicion.incarnation, now)
        outdated = pending.incarnation > suspicion.incarnation
        if (
            outdated
            or suspicion.witness in pending.witnesses
            or len(pending.witnesses) >= MAX_WITNESSES
        ):
            return False
        if suspicion.witness:
            pending.witnesses[suspicion.witness] = None
        if len(pending.witnesses) >= WITNESS_QUORUM and pending.confirmed_at is None:
            pending.confirmed_at = now
        return True

    def suspicions_about(self, name: str) -> tuple[Suspicion, ...]:
        """Return one suspicion per witness against a member."""
        pending = self._pending.get(name)
        if pending is None:
            return ()
        return tuple(Suspicion(name, pending.incarnation, witness) for witness in pending.witnesses)

    def clear(self, name: str, incarnation: int) -> None:
        """Drop a suspicion that a greater incarnation refutes."""
        pending = self._pending.get(name)
        if pending is not None and incarnation > pending.incarnation:
            del self._pending[name]

    def drop(self, name: str) -> None:
        """Drop the suspicion of a member regardless of its incarnation."""
        self._pending.pop(name, None)

    def shift(self, seconds: float) -> None:
        """Extend all suspicions by the time for which this process was paused."""
        for pending in self._pending.values():
            pending.since += seconds
            if pending.confirmed_at is not None:
                pending.confirmed_at += seconds

    def take_due(self, now: float) -> list[ResolvedSuspicion]:
        """Remove and return the suspicions that are resolved."""
        due = [name for name, pending in self._pending.items() if self._is_resolved(pending, now)]
        resolved = [(name, self._pending.pop(name)) for name in due]
        return [
            ResolvedSuspicion(name, suspicion.incarnation, suspicion.confirmed_at is not None)
            for name, suspicion in resolved
        ]

    def _is_resolved(self, pending: _PendingSuspicion, now: float) -> bool:
        if now >= pending.since + SINGLE_WITNESS_TIMEOUT_S:
            return True
        confirmed = pending.confirmed_at is not None and now >= pending.confirmed_at + CONFIRM_S
        return confirmed and self._own in pending.witnesses
