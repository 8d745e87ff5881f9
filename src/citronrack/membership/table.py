"""The members of one availability zone."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import attrs

from .member import Member, MemberState


class MemberTable:
    """Keeps the newest description of each member of the own zone.

    Args:
        own: Description of this node.
    """

    def __init__(self, own: Member) -> None:
        self._own = own
        self._members: dict[str, Member] = {own.name: own}

    @property
    def own(self) -> Member:
        """The description of this node."""
        return self._own

    def update_own(self, **changes: Any) -> Member:
        """Change the own description, raise its incarnation and return it."""
        changed = attrs.evolve(self._own, **changes)
        if changed == self._own:
            return self._own
        self._own = attrs.evolve(changed, incarnation=self._own.incarnation + 1)
        self._members[self._own.name] = self._own
        return self._own

    def members(self) -> tuple[Member, ...]:
        """Return the members that are not gone, this node included."""
        return tuple(m for m in self._members.values() if m.state != MemberState.GONE)

    def all_members(self) -> tuple[Member, ...]:
        """Return all members, those that are gone included."""
        return tuple(self._members.values())

    def merge(self, updates: Iterable[Member]) -> list[Member]:
        """Take over newer descriptions and return those that changed something."""
        changed = []
        for update in updates:
            if update.availability_zone != self._own.availability_zone:
                continue
            if update.name == self._own.name:
                self._refute(update)
                continue
            known = self._members.get(update.name)
            if known is None or update.precedence > known.precedence:
                self._members[update.name] = update
                changed.append(update)
        return changed

    def _refute(self, update: Member) -> None:
        """Outbid a description of this node that it did not write itself."""
        if update.precedence <= self._own.precedence:
            return
        self._own = attrs.evolve(self._own, incarnation=update.incarnation + 1)
        self._members[self._own.name] = self._own
