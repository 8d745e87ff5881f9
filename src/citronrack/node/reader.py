"""The reader task: polls the platform's log while the control task wants it."""

from __future__ import annotations

import threading
from collections.abc import Callable
from random import Random
from typing import Protocol

from ..backoff import Backoff
from ..clock import Clock, SystemClock
from ..errors import LogError, LogTrimmed, LogUnavailable
from ..log import LogClient, LogPage
from ..log.client import LogPageTooLarge
from ..log.records import RECORDS_STREAM
from ..log.snapshot import load_snapshot
from ..mailbox import Mailbox
from .mail import LogRead, LogReadFailed, SnapshotRead

LONG_POLL_MS = 2_000
PAGE_RECORDS = 1_000
IDLE_INTERVAL_S = 0.25
START_JITTER_S = 3.0  # 3,500 nodes that start together; leaves 6 s of the 9 s for reading
BACKOFF_CAP_S = 4.0  # a reader must find a change within 9 s after the log has come back
MIN_POLL_S = 0.05  # between polls that return records, so that bursts come in pages
MIN_EMPTY_POLL_S = 0.25  # between empty polls, when the service does not hold the request
MAX_AHEAD_RECORDS = 4_000  # posted and not yet folded; bounds the mailbox
STALL_S = 5.0  # records that are not folded after this time are read again


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
        random: Source of random numbers for jitter and backoff.
        clock: Source of time.
        wait: Waits for some seconds, by default until `stop` is called.
    """

    def __init__(
        self,
        *,
        client: LogClient,
        state: ReadingState,
        mailbox: Mailbox,
        random: Random,
        clock: Clock | None = None,
        wait: Callable[[float], object] | None = None,
    ) -> None:
        self._client = client
        self._state = state
        self._mailbox = mailbox
        self._random = random
        self._clock = clock if clock is not None else SystemClock()
        self._stopping = threading.Event()
        self._wait = wait if wait is not None else self._stopping.wait
        self._backoff = Backoff(random=random, cap_s=BACKOFF_CAP_S)
        self._page_records = PAGE_RECORDS
        self._posted = 0
        self._folded = 0
        self._folded_at = self._clock.monotonic()

    def run(self) -> None:
        """Read until `stop` is called."""
        self._wait(self._random.uniform(0.0, START_JITTER_S))
        while not self._stopping.is_set():
            self.step()

    def stop(self) -> None:
        """Let `run` return after the present request."""
        self._stopping.set()

    def step(self) -> None:
        """Make at most one poll, then wait as long as the result asks for."""
        if not self._state.reads_log:
            self._wait(IDLE_INTERVAL_S)
            return
        start = self._start()
        if start - self._state.next_offset >= MAX_AHEAD_RECORDS:
            self._wait(MIN_POLL_S)
            return
        try:
            self._poll(start)
        except LogPageTooLarge as error:
            self._page_records = max(1, self._page_records // 2)
            self._failed(error)
        except LogError as error:
            self._failed(error)

    def _start(self) -> int:
        """Return the offset to read next; goes back when posted records were not folded."""
        now = self._clock.monotonic()
        folded = self._state.next_offset
        if folded != self._folded or folded >= self._posted:
            self._folded = folded
            self._folded_at = now
        if now - self._folded_at > STALL_S:
            self._posted = folded
            self._folded_at = now
        return max(self._posted, folded)

    def _poll(self, start: int) -> None:
        began = self._clock.monotonic()
        try:
            page = self._client.read(
                RECORDS_STREAM, start, limit=self._page_records, wait_ms=LONG_POLL_MS
            )
        except LogTrimmed as error:
            self._read_snapshot(error.first)
            return
        check_page(page, start)
        self._backoff.reset()
        self._posted = start + len(page.records)
        self._mailbox.put(LogRead(page))
        if page.records:
            self._page_records = min(PAGE_RECORDS, self._page_records * 2)
        if page.records and self._posted < page.end:
            return
        least_s = MIN_POLL_S if page.records else MIN_EMPTY_POLL_S
        left_s = began + least_s - self._clock.monotonic()
        if left_s > 0:
            self._wait(left_s)

    def _read_snapshot(self, first: int) -> None:
        """Post the newest usable snapshot; reading goes on behind it."""
        loaded = load_snapshot(self._client, first=first)
        self._backoff.reset()
        self._posted = loaded.through
        self._mailbox.put(SnapshotRead(loaded.data))

    def _failed(self, error: LogError) -> None:
        self._mailbox.put(LogReadFailed(str(error)))
        self._wait(self._backoff.next_s())


def check_page(page: LogPage, start: int) -> None:
    """Refuse a page that does not continue at ``start``.

    Raises:
        LogUnavailable: When records are missing or the log ends before the wanted offset.
    """
    if page.end < start:
        raise LogUnavailable(f"the log ends at offset {page.end}, before the wanted {start}")
    if any(offset != start + index for index, (offset, _) in enumerate(page.records)):
        raise LogUnavailable(f"the log's page does not continue at offset {start}")
