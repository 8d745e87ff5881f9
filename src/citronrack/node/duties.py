"""Duties, held under a lease: writing snapshots and writing move outcomes."""

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
    """Acquires and renews the leases of duties, and writes snapshots.

    Args:
        writer: ``node name/boot id`` of this process.
        clock: Source of time.
        random: Source of random numbers.
        events: Receives log events.
        append: Queues a record body; its result is posted as `AppendDone`.
        append_snapshot: Queues a snapshot; its result is posted as `SnapshotDone`.
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
        self._snapshot_scheduler = SnapshotScheduler(clock=clock, random=random)
        self._lease_managers = {
            duty.value: LeaseManager(duty=duty, own=writer, clock=clock, random=random)
            for duty in Duty
        }
        self._held: set[str] = set()

    def append(self, body: Any) -> None:
        """Queue a record body on behalf of this node."""
        self._append(body)

    def term(self, duty: Duty) -> int:
        """Return the term under which this node may perform a duty now, 0 when it may not."""
        return self._lease_managers[duty.value].term or 0

    def on_state(self, state: FoldState) -> None:
        """Update the leases and the snapshot state from the folded log."""
        for lease_manager in self._lease_managers.values():
            lease_manager.on_state(state)
        self._snapshot_scheduler.on_state(state)

    def on_tick(self, fold: LogFold, *, rank: int | None, first: int, end: int) -> None:
        """Claim leases and start a snapshot when they are due.

        Args:
            fold: The folded log.
            rank: Position in the zone's ranking, None while this node may not hold a duty.
            first: Oldest retained offset of the records stream.
            end: Offset of its next record.
        """
        for lease_manager in self._lease_managers.values():
            claim = lease_manager.on_tick(rank=rank)
            if claim is not None:
                self._append(claim)
        self._log_lease_changes()
        term = self._lease_managers[Duty.COMPACTOR.value].term
        due = self._snapshot_scheduler.on_tick(fold, term=term, first=first, end=end)
        if isinstance(due, WriteSnapshot):
            self._append_snapshot(due.data)
        elif due is not None:
            self._append(due)

    def on_append_done(self, mail: AppendDone) -> None:
        """Process the result of a lease claim or of a snapshot announcement."""
        if isinstance(mail.body, Claim):
            self._claim_done(self._lease_managers[mail.body.duty], mail)
        elif isinstance(mail.body, SnapshotTaken):
            if mail.offset is None:
                self._snapshot_scheduler.on_failed()
            else:
                self._snapshot_scheduler.on_announced(mail.offset)

    def on_snapshot_done(self, mail: SnapshotDone) -> None:
        """Process the result of a snapshot write."""
        if mail.offset is None:
            self._snapshot_scheduler.on_failed()
            return
        self._events.write(Event.SNAPSHOT_WRITTEN, offset=mail.offset)
        self._snapshot_scheduler.on_written(mail.offset)

    @staticmethod
    def _claim_done(lease_manager: LeaseManager, mail: AppendDone) -> None:
        if mail.offset is not None:
            lease_manager.on_claim_appended(mail.offset)
        elif mail.fate is AppendFate.REFUSED:
            lease_manager.on_claim_refused()
        else:
            lease_manager.on_claim_unknown()

    def _log_lease_changes(self) -> None:
        held = {
            name
            for name, lease_manager in self._lease_managers.items()
            if lease_manager.term is not None
        }
        for name in sorted(held - self._held):
            self._events.write(
                Event.LEASE_ACQUIRED, duty=name, term=self._lease_managers[name].term
            )
        for name in sorted(self._held - held):
            self._events.write(Event.LEASE_LOST, duty=name)
        self._held = held
