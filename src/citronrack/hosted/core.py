"""All decisions of a node on a platform, without sockets, threads or real time."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from ..calls.delivery import TargetIdentity
from ..config import ActiveConfig
from ..errors import MessageRejected
from ..telemetry import Event
from ..transport.send import Send
from .access import StoreAccess
from .canary import LocalCanary
from .dependencies import CoreCallbacks, CoreDependencies
from .entry import NodeEntry, NodeTable
from .evidence import Evidence
from .gossip import GossipCore
from .messages import (
    CallReported,
    CoreMessage,
    LeaveReceived,
    PageRead,
    ReadFailed,
    RecordWritten,
    ReportReceived,
    StopRequested,
)
from .readers import ReaderHeartbeat
from .registration import NODE_PREFIX, Registration, decode_entry
from .replica import TopicReplica
from .replication import STORE, TopicReplication
from .rollout import (
    ROLLOUT_PREFIX,
    Phase,
    RolloutCore,
    RolloutRecord,
    decode_record,
    rollout_write,
)
from .store import MESH_TOPIC, KeyedRecord
from .views import build_view


class HostedCore:
    """Keeps configuration, nodes, the own target and rollouts, and builds the routing view.

    Args:
        parts: What the core works with.
        own: Entry of this node before its target has reported.
    """

    def __init__(self, dependencies: CoreDependencies, *, own: NodeEntry) -> None:
        self._dependencies = dependencies
        self._active = ActiveConfig()
        self._table = NodeTable(own_name=own.name, clock=dependencies.clock)
        self._replicas = {
            name: TopicReplica(name) for name in (dependencies.operator.name, MESH_TOPIC)
        }
        self._gossip = GossipCore(
            replicas=self._replicas,
            table=self._table,
            clock=dependencies.clock,
            random=dependencies.random,
            on_records=self._on_records,
            on_entries=self._on_entries,
            rollouts=lambda: self._rollouts.records(),
        )
        self._rollouts = RolloutCore(
            own_name=own.name,
            clock=dependencies.clock,
            events=dependencies.events,
            write_record=lambda record: dependencies.submit(rollout_write(record)),
            broadcast_record=self._broadcast_rollout,
            write_status=lambda *told: dependencies.submit(dependencies.operator.status(*told)),
        )
        self._canary = LocalCanary(
            self._rollouts, clock=dependencies.clock, events=dependencies.events
        )
        self._registration = Registration(
            own,
            table=self._table,
            clock=dependencies.clock,
            submit=dependencies.submit,
            announce=self._announce,
        )
        self._callbacks = CoreCallbacks()
        self._access = StoreAccess(
            own,
            clock=dependencies.boot_clock,
            events=dependencies.events,
            callbacks=self._callbacks,
            timings=dependencies.timings,
        )
        self._replication = TopicReplication(
            self._replicas,
            operator=dependencies.operator.name,
            table=self._table,
            access=self._access,
            gossip=self._gossip,
            clock=dependencies.boot_clock,
        )
        self._stopping = False
        self._view_outdated = True
        self._outbox: list[Send] = []

    @property
    def callbacks(self) -> CoreCallbacks:
        """What follows the core's decisions; set by the composition root."""
        return self._callbacks

    @property
    def config_version(self) -> int:
        """Version of the configuration in force, -1 before the first."""
        return self._active.version

    @property
    def ready(self) -> bool:
        """Whether callers may send new work."""
        return self._active.version >= 0 and not self._stopping

    @property
    def nodes_known(self) -> int:
        """Number of other nodes that have not expired."""
        return len(self._table.others())

    @property
    def store_answers(self) -> bool:
        """Whether all topics could be read lately."""
        return self._access.available

    @property
    def config_age_s(self) -> float:
        """Seconds since the configuration in force was known to be the newest."""
        return self._access.age_s

    def identity(self) -> TargetIdentity:
        """Return who the own target is, for the call path; called from any thread."""
        return self._canary.restrict(self._dependencies.target.identity)

    def handle(self, message: CoreMessage) -> list[Send]:
        """Handle a message of another task."""
        handler = _HANDLERS[type(message)]
        handler(self, message)
        return self._finish()

    def on_message(self, sender: str, message: Any) -> list[Send]:
        """Handle a message of another node."""
        handler = _MESSAGES.get(type(message))
        if handler is not None:
            handler(self, sender, message)
        else:
            self._on_gossip(sender, message)
        return self._finish()

    def start(self) -> None:
        """Write the own entry; the topic of the nodes is read after that.

        Of two nodes that start at once, the one that writes later reads the other's entry.
        """
        self._registration.store()

    def position(self, topic: str) -> int:
        """Return the first offset of a topic that this node lacks; called from any thread."""
        return self._replicas[topic].position

    def on_tick(self) -> list[Send]:
        """Do what is due."""
        if self._dependencies.target.on_tick():
            self._dependencies.events.write(Event.TARGET_SILENT)
            self._update_own_entry()
        self._registration.renew()
        self._drop_expired()
        zone = self._table.others_in(self._registration.entry.availability_zone)
        if self._access.on_tick(zone):
            self._view_outdated = True
        names = [entry.name for entry in self._table.entries()]
        self._rollouts.on_tick(names=names)
        self._send_evidence()
        self._outbox += self._gossip.on_tick(current=self._access.current)
        return self._finish()

    def leave(self) -> list[Send]:
        """Return what to send before the end.

        Other nodes know since the stop began that the target takes no calls. They go on sending
        to this address, because a node that starts again while the store is away has nobody else
        to learn from; one that does not come back expires.
        """
        return self._finish()

    # Messages of other tasks.

    def _on_page_read(self, message: PageRead) -> None:
        taken = self._replication.apply_page(message, own=self._registration.entry)
        self._on_records(message.topic, taken.changed, STORE)
        if message.topic == MESH_TOPIC and message.full:
            self._check_own_record()
            self._announce(self._registration.entry)
            self._outbox += self._gossip.join()
            if not self._access.reading:
                self._callbacks.read_topics(False)
        self._outbox += taken.sends

    def _on_read_failed(self, message: ReadFailed) -> None:
        self._access.on_read_failed(message.topic, message.reason)

    def _on_record_written(self, message: RecordWritten) -> None:
        """Act on a record once it stands in the store."""
        rollout = decode_record(message.record.value) if message.topic == MESH_TOPIC else None
        if rollout is not None and message.record.key.startswith(ROLLOUT_PREFIX):
            self._apply_rollout(rollout)
            self._broadcast_rollout(rollout)
        elif message.record.key == self._registration.key:
            self._callbacks.read_nodes()

    def _on_target_report(self, message: ReportReceived) -> None:
        target = self._dependencies.target
        try:
            changed = target.on_report(message.report)
        except ValueError as error:
            message.answer.set_result(str(error))
            return
        if changed:
            self._target_changed()
        message.answer.set_result("")

    def _on_target_leave(self, message: LeaveReceived) -> None:
        if self._dependencies.target.on_leave(message.leave):
            self._target_changed()
        message.answer.set_result("")

    def _on_call_reported(self, message: CallReported) -> None:
        target = self._dependencies.target
        cold = self._dependencies.clock.monotonic() < target.view.cold_until
        version = target.identity.service_version
        if self._canary.observe(message.record, version=version, cold=cold):
            self._update_own_entry()

    def _on_stop_requested(self, _: StopRequested) -> None:
        self._stopping = True
        self._update_own_entry()

    # Changes.

    def _target_changed(self) -> None:
        view = self._dependencies.target.view
        report = view.report
        self._canary.begin()
        if report is not None:
            self._callbacks.set_slots(report.slots)
        self._dependencies.events.write(Event.TARGET_STATE, **view.log_fields)
        self._update_own_entry()

    def _update_own_entry(self) -> None:
        """Tell other nodes whether the own target takes calls, if that has changed."""
        takes_calls = not self._stopping and not self.identity().refusal
        if self._registration.update(self._dependencies.target.view, takes_calls=takes_calls):
            self._view_outdated = True

    def _announce(self, entry: NodeEntry) -> None:
        self._outbox += self._gossip.announce(entry)

    def _check_own_record(self) -> None:
        if not self._stopping:
            self._registration.reconcile(self._replicas[MESH_TOPIC].value(self._registration.key))

    def _on_heartbeat(self, sender: str, beat: ReaderHeartbeat) -> None:
        self._outbox += self._replication.on_heartbeat(sender, beat)

    def _on_gossip(self, sender: str, message: Any) -> None:
        try:
            self._outbox += self._gossip.on_message(sender, message)
        except MessageRejected as error:
            self._dependencies.events.write(
                Event.MESSAGE_REJECTED, reason=error.reason, sender=sender
            )

    def _on_evidence(self, _: str, evidence: Evidence) -> None:
        self._rollouts.on_evidence(evidence)

    def _on_rollout(self, _: str, record: RolloutRecord) -> None:
        self._apply_rollout(record)

    def _drop_expired(self) -> None:
        """Forget nodes that are gone."""
        expired = self._table.expire()
        for entry in expired:
            self._view_outdated = True
            self._dependencies.events.write(Event.NODE_EXPIRED, peer=entry.name)
        self._registration.remove_records(expired)

    def _on_records(self, topic: str, records: Iterable[KeyedRecord], source: str) -> None:
        if topic == self._dependencies.operator.name:
            for record in records:
                self._on_operator_record(record, source)
            return
        for record in records:
            if record.key.startswith(NODE_PREFIX):
                self._on_node_record(record)
            elif record.key.startswith(ROLLOUT_PREFIX):
                rollout = decode_record(record.value)
                if rollout is not None:
                    self._apply_rollout(rollout)
                elif record.value is not None:
                    self._refuse_record(record)

    def _on_node_record(self, record: KeyedRecord) -> None:
        entry = decode_entry(record.value)
        if entry is not None:
            self._on_entries([entry])
        elif record.value is not None:
            self._refuse_record(record)
        elif record.key == self._registration.key:
            self._check_own_record()  # The store's keys may be taken away without a request.

    def _refuse_record(self, record: KeyedRecord) -> None:
        self._dependencies.events.write(Event.RECORD_REFUSED, key=record.key, offset=record.offset)

    def _on_operator_record(self, record: KeyedRecord, source: str) -> None:
        config = self._dependencies.operator.config(record)
        if config is not None and self._active.swap(config):
            self._dependencies.events.write(
                Event.CONFIG_IN_FORCE,
                version=config.version,
                offset=record.offset,
                position=self.position(self._dependencies.operator.name),
                source=source,
            )
            self._view_outdated = True
        order = self._dependencies.operator.order(record)
        if order is None:
            if config is None and record.value is not None:
                self._refuse_record(record)
            return
        self._rollouts.on_order(order)
        stored = decode_record(self._replicas[MESH_TOPIC].value(ROLLOUT_PREFIX + order.service))
        if stored is not None:
            self._rollouts.on_record(stored)
        self._canary.begin()
        self._view_outdated = True

    def _apply_rollout(self, rollout: RolloutRecord) -> None:
        self._rollouts.on_record(rollout)
        self._view_outdated = True
        if rollout.phase != Phase.RUNNING:
            self._canary.begin()
        self._update_own_entry()

    def _on_entries(self, entries: list[NodeEntry]) -> None:
        for entry in entries:
            if entry.name == self._registration.entry.name:
                self._refute(entry)
            elif self._table.put(entry):
                self._view_outdated = True
                self._dependencies.events.write(Event.NODE_ENTRY, **entry.log_fields)

    def _refute(self, entry: NodeEntry) -> None:
        if not self._stopping:
            self._registration.refute(entry)
            self._view_outdated = True

    def _broadcast_rollout(self, record: RolloutRecord) -> None:
        self._outbox += self._gossip.send_to(record, self._table.others())

    def _send_evidence(self) -> None:
        told = self._canary.evidence(self._registration.entry)
        if told is None:
            return
        holder, evidence = told
        if holder == self._registration.entry.name:
            self._rollouts.on_evidence(evidence)
        elif evidence.routes:
            peers = [entry for entry in self._table.others() if entry.name == holder]
            self._outbox += self._gossip.send_to(evidence, peers)

    def _finish(self) -> list[Send]:
        """Rebuild the routing view if something it shows has changed; return what to send."""
        if self._view_outdated:
            self._view_outdated = False
            share = self._dependencies.retry_slack / (1 + self.nodes_known)
            self._callbacks.set_retry_burst(max(1.0, share))
            self._dependencies.views.current = build_view(
                self._active.current,
                self._table.entries(),
                self._rollouts.shares(),
                complete=self._access.current,
                before=self._dependencies.views.current,
            )
        effects, self._outbox = self._outbox, []
        return effects


_MESSAGES: dict[type[Any], Callable[[HostedCore, str, Any], None]] = {
    Evidence: HostedCore._on_evidence,
    ReaderHeartbeat: HostedCore._on_heartbeat,
    RolloutRecord: HostedCore._on_rollout,
}

_HANDLERS: dict[type[Any], Callable[[HostedCore, Any], None]] = {
    PageRead: HostedCore._on_page_read,
    ReadFailed: HostedCore._on_read_failed,
    RecordWritten: HostedCore._on_record_written,
    ReportReceived: HostedCore._on_target_report,
    LeaveReceived: HostedCore._on_target_leave,
    CallReported: HostedCore._on_call_reported,
    StopRequested: HostedCore._on_stop_requested,
}
