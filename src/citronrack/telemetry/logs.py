"""Structured log lines, rendered and written by a separate task."""

from __future__ import annotations

import queue
import sys
import threading
import time
from typing import Any, TextIO

import structlog
from attrs import define

from .events import EVENTS, Event

MAX_QUEUED_LINES = 10_000
LINES_PER_SECOND = {"debug": 20, "info": 60, "warning": 200, "error": 200}
"""Maximum number of lines of one event per second, by level. Failures have a higher limit than
successes, so that under a flood of calls successes are dropped first."""

FLUSH_INTERVAL_S = 0.1
"""Maximum delay of a line."""

_LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}


@define
class _LineCount:
    """Lines of one event in the current second, counted for its rate limit."""

    second: int = 0
    written: int = 0
    dropped: int = 0


class EventLog:
    """Accepts events from any thread and writes them as JSON lines.

    A call thread only puts a tuple into a queue; rendering happens in the task that runs `run`.
    Lines beyond the limit of the queue or the rate limit of the event are counted and dropped, so
    that a slow terminal delays no calls.

    Args:
        node: Name of the node, added to each line.
        level: Lowest level to write.
        stream: Output stream, stderr by default.
        lines_per_second: Maximum lines of one event per second, by level; None for no limit.
    """

    def __init__(
        self,
        *,
        node: str,
        level: str = "info",
        stream: TextIO | None = None,
        lines_per_second: dict[str, int] | None = None,
    ) -> None:
        self._threshold = _LEVELS[level]
        self._queue: queue.SimpleQueue[tuple[Event, float, dict[str, Any]] | None] = (
            queue.SimpleQueue()
        )
        self._dropped = 0
        self._stopping = threading.Event()
        self._limits = lines_per_second
        self._line_counts = {event: _LineCount() for event in EVENTS}
        self._logger = structlog.wrap_logger(
            structlog.PrintLogger(stream if stream is not None else sys.stderr),
            processors=[structlog.processors.JSONRenderer()],
        ).bind(node=node)

    @property
    def dropped(self) -> int:
        """Number of lines dropped because of a full queue or a rate limit."""
        return self._dropped

    def is_enabled(self, event: Event) -> bool:
        """Return whether an event is written at the configured level."""
        return _LEVELS[EVENTS[event].level] >= self._threshold

    def write(self, event: Event, **fields: Any) -> None:
        """Queue one line without blocking.

        Args:
            event: Event of the catalogue.
            fields: Values that can be encoded as JSON.
        """
        if not self.is_enabled(event):
            return
        now = time.time()
        if self._queue.qsize() >= MAX_QUEUED_LINES or not self._within_limit(event, now):
            self._dropped += 1
            return
        self._queue.put((event, now, fields))

    def write_input_failure(self, kind: str, error: Exception) -> None:
        """Queue a line about an input whose handling raised an unexpected error.

        Args:
            kind: Kind of the input.
            error: The error.
        """
        self.write(Event.INPUT_FAILED, kind=kind, error=repr(error))

    def run(self) -> None:
        """Write lines until `stop` is called."""
        while (entry := self._queue.get()) is not None:
            event, written, fields = entry
            self._logger.msg(
                event.name.lower(),
                number=event.value,
                level=EVENTS[event].level,
                time=round(written, 6),
                **fields,
            )
            if self._queue.empty():
                # Batch the lines that follow soon: each wake-up of this task takes the
                # interpreter lock from the threads that handle calls.
                self._stopping.wait(FLUSH_INTERVAL_S)

    def stop(self) -> None:
        """Make `run` return after the lines that are already queued."""
        self._stopping.set()
        self._queue.put(None)

    def _within_limit(self, event: Event, now: float) -> bool:
        """Count a line; a race between threads may shift the limit by one, which is acceptable."""
        if self._limits is None:
            return True
        line_count = self._line_counts[event]
        second = int(now)
        if second != line_count.second:
            dropped, line_count.dropped = line_count.dropped, 0
            line_count.second, line_count.written = second, 0
            if dropped:
                fields = {"of": event.name.lower(), "lines": dropped}
                self._queue.put((Event.LINES_LEFT_OUT, now, fields))
        if line_count.written >= self._limits[EVENTS[event].level]:
            line_count.dropped += 1
            return False
        line_count.written += 1
        return True
