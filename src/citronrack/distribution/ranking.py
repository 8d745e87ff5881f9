"""A ranking of members that each node computes locally."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol, TypeVar

from ..rendezvous import weight


class Ranked(Protocol):
    """Attributes that the ranking depends on; implemented by `Member` and `RemoteMember`."""

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

    The others follow, because they need the records as well. When no member is ready, as after a
    mass restart, the ranking still determines readers and relays.
    """
    return sorted(members, key=_key, reverse=True)


def _key(member: Ranked) -> tuple[bool, bool, int, str]:
    score = weight(member.availability_zone, member.name)
    return member.state == 0, member.ready, score, member.name
