"""What a target states about itself in the heads of its answers."""

from __future__ import annotations

import threading
from collections.abc import Callable, Mapping
from typing import Any

from attrs import define, field, frozen

TargetProcess = tuple[str, int]
"""Id and start time in milliseconds of a process of a target; a restarted one may keep its id."""


@frozen
class TargetNotice:
    """Statements in the head of one answer.

    Attributes:
        limit_per_s: Calls a second that the target takes from all nodes together, None if the
            answer names no limit.
        limit_invalid: Whether the answer names a limit that is not a number of calls.
        leaving: Whether the target is about to end.
    """

    limit_per_s: float | None = None
    limit_invalid: bool = False
    leaving: bool = False


NoticeDecoder = Callable[[Mapping[bytes, bytes]], TargetNotice]
"""Decodes the headers of an answer, whose names are in lower case."""


def no_notice(_: Mapping[bytes, bytes]) -> TargetNotice:
    """Return an empty notice, for targets that state nothing."""
    return TargetNotice()


@frozen
class TargetStatement:
    """The statements in force of one process of the local target.

    Attributes:
        process: The process.
        limit_per_s: Calls a second that it takes, None without a limit.
        leaving: Whether it is about to end.
        answered: Whether an answer of the process has arrived, so that its statements are known.
    """

    process: TargetProcess
    limit_per_s: float | None = None
    leaving: bool = False
    answered: bool = False

    @property
    def log_fields(self) -> dict[str, Any]:
        """Fields of a log line about the statement."""
        return {
            "target_id": self.process[0],
            "started_ms": self.process[1],
            "limit_per_s": self.limit_per_s,
            "leaving": self.leaving,
        }


def _ignore(_: object) -> None:
    return None


@define(eq=False)
class StatementTracker:
    """Derives the statements in force from the answers of the local target; thread-safe.

    Answers arrive on many connections and may be late. Any answer of the process can name a limit.
    Only the genuine answer to a request that was sent after the limit was last named can end it,
    because an earlier one may have been written before.

    Attributes:
        on_change: Called with the statement when it has changed, under the tracker's lock.
        on_invalid: Called with the process when an answer names an invalid limit.
    """

    on_change: Callable[[TargetStatement], None] = _ignore
    on_invalid: Callable[[TargetProcess], None] = _ignore
    _statement: TargetStatement = field(factory=lambda: TargetStatement(("", 0)), init=False)
    _limit_named_at: float = field(default=0.0, init=False)
    _lock: threading.Lock = field(factory=threading.Lock, init=False)

    @property
    def current(self) -> TargetStatement:
        """The statements in force; an immutable snapshot."""
        return self._statement

    def follow(self, current: Callable[[], TargetProcess]) -> None:
        """Forget the statements of an earlier process; called before each call.

        Args:
            current: Returns the current process. It is asked again under the lock, so that a call
                which was delayed does not bring an earlier process back.
        """
        if current() == self._statement.process:
            return
        with self._lock:
            process = current()
            if process != self._statement.process:
                self._replace(TargetStatement(process))

    def observe(
        self,
        process: TargetProcess,
        notice: TargetNotice,
        *,
        genuine: bool,
        sent_at: float,
        now: float,
    ) -> None:
        """Apply the head of an answer.

        Args:
            process: The process that the request was for.
            notice: Statements in the answer.
            genuine: Whether it is the answer to the request and not a copy of another one.
            sent_at: Monotonic time before the request was sent.
            now: Monotonic time.
        """
        if notice.limit_invalid:
            self.on_invalid(process)
        with self._lock:
            known = self._statement
            if process != known.process:
                return
            limit = known.limit_per_s
            if notice.limit_per_s is not None:
                limit, self._limit_named_at = notice.limit_per_s, now
            elif genuine and not notice.limit_invalid and sent_at > self._limit_named_at:
                limit = None
            self._replace(
                TargetStatement(
                    process,
                    limit,
                    leaving=known.leaving or notice.leaving,
                    answered=known.answered or genuine,
                )
            )

    def _replace(self, statement: TargetStatement) -> None:
        if statement != self._statement:
            self._statement = statement
            self.on_change(statement)
