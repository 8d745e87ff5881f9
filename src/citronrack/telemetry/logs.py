"""Structured log lines, rendered and written by a task of their own."""

from __future__ import annotations

import queue
import sys
import time
from typing import Any, TextIO

import structlog

from .events import EVENTS, Event

MAX_QUEUED_LINES = 10_000
_LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}


class EventLog:
    """Accepts events from any thread and writes them as JSON lines.

    A call thread only puts a tuple into a queue; rendering happens in the task that runs `run`.
    Lines beyond the queue's limit are counted and dropped, so a slow terminal delays no calls.

    Args:
        node: Name of the node, added to each line.
        level: Lowest level that is written.
        stream: Where the lines go.
    """

    def __init__(self, *, node: str, level: str = "info", stream: TextIO | None = None) -> None:
        self._threshold = _LEVELS[level]
        self._queue: queue.SimpleQueue[tuple[Event, float, dict[str, Any]] | None] = (
            queue.SimpleQueue()
        )
        self._dropped = 0
        self._logger = structlog.wrap_logger(
            structlog.PrintLogger(stream if stream is not None else sys.stderr),
            processors=[structlog.processors.JSONRenderer()],
        ).bind(node=node)

    @property
    def dropped(self) -> int:
        """Number of lines lost because the queue was full."""
        return self._dropped

    def writes(self, event: Event) -> bool:
        """Return whether lines of an event are written at the present level."""
        return _LEVELS[EVENTS[event].level] >= self._threshold

    def write(self, event: Event, **fields: Any) -> None:
        """Queue one line; never blocks.

        Args:
            event: Number from the catalogue.
            fields: Values that JSON can hold.
        """
        if not self.writes(event):
            return
        if self._queue.qsize() >= MAX_QUEUED_LINES:
            self._dropped += 1
            return
        self._queue.put((event, time.time(), fields))

    def run(self) -> None:
        """Write lines until `stop` is called."""
        while True:
            entry = self._queue.get()
            if entry is None:
                return
            event, written, fields = entry
            self._logger.msg(
                event.name.lower(),
                number=event.value,
                level=EVENTS[event].level,
                time=round(written, 6),
                **fields,
            )

    def stop(self) -> None:
        """Let `run` return after the lines that are already queued."""
        self._queue.put(None)
