"""The append task: the only writer to the log in this process."""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable
from concurrent.futures import Future
from typing import Any

from attrs import frozen

from ..clock import Clock, SystemClock
from ..errors import AppendRefused, AppendUnknown, CitronrackError
from ..log.appender import Appended, Appender
from ..mailbox import Mailbox
from .mail import AppendDone, AppendFate, SnapshotDone

MAX_QUEUED = 64


@frozen
class _Job:
    write: Callable[[float], Appended]
    deadline: float
    future: Future[Appended]


class AppendTask:
    """Appends records sequentially, so that a writer has at most one append outstanding.

    Each future completes within the appender's limit after its submission, even if the log does
    not answer: a job that was queued for too long is refused without being sent. Appends of
    operators take precedence over those of the node itself.

    Args:
        appender: Access to the log, used by this task only.
        clock: Source of time for the limit.
        stopping: Set when the process stops; the appender's ``sleep`` should be its ``wait``.

    Example:
        >>> from random import Random
        >>> from citronrack.clock import ManualClock
        >>> from citronrack.log import Claim
        >>> from citronrack.standins.log_store import LogStore, MemoryLogClient
        >>> clock = ManualClock()
        >>> client = MemoryLogClient(LogStore(clock=clock))
        >>> appender = Appender(client=client, clock=clock, random=Random(1), writer="a/1")
        >>> task = AppendTask(appender, clock=clock)
        >>> answer = task.submit(Claim("compactor", 1, "a/1", 60_000))
        >>> task.run_once()
        True
        >>> answer.result()
        Appended(offset=0)
    """

    def __init__(
        self,
        appender: Appender,
        *,
        clock: Clock | None = None,
        stopping: threading.Event | None = None,
    ) -> None:
        self._appender = appender
        self._clock = clock if clock is not None else SystemClock()
        self._stopping = stopping if stopping is not None else threading.Event()
        self._changed = threading.Condition()
        self._urgent: deque[_Job] = deque()
        self._background: deque[_Job] = deque()

    def submit(self, body: Any, *, urgent: bool = True) -> Future[Appended]:
        """Queue a record body; the future raises `AppendUnknown` or `AppendRefused`.

        Args:
            body: One of the record classes.
            urgent: Whether an operator waits for the result.
        """
        return self._enqueue(lambda limit_s: self._appender.append(body, limit_s=limit_s), urgent)

    def submit_snapshot(self, data: bytes) -> Future[Appended]:
        """Queue a snapshot; the future raises `AppendUnknown` or `AppendRefused`."""
        return self._enqueue(
            lambda limit_s: self._appender.append_snapshot(data, limit_s=limit_s), False
        )

    def submit_and_post(self, body: Any, mailbox: Mailbox) -> None:
        """Queue a record body and post the result to ``mailbox`` as `AppendDone`."""

        def post(future: Future[Appended]) -> None:
            error = future.exception()
            if error is None:
                mailbox.put(AppendDone(body, AppendFate.APPENDED, future.result().offset))
                return
            refused = isinstance(error, AppendRefused)
            fate = AppendFate.REFUSED if refused else AppendFate.UNKNOWN
            mailbox.put(AppendDone(body, fate, None, str(error)))

        self.submit(body, urgent=False).add_done_callback(post)

    def submit_snapshot_and_post(self, data: bytes, mailbox: Mailbox) -> None:
        """Queue a snapshot and post the result to ``mailbox`` as `SnapshotDone`."""

        def post(future: Future[Appended]) -> None:
            failed = future.exception() is not None
            mailbox.put(SnapshotDone(None if failed else future.result().offset))

        self.submit_snapshot(data).add_done_callback(post)

    def run(self) -> None:
        """Append until `stop` is called, then refuse the remaining jobs."""
        while True:
            with self._changed:
                self._changed.wait_for(lambda: self._stopping.is_set() or self._has_jobs())
            if not self.run_once():
                return

    def run_once(self) -> bool:
        """Append the next queued job; return False when there is none."""
        with self._changed:
            job = self._next_job()
        if job is None:
            return False
        if job.future.set_running_or_notify_cancel():
            self._finish(job)
        return True

    def stop(self) -> None:
        """Make `run` return; queued jobs are refused, as they were never sent."""
        with self._changed:
            self._stopping.set()
            self._changed.notify_all()

    def _enqueue(self, write: Callable[[float], Appended], urgent: bool) -> Future[Appended]:
        future: Future[Appended] = Future()
        deadline = self._clock.monotonic() + self._appender.limit_s
        with self._changed:
            jobs = self._urgent if urgent else self._background
            full = len(jobs) >= MAX_QUEUED
            if not full and not self._stopping.is_set():
                jobs.append(_Job(write, deadline, future))
                self._changed.notify_all()
                return future
        reason = "too many appends are waiting" if full else "the node is stopping"
        future.set_exception(AppendRefused(f"the record is not in the log: {reason}"))
        return future

    def _has_jobs(self) -> bool:
        return bool(self._urgent or self._background)

    def _next_job(self) -> _Job | None:
        for jobs in (self._urgent, self._background):
            if jobs:
                return jobs.popleft()
        return None

    def _finish(self, job: _Job) -> None:
        try:
            job.future.set_result(self._write(job))
        except CitronrackError as error:
            job.future.set_exception(error)
        except Exception as error:  # an error of one record must not end the only writer
            job.future.set_exception(AppendUnknown(f"the append failed: {error!r}"))

    def _write(self, job: _Job) -> Appended:
        if self._stopping.is_set():
            raise AppendRefused("the record is not in the log: the node is stopping")
        return job.write(job.deadline - self._clock.monotonic())
