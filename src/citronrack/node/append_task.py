"""The append task: the only writer of this process."""

from __future__ import annotations

import queue
from concurrent.futures import Future
from typing import Any

from attrs import frozen

from ..errors import CitronrackError
from ..log.appender import Appended, Appender
from .mail import AppendDone, Mailbox


@frozen
class _Job:
    body: Any
    answer: Future[Appended]


class AppendTask:
    """Appends bodies one after the other, so that a writer has one append outstanding.

    Args:
        appender: Owned by this task.
    """

    def __init__(self, appender: Appender) -> None:
        self._appender = appender
        self._jobs: queue.SimpleQueue[_Job | None] = queue.SimpleQueue()

    def submit(self, body: Any) -> Future[Appended]:
        """Queue a record body; the future raises `AppendUnknown` or `AppendRefused`."""
        answer: Future[Appended] = Future()
        self._jobs.put(_Job(body, answer))
        return answer

    def submit_and_post(self, body: Any, mailbox: Mailbox) -> None:
        """Queue a record body and post the result to ``mailbox`` as `AppendDone`."""

        def post(answer: Future[Appended]) -> None:
            error = answer.exception()
            if error is None:
                mailbox.put(AppendDone(body, answer.result().offset))
            else:
                mailbox.put(AppendDone(body, None, str(error)))

        self.submit(body).add_done_callback(post)

    def run(self) -> None:
        """Append until `stop` is called."""
        while True:
            job = self._jobs.get()
            if job is None:
                return
            try:
                job.answer.set_result(self._appender.append(job.body))
            except CitronrackError as error:
                job.answer.set_exception(error)

    def stop(self) -> None:
        """Let `run` return after the queued jobs."""
        self._jobs.put(None)
