"""Selects the peers of a node: its own zone directly, each other zone through a relay."""

from __future__ import annotations

from collections.abc import Iterable
from heapq import nsmallest
from random import Random
from typing import Any

from attrs import frozen

from ..errors import MessageRejected
from ..rendezvous import weight
from ..transport.messages import message_codec
from ..transport.send import Send
from .entry import NodeEntry, NodeTable

RELAY_CANDIDATES = 3
"""Nodes of another zone among which a node chooses a relay for each message. A message that a dead
relay loses is likely followed by one through another relay, and few connections cross zones."""

NESTED = "nested relayed message"

_RELAY_SCOPE = "relays"


@message_codec.register("h-rly")
@frozen
class Relayed:
    """A message for all nodes of the receiver's zone.

    Attributes:
        content: The encoded message.
    """

    content: bytes

    @classmethod
    def of(cls, message: Any) -> Relayed:
        """Wrap a message."""
        return cls(message_codec.encode(message))

    def message(self) -> Any:
        """Return the message.

        Raises:
            MessageRejected: If the content cannot be decoded, or would be forwarded again.
        """
        message = message_codec.decode(self.content)
        if isinstance(message, Relayed):
            raise MessageRejected(NESTED)
        return message


class Fanout:
    """Sends one copy of a message to each node of the own zone and to one relay of each other zone.

    The bytes between zones grow with the number of zones, and the connections of a node with the
    size of its zone.

    Args:
        own: Entry of this node.
        table: Entries of all nodes.
        random: Source of random numbers.
    """

    def __init__(self, own: NodeEntry, *, table: NodeTable, random: Random) -> None:
        self._name = own.name
        self._zone = own.availability_zone
        self._table = table
        self._random = random

    def zone(self) -> list[NodeEntry]:
        """Return the entries of the other nodes of the own zone."""
        return self._table.others_in(self._zone)

    def relays(self, *, count: int = 1) -> list[NodeEntry]:
        """Return up to ``count`` relays of each other zone."""
        chosen: list[NodeEntry] = []
        for zone in self._table.zones():
            if zone != self._zone:
                candidates = self._candidates(self._table.others_in(zone))
                chosen += self._random.sample(candidates, min(count, len(candidates)))
        return chosen

    def to_zone(self, message: Any) -> list[Send]:
        """Return the message for each other node of the own zone."""
        return send_to(message, self.zone())

    def to_all(self, message: Any, *, relays: int = 1) -> list[Send]:
        """Return the message for the own zone, and for ``relays`` nodes of each other zone."""
        return self.to_zone(message) + send_to(Relayed.of(message), self.relays(count=relays))

    def exchange_peers(self, *, count: int, other_zone: bool) -> list[NodeEntry]:
        """Return random peers for an exchange.

        Args:
            count: Largest number of peers.
            other_zone: Whether one of them is of another zone.
        """
        relays = self.relays() if other_zone else []
        chosen = self._random.sample(relays, 1) if relays else []
        zone = self.zone() or ([] if chosen else self.relays())
        return chosen + self._random.sample(zone, min(count - len(chosen), len(zone)))

    def _candidates(self, nodes: Iterable[NodeEntry]) -> list[NodeEntry]:
        """Return the relay candidates; they differ between senders, which spreads the load."""
        scope = f"{_RELAY_SCOPE}/{self._name}"
        return nsmallest(RELAY_CANDIDATES, nodes, key=lambda node: weight(scope, node.name))


def send_to(message: Any, peers: Iterable[NodeEntry]) -> list[Send]:
    """Return one copy of a message for each peer."""
    return [Send(peer.peer_url, message) for peer in peers]
