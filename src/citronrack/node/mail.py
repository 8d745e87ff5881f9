"""Messages of other tasks to the control task."""

from __future__ import annotations

from concurrent.futures import Future
from enum import StrEnum
from typing import Any

from attrs import frozen

from ..calls import CallRecord
from ..log import LogPage
from ..log.fold import FoldState, PlanState
from .capacity import CapacityTable
from .status import MeshStatus


@frozen
class LogRead:
    """The reader task has read a page."""

    page: LogPage


@frozen
class LogReadFailed:
    """A read of the log has failed."""

    reason: str


@frozen
class SnapshotRead:
    """The reader task has read a snapshot because the requested offset was trimmed."""

    data: bytes


class AppendFate(StrEnum):
    """Result of an append."""

    APPENDED = "appended"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@frozen
class AppendDone:
    """The append task has processed a record of the core.

    Attributes:
        body: The record body.
        fate: Result of the append.
        offset: Its offset in the log, None when the append was refused or its result is unknown.
        reason: Reason for a missing offset.
    """

    body: Any
    fate: AppendFate
    offset: int | None
    reason: str = ""


@frozen
class SnapshotDone:
    """The append task has processed a snapshot.

    Attributes:
        offset: Its offset in the snapshots stream, None when the append failed or is unknown.
    """

    offset: int | None


@frozen
class CallReported:
    """The call path has finished an attempt."""

    record: CallRecord


@frozen
class StatusAsked:
    """Request for the status."""

    answer: Future[MeshStatus]


@frozen
class StateAsked:
    """Request for the folded state."""

    answer: Future[FoldState]


@frozen
class CapacityAsked:
    """Request for the capacity of the announced targets."""

    answer: Future[CapacityTable]


@frozen
class PlanAwaited:
    """Request to wait until the record of a plan at ``offset`` is folded."""

    plan_id: str
    offset: int
    answer: Future[PlanState]


@frozen
class RecordAwaited:
    """Request to wait until the record at ``offset`` is folded."""

    offset: int
    answer: Future[FoldState]


@frozen
class DrainAsked:
    """Request to accept no new calls and to notify peers."""


@frozen
class StopAsked:
    """Request to end the control task."""
