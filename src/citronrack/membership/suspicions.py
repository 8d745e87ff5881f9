"""Which members are under suspicion, and when that becomes final."""

from __future__ import annotations

from attrs import define, field, frozen

from .messages import Suspicion

WITNESS_QUORUM = 2
CONFIRM_S = 1.0  # time that a suspected member has to refute once two witnesses agree
SINGLE_WITNESS_TIMEOUT_S = 8.0  # with a single witness
MAX_WITNESSES = 4


@frozen
class ResolvedSuspicion:
    """A case that is decided.

    Attributes:
        name: The silent member.
        incarnation: Its incarnation.
        agreed: Whether two witnesses agree.
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
    """Open cases of silent members.

    Only a witness closes a case after `CONFIRM_S`. Nodes that merely heard of it wait for the
    result or for the full timeout, because the refutation may still be on its way to them.

    Args:
        own: Name of this node.
    """

    def __init__(self, own: str) -> None:
        self._own = own
        self._pending: dict[str, _PendingSuspicion] = {}

    def __contains__(self, name: object) -> bool:
        return name in self._pending

    def add(self, claim: Suspicion, now: float) -> bool:
        """Count a claim; returns whether it was new."""
        case = self._pending.get(claim.name)
        if case is None or case.incarnation < claim.incarnation:
            case = self._pending[claim.name] = _PendingSuspicion(claim.incarnation, now)
        outdated = case.incarnation > claim.incarnation
        if outdated or claim.witness in case.witnesses or len(case.witnesses) >= MAX_WITNESSES:
            return False
        if claim.witness:
            case.witnesses[claim.witness] = None
        if len(case.witnesses) >= WITNESS_QUORUM and case.confirmed_at is None:
            case.confirmed_at = now
        return True

    def suspicions_about(self, name: str) -> tuple[Suspicion, ...]:
        """Return the claims about one member."""
        case = self._pending.get(name)
        if case is None:
            return ()
        return tuple(Suspicion(name, case.incarnation, witness) for witness in case.witnesses)

    def clear(self, name: str, incarnation: int) -> None:
        """Drop a case that a greater incarnation refuted."""
        case = self._pending.get(name)
        if case is not None and incarnation > case.incarnation:
            del self._pending[name]

    def drop(self, name: str) -> None:
        """Drop a case in any event."""
        self._pending.pop(name, None)

    def shift(self, seconds: float) -> None:
        """Extend all cases by the time during which this node itself did not run."""
        for case in self._pending.values():
            case.since += seconds
            if case.confirmed_at is not None:
                case.confirmed_at += seconds

    def take_due(self, now: float) -> list[ResolvedSuspicion]:
        """Remove and return the cases that are decided."""
        due = [name for name, case in self._pending.items() if self._is_due(case, now)]
        cases = [(name, self._pending.pop(name)) for name in due]
        return [
            ResolvedSuspicion(name, c.incarnation, c.confirmed_at is not None) for name, c in cases
        ]

    def _is_due(self, case: _PendingSuspicion, now: float) -> bool:
        if now >= case.since + SINGLE_WITNESS_TIMEOUT_S:
            return True
        confirmed = case.confirmed_at is not None and now >= case.confirmed_at + CONFIRM_S
        return confirmed and self._own in case.witnesses
