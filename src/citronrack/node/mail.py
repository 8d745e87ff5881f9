"""Messages to the control task, and its mailbox."""

from __future__ import annotations

import queue
import socket
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
    """The reader task got a page."""

    page: LogPage


@frozen
class LogReadFailed:
    """The reader task got no answer."""

    reason: str


@frozen
class SnapshotRead:
    """The reader task got a snapshot because the wanted offset was trimmed."""

    data: bytes


class AppendFate(StrEnum):
    """What became of an append."""

    APPENDED = "appended"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@frozen
class AppendDone:
    """The append task has finished a record that the core asked for.

    Attributes:
        body: The record body.
        fate: What became of it.
        offset: Where it stands in the log, None when it was refused or is unknown.
        reason: Why it has no offset.
    """

    body: Any
    fate: AppendFate
    offset: int | None
    reason: str = ""


@frozen
class SnapshotDone:
    """The append task has finished a snapshot.

    Attributes:
        offset: Where it stands in the snapshots stream, None when that is not certain.
    """

    offset: int | None


@frozen
class CallReported:
    """The call path finished an attempt."""

    record: CallRecord


@frozen
class StatusAsked:
    """Somebody wants the status."""

    answer: Future[MeshStatus]


@frozen
class StateAsked:
    """Somebody wants the folded state."""

    answer: Future[FoldState]


@frozen
class CapacityAsked:
    """Somebody wants to know which targets are announced."""

    answer: Future[CapacityTable]


@frozen
class PlanAwaited:
    """Somebody waits until the record of a plan at ``offset`` is folded."""

    plan_id: str
    offset: int
    answer: Future[PlanState]


@frozen
class RecordAwaited:
    """Somebody waits until the record at ``offset`` is folded."""

    offset: int
    answer: Future[FoldState]


@frozen
class DrainAsked:
    """The node should take no new calls and tell its peers."""


@frozen
class StopAsked:
    """The control task should end."""


class Mailbox:
    """A queue that a poller can wait for.

    Any thread may put; only the owner takes. A byte on a socket pair wakes the owner's poller.
    """

    def __init__(self) -> None:
        self._queue: queue.SimpleQueue[Any] = queue.SimpleQueue()
        self._reader, self._writer = socket.socketpair()
        self._reader.setblocking(False)
        self._writer.setblocking(False)

    def fileno(self) -> int:
        """Return the descriptor that becomes readable when a message waits."""
        return self._reader.fileno()

    def put(self, message: Any, *, wake: bool = True) -> None:
        """Add a message; ``wake=False`` leaves it until the owner's next turn."""
        self._queue.put(message)
        if not wake:
            return
        try:
            self._writer.send(b"\0")
        except BlockingIOError:
            return  # The owner has many wake-ups pending already.

    def take_all(self) -> list[Any]:
        """Return all waiting messages."""
        try:
            while self._reader.recv(4096):
                continue
        except BlockingIOError:
            pass
        messages = []
        while True:
            try:
                messages.append(self._queue.get_nowait())
            except queue.Empty:
                return messages

    def close(self) -> None:
        """Release the socket pair."""
        self._reader.close()
        self._writer.close()
