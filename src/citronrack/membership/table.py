"""The members of one availability zone."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import attrs

from .digests import BucketDigests, bucket_of
from .member import Member, MemberState

VOLATILE_FIELDS = frozenset({"load", "version"})
MAX_DROPPED_INCARNATIONS = 4_096


class MemberTable:
    """Keeps the newest description of each member of the own zone.

    Args:
        own: Description of this node.
    """

    def __init__(self, own: Member) -> None:
        self._own = own
        self._members: dict[str, Member] = {}
        self._dropped_incarnations: dict[str, int] = {}
        self._digest = BucketDigests()
        self._live: tuple[Member, ...] | None = None
        self._store(own)

    @property
    def own(self) -> Member:
        """The description of this node."""
        return self._own

    @property
    def digest(self) -> BucketDigests:
        """Digests over name and incarnation of the members that are not gone."""
        return self._digest

    def update_own(self, **changes: Any) -> Member:
        """Change the own description and return it.

        ``load`` and ``version`` change often. They raise no incarnation and are not spread by
        other members: they travel only in this node's own pings and acks.
        """
        changed = {name: value for name, value in changes.items() if value != self._value(name)}
        if not changed:
            return self._own
        raised = 0 if VOLATILE_FIELDS.issuperset(changed) else 1
        incarnation = self._own.incarnation + raised
        self._own = attrs.evolve(self._own, **changed, incarnation=incarnation)
        self._store(self._own)
        return self._own

    def get(self, name: str) -> Member | None:
        """Return the member called ``name``, gone ones included."""
        return self._members.get(name)

    def members(self) -> tuple[Member, ...]:
        """Return the members that are not gone, this node included.

        The same tuple is returned until a member changes, so that callers can cache by identity.
        """
        if self._live is None:
            live = (m for m in self._members.values() if m.state != MemberState.GONE)
            self._live = tuple(live)
        return self._live

    def all_members(self) -> tuple[Member, ...]:
        """Return all members, those that are gone included."""
        return tuple(self._members.values())

    def in_buckets(self, buckets: frozenset[int]) -> tuple[Member, ...]:
        """Return all members, gone ones included, that are counted in some digest buckets."""
        return tuple(m for m in self._members.values() if bucket_of(m.name) in buckets)

    def merge(self, updates: Iterable[Member]) -> list[Member]:
        """Take over newer descriptions and return those that changed something."""
        return [update for update in updates if self._merge_one(update)]

    def merge_self_reported(self, member: Member) -> bool:
        """Take over what a member says about itself, volatile fields included.

        Returns:
            Whether the description is new to this node.
        """
        known = self._members.get(member.name)
        if self._merge_one(member):
            return True
        current = known is not None and known.incarnation == member.incarnation
        if known is None or not current or known.state == MemberState.GONE:
            return False
        if (known.load, known.version) != (member.load, member.version):
            self._store(attrs.evolve(known, load=member.load, version=member.version))
        return False

    def set_state(self, name: str, incarnation: int, state: MemberState) -> Member | None:
        """Change the state of a member; returns None when that is not newer than what is known."""
        known = self._members.get(name)
        if known is None or name == self._own.name:
            return None
        changed = attrs.evolve(known, state=int(state), incarnation=incarnation)
        return changed if self._merge_one(changed) else None

    def tombstone_of(self, member: Member) -> Member | None:
        """Return the description that tells ``member`` that it was declared gone here."""
        known = self._members.get(member.name)
        if known is not None and known.state == MemberState.GONE:
            return known if known.incarnation >= member.incarnation else None
        buried = self._dropped_incarnations.get(member.name, -1)
        if known is not None or buried < member.incarnation:
            return None
        return attrs.evolve(member, state=int(MemberState.GONE), incarnation=buried)

    def refute(self, incarnation: int) -> None:
        """Outbid what others say about this node in ``incarnation``, unless it has left."""
        if incarnation < self._own.incarnation or self._own.state == MemberState.GONE:
            return
        self._own = attrs.evolve(self._own, incarnation=incarnation + 1)
        self._store(self._own)

    def forget(self, name: str) -> None:
        """Drop a member without holding anything against it."""
        known = self._members.get(name)
        if known is None or name == self._own.name:
            return
        if known.state != MemberState.GONE:
            self._digest.toggle(known.name, known.incarnation)
        del self._members[name]
        self._live = None

    def drop_tombstone(self, name: str) -> None:
        """Drop a gone member; only a greater incarnation brings it back."""
        known = self._members.get(name)
        if known is None or known.state != MemberState.GONE:
            return
        del self._members[name]
        self._dropped_incarnations[name] = known.incarnation
        while len(self._dropped_incarnations) > MAX_DROPPED_INCARNATIONS:
            del self._dropped_incarnations[next(iter(self._dropped_incarnations))]

    def _value(self, name: str) -> Any:
        return getattr(self._own, name)

    def _merge_one(self, update: Member) -> bool:
        if update.availability_zone != self._own.availability_zone:
            return False
        if not MemberState.ALIVE <= update.state <= MemberState.GONE:
            return False
        if update.name == self._own.name:
            if update.precedence > self._own.precedence:
                self.refute(update.incarnation)
            return False
        known = self._members.get(update.name)
        if known is None and update.incarnation <= self._dropped_incarnations.get(update.name, -1):
            return False
        if known is not None and update.precedence <= known.precedence:
            return False
        self._store(update)
        return True

    def _store(self, member: Member) -> None:
        known = self._members.get(member.name)
        if known is not None and known.state != MemberState.GONE:
            self._digest.toggle(known.name, known.incarnation)
        if member.state != MemberState.GONE:
            self._digest.toggle(member.name, member.incarnation)
        self._members[member.name] = member
        self._live = None
