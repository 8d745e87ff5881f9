"""An order of members that each node computes for itself."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol, TypeVar

from ..rendezvous import weight


class Ranked(Protocol):
    """What the order depends on; `Member` and `RemoteMember` have it."""

    @property
    def name(self) -> str:
        """Name of the node."""

    @property
    def availability_zone(self) -> str:
        """Zone of the node."""

    @property
    def state(self) -> int:
        """A value of `MemberState`."""

    @property
    def ready(self) -> bool:
        """Whether the node serves calls."""


R = TypeVar("R", bound=Ranked)


def ranking(members: Iterable[R]) -> list[R]:
    """Return the members in rendezvous-hash order, those that are alive and ready first.

    The others follow, because they need the records too. When nobody is ready, as after a mass
    restart, the order still names readers and relays.
    """
    return sorted(members, key=_key, reverse=True)


def _key(member: Ranked) -> tuple[bool, bool, int, str]:
    score = weight(member.availability_zone, member.name)
    return member.state == 0, member.ready, score, member.name
