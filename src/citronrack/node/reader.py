"""The reader task: polls the platform's log while the control task wants it."""

from __future__ import annotations

import threading
from collections.abc import Callable
from random import Random
from typing import Protocol

from ..errors import LogTrimmed, LogUnavailable
from ..log import LogClient
from ..log.records import RECORDS_STREAM, SNAPSHOTS_STREAM
from .mail import LogRead, LogReadFailed, Mailbox, SnapshotRead

LONG_POLL_MS = 2_000
PAGE_RECORDS = 1_000
IDLE_S = 0.25
BACKOFF_BASE_S = 0.2
BACKOFF_CAP_S = 10.0


class ReadingState(Protocol):
    """What the reader task needs to know of the control task."""

    @property
    def next_offset(self) -> int:
        """Next offset that the node folds."""

    @property
    def reads_log(self) -> bool:
        """Whether the log should be polled."""


class ReaderTask:
    """Long-polls the log and posts pages; owns its connection.

    Args:
        client: Access to the log, used by this task only.
        state: What to read.
        mailbox: Where pages go.
        random: Source of random numbers for backoff.
    """

    def __init__(
        self, *, client: LogClient, state: ReadingState, mailbox: Mailbox, random: Random
    ) -> None:
        self._client = client
        self._state = state
        self._mailbox = mailbox
        self._random = random
        self._stopping = threading.Event()
        self._failures = 0
        self._posted = 0

    def run(self) -> None:
        """Read until `stop` is called."""
        while not self._stopping.is_set():
            if not self._state.reads_log:
                self._stopping.wait(IDLE_S)
                continue
            self._step(self._poll)

    def stop(self) -> None:
        """Let `run` return after the present request."""
        self._stopping.set()

    def _step(self, action: Callable[[], None]) -> None:
        try:
            action()
            self._failures = 0
        except LogUnavailable as error:
            self._failures += 1
            self._mailbox.put(LogReadFailed(str(error)))
            ceiling = min(BACKOFF_CAP_S, BACKOFF_BASE_S * 2**self._failures)
            self._stopping.wait(self._random.uniform(0, ceiling))

    def _poll(self) -> None:
        start = max(self._posted, self._state.next_offset)
        try:
            page = self._client.read(
                RECORDS_STREAM, start, limit=PAGE_RECORDS, wait_ms=LONG_POLL_MS
            )
        except LogTrimmed:
            self._read_snapshot()
            return
        self._posted = start + len(page.records)
        self._mailbox.put(LogRead(page))

    def _read_snapshot(self) -> None:
        """Post the newest snapshot; its stream's end is found by an empty read."""
        try:
            end = self._client.read(SNAPSHOTS_STREAM, 0, limit=1, wait_ms=0).end
        except LogTrimmed as error:
            end = self._client.read(SNAPSHOTS_STREAM, error.first, limit=1, wait_ms=0).end
        page = self._client.read(SNAPSHOTS_STREAM, max(end - 1, 0), limit=1, wait_ms=0)
        if not page.records:
            raise LogUnavailable("the wanted offset is trimmed and no snapshot exists")
        self._mailbox.put(SnapshotRead(page.records[0][1]))
        self._stopping.wait(IDLE_S)
