"""A simulated fleet of log readers, lease managers and appenders on one manual clock."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any

from attrs import define, field

from ..clock import ManualClock
from ..errors import AppendRefused, AppendUnknown
from ..log import LogFold, SeedList, SnapshotTaken
from ..log.appender import Appended, Appender, AppendSteps
from ..log.lease import LeaseManager
from ..log.records import RECORDS_STREAM, Duty
from ..log.snapshot import MAX_AGE_S, SnapshotScheduler, WriteSnapshot
from ..node.mail import LogRead, LogReadFailed, SnapshotRead
from ..node.reader import LONG_POLL_MS, START_JITTER_S, ReaderTask
from ..standins.log_store import LogStore, MemoryLogClient

STEP_S = 0.25
ANSWER_DELAY_S = 0.5  # from an append until the response to a long poll reaches a node
READING_RANKS = 2


@define
class _Job:
    """An append in progress.

    Attributes:
        steps: The append.
        on_appended: Called with the offset.
        on_unknown: Called when the record may be in the log.
        on_refused: Called when the record is not in the log.
        wake_at: Time of its next step.
    """

    steps: AppendSteps
    on_appended: Callable[[int], None]
    on_unknown: Callable[[], None]
    on_refused: Callable[[], None]
    wake_at: float = 0.0


class SimulatedNode:
    """The components of one node that use the log.

    Args:
        fleet: The fleet that it belongs to.
        name: Name of the node.
        zone: Its availability zone.
        rank: Its position in the zone.
        boot: Number of its start; each start is a different writer.

    Attributes:
        writer: Name and boot.
        paused: Whether the process is paused.
        reads_blocked: Whether its reads of the log block while its appends succeed.
        draining: Whether it is about to stop.
        fold: Its folded log.
        caught_up_at: Time at which it first had folded the whole log.
        log_first: Oldest retained offset, as of its last read.
        log_end: End of the log, as of its last read.
        lease_managers: Its lease manager for each duty.
        compactor: Its scheduler of snapshots.
    """

    def __init__(self, fleet: LogFleet, *, name: str, zone: str, rank: int, boot: int) -> None:
        self._fleet = fleet
        self._zone = zone
        self._rank = rank
        self.writer = f"{name}/{boot}"
        self.paused = False
        self.reads_blocked = False
        self.draining = False
        self.fold = LogFold()
        self.caught_up_at: float | None = None
        self.log_first = 0
        self.log_end = 0
        self._began = fleet.clock.monotonic()
        self._jobs: list[_Job] = []
        random = Random(f"{fleet.seed}/{self.writer}")
        client = MemoryLogClient(fleet.store)
        self._reader = ReaderTask(
            client=client,
            state=self,
            mailbox=self,  # type: ignore[arg-type]  # Only `put` is used.
            random=random,
            clock=fleet.clock,
            wait=self._wait_to_read,
        )
        self._read_at = self._began + random.uniform(0.0, START_JITTER_S)
        self._poll_until = 0.0
        self._appender = Appender(
            client=client, clock=fleet.clock, random=random, writer=self.writer
        )
        self.lease_managers = {
            duty: LeaseManager(duty=duty, own=self.writer, clock=fleet.clock, random=random)
            for duty in Duty
        }
        self.compactor = SnapshotScheduler(
            clock=fleet.clock,
            random=random,
            max_records=fleet.max_records,
            max_age_s=fleet.max_age_s,
        )
        self._seeds_due = rank == 0

    @property
    def next_offset(self) -> int:
        """Next offset that the node folds."""
        return self.fold.next_offset

    @property
    def reads_log(self) -> bool:
        """Whether the node polls the log: as one of the zone's readers, or while it starts."""
        return self._rank < READING_RANKS or self.caught_up_at is None

    def put(self, mail: Any, *, wake: bool = True) -> None:
        """Handle a message of the reader task."""
        if isinstance(mail, SnapshotRead):
            self.fold = LogFold.from_snapshot(mail.data)
        elif isinstance(mail, LogRead):
            self.log_first, self.log_end = mail.page.first, mail.page.end
            for offset, data in mail.page.records:
                if offset == self.fold.next_offset:
                    self.fold.apply(offset, data)
            if not mail.page.records:
                self._poll_until = self._fleet.clock.monotonic() + LONG_POLL_MS / 1000
            if self.caught_up_at is None and self.fold.next_offset >= mail.page.end:
                self.caught_up_at = self._fleet.clock.monotonic()
        elif isinstance(mail, LogReadFailed):
            self._fleet.failed_reads += 1

    def step(self) -> None:
        """Read, fold, decide and append whatever is due."""
        if self.paused:
            return
        now = self._fleet.clock.monotonic()
        if now >= self._read_at and not self.reads_blocked and not self._is_polling(now):
            self._reader.step()
        if self._rank >= READING_RANKS and self.caught_up_at is not None:
            return
        for manager in self.lease_managers.values():
            manager.on_state(self.fold.state)
            self._claim(manager)
        self._compact()
        self._write_seeds()
        self._append(now)

    def submit(self, body: Any) -> None:
        """Queue one more record without waiting for its result."""
        self._queue(self._appender.append_steps(body), lambda _: None, lambda: None, lambda: None)

    def _is_polling(self, now: float) -> bool:
        """Return whether the service still holds a long poll."""
        nothing_new = self._fleet.delayed_end <= self.next_offset
        return now < self._poll_until and nothing_new and not self._fleet.store.faults.outage

    def _wait_to_read(self, seconds: float) -> None:
        self._read_at = self._fleet.clock.monotonic() + seconds

    def _claim(self, manager: LeaseManager) -> None:
        ready = self.caught_up_at is not None and not self.draining
        claim = manager.on_tick(rank=self._rank if ready else None)
        if claim is not None:
            self._queue(
                self._appender.append_steps(claim),
                manager.on_claim_appended,
                manager.on_claim_unknown,
                manager.on_claim_refused,
            )

    def _compact(self) -> None:
        term = self.lease_managers[Duty.COMPACTOR].term
        due = self.compactor.on_tick(self.fold, term=term, first=self.log_first, end=self.log_end)
        failed = self.compactor.on_failed
        if isinstance(due, WriteSnapshot):
            self._fleet.snapshots_written += 1
            steps = self._appender.snapshot_steps(due.data)
            self._queue(steps, self.compactor.on_written, failed, failed)
        elif isinstance(due, SnapshotTaken):
            steps = self._appender.append_steps(due)
            self._queue(steps, self.compactor.on_announced, failed, failed)

    def _write_seeds(self) -> None:
        if self._seeds_due and self.caught_up_at is not None:
            self._seeds_due = False
            self.submit(SeedList(self._zone, (self.writer,)))

    def _queue(
        self,
        steps: AppendSteps,
        on_appended: Callable[[int], None],
        on_unknown: Callable[[], None],
        on_refused: Callable[[], None],
    ) -> None:
        self._jobs.append(_Job(steps, on_appended, on_unknown, on_refused))

    def _append(self, now: float) -> None:
        """Advance the first queued append; the others wait, as in the append task."""
        while self._jobs and self._jobs[0].wake_at <= now:
            job = self._jobs[0]
            try:
                job.wake_at = now + next(job.steps)
                continue
            except StopIteration as done:
                appended: Appended = done.value
                job.on_appended(appended.offset)
            except AppendUnknown:
                job.on_unknown()
            except AppendRefused:
                job.on_refused()
            self._jobs.remove(job)


@define
class LogFleet:
    """Nodes, a log and a clock.

    Attributes:
        zones: Number of availability zones.
        per_zone: Nodes of each zone.
        seed: Seed of all random numbers.
        clock: Shared by all nodes.
        store: The log.
        max_records: Records after which a snapshot is due.
        max_age_s: Age after which a snapshot is due before the retention is known.
        retention: Records that the log keeps.
        retention_s: Seconds for which the log keeps a record, None for no limit.
        nodes: All nodes.
        appends_by_s: Requests to append, by second since the fleet was made.
        reads_by_s: Requests to read, likewise.
        failed_reads: Reads without a response.
        snapshots_written: Snapshots that the nodes' schedulers asked to write.
        delayed_end: End of the records stream `ANSWER_DELAY_S` ago.
    """

    zones: int
    per_zone: int
    seed: int
    clock: ManualClock = field(factory=ManualClock)
    store: LogStore = field(init=False)
    max_records: int = 2_000
    max_age_s: float = MAX_AGE_S
    retention: int = 100_000
    retention_s: float | None = None
    nodes: list[SimulatedNode] = field(factory=list)
    appends_by_s: list[int] = field(factory=list)
    reads_by_s: list[int] = field(factory=list)
    failed_reads: int = 0
    snapshots_written: int = 0
    delayed_end: int = 0
    _ends: deque[int] = field(factory=lambda: deque(maxlen=round(ANSWER_DELAY_S / STEP_S) + 1))
    _boots: int = 0

    def __attrs_post_init__(self) -> None:
        self.store = LogStore(
            clock=self.clock, retention=self.retention, retention_s=self.retention_s
        )
        self.start_all()

    def start_all(self) -> None:
        """Replace all nodes by newly started ones."""
        self._boots += 1
        self.nodes = [
            SimulatedNode(
                self, name=f"n{zone}-{rank}", zone=f"zone-{zone}", rank=rank, boot=self._boots
            )
            for zone in range(self.zones)
            for rank in range(self.per_zone)
        ]

    def run(self, seconds: float, *, check: Callable[[], None] = lambda: None) -> None:
        """Advance simulated time.

        Args:
            seconds: Time to simulate.
            check: Called after each step.
        """
        for index in range(round(seconds / STEP_S)):
            if index % round(1 / STEP_S) == 0:
                self.appends_by_s.append(0)
                self.reads_by_s.append(0)
            self._ends.append(self.store.end(RECORDS_STREAM))
            self.delayed_end = self._ends[0]
            appends, reads = self.store.appends, self.store.reads
            for node in self.nodes:
                node.step()
            self.appends_by_s[-1] += self.store.appends - appends
            self.reads_by_s[-1] += self.store.reads - reads
            check()
            self.clock.advance(STEP_S)

    def acting(self, duty: Duty) -> list[SimulatedNode]:
        """Return the nodes that may act under a duty now, without paused ones."""
        nodes = (node for node in self.nodes if not node.paused)
        return [node for node in nodes if node.lease_managers[duty].term is not None]
