"""Interface of the platform's store."""

from __future__ import annotations

from typing import Protocol

from attrs import frozen

from ..errors import LogError

MESH_TOPIC = "keyed.mesh"
"""Topic of the nodes' own records."""

BACKOFF_CAP_S = 1.0
"""Longest pause after failures: the store must be found again well within two seconds."""


class AppendConflict(LogError):
    """The topic does not end where the writer expected; nothing was written.

    Args:
        end: Offset that the next append will get.
    """

    def __init__(self, end: int) -> None:
        super().__init__(f"the topic ends at offset {end}")
        self.end = end


@frozen
class KeyedRecord:
    """The newest record of a key.

    Attributes:
        key: The key.
        value: Its value, None when the key was removed.
        offset: Position in the topic; greater ones are newer.
    """

    key: str
    value: bytes | None
    offset: int


@frozen
class KeyedPage:
    """Records of a topic, and where to read on.

    Attributes:
        records: By offset.
        position: First offset that is not covered.
        complete: Whether the topic ended at ``position`` when the store made the page.
        start: First offset that is covered; what lies before it may be missing.
    """

    records: tuple[KeyedRecord, ...]
    position: int
    complete: bool = True
    start: int = 0


class KeyedStore(Protocol):
    """Access to topics that keep the newest record of each key; used by one thread."""

    def newest(self, topic: str, *, timeout_ms: int) -> KeyedPage:
        """Return the newest record of each key.

        Args:
            topic: Name of the topic.
            timeout_ms: Longest time of each call; a large topic takes several.

        Raises:
            LogUnavailable: When no answer arrived.
        """

    def read(self, topic: str, start: int, *, wait_ms: int, timeout_ms: int) -> KeyedPage:
        """Return the records from offset ``start`` on.

        Args:
            topic: Name of the topic.
            start: First wanted offset.
            wait_ms: How long the store may hold the request when nothing is there.
            timeout_ms: Longest time of the call beyond that.

        Raises:
            LogUnavailable: When no answer arrived.
            LogTrimmed: When records from ``start`` on are no longer kept.
        """

    def put(
        self, topic: str, key: str, value: bytes | None, *, expected_end: int | None = None
    ) -> int:
        """Write a record, or remove a key, and return the offset.

        Args:
            topic: Name of the topic.
            key: The key.
            value: Its value, None to remove the key.
            expected_end: Write only if the topic ends at this offset.

        Raises:
            AppendConflict: When the topic ends elsewhere.
            AppendRefused: When the store refused; nothing was written.
            AppendUnknown: When no answer arrived; the record may be written, also later.
        """

    def close(self) -> None:
        """Close the connection."""
