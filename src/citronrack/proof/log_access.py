"""Fakes of the reader task and the append task of one node."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any

from attrs import frozen

from ..errors import LogTrimmed, LogUnavailable
from ..log import Envelope, encode_record
from ..log.records import RECORDS_STREAM, SNAPSHOTS_STREAM
from ..node.mail import AppendDone, AppendFate, LogRead, LogReadFailed, SnapshotDone, SnapshotRead
from ..node.reader import (
    BACKOFF_CAP_S,
    IDLE_INTERVAL_S,
    LONG_POLL_MS,
    PAGE_RECORDS,
    START_JITTER_S,
    ReadingState,
)
from .fake_log import FakeLog
from .network import PLATFORM, FakeNetwork
from .timeline import Timeline

RESPONSE_TIMEOUT_S = 5.0
BACKOFF_BASE_S = 0.2
MAX_APPEND_ATTEMPTS = 6


@frozen
class LogConnection:
    """Connection of one node to the log service.

    Attributes:
        timeline: Simulated time.
        log: The log service.
        network: Links between the zones and the platform.
        zone: Zone of the node.
        random: Source of random numbers.
    """

    timeline: Timeline
    log: FakeLog
    network: FakeNetwork
    zone: str
    random: Random

    @property
    def is_open(self) -> bool:
        """Whether the link between the node's zone and the platform is open."""
        return not self.network.is_blocked(self.zone, PLATFORM)

    @property
    def round_trip_s(self) -> float:
        """Time for a request and its response in seconds, including the service time."""
        return 2 * self.network.delay_s(self.zone, PLATFORM) + self.log.delay_s

    def backoff_s(self, failures: int) -> float:
        """Return the delay before a retry: exponential backoff with full jitter."""
        return self.random.uniform(0, min(BACKOFF_CAP_S, BACKOFF_BASE_S * 2**failures))


class FakeReader:
    """Polls the log like `ReaderTask` and posts the same messages to the core.

    Args:
        connection: Connection to the log service.
        state: Reading position of the core.
        post: Passes a message to the core; returns False when the process has ended.
    """

    def __init__(
        self, connection: LogConnection, *, state: ReadingState, post: Callable[[Any], bool]
    ) -> None:
        self._connection = connection
        self._state = state
        self._post = post
        self._posted_offset = 0
        self._failures = 0
        self._stopped = False

    def stop(self) -> None:
        """Stop with the process."""
        self._stopped = True

    def begin(self) -> None:
        """Schedule the first poll, with the same jitter as the real task."""
        self._connection.timeline.after(
            self._connection.random.uniform(0, START_JITTER_S), self.poll
        )

    def poll(self) -> None:
        """Send one request, or wait while the core does not read the log."""
        if self._stopped:
            return
        if not self._state.reads_log:
            self._connection.timeline.after(IDLE_INTERVAL_S, self.poll)
            return
        start = max(self._posted_offset, self._state.next_offset)
        if not self._connection.is_open:
            self._connection.timeline.after(
                RESPONSE_TIMEOUT_S, lambda: self._handle_failure("no answer")
            )
            return
        deadline = self._connection.timeline.now + LONG_POLL_MS / 1000
        self._connection.timeline.after(
            self._connection.round_trip_s / 2, lambda: self._serve(start, deadline)
        )

    def _serve(self, start: int, deadline: float) -> None:
        """Answer the request at the service, or hold it until a record arrives."""
        log, timeline = self._connection.log, self._connection.timeline
        try:
            page = log.read(RECORDS_STREAM, start, limit=PAGE_RECORDS)
        except LogTrimmed:
            timeline.after(self._connection.round_trip_s, self._snapshot)
            return
        except LogUnavailable as error:
            reason = str(error)
            timeline.after(self._connection.round_trip_s / 2, lambda: self._handle_failure(reason))
            return
        if not page.records and timeline.now < deadline:
            self._long_poll(start, deadline)
            return
        timeline.after(
            self._connection.round_trip_s / 2, lambda: self._receive(start, LogRead(page))
        )

    def _long_poll(self, start: int, deadline: float) -> None:
        served = False

        def serve() -> None:
            nonlocal served
            if not served:
                served = True
                self._serve(start, deadline)

        self._connection.log.notify_on_append(serve)
        self._connection.timeline.at(deadline, serve)

    def _receive(self, start: int, mail: LogRead) -> None:
        if not self._connection.is_open:
            self._handle_failure("no answer")
            return
        self._failures = 0
        self._posted_offset = start + len(mail.page.records)
        if not self._stopped and self._post(mail):
            self.poll()

    def _snapshot(self) -> None:
        log = self._connection.log
        try:
            page = log.read(SNAPSHOTS_STREAM, max(log.end(SNAPSHOTS_STREAM) - 1, 0), limit=1)
        except (LogUnavailable, LogTrimmed) as error:
            self._handle_failure(str(error))
            return
        if not page.records:
            self._handle_failure("the requested offset is trimmed and no snapshot exists")
            return
        if not self._stopped and self._post(SnapshotRead(page.records[0][1])):
            self._connection.timeline.after(IDLE_INTERVAL_S, self.poll)

    def _handle_failure(self, reason: str) -> None:
        self._failures += 1
        if not self._stopped and self._post(LogReadFailed(reason)):
            self._connection.timeline.after(self._connection.backoff_s(self._failures), self.poll)


@frozen
class _Job:
    body: Any
    on_done: Callable[[AppendDone], Any]


class FakeAppender:
    """Appends records one at a time; a retry keeps the writer and the sequence number.

    Args:
        connection: Connection to the log service.
        writer: ``node name/boot id``.
        wall_ms: Returns the time of the node's wall clock in milliseconds.
    """

    def __init__(
        self, connection: LogConnection, *, writer: str, wall_ms: Callable[[], int]
    ) -> None:
        self._connection = connection
        self._writer = writer
        self._wall_ms = wall_ms
        self._jobs: deque[_Job] = deque()
        self._sequence = 0
        self._stopped = False

    def stop(self) -> None:
        """Stop with the process; queued records are lost."""
        self._stopped = True

    def submit(self, body: Any, on_done: Callable[[AppendDone], Any]) -> None:
        """Queue a record body for appending."""
        self._jobs.append(_Job(body, on_done))
        if len(self._jobs) == 1:
            self._next()

    def submit_snapshot(self, data: bytes, on_done: Callable[[SnapshotDone], Any]) -> None:
        """Append a snapshot in a single attempt; the core repeats the request if it fails."""
        self._connection.timeline.after(
            self._connection.round_trip_s / 2, lambda: self._snapshot(data, on_done)
        )

    def _snapshot(self, data: bytes, on_done: Callable[[SnapshotDone], Any]) -> None:
        offset = None
        if self._connection.is_open and self._connection.log.up:
            offset = self._connection.log.append(SNAPSHOTS_STREAM, data)
        wait = self._connection.round_trip_s / 2 if offset is not None else RESPONSE_TIMEOUT_S
        self._connection.timeline.after(wait, lambda: on_done(SnapshotDone(offset)))

    def _next(self) -> None:
        self._sequence += 1
        body = self._jobs[0].body
        data = encode_record(Envelope(self._writer, self._sequence, self._wall_ms(), body))
        self._send(data, 1)

    def _send(self, data: bytes, attempt: int) -> None:
        if self._stopped:
            return
        if not self._connection.is_open:
            self._connection.timeline.after(RESPONSE_TIMEOUT_S, lambda: self._retry(data, attempt))
            return
        self._connection.timeline.after(
            self._connection.round_trip_s / 2, lambda: self._serve(data, attempt)
        )

    def _serve(self, data: bytes, attempt: int) -> None:
        timeline, log = self._connection.timeline, self._connection.log
        try:
            offset = log.append(RECORDS_STREAM, data)
        except LogUnavailable:
            timeline.after(self._connection.round_trip_s / 2, lambda: self._retry(data, attempt))
            return
        if log.take_lost_answer() or not self._connection.is_open:
            timeline.after(RESPONSE_TIMEOUT_S, lambda: self._retry(data, attempt))
            return
        timeline.after(self._connection.round_trip_s / 2, lambda: self._finish(offset, ""))

    def _retry(self, data: bytes, attempt: int) -> None:
        if attempt >= MAX_APPEND_ATTEMPTS:
            self._finish(None, "no answer")
            return
        wait = self._connection.backoff_s(attempt)
        self._connection.timeline.after(wait, lambda: self._send(data, attempt + 1))

    def _finish(self, offset: int | None, reason: str) -> None:
        if self._stopped:
            return
        job = self._jobs.popleft()
        fate = AppendFate.UNKNOWN if offset is None else AppendFate.APPENDED
        job.on_done(AppendDone(job.body, fate, offset, reason))
        if self._jobs:
            self._next()
