"""Finds out which members answer."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random
from typing import Any, Protocol

from ..clock import Clock
from ..transport.send import Send
from .member import Member
from .messages import Ack, Ping
from .table import MemberTable

PING_INTERVAL_S = 1.0
MAX_UPDATES = 8


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


class FailureDetector:
    """Pings members and spreads their descriptions.

    Args:
        table: Members of the own zone.
        clock: Source of time.
        random: Source of random numbers.
        seeds: Addresses of nodes to ask at the start, ``tcp://ip:port``.
        observer: Told about the offsets of other nodes.
    """

    MESSAGES: tuple[type[Any], ...] = (Ping, Ack)

    def __init__(
        self,
        *,
        table: MemberTable,
        clock: Clock,
        random: Random,
        seeds: Sequence[str],
        observer: PeerObserver,
    ) -> None:
        self._table = table
        self._clock = clock
        self._random = random
        self._seeds = tuple(seeds)
        self._observer = observer
        self._sequence = 0
        self._next_ping = 0.0

    def on_message(self, sender: str, message: Any) -> list[Send]:
        """Merge what a ping or an answer says, and answer pings."""
        self._table.merge((message.member, *message.updates))
        effects = self._observer.peer_observed(
            sender, offset=message.offset, facts_digest=message.facts_digest
        )
        if isinstance(message, Ping):
            effects.append(Send(sender, Ack(*self._content(message.sequence))))
        return effects

    def on_tick(self) -> list[Send]:
        """Ping one member when it is time."""
        now = self._clock.monotonic()
        if now < self._next_ping:
            return []
        self._next_ping = now + PING_INTERVAL_S
        addresses = [m.address for m in self._table.members() if m.name != self._table.own.name]
        choices = addresses or [seed for seed in self._seeds if seed != self._table.own.address]
        if not choices:
            return []
        self._sequence += 1
        return [Send(self._random.choice(choices), Ping(*self._content(self._sequence)))]

    def _content(self, sequence: int) -> tuple[int, Member, tuple[Member, ...], int, int]:
        others = [m for m in self._table.all_members() if m.name != self._table.own.name]
        updates = tuple(self._random.sample(others, min(MAX_UPDATES, len(others))))
        observer = self._observer
        return sequence, self._table.own, updates, observer.offset, observer.facts_digest
