"""Interface of the platform's log service."""

from __future__ import annotations

from typing import Protocol

from attrs import frozen

from ..errors import LogUnavailable


class LogPageTooLarge(LogUnavailable):
    """A page exceeds what the client accepts; fewer records per page may fit."""


@frozen
class LogPage:
    """Part of a stream.

    Attributes:
        first: Oldest retained offset.
        end: Offset that the next append will get.
        records: Pairs of offset and bytes, by offset without gaps.
    """

    first: int
    end: int
    records: tuple[tuple[int, bytes], ...]


class LogClient(Protocol):
    """Access to the streams of the platform's log."""

    def append(self, stream: str, data: bytes) -> int:
        """Append one record and return its offset.

        Raises:
            AppendUnknown: When no answer arrived; the record may be in the log.
            AppendRefused: When the service refused; the record is not in the log.
        """

    def read(self, stream: str, start: int, *, limit: int, wait_ms: int) -> LogPage:
        """Return up to ``limit`` records from offset ``start`` on.

        Args:
            stream: Name of the stream.
            start: First wanted offset.
            limit: Largest number of records.
            wait_ms: How long the service may hold the request when nothing is there.

        Raises:
            LogUnavailable: When no answer arrived.
            LogTrimmed: When ``start`` is older than the oldest retained record.
        """
