"""What a node tells others of itself and of the target beside it."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import xxhash
from attrs import frozen

from ..clock import Clock

RENEW_INTERVAL_S = 60.0
"""How often a node writes its entry again, so that entries of nodes that are gone can expire."""

EXPIRE_AFTER_S = 200.0
"""Time without a renewal after which an entry is dropped: three renewals may be lost."""


@frozen
class NodeEntry:
    """A node and its target.

    Attributes:
        name: Name of the node.
        boot: Start of the node's process; greater ones are newer.
        revision: Number of the entry within the start.
        availability_zone: Zone of the instance.
        peer_address: ``ip:port`` for messages of other nodes.
        deliver_address: ``ip:port`` for calls that other nodes pass on.
        service: Service of the target, empty while it is unknown.
        service_version: Release of the target.
        target_id: Id of the target's start.
        slots: Calls that the target runs at once.
        serving: Whether the target takes calls.
        link_mbps: Rate of the instance's link, in Mbit/s, 0 when it is unknown.
    """

    name: str
    boot: int
    revision: int
    availability_zone: str
    peer_address: str
    deliver_address: str
    service: str = ""
    service_version: str = ""
    target_id: str = ""
    slots: int = 1
    serving: bool = False
    link_mbps: int = 0

    @property
    def log_fields(self) -> dict[str, Any]:
        """What a log line says of the entry."""
        return {
            "peer": self.name,
            "boot": self.boot,
            "revision": self.revision,
            "serving": self.serving,
            "target_id": self.target_id,
            "service_version": self.service_version,
        }

    @property
    def version(self) -> tuple[int, int]:
        """Greater for newer entries of the same node."""
        return self.boot, self.revision


class NodeTable:
    """The newest entry of each node.

    Args:
        own_name: Name of the own node, whose entry only the node itself changes.
        clock: Source of time.
    """

    def __init__(self, *, own_name: str, clock: Clock) -> None:
        self._own_name = own_name
        self._clock = clock
        self._entries: dict[str, NodeEntry] = {}
        self._renewed_at: dict[str, float] = {}
        self._by_address: dict[str, str] = {}
        self._dropped: dict[str, tuple[tuple[int, int], float]] = {}
        self._digest = 0

    @property
    def digest(self) -> int:
        """Number that is the same for tables with the same entries."""
        return self._digest

    def entries(self) -> tuple[NodeEntry, ...]:
        """Return all entries, the own one included."""
        return tuple(self._entries.values())

    def others(self) -> tuple[NodeEntry, ...]:
        """Return the entries of other nodes."""
        return tuple(entry for entry in self._entries.values() if entry.name != self._own_name)

    def others_in(self, availability_zone: str) -> list[NodeEntry]:
        """Return the entries of other nodes of a zone."""
        return [entry for entry in self.others() if entry.availability_zone == availability_zone]

    def put(self, entry: NodeEntry) -> bool:
        """Take an entry and return whether it is newer than the known one."""
        known = self._entries.get(entry.name)
        if known is not None and entry.version <= known.version:
            return False
        if entry.version <= self._dropped.get(entry.name, ((-1, -1), 0.0))[0]:
            return False  # Another node has not dropped it yet.
        holder = self._by_address.get(entry.deliver_address)
        if holder not in (None, entry.name) and not self._claim_address(holder, entry):
            return False
        self._by_address[entry.deliver_address] = entry.name
        self._entries[entry.name] = entry
        self._renewed_at[entry.name] = self._clock.monotonic()
        self._digest ^= _hash(entry) ^ (_hash(known) if known is not None else 0)
        return True

    def expire(self) -> list[NodeEntry]:
        """Drop the entries that were not renewed for `EXPIRE_AFTER_S` and return them."""
        now = self._clock.monotonic()
        limit = now - EXPIRE_AFTER_S
        self._dropped = {name: drop for name, drop in self._dropped.items() if drop[1] >= limit}
        expired = [
            entry
            for name, entry in self._entries.items()
            if name != self._own_name and self._renewed_at[name] < limit
        ]
        for entry in expired:
            self._drop(entry)
        return expired

    def _claim_address(self, holder: str | None, entry: NodeEntry) -> bool:
        """Drop the node that had an entry's address before; False when that node is the newer one.

        Addresses of instances that are gone are used again.
        """
        known = self._entries.get(holder or "")
        if known is None:
            return True
        if known.boot >= entry.boot or known.name == self._own_name:
            return False
        self._drop(known)
        return True

    def _drop(self, entry: NodeEntry) -> None:
        del self._entries[entry.name], self._renewed_at[entry.name]
        if self._by_address.get(entry.deliver_address) == entry.name:
            del self._by_address[entry.deliver_address]
        self._dropped[entry.name] = (entry.version, self._clock.monotonic())
        self._digest ^= _hash(entry)

    def newer_than(self, versions: Iterable[tuple[str, int, int]]) -> tuple[NodeEntry, ...]:
        """Return the entries that a table with the given ``(name, boot, revision)`` lacks."""
        known = {name: (boot, revision) for name, boot, revision in versions}
        return tuple(
            entry
            for entry in self._entries.values()
            if entry.version > known.get(entry.name, (-1, -1))
        )


def _hash(entry: NodeEntry) -> int:
    return int(xxhash.xxh64_intdigest(f"{entry.name}\0{entry.boot}\0{entry.revision}".encode()))
