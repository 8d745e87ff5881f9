"""Gossip that pings and acks carry: member updates, suspicions and digests."""

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
    """Tracks the log offsets of other nodes."""

    @property
    def offset(self) -> int:
        """Next offset to fold on this node."""

    @property
    def facts_digest(self) -> int:
        """Digest of this node's facts."""

    def peer_observed(self, address: str, *, offset: int, facts_digest: int) -> list[Send]:
        """Compare the state of a peer with the own one and return what to send."""

    def peer_offsets(self) -> dict[str, int | None]:
        """Return the next offset of each other live member, None while it is unknown."""


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
        """Return a message of class ``kind`` with this payload."""
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
    """Queues updates and suspicions, and adds them to pings and acks.

    Args:
        table: Members of the own zone.
        suspicions: Pending suspicions.
        observer: Provides the offset and the facts digest of this node.
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
        """Queue the description of a member for gossip."""
        self._updates.add(member.name, member)

    def spread_suspicion(self, suspicion: Suspicion) -> None:
        """Queue a suspicion for gossip."""
        self._suspicion_queue.add(f"{suspicion.name}/{suspicion.witness}", suspicion)

    def payload(self, sequence: int, *, about: Member) -> GossipPayload:
        """Return the payload of a message to the member ``about``.

        Its tombstone and the suspicions against it come first, so that it can refute them.
        """
        size = len(self._table.members())
        tombstone = self._table.tombstone_of(about)
        updates = self._updates.take(MAX_UPDATES, members=size)
        if tombstone is not None:
            updates = (tombstone, *updates[: MAX_UPDATES - 1])
        suspicions = self._suspicion_queue.take(MAX_SUSPICIONS, members=size)
        if about.name in self._suspicions:
            suspicions = (*self._suspicions.suspicions_about(about.name), *suspicions)[
                :MAX_SUSPICIONS
            ]
        return GossipPayload(
            sequence,
            self._table.own,
            tuple(m for m in updates if m.state != MemberState.SUSPECT),
            self._observer.offset,
            self._observer.facts_digest,
            suspicions,
            self._table.digest.combined,
        )
