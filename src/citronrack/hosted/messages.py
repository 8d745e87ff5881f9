"""Messages from other tasks to the core of a node on a platform."""

from __future__ import annotations

from concurrent.futures import Future
from typing import Any

from attrs import frozen

from ..calls import CallRecord
from ..calls.notice import TargetStatement
from ..calls.suspicion import TargetEnd
from .store import KeyedPage, KeyedRecord
from .target import TargetLeave, TargetReport


@frozen
class PageRead:
    """A page of the store was read.

    Attributes:
        topic: Name of the topic.
        page: The records.
        full: Whether the page contains the newest record of every key.
        created_at: Time at which the store may have made the page, by the boot clock; 0 if it is
            not needed. It lies in the past if the store is slow, or if the process was suspended
            while the response waited in the socket.
        confirmed_at: Time by the boot clock at which the topic certainly ended with the page, None
            if that is ``created_at``.
        for_write: Whether the page was read to decide on a write, not by a watch.
    """

    topic: str
    page: KeyedPage
    full: bool
    created_at: float = 0.0
    confirmed_at: float | None = None
    for_write: bool = False

    @property
    def certain_at(self) -> float:
        """Time at which the topic certainly ended with the page."""
        return self.created_at if self.confirmed_at is None else self.confirmed_at


@frozen
class RecordWritten:
    """A record of this node was written to the store.

    Attributes:
        topic: Name of the topic.
        record: The record.
        source: Value of the record from which it was derived, None for any other write.
    """

    topic: str
    record: KeyedRecord
    source: bytes | None = None


@frozen
class RecordKept:
    """A write left a record in the store as it was.

    Attributes:
        topic: Name of the topic.
        key: Key of the record.
        source: Value of the record from which the write was derived, None for any other write.
    """

    topic: str
    key: str
    source: bytes | None = None


@frozen
class WriteFailed:
    """A write that is not retried failed, or the store did not answer.

    Attributes:
        topic: Name of the topic.
        key: Key of the record.
    """

    topic: str
    key: str


@frozen
class ReadFailed:
    """A watch could not read its topic.

    Attributes:
        topic: Name of the topic.
        reason: Error message.
    """

    topic: str
    reason: str


@frozen
class ReportReceived:
    """The local target has sent a status report.

    Attributes:
        report: The report.
        answer: Receives an error message, empty once the report has been applied.
    """

    report: TargetReport
    answer: Future[str]


@frozen
class LeaveReceived:
    """The local target has sent a leave notice.

    Attributes:
        leave: The notice.
        answer: Receives an error message, empty once the notice has been applied.
    """

    leave: TargetLeave
    answer: Future[str]


@frozen
class CallReported:
    """The call path has finished an attempt."""

    record: CallRecord


@frozen
class DependencyFailed:
    """A call from this instance to another service has failed; the local target may need it."""


@frozen
class TargetStated:
    """The local target has stated something else about itself in an answer.

    Attributes:
        statement: The statement in force.
    """

    statement: TargetStatement


@frozen
class LocalTargetEnded:
    """The process of the local target has ended with requests in hand.

    Attributes:
        end: The end.
    """

    end: TargetEnd


@frozen
class StopRequested:
    """The node shuts down; other nodes must stop sending calls to its target."""


@frozen
class ExitRequested:
    """The task of the core must exit."""


CoreMessage = Any
"""One of the classes of this module."""
