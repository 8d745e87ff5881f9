"""Interface of the platform's store."""

from __future__ import annotations

from typing import Protocol

from attrs import field, frozen

from ..errors import LogError
from .position import offset_of

MESH_TOPIC = "keyed.mesh"
"""Topic with the records of nodes and rollouts."""

BACKOFF_CAP_S = 1.0
"""Longest pause after failures; a recovered store must be used again well within two seconds."""


class AppendConflict(LogError):
    """The topic does not end at the expected position; nothing was written.

    Args:
        end: Position of the next append.
    """

    def __init__(self, end: int) -> None:
        super().__init__(f"the topic ends at offset {offset_of(end)}")
        self.end = end


def _size_of(value: bytes | None) -> str:
    return "None" if value is None else f"<{len(value)} bytes>"


@frozen
class KeyedRecord:
    """The newest record of a key.

    Attributes:
        key: The key.
        value: Its value, None when the key was removed; a dump shows only its size, because a
            configuration contains the keys of workspaces.
        position: Position in the topic; greater ones are newer.
    """

    key: str
    value: bytes | None = field(repr=_size_of)
    position: int


@frozen
class KeyedPage:
    """Records of a topic and the range of positions that they cover.

    Attributes:
        records: The records, ordered by position.
        position: First position that is not covered; the next read starts there.
        complete: Whether the topic ended at ``position`` when the store made the page.
        start: First position that is covered; records before it may be missing.
        unreadable: Number of records that the store sent and that could not be read.
    """

    records: tuple[KeyedRecord, ...]
    position: int
    complete: bool = True
    start: int = 0
    unreadable: int = 0

    def value(self, key: str) -> bytes | None:
        """Return the newest value of a key in the page, None when there is none."""
        values = [record.value for record in self.records if record.key == key]
        return values[-1] if values else None


class KeyedStore(Protocol):
    """Access to topics that keep the newest record of each key; used by one thread."""

    def newest(self, topic: str, *, timeout_ms: int) -> KeyedPage:
        """Return the newest record of each key.

        Args:
            topic: Name of the topic.
            timeout_ms: Timeout of each request; a large topic takes several.

        Raises:
            LogUnavailable: If no answer arrived.
        """

    def read(self, topic: str, start: int, *, wait_ms: int, timeout_ms: int) -> KeyedPage:
        """Return the records from position ``start`` on.

        Args:
            topic: Name of the topic.
            start: First requested position.
            wait_ms: How long the store may hold the request while there are no records.
            timeout_ms: Timeout of the request in addition to the wait.

        Raises:
            LogUnavailable: If no answer arrived.
            LogTrimmed: If records from ``start`` on are no longer retained, or the store has
                returned from a copy since it gave out that position.
        """

    def put(
        self, topic: str, key: str, value: bytes | None, *, expected_end: int | None = None
    ) -> int:
        """Write a record, or remove a key, and return the position.

        Args:
            topic: Name of the topic.
            key: The key.
            value: Its value, None to remove the key.
            expected_end: Write only if the topic ends at this position.

        Raises:
            AppendConflict: If the topic ends at another position.
            AppendRefused: If the store refused the write; nothing was written.
            AppendUnknown: If no answer arrived; the record may have been written or may still be.
        """

    def close(self) -> None:
        """Close the connection."""
