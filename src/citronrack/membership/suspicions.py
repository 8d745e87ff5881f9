"""Which members are under suspicion, and when that becomes final."""

from __future__ import annotations

from attrs import define, field

from .messages import Suspicion

WITNESSES_NEEDED = 2
CONFIRM_S = 1.0  # time that a suspected member has to refute once two witnesses agree
FULL_TIMEOUT_S = 8.0  # with a single witness
MAX_WITNESSES = 4


@define
class _Case:
    incarnation: int
    since: float
    witnesses: dict[str, None] = field(factory=dict)
    agreed_at: float | None = None


class Suspicions:
    """Open cases of silent members.

    Only a witness closes a case after `CONFIRM_S`. Nodes that merely heard of it wait for the
    result or for the full timeout, because the refutation may still be on its way to them.

    Args:
        own: Name of this node.
    """

    def __init__(self, own: str) -> None:
        self._own = own
        self._cases: dict[str, _Case] = {}

    def __contains__(self, name: object) -> bool:
        return name in self._cases

    def add(self, claim: Suspicion, now: float) -> bool:
        """Count a claim; returns whether it was new."""
        case = self._cases.get(claim.name)
        if case is None or case.incarnation < claim.incarnation:
            case = self._cases[claim.name] = _Case(claim.incarnation, now)
        outdated = case.incarnation > claim.incarnation
        if outdated or claim.witness in case.witnesses or len(case.witnesses) >= MAX_WITNESSES:
            return False
        if claim.witness:
            case.witnesses[claim.witness] = None
        if len(case.witnesses) >= WITNESSES_NEEDED and case.agreed_at is None:
            case.agreed_at = now
        return True

    def claims_about(self, name: str) -> tuple[Suspicion, ...]:
        """Return the claims about one member."""
        case = self._cases.get(name)
        if case is None:
            return ()
        return tuple(Suspicion(name, case.incarnation, witness) for witness in case.witnesses)

    def clear(self, name: str, incarnation: int) -> None:
        """Drop a case that a greater incarnation refuted."""
        case = self._cases.get(name)
        if case is not None and incarnation > case.incarnation:
            del self._cases[name]

    def drop(self, name: str) -> None:
        """Drop a case in any event."""
        self._cases.pop(name, None)

    def shift(self, seconds: float) -> None:
        """Extend all cases by the time during which this node itself did not run."""
        for case in self._cases.values():
            case.since += seconds
            if case.agreed_at is not None:
                case.agreed_at += seconds

    def take_due(self, now: float) -> list[tuple[str, int]]:
        """Remove and return name and incarnation of the members that are gone."""
        due = [name for name, case in self._cases.items() if self._is_due(case, now)]
        return [(name, self._cases.pop(name).incarnation) for name in due]

    def _is_due(self, case: _Case, now: float) -> bool:
        if now >= case.since + FULL_TIMEOUT_S:
            return True
        agreed = case.agreed_at is not None and now >= case.agreed_at + CONFIRM_S
        return agreed and self._own in case.witnesses
