"""An append-only log in memory with retention and fault injection, for tests and benchmarks."""

from __future__ import annotations

import threading
from collections import deque
from itertools import islice

from attrs import define, field

from ..clock import Clock, SystemClock
from ..errors import AppendUnknown, LogTrimmed, LogUnavailable
from ..log.client import LogPage


@define
class LogFaults:
    """Faults to inject into the service.

    Attributes:
        outage: Whether every request fails.
        lose_answers: Number of following appends that take effect without a response.
        duplicate_appends: Number of following appends that take effect twice.
        hold_appends: Number of following appends that get no response and only take effect when
            `LogStore.release_held` is called.
        delay_ms: Additional time before each response; applied by the HTTP service only.
    """

    outage: bool = False
    lose_answers: int = 0
    duplicate_appends: int = 0
    hold_appends: int = 0
    delay_ms: int = 0


@define
class _Stream:
    first: int = 0
    records: deque[tuple[float, bytes]] = field(factory=deque)

    @property
    def end(self) -> int:
        return self.first + len(self.records)

    def drop_oldest(self) -> None:
        self.records.popleft()
        self.first += 1


class LogStore:
    """Streams of records, protected by one lock.

    Args:
        clock: Clock for retention by age.
        retention: Number of records that each stream retains.
        retention_s: Seconds for which a record is retained, None for no limit.
    """

    def __init__(
        self,
        *,
        clock: Clock | None = None,
        retention: int = 100_000,
        retention_s: float | None = None,
    ) -> None:
        self.faults = LogFaults()
        self.changed = threading.Condition()
        self._clock = clock if clock is not None else SystemClock()
        self._retention = retention
        self._retention_s = retention_s
        self._streams: dict[str, _Stream] = {}
        self._held: list[tuple[str, bytes]] = []
        self._appends = 0
        self._reads = 0

    @property
    def appends(self) -> int:
        """Number of append requests, including failed ones."""
        with self.changed:
            return self._appends

    @property
    def reads(self) -> int:
        """Number of read requests, including failed ones."""
        with self.changed:
            return self._reads

    def append(self, name: str, data: bytes) -> int:
        """Append one record and return its offset.

        Raises:
            AppendUnknown: When an injected fault leaves the request without a response.
        """
        with self.changed:
            self._appends += 1
            if self.faults.outage:
                raise AppendUnknown("the log is down")
            if self._consume_fault("hold_appends"):
                self._held.append((name, data))
                raise AppendUnknown("the append is delayed")
            offset = self._store(name, data)
            if self._consume_fault("duplicate_appends"):
                offset = self._store(name, data)
            if self._consume_fault("lose_answers"):
                raise AppendUnknown("the response was lost")
            return offset

    def release_held(self) -> None:
        """Apply all delayed appends now."""
        with self.changed:
            held, self._held = self._held, []
            for name, data in held:
                self._store(name, data)

    def end(self, name: str) -> int:
        """Return the offset of the next record of a stream."""
        with self.changed:
            return self._stream(name).end

    def trim(self, name: str, first: int) -> None:
        """Drop all records of a stream below offset ``first``."""
        with self.changed:
            stream = self._stream(name)
            while stream.records and stream.first < first:
                stream.drop_oldest()

    def read(self, name: str, start: int, *, limit: int) -> LogPage:
        """Return up to ``limit`` records starting at ``start``, without waiting.

        Raises:
            LogUnavailable: During an outage.
            LogTrimmed: When ``start`` is older than the oldest retained record.
        """
        with self.changed:
            self._reads += 1
            if self.faults.outage:
                raise LogUnavailable("the log is down")
            stream = self._stream(name)
            if start < stream.first:
                raise LogTrimmed(stream.first)
            chosen = islice(stream.records, start - stream.first, start - stream.first + limit)
            records = tuple((start + index, data) for index, (_, data) in enumerate(chosen))
            return LogPage(stream.first, stream.end, records)

    def _consume_fault(self, fault: str) -> bool:
        """Return whether a counted fault applies, and decrement its count."""
        left: int = getattr(self.faults, fault)
        setattr(self.faults, fault, max(0, left - 1))
        return left > 0

    def _store(self, name: str, data: bytes) -> int:
        stream = self._stream(name)
        offset = stream.end
        stream.records.append((self._clock.monotonic(), data))
        self._stream(name)
        self.changed.notify_all()
        return offset

    def _stream(self, name: str) -> _Stream:
        """Return a stream after applying its retention."""
        stream = self._streams.setdefault(name, _Stream())
        while len(stream.records) > self._retention:
            stream.drop_oldest()
        if self._retention_s is not None:
            oldest_kept = self._clock.monotonic() - self._retention_s
            while stream.records and stream.records[0][0] < oldest_kept:
                stream.drop_oldest()
        return stream


class MemoryLogClient:
    """A `LogClient` that accesses a store directly.

    Args:
        store: Store of the streams.
    """

    def __init__(self, store: LogStore) -> None:
        self._store = store

    def append(self, stream: str, data: bytes) -> int:
        """Append one record; see `LogClient.append`."""
        return self._store.append(stream, data)

    def read(self, stream: str, start: int, *, limit: int, wait_ms: int) -> LogPage:
        """Return a page without waiting; see `LogClient.read`."""
        return self._store.read(stream, start, limit=limit)
