"""Interface of the platform's log service."""

from __future__ import annotations

from typing import Protocol

from attrs import frozen

from ..errors import LogUnavailable


class LogPageTooLarge(LogUnavailable):
    """A page exceeds the client's limit; a request for fewer records may succeed."""


@frozen
class LogPage:
    """Part of a stream.

    Attributes:
        first: Oldest retained offset.
        end: Offset of the next append.
        records: Pairs of offset and bytes, in order of offset and without gaps.
    """

    first: int
    end: int
    records: tuple[tuple[int, bytes], ...]


class LogClient(Protocol):
    """Access to the streams of the platform's log."""

    def append(self, stream: str, data: bytes) -> int:
        """Append one record and return its offset.

        Raises:
            AppendUnknown: When no response arrived; the record may be in the log.
            AppendRefused: When the service refused; the record is not in the log.
        """

    def read(self, stream: str, start: int, *, limit: int, wait_ms: int) -> LogPage:
        """Return up to ``limit`` records from offset ``start`` on.

        Args:
            stream: Name of the stream.
            start: First offset to return.
            limit: Largest number of records.
            wait_ms: Time for which the service may hold the request while there are no records.

        Raises:
            LogUnavailable: When no response arrived.
            LogTrimmed: When ``start`` is older than the oldest retained record.
        """
