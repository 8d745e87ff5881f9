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
from .copies import STORE, TopicCopies
from .entry import NodeEntry, NodeTable
from .evidence import Evidence
from .gossip import GossipCore
from .messages import (
    CallReported,
    Left,
    Mail,
    PageRead,
    Reported,
    StopAsked,
    WatchFailed,
    Written,
)
from .parts import HostedParts, Steering
from .presence import NODE_PREFIX, Presence, read_entry
from .readers import ReaderBeat
from .replica import TopicReplica
from .rollout import (
    ROLLOUT_PREFIX,
    Phase,
    RolloutCore,
    RolloutRecord,
    decode_record,
    rollout_write,
)
from .store import MESH_TOPIC, KeyedRecord
from .trial import VersionTrial
from .views import build_view


class HostedCore:
    """Keeps configuration, nodes, the own target and rollouts, and builds the routing view.

    Args:
        parts: What the core works with.
        own: Entry of this node before its target has reported.
    """

    def __init__(self, parts: HostedParts, *, own: NodeEntry) -> None:
        self._parts = parts
        self._active = ActiveConfig()
        self._table = NodeTable(own_name=own.name, clock=parts.clock)
        self._replicas = {name: TopicReplica(name) for name in (parts.operator.name, MESH_TOPIC)}
        self._gossip = GossipCore(
            replicas=self._replicas,
            table=self._table,
            clock=parts.clock,
            random=parts.random,
            on_records=self._on_records,
            on_entries=self._on_entries,
            rollouts=lambda: self._rollouts.records(),
        )
        self._rollouts = RolloutCore(
            own_name=own.name,
            clock=parts.clock,
            events=parts.events,
            write_record=lambda record: parts.submit(rollout_write(record)),
            tell_record=self._tell_rollout,
            write_status=lambda *told: parts.submit(parts.operator.status(*told)),
        )
        self._trial = VersionTrial(self._rollouts, clock=parts.clock, events=parts.events)
        self._presence = Presence(
            own,
            table=self._table,
            clock=parts.clock,
            submit=parts.submit,
            announce=self._announce,
        )
        self._steering = Steering()
        self._access = StoreAccess(
            own,
            clock=parts.boot_clock,
            events=parts.events,
            steering=self._steering,
            timings=parts.timings,
        )
        self._copies = TopicCopies(
            self._replicas,
            operator=parts.operator.name,
            table=self._table,
            access=self._access,
            gossip=self._gossip,
            clock=parts.boot_clock,
        )
        self._stopping = False
        self._view_due = True
        self._outbox: list[Send] = []

    @property
    def steering(self) -> Steering:
        """What follows the core's decisions; set by the composition root."""
        return self._steering

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
        return self._access.answers

    @property
    def config_age_s(self) -> float:
        """Seconds since the configuration in force was known to be the newest."""
        return self._access.age_s

    def identity(self) -> TargetIdentity:
        """Return who the own target is, for the call path; called from any thread."""
        return self._trial.restrict(self._parts.target.identity)

    def handle(self, mail: Mail) -> list[Send]:
        """Handle a message of another task."""
        handler = _HANDLERS[type(mail)]
        handler(self, mail)
        return self._finish()

    def on_message(self, sender: str, message: Any) -> list[Send]:
        """Handle a message of another node."""
        handler = _MESSAGES.get(type(message))
        if handler is not None:
            handler(self, sender, message)
        else:
            self._gossiped(sender, message)
        return self._finish()

    def start(self) -> None:
        """Write the own entry; the topic of the nodes is read after that.

        Of two nodes that start at once, the one that writes later reads the other's entry.
        """
        self._presence.store()

    def position(self, topic: str) -> int:
        """Return the first offset of a topic that this node lacks; called from any thread."""
        return self._replicas[topic].position

    def on_tick(self) -> list[Send]:
        """Do what is due."""
        if self._parts.target.on_tick():
            self._parts.events.write(Event.TARGET_SILENT)
            self._update_own()
        self._presence.renew()
        self._drop_expired()
        zone = self._table.others_in(self._presence.entry.availability_zone)
        if self._access.on_tick(zone):
            self._view_due = True
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

    def _page_read(self, mail: PageRead) -> None:
        taken = self._copies.take(mail, own=self._presence.entry)
        self._on_records(mail.topic, taken.changed, STORE)
        if mail.topic == MESH_TOPIC and mail.whole:
            self._check_own_record()
            self._announce(self._presence.entry)
            self._outbox += self._gossip.join()
            if not self._access.reading:
                self._steering.read_topics(False)
        self._outbox += taken.sends

    def _watch_failed(self, mail: WatchFailed) -> None:
        self._access.failed(mail.topic, mail.reason)

    def _written(self, mail: Written) -> None:
        """Act on a record once it stands in the store."""
        rollout = decode_record(mail.record.value) if mail.topic == MESH_TOPIC else None
        if rollout is not None and mail.record.key.startswith(ROLLOUT_PREFIX):
            self._take_rollout(rollout)
            self._tell_rollout(rollout)
        elif mail.record.key == self._presence.key:
            self._steering.read_nodes()

    def _reported(self, mail: Reported) -> None:
        target = self._parts.target
        try:
            changed = target.on_report(mail.report)
        except ValueError as error:
            mail.answer.set_result(str(error))
            return
        if changed:
            self._target_changed()
        mail.answer.set_result("")

    def _left(self, mail: Left) -> None:
        if self._parts.target.on_leave(mail.leave):
            self._target_changed()
        mail.answer.set_result("")

    def _call_reported(self, mail: CallReported) -> None:
        target = self._parts.target
        cold = self._parts.clock.monotonic() < target.view.cold_until
        version = target.identity.service_version
        if self._trial.observe(mail.record, version=version, cold=cold):
            self._update_own()

    def _stop_asked(self, _: StopAsked) -> None:
        self._stopping = True
        self._update_own()

    # Changes.

    def _target_changed(self) -> None:
        view = self._parts.target.view
        report = view.report
        self._trial.begin()
        if report is not None:
            self._steering.set_slots(report.slots)
        self._parts.events.write(Event.TARGET_STATE, **view.log_fields)
        self._update_own()

    def _update_own(self) -> None:
        """Tell other nodes whether the own target takes calls, if that has changed."""
        takes_calls = not self._stopping and not self.identity().refusal
        if self._presence.update(self._parts.target.view, takes_calls=takes_calls):
            self._view_due = True

    def _announce(self, entry: NodeEntry) -> None:
        self._outbox += self._gossip.announce(entry)

    def _check_own_record(self) -> None:
        if not self._stopping:
            self._presence.check(self._replicas[MESH_TOPIC].value(self._presence.key))

    def _on_beat(self, sender: str, beat: ReaderBeat) -> None:
        self._outbox += self._copies.on_beat(sender, beat)

    def _gossiped(self, sender: str, message: Any) -> None:
        try:
            self._outbox += self._gossip.on_message(sender, message)
        except MessageRejected as error:
            self._parts.events.write(Event.MESSAGE_REJECTED, reason=error.reason, sender=sender)

    def _on_evidence(self, _: str, evidence: Evidence) -> None:
        self._rollouts.on_evidence(evidence)

    def _on_rollout(self, _: str, record: RolloutRecord) -> None:
        self._take_rollout(record)

    def _drop_expired(self) -> None:
        """Forget nodes that are gone."""
        expired = self._table.expire()
        for entry in expired:
            self._view_due = True
            self._parts.events.write(Event.NODE_EXPIRED, peer=entry.name)
        self._presence.remove_records(expired)

    def _on_records(self, topic: str, records: Iterable[KeyedRecord], source: str) -> None:
        if topic == self._parts.operator.name:
            for record in records:
                self._on_operator_record(record, source)
            return
        for record in records:
            if record.key.startswith(NODE_PREFIX):
                self._on_node_record(record)
            elif record.key.startswith(ROLLOUT_PREFIX):
                rollout = decode_record(record.value)
                if rollout is not None:
                    self._take_rollout(rollout)
                elif record.value is not None:
                    self._refuse_record(record)

    def _on_node_record(self, record: KeyedRecord) -> None:
        entry = read_entry(record.value)
        if entry is not None:
            self._on_entries([entry])
        elif record.value is not None:
            self._refuse_record(record)
        elif record.key == self._presence.key:
            self._check_own_record()  # The store's keys may be taken away without a request.

    def _refuse_record(self, record: KeyedRecord) -> None:
        self._parts.events.write(Event.RECORD_REFUSED, key=record.key, offset=record.offset)

    def _on_operator_record(self, record: KeyedRecord, source: str) -> None:
        config = self._parts.operator.config(record)
        if config is not None and self._active.swap(config):
            self._parts.events.write(
                Event.CONFIG_IN_FORCE,
                version=config.version,
                offset=record.offset,
                position=self.position(self._parts.operator.name),
                source=source,
            )
            self._view_due = True
        order = self._parts.operator.order(record)
        if order is None:
            if config is None and record.value is not None:
                self._refuse_record(record)
            return
        self._rollouts.on_order(order)
        stored = decode_record(self._replicas[MESH_TOPIC].value(ROLLOUT_PREFIX + order.service))
        if stored is not None:
            self._rollouts.on_record(stored)
        self._trial.begin()
        self._view_due = True

    def _take_rollout(self, rollout: RolloutRecord) -> None:
        self._rollouts.on_record(rollout)
        self._view_due = True
        if rollout.phase != Phase.RUNNING:
            self._trial.begin()
        self._update_own()

    def _on_entries(self, entries: list[NodeEntry]) -> None:
        for entry in entries:
            if entry.name == self._presence.entry.name:
                self._refute(entry)
            elif self._table.put(entry):
                self._view_due = True
                self._parts.events.write(Event.NODE_ENTRY, **entry.log_fields)

    def _refute(self, entry: NodeEntry) -> None:
        if not self._stopping:
            self._presence.refute(entry)
            self._view_due = True

    def _tell_rollout(self, record: RolloutRecord) -> None:
        self._outbox += self._gossip.tell(record, self._table.others())

    def _send_evidence(self) -> None:
        told = self._trial.evidence(self._presence.entry)
        if told is None:
            return
        holder, evidence = told
        if holder == self._presence.entry.name:
            self._rollouts.on_evidence(evidence)
        elif evidence.routes:
            peers = [entry for entry in self._table.others() if entry.name == holder]
            self._outbox += self._gossip.tell(evidence, peers)

    def _finish(self) -> list[Send]:
        """Rebuild the routing view if something it shows has changed; return what to send."""
        if self._view_due:
            self._view_due = False
            share = self._parts.retry_slack / (1 + self.nodes_known)
            self._steering.set_saved_retries(max(1.0, share))
            self._parts.views.current = build_view(
                self._active.current,
                self._table.entries(),
                self._rollouts.shares(),
                complete=self._access.current,
                before=self._parts.views.current,
            )
        effects, self._outbox = self._outbox, []
        return effects


_MESSAGES: dict[type[Any], Callable[[HostedCore, str, Any], None]] = {
    Evidence: HostedCore._on_evidence,
    ReaderBeat: HostedCore._on_beat,
    RolloutRecord: HostedCore._on_rollout,
}

_HANDLERS: dict[type[Any], Callable[[HostedCore, Any], None]] = {
    PageRead: HostedCore._page_read,
    WatchFailed: HostedCore._watch_failed,
    Written: HostedCore._written,
    Reported: HostedCore._reported,
    Left: HostedCore._left,
    CallReported: HostedCore._call_reported,
    StopAsked: HostedCore._stop_asked,
}
