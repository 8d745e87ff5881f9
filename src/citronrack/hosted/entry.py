"""Entries by which nodes know each other and their targets."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from functools import lru_cache, reduce
from operator import xor
from typing import Any

import xxhash
from attrs import field, frozen
from attrs.validators import min_len, optional

from .. import validators
from ..clock import Clock
from ..validators import MAX_NUMBER, MAX_SLOTS, MAX_TEXT
from .target import TargetLeave

RENEW_INTERVAL_S = 60.0
"""Interval at which a node renews its entry, so that entries of terminated nodes can expire."""

EXPIRE_AFTER_S = 200.0
"""Time without a renewal after which an entry is dropped; over three renewal intervals, so that
lost renewals do not drop the entry of a running node."""


DIGEST_BUCKETS = 32
"""Parts of a table that are compared separately, so that nodes whose tables differ in few entries
exchange the versions of few."""


_count = validators.between(0, MAX_NUMBER)
_text = validators.text(MAX_TEXT)


@frozen
class NodeEntry:
    """A node and its target.

    Entries are also read from the store, where another writer may leave odd ones, so their fields
    are validated.

    Attributes:
        name: Name of the node.
        boot: Wall time of the process start, in milliseconds, or one more than the boot of a newer
            entry under the same name; greater ones are newer.
        revision: Sequence number of the entry within the process.
        availability_zone: Zone of the instance.
        peer_address: ``ip:port`` for messages of other nodes.
        deliver_address: ``ip:port`` for calls that other nodes forward.
        service: Service of the target, empty while it is unknown.
        service_version: Version of the service that the target runs.
        target_id: Id of this start of the target.
        slots: Calls that the target runs concurrently.
        serving: Whether the target takes calls.
        link_mbps: Bandwidth of the instance's link, in Mbit/s, 0 when it is unknown.
        limit_per_s: Calls a second that the target takes from all nodes together, None without a
            limit.
        target_started_ms: Wall time of the start of the target's process, 0 while it is unknown.
        left_target_id: Id of the target whose leaving the node acknowledged last, empty for none.
        left_started_ms: Wall time of the start of that target's process, 0 if it is unknown.
    """

    name: str = field(validator=[_text, min_len(1)])
    boot: int = field(validator=_count)
    revision: int = field(validator=_count)
    availability_zone: str = field(validator=_text)
    peer_address: str = field(validator=validators.address)
    deliver_address: str = field(validator=validators.address)
    service: str = field(default="", validator=_text)
    service_version: str = field(default="", validator=_text)
    target_id: str = field(default="", validator=_text)
    slots: int = field(default=1, validator=validators.between(1, MAX_SLOTS))
    serving: bool = False
    link_mbps: int = field(default=0, validator=_count)
    limit_per_s: float | None = field(default=None, validator=optional(_count))
    target_started_ms: int = field(default=0, validator=_count)
    left_target_id: str = field(default="", validator=_text)
    left_started_ms: int = field(default=0, validator=_count)

    @property
    def left(self) -> TargetLeave | None:
        """The leaving that the node acknowledged last, None for none."""
        if not self.left_target_id:
            return None
        return TargetLeave(self.left_target_id, self.left_started_ms or None)

    @property
    def peer_url(self) -> str:
        """Address for messages of other nodes, as the transport takes it."""
        return f"tcp://{self.peer_address}"

    @property
    def log_fields(self) -> dict[str, Any]:
        """Fields of a log line about the entry."""
        return {
            "peer": self.name,
            "boot": self.boot,
            "revision": self.revision,
            "serving": self.serving,
            "target_id": self.target_id,
            "service_version": self.service_version,
            "limit_per_s": self.limit_per_s,
        }

    @property
    def version(self) -> tuple[int, int]:
        """Version of the entry; greater for newer entries of the same node."""
        return self.boot, self.revision


class NodeTable:
    """The newest entry of each node.

    Args:
        own_name: Name of this node, whose entry only the node itself changes.
        clock: Source of time.
    """

    def __init__(self, *, own_name: str, clock: Clock) -> None:
        self._own_name = own_name
        self._clock = clock
        self._entries: dict[str, NodeEntry] = {}
        self._renewed_at: dict[str, float] = {}
        self._by_address: dict[str, str] = {}
        self._dropped: dict[str, tuple[tuple[int, int], float]] = {}
        self._digests = [0] * DIGEST_BUCKETS
        self._zones: dict[str, dict[str, NodeEntry]] = {}

    @property
    def digest(self) -> int:
        """Hash over all entries; equal for tables with the same entries."""
        return reduce(xor, self._digests)

    @property
    def digests(self) -> tuple[int, ...]:
        """Hashes over the entries of each bucket."""
        return tuple(self._digests)

    def zones(self) -> tuple[str, ...]:
        """Return the zones of all entries."""
        return tuple(self._zones)

    def entries(self) -> tuple[NodeEntry, ...]:
        """Return all entries, including this node's."""
        return tuple(self._entries.values())

    def others(self) -> tuple[NodeEntry, ...]:
        """Return the entries of other nodes."""
        return tuple(entry for entry in self._entries.values() if entry.name != self._own_name)

    def others_in(self, availability_zone: str) -> list[NodeEntry]:
        """Return the entries of other nodes in a zone."""
        nodes = self._zones.get(availability_zone, {})
        return [entry for entry in nodes.values() if entry.name != self._own_name]

    def get(self, name: str) -> NodeEntry | None:
        """Return the entry of a node, None when it is not known."""
        return self._entries.get(name)

    def at(self, peer_url: str) -> NodeEntry | None:
        """Return the entry of the node that sends messages from an address, None for none."""
        entries = self._entries.values()
        return next((entry for entry in entries if entry.peer_url == peer_url), None)

    def put(self, entry: NodeEntry) -> bool:
        """Store an entry if it is newer than the known one; return whether it was."""
        known = self._entries.get(entry.name)
        if known is not None and entry.version <= known.version:
            return False
        if entry.version <= self._dropped.get(entry.name, ((-1, -1), 0.0))[0]:
            return False  # Sent by a node that has not dropped the entry yet.
        holder = self._by_address.get(entry.deliver_address)
        if holder not in (None, entry.name) and not self._claim_address(holder, entry):
            return False
        if known is not None:
            self._unlink(known)
        self._by_address[entry.deliver_address] = entry.name
        self._entries[entry.name] = entry
        self._zones.setdefault(entry.availability_zone, {})[entry.name] = entry
        self._renewed_at[entry.name] = self._clock.monotonic()
        self._digests[_bucket(entry.name)] ^= _hash(entry)
        return True

    def expire(self) -> list[NodeEntry]:
        """Drop and return the entries that were not renewed for `EXPIRE_AFTER_S`."""
        now = self._clock.monotonic()
        limit = now - EXPIRE_AFTER_S
        self._dropped = {
            name: dropped for name, dropped in self._dropped.items() if dropped[1] >= limit
        }
        expired = [
            entry
            for name, entry in self._entries.items()
            if name != self._own_name and self._renewed_at[name] < limit
        ]
        for entry in expired:
            self._drop(entry)
        return expired

    def _claim_address(self, holder: str | None, entry: NodeEntry) -> bool:
        """Drop the previous holder of an entry's address; return False if the holder is newer.

        Addresses of terminated instances are reused.
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
        self._unlink(entry)

    def _unlink(self, entry: NodeEntry) -> None:
        """Remove an entry from its zone and its bucket."""
        self._digests[_bucket(entry.name)] ^= _hash(entry)
        zone = self._zones[entry.availability_zone]
        del zone[entry.name]
        if not zone:
            del self._zones[entry.availability_zone]

    def differing_buckets(self, digests: Collection[int]) -> tuple[int, ...]:
        """Return the buckets in which a table with these digests differs; all if it has none."""
        if len(digests) != DIGEST_BUCKETS:
            return tuple(range(DIGEST_BUCKETS))
        pairs = zip(self._digests, digests, strict=True)
        return tuple(bucket for bucket, (own, other) in enumerate(pairs) if own != other)

    def versions(self, buckets: Collection[int]) -> tuple[tuple[str, int, int], ...]:
        """Return name, boot and revision of the entries in some buckets."""
        return tuple(
            (entry.name, *entry.version)
            for entry in self._entries.values()
            if _bucket(entry.name) in buckets
        )

    def newer_than(
        self, versions: Iterable[tuple[str, int, int]], buckets: Collection[int]
    ) -> tuple[NodeEntry, ...]:
        """Return the entries of some buckets that the given versions lack or have older.

        Args:
            versions: Name, boot and revision of each entry.
            buckets: Buckets that the versions cover.
        """
        known = {name: (boot, revision) for name, boot, revision in versions}
        return tuple(
            entry
            for entry in self._entries.values()
            if _bucket(entry.name) in buckets and entry.version > known.get(entry.name, (-1, -1))
        )


@lru_cache(maxsize=8192)
def _bucket(name: str) -> int:
    return int(xxhash.xxh64_intdigest(name.encode())) % DIGEST_BUCKETS


def _hash(entry: NodeEntry) -> int:
    return int(xxhash.xxh64_intdigest(f"{entry.name}\0{entry.boot}\0{entry.revision}".encode()))
