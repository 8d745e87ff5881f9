"""In-process fake of the platform's log service."""

from __future__ import annotations

from collections.abc import Callable

from attrs import define, field

from ..errors import LogTrimmed, LogUnavailable
from ..log import LogFold, LogPage
from ..log.records import RECORDS_STREAM, SNAPSHOTS_STREAM, Confirmed
from .observations import ConfigAccepted, ConfigRefused, LogState, Observation
from .schema import LogSpec
from .timeline import Timeline

OnPage = Callable[[LogPage], None]


@define
class _Stream:
    first: int = 0
    records: list[bytes] = field(factory=list)

    @property
    def end(self) -> int:
        return self.first + len(self.records)


class FakeLog:
    """An append-only log with outages, delays, lost responses and limited retention.

    It folds its own records, to determine which version should be in force.

    Args:
        spec: Delay and retention.
        timeline: Simulated time.
        emit: Receives observations.
    """

    def __init__(
        self, spec: LogSpec, *, timeline: Timeline, emit: Callable[[Observation], None]
    ) -> None:
        self._timeline = timeline
        self._emit = emit
        self._retention = spec.retention
        self._streams = {RECORDS_STREAM: _Stream(), SNAPSHOTS_STREAM: _Stream()}
        self._append_callbacks: list[Callable[[], None]] = []
        self.delay_s = spec.delay_ms / 1000
        self.up = True
        self.answers_to_lose = 0
        self.fold = LogFold()

    def set_available(self, up: bool) -> None:
        """Start or end an outage."""
        self.up = up
        self._emit(LogState(self._timeline.now, up))

    def append(self, stream: str, data: bytes) -> int:
        """Append a record and return its offset.

        Raises:
            LogUnavailable: During an outage; the record is not appended.
        """
        if not self.up:
            raise LogUnavailable("status 503")
        target = self._streams[stream]
        offset = target.end
        target.records.append(data)
        self._trim(target, target.end - self._retention)
        if stream == RECORDS_STREAM:
            self._fold(offset, data)
            callbacks, self._append_callbacks = self._append_callbacks, []
            for callback in callbacks:
                callback()
        return offset

    def take_lost_answer(self) -> bool:
        """Return whether the response to the last append is lost, and count it off."""
        lost = self.answers_to_lose > 0
        self.answers_to_lose -= int(lost)
        return lost

    def read(self, stream: str, start: int, *, limit: int) -> LogPage:
        """Return the available records without waiting.

        Raises:
            LogUnavailable: During an outage.
            LogTrimmed: When ``start`` is no longer retained.
        """
        if not self.up:
            raise LogUnavailable("status 503")
        source = self._streams[stream]
        if start < source.first:
            raise LogTrimmed(source.first)
        chosen = source.records[start - source.first : start - source.first + limit]
        return LogPage(source.first, source.end, tuple(enumerate(chosen, start)))

    def notify_on_append(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` once, after the next append of a record."""
        self._append_callbacks.append(callback)

    def end(self, stream: str) -> int:
        """Return the offset of the next append."""
        return self._streams[stream].end

    def trim(self, keep: int) -> None:
        """Drop all but the newest ``keep`` records."""
        stream = self._streams[RECORDS_STREAM]
        self._trim(stream, stream.end - keep)

    @staticmethod
    def _trim(stream: _Stream, first: int) -> None:
        dropped = min(max(first - stream.first, 0), len(stream.records))
        del stream.records[:dropped]
        stream.first += dropped

    def _fold(self, offset: int, data: bytes) -> None:
        before = self.fold.config
        result = self.fold.apply(offset, data)
        now = self._timeline.now
        if self.fold.config is not before:
            self._emit(ConfigAccepted(now, self.fold.config))
        elif isinstance(result.body, Confirmed) and result.reason != "duplicate":
            self._emit(ConfigRefused(now, offset, result.reason))
