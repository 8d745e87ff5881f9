"""The duties that this node may hold: writing snapshots and writing move outcomes."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from ..clock import Clock
from ..log import Claim, LeaseManager, LogFold, SnapshotTaken
from ..log.records import Duty
from ..log.snapshot import SnapshotScheduler, WriteSnapshot
from ..log.state import FoldState
from ..telemetry import Event, EventLog
from .mail import AppendDone, AppendFate, SnapshotDone


class Duties:
    """Claims duties, renews them and takes snapshots.

    Args:
        writer: ``node name/boot id`` of this process.
        clock: Source of time.
        random: Source of random numbers.
        events: Where log events go.
        append: Queues a record body; its result comes back as `AppendDone`.
        append_snapshot: Queues a snapshot; its result comes back as `SnapshotDone`.
    """

    def __init__(
        self,
        *,
        writer: str,
        clock: Clock,
        random: Random,
        events: EventLog,
        append: Callable[[Any], None],
        append_snapshot: Callable[[bytes], None],
    ) -> None:
        self._events = events
        self._append = append
        self._append_snapshot = append_snapshot
        self._snapshots = SnapshotScheduler(clock=clock, random=random)
        self._keepers = {
            duty.value: LeaseManager(duty=duty, own=writer, clock=clock, random=random)
            for duty in Duty
        }
        self._held: set[str] = set()

    def append(self, body: Any) -> None:
        """Queue a record body on behalf of this node."""
        self._append(body)

    def term(self, duty: Duty) -> int:
        """Return the term under which this node may do a duty now, 0 when it may not."""
        return self._keepers[duty.value].term or 0

    def on_state(self, state: FoldState) -> None:
        """Take note of the folded log."""
        for keeper in self._keepers.values():
            keeper.on_state(state)
        self._snapshots.on_state(state)

    def on_tick(self, fold: LogFold, *, rank: int | None, first: int, end: int) -> None:
        """Claim and do what is due.

        Args:
            fold: The folded log.
            rank: Position in the zone's ranking, None while this node should hold no duty.
            first: Oldest retained offset of the records stream.
            end: Offset that its next record will get.
        """
        for keeper in self._keepers.values():
            claim = keeper.on_tick(rank=rank)
            if claim is not None:
                self._append(claim)
        self._note_changes()
        term = self._keepers[Duty.COMPACTOR.value].term
        due = self._snapshots.on_tick(fold, term=term, first=first, end=end)
        if isinstance(due, WriteSnapshot):
            self._append_snapshot(due.data)
        elif due is not None:
            self._append(due)

    def on_append_done(self, mail: AppendDone) -> None:
        """Take note of the result of a claim or of a snapshot's announcement."""
        if isinstance(mail.body, Claim):
            self._claim_done(self._keepers[mail.body.duty], mail)
        elif isinstance(mail.body, SnapshotTaken):
            if mail.offset is None:
                self._snapshots.on_failed()
            else:
                self._snapshots.on_announced(mail.offset)

    def on_snapshot_done(self, mail: SnapshotDone) -> None:
        """Take note of the result of writing a snapshot."""
        if mail.offset is None:
            self._snapshots.on_failed()
            return
        self._events.write(Event.SNAPSHOT_WRITTEN, offset=mail.offset)
        self._snapshots.on_written(mail.offset)

    @staticmethod
    def _claim_done(keeper: LeaseManager, mail: AppendDone) -> None:
        if mail.offset is not None:
            keeper.on_claim_appended(mail.offset)
        elif mail.fate is AppendFate.REFUSED:
            keeper.on_claim_refused()
        else:
            keeper.on_claim_unknown()

    def _note_changes(self) -> None:
        held = {name for name, keeper in self._keepers.items() if keeper.term is not None}
        for name in sorted(held - self._held):
            self._events.write(Event.LEASE_ACQUIRED, duty=name, term=self._keepers[name].term)
        for name in sorted(self._held - held):
            self._events.write(Event.LEASE_LOST, duty=name)
        self._held = held
