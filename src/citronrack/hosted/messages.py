"""Messages to the core of a node on a platform."""

from __future__ import annotations

from concurrent.futures import Future
from typing import Any

from attrs import frozen

from ..calls import CallRecord
from .store import KeyedPage, KeyedRecord
from .target import TargetLeave, TargetReport


@frozen
class PageRead:
    """A watch has read a page.

    Attributes:
        topic: Name of the topic.
        page: The records.
        whole: Whether the page holds the newest record of every key.
        created_at: When the store may have made the page, by the boot clock; 0 where nobody asks. It
            lies back if the store is slow, or if the process stood still while the answer waited.
    """

    topic: str
    page: KeyedPage
    full: bool
    created_at: float = 0.0


@frozen
class RecordWritten:
    """A record of this node stands in the store.

    Attributes:
        topic: Name of the topic.
        record: The record.
    """

    topic: str
    record: KeyedRecord


@frozen
class ReadFailed:
    """A watch got no answer.

    Attributes:
        topic: Name of the topic.
        reason: What happened.
    """

    topic: str
    reason: str


@frozen
class ReportReceived:
    """The target beside the node has reported.

    Attributes:
        report: The report.
        answer: Receives an error message, empty once the report is taken.
    """

    report: TargetReport
    answer: Future[str]


@frozen
class LeaveReceived:
    """The target beside the node leaves.

    Attributes:
        leave: The notice.
        answer: Receives an error message, empty once the notice is taken.
    """

    leave: TargetLeave
    answer: Future[str]


@frozen
class CallReported:
    """The call path has finished an attempt."""

    record: CallRecord


@frozen
class StopRequested:
    """The node begins to stop; its target gets no new calls soon."""


@frozen
class ExitRequested:
    """The core ends."""


CoreMessage = Any
"""One of the classes of this module, or a message that `gossip` or `evidence` registers."""
