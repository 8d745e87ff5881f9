"""The control task: owns the peer sockets, the fold, membership and distribution."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

import zmq
from attrs import define, field

from ..calls import ViewHolder
from ..clock import Clock
from ..config import ActiveConfig
from ..distribution import DistributionCore, ReaderRole
from ..errors import MessageRejected
from ..log import FoldResult, LogFold
from ..log.fold import PlanState
from ..membership import FailureDetector, Member, MemberState, MemberTable, ZoneDirectory
from ..telemetry import Event, EventLog, Metrics
from ..transport.send import Core, Send
from ..transport.zmq_transport import ZmqTransport
from .mail import (
    CallReported,
    DrainAsked,
    LoadReported,
    LogRead,
    LogReadFailed,
    Mailbox,
    PlanAwaited,
    RecordAwaited,
    SnapshotRead,
    StateAsked,
    StatusAsked,
    StopAsked,
)
from .readiness import Readiness, ReadinessGate, ReadinessInputs
from .status import MeshStatus
from .views import build_view, node_status, zone_status

TICK_MS = 250
MAX_FRAMES_PER_TURN = 200
METRICS_EVERY_TICKS = 40
MEMBER_EVENTS = {
    MemberState.ALIVE: Event.MEMBER_ALIVE,
    MemberState.SUSPECT: Event.MEMBER_SUSPECT,
    MemberState.GONE: Event.MEMBER_GONE,
}


@define
class ControlParts:
    """The parts that the control task runs; wired by the composition root."""

    clock: Clock
    events: EventLog
    metrics: Metrics
    transport: ZmqTransport
    mailbox: Mailbox
    table: MemberTable
    views: ViewHolder
    detector: FailureDetector = field(init=False)
    distribution: DistributionCore = field(init=False)
    directory: ZoneDirectory = field(init=False)


class ControlTask:
    """Runs all cores on one thread.

    Args:
        parts: Sockets, cores and outputs.
        fold: The folded log, empty at the start.
    """

    def __init__(self, parts: ControlParts, *, fold: LogFold) -> None:
        self._parts = parts
        self._fold = fold
        self._active = ActiveConfig()
        self._gate = ReadinessGate()
        self._log_end: int | None = None
        self._log_failing_since: float | None = None
        self._plan_waiters: list[PlanAwaited] = []
        self._record_waiters: list[RecordAwaited] = []
        self._role = ReaderRole.NONE
        self._stopping = False
        self._ticks = 0
        self._handlers: dict[type[Any], Callable[[Any], None]] = {
            LogRead: self._log_read,
            LogReadFailed: self._log_read_failed,
            SnapshotRead: self._snapshot_read,
            CallReported: self._call_reported,
            LoadReported: self._load_reported,
            StatusAsked: lambda mail: mail.answer.set_result(self._status()),
            StateAsked: lambda mail: mail.answer.set_result(self._fold.state),
            PlanAwaited: self._plan_waiters.append,
            RecordAwaited: self._record_waiters.append,
            DrainAsked: self._drain,
            StopAsked: self._stop,
        }

    @property
    def mailbox(self) -> Mailbox:
        """Where other tasks put messages for this one."""
        return self._parts.mailbox

    @property
    def next_offset(self) -> int:
        """Next offset that this node folds; safe to read from any thread."""
        return self._fold.next_offset

    @property
    def version(self) -> int:
        """Configuration version in force, -1 for none."""
        return self._active.version

    @property
    def reads_log(self) -> bool:
        """Whether the reader task should poll the log; safe to read from any thread."""
        return self._role is not ReaderRole.NONE or self._gate.state is not Readiness.READY

    def deliver(self, offset: int, data: bytes) -> None:
        """Fold one record; called by the distribution core in offset order."""
        result = self._fold.apply(offset, data)
        if not result.accepted and result.reason != "duplicate":
            self._parts.events.write(Event.RECORD_REFUSED, offset=offset, reason=result.reason)
        self._after_fold(result)

    def member_changed(self, member: Member) -> None:
        """Write an event; called by the failure detector."""
        event = MEMBER_EVENTS[MemberState(member.state)]
        if member.draining and event is Event.MEMBER_ALIVE:
            event = Event.MEMBER_DRAINING
        self._parts.events.write(event, member=member.name, incarnation=member.incarnation)

    def run(self) -> None:
        """Handle frames, messages and ticks until a stop is asked for."""
        poller = zmq.Poller()
        poller.register(self._parts.transport.inbox, zmq.POLLIN)
        poller.register(self.mailbox.fileno(), zmq.POLLIN)
        next_tick = self._parts.clock.monotonic()
        while not self._stopping:
            now = self._parts.clock.monotonic()
            if now >= next_tick:
                next_tick = now + TICK_MS / 1000
                self._tick()
            poller.poll(max(0, int((next_tick - now) * 1000)))
            self._take_mail()
            self._take_frames()
            self._answer_waiters()
        self._parts.transport.close()

    def _tick(self) -> None:
        self._ticks += 1
        for core in self._cores():
            self._send(core.on_tick())
        self._parts.table.update_own(reading=self._parts.distribution.reading)
        role = self._parts.distribution.role
        if role is not self._role:
            self._role = role
            self._parts.events.write(Event.READER_ROLE, role=role.value)
        self._refresh()
        if self._ticks % METRICS_EVERY_TICKS == 0:
            self._write_metrics()

    def _cores(self) -> tuple[Core, ...]:
        return self._parts.detector, self._parts.distribution, self._parts.directory

    def _take_mail(self) -> None:
        for mail in self.mailbox.take_all():
            self._handlers[type(mail)](mail)

    def _take_frames(self) -> None:
        for _ in range(MAX_FRAMES_PER_TURN):
            received = self._parts.transport.receive()
            if received is None:
                return
            for core in self._cores():
                if isinstance(received.message, core.MESSAGES):  # type: ignore[attr-defined]
                    self._send(core.on_message(received.sender, received.message))

    def _send(self, effects: Sequence[Send]) -> None:
        for effect in effects:
            self._parts.transport.send(effect)

    def _log_read(self, mail: LogRead) -> None:
        if self._log_failing_since is not None:
            self._parts.events.write(Event.LOG_RECOVERED, end=mail.page.end)
        self._log_failing_since = None
        self._log_end = mail.page.end
        self._send(self._parts.distribution.on_log_records(mail.page.records))
        self._refresh()

    def _log_read_failed(self, mail: LogReadFailed) -> None:
        self._parts.metrics.count("log.failures")
        self._parts.distribution.on_log_failure()
        if self._log_failing_since is None:
            self._log_failing_since = self._parts.clock.monotonic()
            self._parts.events.write(Event.LOG_UNAVAILABLE, reason=mail.reason)
        self._refresh()

    def _snapshot_read(self, mail: SnapshotRead) -> None:
        self.load_snapshot(mail.data)

    def make_snapshot(self) -> bytes:
        """Return the folded state for a peer that lacks trimmed records."""
        return self._fold.to_snapshot()

    def load_snapshot(self, data: bytes) -> bool:
        """Continue from a snapshot of the log or of a peer; returns whether it was newer."""
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
        return True

    def _call_reported(self, mail: CallReported) -> None:
        self._parts.metrics.count("calls.served")

    def _load_reported(self, mail: LoadReported) -> None:
        self._parts.table.update_own(load=mail.load)

    def _drain(self, _: DrainAsked) -> None:
        self._parts.table.update_own(draining=True)
        self._parts.events.write(Event.DRAIN_STARTED)
        self._refresh()

    def _stop(self, _: StopAsked) -> None:
        self._send(self._parts.detector.leave())
        self._stopping = True

    def _after_fold(self, result: FoldResult) -> None:
        if result.accepted:
            self._activate()

    def _activate(self) -> None:
        """Put the folded configuration in force when it is newer."""
        if self._active.swap(self._fold.config):
            version = self._active.version
            self._parts.table.update_own(version=version)
            self._parts.events.write(Event.CONFIG_IN_FORCE, version=version)

    def _refresh(self) -> None:
        """Decide readiness anew and replace the routing view."""
        now = self._parts.clock.monotonic()
        failing = 0.0 if self._log_failing_since is None else now - self._log_failing_since
        before = self._gate.state
        state = self._gate.update(
            ReadinessInputs(
                offset=self._fold.next_offset,
                version=self._active.version,
                log_end=self._log_end if self._log_failing_since is None else None,
                log_failing_s=failing,
                peer_offsets=self._parts.distribution.peer_offsets(),
            )
        )
        ready = state is not Readiness.NOT_READY
        if state is not before:
            self._parts.events.write(Event.NODE_READY, state=state.value, reason=self._gate.reason)
        self._parts.table.update_own(ready=ready)
        self._parts.views.current = build_view(
            ready=ready,
            reason=self._gate.reason,
            config=self._active.current,
            members=self._parts.table.members(),
            shares={},
        )

    def _answer_waiters(self) -> None:
        folded = self._fold.next_offset
        for plan_waiter in [w for w in self._plan_waiters if w.offset < folded]:
            self._plan_waiters.remove(plan_waiter)
            plan = self._fold.state.plans.get(plan_waiter.plan_id)
            lost = PlanState(False, plan_waiter.offset, "the record could not be read")
            plan_waiter.answer.set_result(plan if plan is not None else lost)
        for waiter in [w for w in self._record_waiters if w.offset < folded]:
            self._record_waiters.remove(waiter)
            waiter.answer.set_result(self._fold.state)

    def _status(self) -> MeshStatus:
        table, transport = self._parts.table, self._parts.transport
        version = self._active.version
        members = table.all_members()
        own_zone = table.own.availability_zone
        state = self._fold.state
        return MeshStatus(
            node=table.own.name,
            availability_zone=own_zone,
            readiness=self._gate.state.value,
            reason=self._gate.reason,
            version=version,
            offset=state.next_offset,
            digest=f"{state.digest:016x}",
            log_reachable=self._log_reachable(),
            reader_role=self._role.value,
            zones=tuple(
                zone_status(progress, version=version)
                for progress in self._parts.directory.zone_progress()
            ),
            nodes=tuple(node_status(member) for member in members),
            duties={duty: lease.holder for duty, lease in state.leases.items()},
            control_bytes_sent=transport.bytes_sent,
            control_messages_sent=transport.messages_sent,
            rejected_messages=transport.rejected,
        )

    def _log_reachable(self) -> bool | None:
        if self._log_failing_since is not None:
            return False
        return True if self._role is not ReaderRole.NONE else None

    def _write_metrics(self) -> None:
        metrics, transport = self._parts.metrics, self._parts.transport
        metrics.gauge("control.bytes_sent", transport.bytes_sent)
        metrics.gauge("control.messages_sent", transport.messages_sent)
        metrics.gauge("control.messages_rejected", sum(transport.rejected.values()))
        metrics.gauge("config.version", self._active.version)
        metrics.gauge("members.alive", len(self._parts.table.members()))
