"""The core of a node: all decisions of the control task, without I/O, threads or real time."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from attrs import define, field

from ..calls import CallRecord, ViewHolder
from ..clock import Clock
from ..config import ActiveConfig
from ..distribution import DistributionCore, ReaderRole
from ..errors import MessageRejected
from ..log import FoldResult, LogFold
from ..membership import (
    FailureDetector,
    MemberTable,
    ZoneDirectory,
)
from ..telemetry import Event, EventLog, Metrics
from ..transport.send import Core, Send
from ..verdict import Verdict
from .core_events import CoreEvents
from .duties import Duties
from .log_state import LogState
from .mail import (
    AppendDone,
    CallReported,
    CapacityAsked,
    DrainAsked,
    LogRead,
    LogReadFailed,
    PlanAwaited,
    RecordAwaited,
    SnapshotDone,
    SnapshotRead,
    StateAsked,
    StatusAsked,
)
from .move_runner import MoveRunner
from .readiness import Readiness, ReadinessGate, ReadinessInputs
from .remote_members import RemoteMemberCache
from .seeds import SeedListWriter
from .status import MeshStatus, TransportStatus
from .status_builder import mesh_status
from .views import ViewBuilder
from .waiters import Waiters

_DUTY_RANKS = {ReaderRole.PRIMARY: 0, ReaderRole.STANDBY: 1}

Handler = Callable[[Any], list[Send]]


@define
class CoreParts:
    """Dependencies of the core; wired by the composition root.

    Attributes:
        clock: Source of time.
        events: Receives log events.
        metrics: Receives metrics.
        table: Members of the own zone.
        views: Receives the routing view.
        own_load: Returns the number of calls in flight or queued at the own target.
        duties: Leases and snapshots.
        detector: Failure detection.
        distribution: Distribution of records.
        directory: Members of other zones.
        move_runner: Decisions about moves.
    """

    clock: Clock
    events: EventLog
    metrics: Metrics
    table: MemberTable
    views: ViewHolder
    own_load: Callable[[], int]
    duties: Duties
    detector: FailureDetector = field(init=False)
    distribution: DistributionCore = field(init=False)
    directory: ZoneDirectory = field(init=False)
    move_runner: MoveRunner = field(init=False)


class NodeCore:
    """Folds the log, maintains membership and puts configuration in force.

    Args:
        parts: Cores and outputs.
        fold: The folded log, empty at startup.
    """

    def __init__(self, parts: CoreParts, *, fold: LogFold) -> None:
        self._parts = parts
        self._fold = fold
        self._active = ActiveConfig()
        self._gate = ReadinessGate()
        self._log = LogState(parts.clock)
        self._waiters = Waiters()
        self._role = ReaderRole.NONE
        self._view_builder = ViewBuilder()
        self.core_events = CoreEvents(events=parts.events, clock=parts.clock)
        self._seeds = SeedListWriter(
            availability_zone=parts.table.own.availability_zone, clock=parts.clock
        )
        self._listed_seeds: tuple[str, ...] = ()
        self._remote = RemoteMemberCache(parts.clock)
        self.transport_status = TransportStatus()
        self._handlers: dict[type[Any], Handler] = {
            LogRead: self._log_read,
            LogReadFailed: self._log_read_failed,
            SnapshotRead: self._snapshot_read,
            AppendDone: self._append_done,
            SnapshotDone: self._snapshot_done,
            CallReported: self._call_reported,
            StatusAsked: self._status_asked,
            StateAsked: self._state_asked,
            CapacityAsked: self._capacity_asked,
            PlanAwaited: self._add_waiter,
            RecordAwaited: self._add_waiter,
            DrainAsked: self._drain,
        }

    @property
    def next_offset(self) -> int:
        """Next offset to fold; safe to read from any thread."""
        return self._fold.next_offset

    @property
    def reads_log(self) -> bool:
        """Whether the reader task should poll the log; safe to read from any thread."""
        return self._role is not ReaderRole.NONE or self._gate.state is not Readiness.READY

    @property
    def version(self) -> int:
        """Configuration version in force, -1 for none."""
        return self._active.version

    @property
    def active(self) -> ActiveConfig:
        """The configuration in force."""
        return self._active

    @property
    def fold(self) -> LogFold:
        """The folded log."""
        return self._fold

    @property
    def readiness(self) -> Readiness:
        """Readiness of this node."""
        return self._gate.state

    @property
    def parts(self) -> CoreParts:
        """The cores and outputs."""
        return self._parts

    def handle(self, mail: Any) -> list[Send]:
        """Handle a message of another task and return what to send."""
        effects = self._handlers[type(mail)](mail)
        self._waiters.answer(self._fold)
        return effects

    def on_message(self, sender: str, message: Any) -> list[Send]:
        """Pass a message of another node to the core that handles it."""
        effects: list[Send] = []
        for core in self._cores():
            if isinstance(message, core.MESSAGES):  # type: ignore[attr-defined]
                effects.extend(core.on_message(sender, message))
        self._waiters.answer(self._fold)
        return effects

    def on_tick(self) -> list[Send]:
        """Run all due work and return what to send."""
        parts = self._parts
        effects = parts.detector.on_tick()
        effects += parts.distribution.on_tick()
        effects += parts.directory.on_tick()
        effects += parts.move_runner.on_tick()
        parts.table.update_own(reading=parts.distribution.reading, load=parts.own_load())
        role = self._parts.distribution.role
        if role is not self._role:
            self._role = role
            self._parts.events.write(Event.READER_ROLE, role=role.value)
        self._refresh()
        self._run_duties()
        return effects

    def deliver(self, offset: int, data: bytes) -> None:
        """Fold one record; called by the distribution core in offset order."""
        result = self._fold.apply(offset, data)
        if not result.accepted and result.reason != "duplicate":
            self._parts.events.write(Event.RECORD_REFUSED, offset=offset, reason=result.reason)
        self._after_fold(result)

    def status(self) -> MeshStatus:
        """Return the status for operators."""
        reads = self._role is not ReaderRole.NONE
        return mesh_status(
            table=self._parts.table,
            state=self._fold.state,
            version=self._active.version,
            readiness=self._gate.state.value,
            reason=self._gate.reason,
            log_reachable=False if self._log.failing else (True if reads else None),
            reader_role=self._role.value,
            progress=self._parts.directory.zone_progress(),
            moves=self._parts.move_runner.statuses(),
            transport=self.transport_status,
        )

    def on_turn_end(self) -> None:
        """Do nothing; each message is applied when it is handled."""

    def leave(self) -> list[Send]:
        """Return the notices to peers that this node leaves."""
        return self._parts.detector.leave()

    def write_metrics(self) -> None:
        """Send the gauges."""
        metrics, transport = self._parts.metrics, self.transport_status
        metrics.gauge("control.bytes_sent", transport.bytes_sent)
        metrics.gauge("control.messages_sent", transport.messages_sent)
        metrics.gauge("control.messages_rejected", sum(transport.rejected.values()))
        metrics.gauge("config.version", self._active.version)
        metrics.gauge("members.alive", len(self._parts.table.members()))

    def _cores(self) -> tuple[Core, ...]:
        parts = self._parts
        return parts.detector, parts.distribution, parts.directory, parts.move_runner.core

    def _log_read(self, mail: LogRead) -> list[Send]:
        if self._log.succeeded(mail.page):
            self._parts.events.write(Event.LOG_RECOVERED, end=mail.page.end)
        effects = self._parts.distribution.on_log_records(mail.page.records)
        self._refresh()
        return effects

    def _log_read_failed(self, mail: LogReadFailed) -> list[Send]:
        self._parts.metrics.count("log.failures")
        self._parts.distribution.on_log_failure()
        if self._log.failed():
            self._parts.events.write(Event.LOG_UNAVAILABLE, reason=mail.reason)
        self._refresh()
        return []

    def _snapshot_read(self, mail: SnapshotRead) -> list[Send]:
        self._parts.events.write(Event.LOG_TRIMMED, offset=self._fold.next_offset)
        self.load_snapshot(mail.data)
        return []

    def make_snapshot(self) -> bytes:
        """Return a snapshot of the folded state for a peer that needs trimmed records."""
        return self._fold.to_snapshot()

    def load_snapshot(self, data: bytes) -> bool:
        """Continue from a snapshot and return whether it was newer than the folded records."""
        try:
            fold = LogFold.from_snapshot(data)
        except MessageRejected as error:
            self._parts.events.write(Event.RECORD_REFUSED, offset=-1, reason=str(error))
            return False
        if fold.next_offset <= self._fold.next_offset:
            return False
        self._fold = fold
        self._parts.distribution.jump_to(fold.next_offset)
        self._parts.events.write(Event.SNAPSHOT_LOADED, offset=fold.next_offset)
        self._activate()
        self._parts.move_runner.on_fold(fold)
        return True

    def _append_done(self, mail: AppendDone) -> list[Send]:
        self.core_events.append_done(mail)
        self._parts.duties.on_append_done(mail)
        return []

    def _snapshot_done(self, mail: SnapshotDone) -> list[Send]:
        self._parts.duties.on_snapshot_done(mail)
        return []

    def _call_reported(self, mail: CallReported) -> list[Send]:
        if not mail.record.delivered_here:
            self._parts.metrics.count(_metric_of(mail.record))
        self._parts.move_runner.observe(mail.record)
        return []

    def _drain(self, _: DrainAsked) -> list[Send]:
        self._parts.table.update_own(draining=True)
        self._parts.events.write(Event.DRAIN_STARTED)
        self._refresh()
        return []

    def _status_asked(self, mail: StatusAsked) -> list[Send]:
        mail.answer.set_result(self.status())
        return []

    def _state_asked(self, mail: StateAsked) -> list[Send]:
        mail.answer.set_result(self._fold.state)
        return []

    def _capacity_asked(self, mail: CapacityAsked) -> list[Send]:
        mail.answer.set_result(self._parts.move_runner.capacity.table())
        return []

    def _add_waiter(self, mail: PlanAwaited | RecordAwaited) -> list[Send]:
        self._waiters.add(mail)
        return []

    def _after_fold(self, result: FoldResult) -> None:
        if result.accepted:
            self.core_events.move_decided(result.body)
            self._activate()
            self._parts.move_runner.on_fold(self._fold)

    def _activate(self) -> None:
        """Put the folded configuration in force when it is newer."""
        if self._active.swap(self._fold.config):
            version = self._active.version
            self._parts.table.update_own(version=version)
            self._parts.events.write(Event.CONFIG_IN_FORCE, version=version)

    def _run_duties(self) -> None:
        duties = self._parts.duties
        duties.on_state(self._fold.state)
        rank = self._duty_rank()
        self._update_seeds(rank)
        duties.on_tick(
            self._fold,
            rank=rank,
            first=self._log.first,
            end=self._log.end or 0,
        )

    def _update_seeds(self, rank: int | None) -> None:
        """Use the seed list in the log, and replace it when due if this is the primary reader."""
        zone = self._parts.table.own.availability_zone
        listed = self._fold.state.seeds.get(zone, ())
        if listed != self._listed_seeds:
            self._listed_seeds = listed
            self._parts.detector.add_seeds(listed)
        due = self._seeds.due(listed, self._parts.distribution.tree.ranking) if rank == 0 else None
        if due is not None:
            self._parts.duties.append(due)

    def _duty_rank(self) -> int | None:
        """Return the rank among the zone's readers, None while this node may not hold a duty."""
        end = self._log.end
        current = end is not None and self._fold.next_offset >= end
        eligible = self._gate.state is Readiness.READY and not self._parts.table.own.draining
        if not current or not eligible:
            return None
        return _DUTY_RANKS.get(self._role)

    def _refresh(self) -> None:
        """Update readiness and the routing view."""
        before = self._gate.state
        state = self._gate.update(
            ReadinessInputs(
                offset=self._fold.next_offset,
                version=self._active.version,
                log_end=self._log.end,
                log_failing_s=self._log.failing_s,
                peer_offsets=self._parts.distribution.peer_offsets(),
            )
        )
        ready = state is not Readiness.NOT_READY
        if not ready:
            self.core_events.not_ready(self._gate.reason)
        if state is not before:
            self._parts.events.write(Event.NODE_READY, state=state.value, reason=self._gate.reason)
        self._parts.table.update_own(ready=ready)
        self._parts.views.current = self._view_builder.build(
            ready=ready,
            reason=self._gate.reason,
            config=self._active.current,
            members=self._parts.table.members(),
            remote=self._remote.members(self._parts.directory),
            shares=self._parts.move_runner.shares(),
        )


def _metric_of(record: CallRecord) -> str:
    if record.refused:
        return "calls.refused"
    return "calls.served" if record.verdict is Verdict.RAN else "calls.failed"
