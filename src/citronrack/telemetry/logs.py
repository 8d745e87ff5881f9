"""Structured log lines, rendered and written by a task of their own."""

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
"""Lines of one event that are written in a second. Failures have more room than successes, so that
a flood of calls leaves out successes first."""

FLUSH_INTERVAL_S = 0.1
"""Longest delay of a line."""

_LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}


@define
class _Budget:
    """Lines of one event in the present second."""

    second: int = 0
    written: int = 0
    left_out: int = 0


class EventLog:
    """Accepts events from any thread and writes them as JSON lines.

    A call thread only puts a tuple into a queue; rendering happens in the task that runs `run`.
    Lines beyond the queue's limit or the event's budget are counted and dropped, so a slow
    terminal delays no calls.

    Args:
        node: Name of the node, added to each line.
        level: Lowest level that is written.
        stream: Where the lines go.
        lines_per_second: Most lines of one event in a second, by level; None for no limit.
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
        self._budgets = {event: _Budget() for event in EVENTS}
        self._logger = structlog.wrap_logger(
            structlog.PrintLogger(stream if stream is not None else sys.stderr),
            processors=[structlog.processors.JSONRenderer()],
        ).bind(node=node)

    @property
    def dropped(self) -> int:
        """Number of lines lost because the queue was full or a budget was used up."""
        return self._dropped

    def is_enabled(self, event: Event) -> bool:
        """Return whether lines of an event are written at the present level."""
        return _LEVELS[EVENTS[event].level] >= self._threshold

    def write(self, event: Event, **fields: Any) -> None:
        """Queue one line; never blocks.

        Args:
            event: Number from the catalogue.
            fields: Values that JSON can hold.
        """
        if not self.is_enabled(event):
            return
        now = time.time()
        if self._queue.qsize() >= MAX_QUEUED_LINES or not self._within_budget(event, now):
            self._dropped += 1
            return
        self._queue.put((event, now, fields))

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
                # Lines that follow soon are written in one turn: each turn of this task takes the
                # interpreter from a call.
                self._stopping.wait(FLUSH_INTERVAL_S)

    def stop(self) -> None:
        """Let `run` return after the lines that are already queued."""
        self._stopping.set()
        self._queue.put(None)

    def _within_budget(self, event: Event, now: float) -> bool:
        """Count a line; two threads may miscount by one, which only moves the limit a little."""
        if self._limits is None:
            return True
        budget = self._budgets[event]
        second = int(now)
        if second != budget.second:
            left_out, budget.left_out = budget.left_out, 0
            budget.second, budget.written = second, 0
            if left_out:
                fields = {"of": event.name.lower(), "lines": left_out}
                self._queue.put((Event.LINES_LEFT_OUT, now, fields))
        if budget.written >= self._limits[EVENTS[event].level]:
            budget.left_out += 1
            return False
        budget.written += 1
        return True
