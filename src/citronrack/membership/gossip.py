"""What pings and acks carry besides the sign of life."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from attrs import frozen

from ..transport.send import Send
from .member import Member, MemberState
from .messages import Suspicion
from .piggyback import PiggybackQueue
from .suspicions import Suspicions
from .table import MemberTable

MAX_UPDATES = 8
MAX_SUSPICIONS = 8


class PeerObserver(Protocol):
    """Learns how far other nodes are."""

    @property
    def offset(self) -> int:
        """Next offset that this node folds."""

    @property
    def facts_digest(self) -> int:
        """Digest of this node's facts."""

    def peer_observed(self, address: str, *, offset: int, facts_digest: int) -> list[Send]:
        """Compare with another node and return what to send."""

    def peer_offsets(self) -> dict[str, int | None]:
        """Return the next offset of each other live member, None when not yet heard."""


@frozen
class GossipPayload:
    """The common fields of `Ping` and `Ack`."""

    sequence: int
    member: Member
    updates: tuple[Member, ...]
    offset: int
    facts_digest: int
    suspicions: tuple[Suspicion, ...]
    table_digest: int

    def to_message(self, kind: Callable[..., Any]) -> Any:
        """Return a message of class ``kind`` with these fields."""
        return kind(
            self.sequence,
            self.member,
            self.updates,
            self.offset,
            self.facts_digest,
            self.suspicions,
            self.table_digest,
        )


class Gossip:
    """Queues updates and claims, and fills messages with them.

    Args:
        table: Members of the own zone.
        suspicions: Open cases.
        observer: Knows the offset and the facts of this node.
    """

    def __init__(
        self, *, table: MemberTable, suspicions: Suspicions, observer: PeerObserver
    ) -> None:
        self._table = table
        self._suspicions = suspicions
        self._observer = observer
        self._updates: PiggybackQueue[Member] = PiggybackQueue()
        self._suspicion_queue: PiggybackQueue[Suspicion] = PiggybackQueue()

    def spread(self, member: Member) -> None:
        """Queue the description of a member."""
        self._updates.add(member.name, member)

    def claim(self, suspicion: Suspicion) -> None:
        """Queue a claim."""
        self._suspicion_queue.add(f"{suspicion.name}/{suspicion.witness}", suspicion)

    def payload(self, sequence: int, *, about: Member) -> GossipPayload:
        """Return the fields of a message to the member ``about``.

        What is held against the receiver itself goes first, so that it can refute.
        """
        size = len(self._table.members())
        tombstone = self._table.tombstone_of(about)
        updates = self._updates.take(MAX_UPDATES, members=size)
        if tombstone is not None:
            updates = (tombstone, *updates[: MAX_UPDATES - 1])
        claims = self._suspicion_queue.take(MAX_SUSPICIONS, members=size)
        if about.name in self._suspicions:
            claims = (*self._suspicions.suspicions_about(about.name), *claims)[:MAX_SUSPICIONS]
        return GossipPayload(
            sequence,
            self._table.own,
            tuple(m for m in updates if m.state != MemberState.SUSPECT),
            self._observer.offset,
            self._observer.facts_digest,
            claims,
            self._table.digest.combined,
        )
