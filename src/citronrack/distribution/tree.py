"""Distribution trees over the ranking of a zone's members."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Sequence

from ..membership.member import Member, MemberState
from .ranking import ranking

FANOUT = 4
READERS = 2
RELAYS = 2


class Tree:
    """Position of this node and of other members; updated when the members change.

    The node at index i has the children 4i+1 to 4i+4. Any node can be the root: the tree of an
    origin is the ranking with the origin moved to the front.

    Args:
        own: Name of this node.
        members: Returns the members of the own zone; the same tuple until one changes.
    """

    def __init__(self, own: str, members: Callable[[], Sequence[Member]]) -> None:
        self._own = own
        self._source = members
        self._seen: Sequence[Member] | None = None
        self._ranking: list[Member] = []
        self._by_address: dict[str, Member] = {}
        self._readers: list[str] = []

    @property
    def ranking(self) -> list[Member]:
        """The members in ranking order."""
        members = self._source()
        if members is not self._seen:
            self._seen = members
            self._ranking = ranking(members)
            self._by_address = {member.address: member for member in members}
            self._readers = self._find_readers()
        return self._ranking

    @property
    def index(self) -> int:
        """Position of this node in the ranking, or the number of members if it is not in it."""
        return self._index_in(self.ranking)

    @property
    def is_relay(self) -> bool:
        """Whether this node exchanges messages with other zones."""
        return self.index < RELAYS

    def readers(self) -> list[str]:
        """Return the names of the nodes that read the log, the primary reader first."""
        self.ranking  # noqa: B018 - refreshes the readers
        return self._readers

    def is_member(self, address: str) -> bool:
        """Return whether a member of the own zone has this address."""
        self.ranking  # noqa: B018 - refreshes the addresses
        return address in self._by_address

    def children(self, origin: str | None = None) -> list[Member]:
        """Return the members to which this node forwards messages of ``origin``."""
        order = self._order(origin)
        index = self._index_in(order)
        return order[FANOUT * index + 1 : FANOUT * index + 1 + FANOUT]

    def parent(self) -> Member | None:
        """Return the parent of this node in the tree whose root is rank 0."""
        index = self._index_in(self.ranking)
        return self.ranking[(index - 1) // FANOUT] if 0 < index < len(self.ranking) else None

    def _find_readers(self) -> list[str]:
        eligible = (m.name for m in self._ranking if m.reading and m.state == MemberState.ALIVE)
        chosen = list(itertools.islice(eligible, READERS))
        return chosen or [member.name for member in self._ranking[:READERS]]

    def _order(self, origin: str | None) -> list[Member]:
        order = self.ranking
        if origin is None or (order and order[0].name == origin):
            return order
        root = [member for member in order if member.name == origin]
        return root + [member for member in order if member.name != origin]

    def _index_in(self, order: Sequence[Member]) -> int:
        for index, member in enumerate(order):
            if member.name == self._own:
                return index
        return len(order)
