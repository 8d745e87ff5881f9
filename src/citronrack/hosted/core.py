"""State machine of a node on a platform; has no sockets, threads or real time."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from ..calls.notice import TargetStatement
from ..calls.suspicion import TargetEnd
from ..calls.target_identity import TargetIdentity
from ..decisions.tokens import Limit
from ..errors import MessageRejected
from ..telemetry import Event
from ..transport.send import Send
from .access import StoreAccess
from .allotment_exchange import AllotmentExchange, MemberCount, TokenGrant, TokenRequest
from .allotments import TokensWanted
from .canary import LocalCanary
from .cold import ColdPhase
from .dependencies import CoreCallbacks, CoreDependencies
from .entry import NodeEntry, NodeTable
from .evacuation import EvacuationOrder, LocalEvacuation
from .evidence import Evidence
from .fanout import Fanout, Relayed, send_to
from .gossip import Entries, GossipCore
from .joining import SeedJoin
from .leaving import LEFT_PREFIX, LeaveKeeper
from .messages import (
    CallReported,
    CoreMessage,
    DependencyFailed,
    LeaveReceived,
    LocalTargetEnded,
    PageRead,
    ReadFailed,
    RecordKept,
    RecordWritten,
    ReportReceived,
    StopRequested,
    TargetStated,
    WriteFailed,
)
from .operator_state import OperatorState
from .position import era_of
from .readers import ReaderHeartbeat
from .record_audit import RecordAudit
from .registration import NODE_PREFIX, Registration, entry_of
from .replica import TopicReplica
from .replication import STORE, TopicReplication
from .restoration import Restoration
from .rollout import RolloutCore
from .rollout_record import (
    ROLLOUT_PREFIX,
    Phase,
    RolloutOrder,
    RolloutRecord,
    decode_record,
    rollout_write,
)
from .store import MESH_TOPIC, KeyedRecord
from .suspicions import DeadlyRequests, SuspectsCleared, SuspicionExchange
from .target import TargetLeave, TargetState
from .views import build_view

LIMIT_DIGITS = 2
"""Significant digits of the limits in entries; the node of a target keeps to the exact limit."""

ROLLOUT_RELAYS = 2
"""Relays of each zone for records of rollouts, which are the heartbeats of their holders: the loss
of two in a row would start a takeover."""


class HostedCore:
    """Tracks configuration, nodes, the local target and rollouts, and builds the routing view.

    Args:
        dependencies: Collaborators of the core.
        own: Entry of this node before the first report of its target.
    """

    def __init__(self, dependencies: CoreDependencies, *, own: NodeEntry) -> None:
        self._dependencies = dependencies
        self._operator = OperatorState(dependencies.operator, events=dependencies.events)
        self._audit = RecordAudit(dependencies.events, fault_of=dependencies.operator.fault)
        self._table = NodeTable(own_name=own.name, clock=dependencies.clock)
        self._replicas = {
            dependencies.operator.name: TopicReplica(
                dependencies.operator.name,
                clock=dependencies.clock,
                supersedes=self._operator.supersedes,
                version_of=self._operator.version_of,
            ),
            MESH_TOPIC: TopicReplica(MESH_TOPIC, clock=dependencies.clock),
        }
        self._fanout = Fanout(own, table=self._table, random=dependencies.random)
        self._suspicions = SuspicionExchange(dependencies.suspects, fanout=self._fanout)
        self._join = SeedJoin(
            dependencies.seeds, clock=dependencies.clock, random=dependencies.random
        )
        self._gossip = GossipCore(
            replicas=self._replicas,
            table=self._table,
            fanout=self._fanout,
            clock=dependencies.clock,
            random=dependencies.random,
            on_records=self._on_records,
            on_entries=self._on_entries,
            rollouts=lambda: self._rollouts.records(),
            confirmed_age_s=self._confirmed_age_s,
            on_confirmed=self._on_confirmed,
            for_new_node=self._suspicions.for_new_node,
            trust=dependencies.trust,
            versioned=dependencies.operator.name,
        )
        self._rollouts = RolloutCore(
            own_name=own.name,
            clock=dependencies.boot_clock,
            random=dependencies.random,
            events=dependencies.events,
            write_record=lambda proposal: dependencies.submit(rollout_write(proposal)),
            broadcast_record=self._broadcast_rollout,
            write_status=lambda service: dependencies.submit(dependencies.operator.status(service)),
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
        self._leaving = LeaveKeeper(
            dependencies.target,
            name=own.name,
            clock=dependencies.clock,
            events=dependencies.events,
            submit=dependencies.submit,
            is_informed=lambda: self._replicas[MESH_TOPIC].known,
        )
        self._callbacks = CoreCallbacks()
        self._evacuation = LocalEvacuation(
            own.availability_zone, evacuated=lambda: self._operator.evacuated
        )
        self._cold = ColdPhase(
            dependencies.target,
            config=lambda: self._operator.config,
            clock=dependencies.clock,
            events=dependencies.events,
            set_rate=lambda rate_per_s: self._callbacks.set_cold_rate(rate_per_s),
        )
        self._access = StoreAccess(
            own,
            clock=dependencies.boot_clock,
            events=dependencies.events,
            callbacks=self._callbacks,
            timings=dependencies.timings,
            reading=not dependencies.seeds,
        )
        self._replication = TopicReplication(
            self._replicas,
            operator=dependencies.operator.name,
            fanout=self._fanout,
            access=self._access,
            gossip=self._gossip,
            clock=dependencies.boot_clock,
        )
        self._allotments = AllotmentExchange(
            own.name,
            availability_zone=own.availability_zone,
            table=self._table,
            allotments=dependencies.allotments,
            slack=dependencies.allotment_slack,
            clock=dependencies.boot_clock,
            random=dependencies.random,
            events=dependencies.events,
        )
        self._heard_at = dependencies.boot_clock.monotonic()
        self._statement = TargetStatement(process=("", 0))
        self._stopping = False
        self._restoration = Restoration(
            clock=dependencies.clock, random=dependencies.random, events=dependencies.events
        )
        self._view_outdated = True
        self._outbox: list[Send] = []

    @property
    def callbacks(self) -> CoreCallbacks:
        """Callbacks that the core invokes; set by the composition root."""
        return self._callbacks

    @property
    def config_version(self) -> int:
        """Version of the active configuration, -1 before the first one."""
        return self._operator.config.version

    @property
    def entry(self) -> NodeEntry:
        """Entry of this node as last announced."""
        return self._registration.entry

    @property
    def ready(self) -> bool:
        """Whether the node accepts new calls."""
        return self._operator.config.version >= 0 and not self._stopping

    @property
    def entries(self) -> tuple[NodeEntry, ...]:
        """Entries of all nodes, as last announced."""
        return self._table.entries()

    @property
    def nodes_known(self) -> int:
        """Number of other nodes that have not expired."""
        return len(self._table.others())

    @property
    def records_refused(self) -> int:
        """Number of records of the store that could not be used."""
        return self._audit.refused

    @property
    def store_answers(self) -> bool:
        """Whether the latest reads of all topics succeeded."""
        return self._access.available

    @property
    def config_age_s(self) -> float:
        """Seconds since the active configuration was last confirmed to be the newest."""
        return self._access.age_s

    @property
    def zones_evacuated(self) -> int:
        """Number of zones whose evacuation is in force."""
        return len(self._operator.evacuated)

    @property
    def target_cold(self) -> bool:
        """Whether the local target gets fewer calls because it is cold."""
        return self._cold.rate_per_s is not None

    @property
    def config_certain_age_s(self) -> float:
        """Seconds since the active configuration was the newest for certain."""
        return self._dependencies.trust.age_s

    def identity(self) -> TargetIdentity:
        """Return the identity of the local target for the call path; thread-safe."""
        identity = self._dependencies.target.identity
        return self._evacuation.restrict(self._canary.restrict(self._leaving.restrict(identity)))

    def handle(self, message: CoreMessage) -> list[Send]:
        """Handle a message of another task."""
        handler = _HANDLERS[type(message)]
        handler(self, message)
        return self._finish()

    def on_message(self, sender: str, message: Any) -> list[Send]:
        """Handle a message of another node."""
        self._heard_at = self._dependencies.boot_clock.monotonic()
        handler = _MESSAGES.get(type(message))
        if handler is not None:
            handler(self, sender, message)
        else:
            self._on_gossip(sender, message)
        return self._take_outbox()

    def on_turn_end(self) -> None:
        """Rebuild the routing view once for all messages that arrived together.

        After a start or a release of many nodes, each of the others gets hundreds of entries.
        """
        self._update_view()

    def start(self) -> None:
        """Write this node's entry unless there are seeds; the mesh topic is read after that.

        Of two nodes that start at the same time, the later writer then reads the other's entry.
        """
        if self._join.joined:
            self._registration.store()

    def position(self, topic: str) -> int:
        """Return the first position of a topic that this node lacks; thread-safe."""
        return self._replicas[topic].position

    def on_tick(self) -> list[Send]:
        """Run periodic work and return the messages to send."""
        if self._dependencies.target.on_tick():
            self._dependencies.events.write(Event.TARGET_SILENT)
            self._update_own_entry()
        self._ask_seeds()
        self._follow_era()
        self._follow_operator()
        if not self._join.holding:
            self._registration.renew()
        self._drop_expired()
        if self._access.on_tick(self._table.others(), hold=self._join.holding):
            self._view_outdated = True
        trust = self._dependencies.trust
        trust.on_tick()
        names = [entry.name for entry in self._table.entries()]
        silence_s = self._dependencies.boot_clock.monotonic() - self._heard_at
        self._rollouts.on_tick(names=names, silence_s=silence_s)
        self._leaving.on_tick()
        self._outbox += self._suspicions.on_tick()
        self._outbox += self._allotments.on_tick()
        self._send_evidence()
        current = self._access.current and self._replicas[MESH_TOPIC].known
        current = current and not trust.needs_answer
        self._outbox += self._gossip.on_tick(current=current, young=self._join.young)
        return self._finish()

    def leave(self) -> list[Send]:
        """Return the messages to send before the process exits.

        Other nodes learned when the stop began that the target takes no calls. They keep sending
        to this address, because a node that restarts while the store is unavailable can only learn
        from them; a node that does not restart expires.
        """
        return self._finish()

    # Messages of other tasks.

    def _on_page_read(self, message: PageRead) -> None:
        applied = self._replication.apply_page(message, own=self._registration.entry)
        self._audit.page_applied(message, self._replicas[message.topic])
        self._on_records(message.topic, applied.changed, STORE)
        if applied.confirmed:
            self._dependencies.trust.on_read(message.certain_at)
        if message.topic == MESH_TOPIC:
            if message.full:
                self._check_own_record()
                if applied.changed and not message.for_write:
                    self._announce(self._registration.entry)
                    self._outbox += self._gossip.join()
            if not self._access.reading:
                self._callbacks.read_topics(False)
        self._outbox += applied.sends

    def _on_read_failed(self, message: ReadFailed) -> None:
        self._access.on_read_failed(message.topic, message.reason)

    def _on_record_written(self, message: RecordWritten) -> None:
        """Handle a record of this node once it is stored."""
        if message.source is not None:
            self._rollouts.on_status(decode_record(message.source))
            return
        rollout = decode_record(message.record.value) if message.topic == MESH_TOPIC else None
        if rollout is not None and message.record.key.startswith(ROLLOUT_PREFIX):
            self._apply_rollout(rollout)
            self._broadcast_rollout(rollout)
        elif message.record.key == self._registration.key:
            self._callbacks.read_nodes()
        elif message.topic == MESH_TOPIC:
            self._leaving.on_stored(message.record)

    def _on_record_kept(self, message: RecordKept) -> None:
        if message.source is not None:
            self._rollouts.on_status(decode_record(message.source))
        else:
            self._on_write_failed(WriteFailed(message.topic, message.key))

    def _on_write_failed(self, message: WriteFailed) -> None:
        """Let the rollouts decide again on a record that was not stored."""
        if message.topic == MESH_TOPIC and message.key.startswith(ROLLOUT_PREFIX):
            self._rollouts.on_write_failed(message.key.removeprefix(ROLLOUT_PREFIX))

    def _on_target_report(self, message: ReportReceived) -> None:
        target = self._dependencies.target
        self._cold.expect(message.report)
        try:
            changed = target.on_report(message.report)
        except ValueError as error:
            message.answer.set_result(str(error))
            return
        finally:
            self._cold.follow()
        if changed:
            self._target_changed()
        if not message.report.draining:
            message.answer.set_result("")
        elif target.view.state is TargetState.LEAVING:
            self._leaving.acknowledge(message.answer)
        else:
            # What was not applied is not acknowledged; a target that lives reports it again.
            message.answer.set_result("the report is of an earlier start of the target")

    def _on_target_leave(self, message: LeaveReceived) -> None:
        self._apply_leave(message.leave)
        self._leaving.acknowledge(message.answer)

    def _apply_leave(self, leave: TargetLeave) -> None:
        if self._dependencies.target.on_leave(leave):
            self._target_changed()
        else:
            self._update_own_entry()  # It holds notices that precede the first report, too.

    def _on_call_reported(self, message: CallReported) -> None:
        target = self._dependencies.target
        reported = self._dependencies.clock.monotonic() < target.view.cold_until
        cold = reported or self.target_cold
        version = target.identity.service_version
        if self._canary.observe(message.record, version=version, cold=cold):
            self._update_own_entry()

    def _on_dependency_failed(self, _: DependencyFailed) -> None:
        self._canary.on_dependency_failed(self._registration.entry.service)

    def _on_target_stated(self, message: TargetStated) -> None:
        """Apply a statement; a changed limit is announced in the next tick, once for all."""
        statement = self._statement = message.statement
        if statement.leaving:
            self._apply_leave(TargetLeave(*statement.process))

    def _on_local_end(self, message: LocalTargetEnded) -> None:
        self._outbox += self._suspicions.on_local_end(message.end)
        if self._dependencies.target.on_end(message.end.process):
            self._dependencies.events.write(
                Event.TARGET_STATE, **self._dependencies.target.view.log_fields
            )
            self._update_own_entry()

    def _on_stop_requested(self, _: StopRequested) -> None:
        self._stopping = True
        self._update_own_entry()

    # State changes.

    def _target_changed(self) -> None:
        view = self._dependencies.target.view
        report = view.report
        self._canary.reset()
        if report is not None:
            self._callbacks.set_slots(report.slots)
        self._dependencies.events.write(Event.TARGET_STATE, **view.log_fields)
        self._update_own_entry()

    def _update_own_entry(self) -> None:
        """Announce whether the local target takes calls, if that has changed."""
        takes_calls = not self._stopping and not self.identity().refusal
        changed = self._registration.update(
            self._dependencies.target.view,
            takes_calls=takes_calls,
            limit_per_s=self._announced_limit(),
            left=self._dependencies.target.left,
        )
        if changed:
            self._view_outdated = True
        self._leaving.keep()

    def _announced_limit(self) -> float | None:
        """Return the rounded limit of the target, so that small changes need no messages."""
        stated = self._statement
        same_process = stated.process == self._dependencies.target.identity.process
        limits = [stated.limit_per_s if same_process else None, self._cold.rate_per_s]
        limit = min((known for known in limits if known is not None), default=None)
        return None if limit is None else float(f"{limit:.{LIMIT_DIGITS}g}")

    def _announce(self, entry: NodeEntry) -> None:
        self._outbox += self._gossip.announce(entry)

    def _follow_era(self) -> None:
        """Write again what this node owns after the store has returned from a copy."""
        operator = self._replicas[self._dependencies.operator.name]
        newest = max(replica.position for replica in self._replicas.values())
        if newest and self._restoration.on_era(era_of(newest)):
            if self._registration.is_registrar and not self._stopping:
                self._registration.store()
            self._leaving.write_again()
            self._rollouts.write_again()
        must_decide = operator.disputed and operator.settled and self._access.reading
        if must_decide and self._restoration.may_reread(operator.era):
            self._callbacks.reread_operator()

    def _check_own_record(self) -> None:
        if not self._stopping:
            self._registration.reconcile(self._replicas[MESH_TOPIC].value(self._registration.key))

    def _on_heartbeat(self, sender: str, heartbeat: ReaderHeartbeat) -> None:
        self._outbox += self._replication.on_heartbeat(sender, heartbeat)
        covered = self._replication.covers(heartbeat)
        self._dependencies.trust.on_heartbeat(heartbeat, covered=covered)

    def _on_gossip(self, sender: str, message: Any) -> None:
        try:
            self._outbox += self._gossip.on_message(sender, message)
        except MessageRejected as error:
            self._reject(sender, error)

    def _on_relayed(self, sender: str, relayed: Relayed) -> None:
        """Forward a message to this node's zone, then handle it."""
        try:
            message = relayed.message()
        except MessageRejected as error:
            self._reject(sender, error)
            return
        self._outbox += self._fanout.to_zone(message)
        _MESSAGES.get(type(message), HostedCore._on_gossip)(self, sender, message)

    def _reject(self, sender: str, error: MessageRejected) -> None:
        self._dependencies.events.write(Event.MESSAGE_REJECTED, reason=error.reason, sender=sender)

    def _confirmed_age_s(self, topic: str) -> float | None:
        """Return the age of the confirmation of a topic's end, None if it is not fresh."""
        fresh = topic == self._dependencies.operator.name and self._access.current
        return self._access.age_s if fresh else None

    def _on_confirmed(self, topic: str, age_s: float) -> None:
        if topic == self._dependencies.operator.name:
            self._access.on_peer_confirmed(age_s)

    def _on_evidence(self, _: str, evidence: Evidence) -> None:
        self._rollouts.on_evidence(evidence)

    def _on_rollout(self, _: str, record: RolloutRecord) -> None:
        self._apply_rollout(record)

    def _drop_expired(self) -> None:
        """Drop the entries of expired nodes and their records in the store."""
        expired = self._table.expire()
        for entry in expired:
            self._view_outdated = True
            self._dependencies.events.write(Event.NODE_EXPIRED, peer=entry.name)
        if self._registration.remove_records(expired):
            self._leaving.remove_records(expired)

    def _on_records(self, topic: str, records: Iterable[KeyedRecord], source: str) -> None:
        if topic == self._dependencies.operator.name:
            for record in records:
                self._on_operator_record(record, source)
            self._follow_operator()
            return
        for record in records:
            if record.key.startswith(NODE_PREFIX):
                self._on_node_record(record)
            elif record.key.startswith(ROLLOUT_PREFIX):
                rollout = decode_record(record.value)
                if rollout is not None:
                    self._apply_rollout(rollout)
                elif record.value is not None:
                    self._audit.refuse(record)
            elif record.key.startswith(LEFT_PREFIX) and self._leaving.on_record(record):
                self._target_changed()
        self._update_own_entry()  # The records may be the first ones that this node has heard.

    def _on_node_record(self, record: KeyedRecord) -> None:
        entry = entry_of(record)
        if entry is not None:
            self._on_entries([entry])
        elif record.value is not None:
            self._audit.refuse(record)
        elif record.key == self._registration.key:
            self._check_own_record()  # The store may drop a key without a request.

    def _on_operator_record(self, record: KeyedRecord, source: str) -> None:
        replica = self._replicas[self._dependencies.operator.name]
        before = self._operator.config
        config = self._operator.apply(record, end=replica.position, source=source)
        if self._operator.config is not before:
            self._dependencies.trust.on_config(self._operator.config.version)
        order = self._operator.order(record)
        evacuation = self._operator.evacuation(record)
        self._view_outdated = self._view_outdated or config is not None or order is not None
        if config is not None:
            self._apply_limits()
        if order is not None:
            self._on_order(order, written_again=not replica.settled)
        elif evacuation is not None:
            self._on_evacuation(evacuation, record.position, source)
        elif config is None and record.value is not None:
            self._audit.refuse(record)

    def _apply_limits(self) -> None:
        """Apply the limits of the workspaces of the configuration in force."""
        workspaces = self._operator.config.workspaces.values()
        self._allotments.set_limits(
            {
                workspace.name: Limit(workspace.rate_per_s, workspace.burst)
                for workspace in workspaces
                if workspace.rate_per_s
            }
        )

    def _on_tokens_wanted(self, message: TokensWanted) -> None:
        self._outbox += self._allotments.on_wanted(message)

    def _on_token_request(self, _: str, message: TokenRequest) -> None:
        self._outbox += self._allotments.on_request(message)

    def _on_member_count(self, _: str, message: MemberCount) -> None:
        self._allotments.on_member_count(message)

    def _on_token_grant(self, _: str, message: TokenGrant) -> None:
        self._outbox += self._allotments.on_grant(message)

    def _on_evacuation(self, order: EvacuationOrder, position: int, source: str) -> None:
        if self._evacuation.is_ended_by(order):
            self._cold.end_evacuation()
        self._operator.apply_evacuation(order, position=position, source=source)
        self._view_outdated = True

    def _follow_operator(self) -> None:
        """Apply the operator's records to the local target."""
        self._cold.follow()
        if self._replicas[self._dependencies.operator.name].known:
            self._evacuation.inform()
        self._update_own_entry()

    def _on_order(self, order: RolloutOrder, *, written_again: bool) -> None:
        if not self._rollouts.on_order(order, written_again=written_again):
            return
        stored = decode_record(self._replicas[MESH_TOPIC].value(ROLLOUT_PREFIX + order.service))
        if stored is not None:
            self._rollouts.on_record(stored)
        if order.target_version == self._dependencies.target.identity.service_version:
            self._canary.reset()

    def _apply_rollout(self, rollout: RolloutRecord) -> None:
        self._rollouts.on_record(rollout)
        self._suspicions.on_rollout(rollout)
        self._view_outdated = True
        if rollout.phase != Phase.RUNNING:
            self._canary.reset()
        self._update_own_entry()

    def _on_entries(self, entries: list[NodeEntry]) -> None:
        for entry in entries:
            if entry.name == self._registration.entry.name:
                self._on_own_entry(entry)
                continue
            before = self._table.get(entry.name)
            if self._table.put(entry):
                self._view_outdated = True
                self._dependencies.events.write(Event.NODE_ENTRY, **entry.log_fields)
                self._remind(entry, before)
        if self._table.others() and self._join.on_answer():
            self._announce(self._registration.entry)

    def _remind(self, entry: NodeEntry, before: NodeEntry | None) -> None:
        """Send a node that has restarted its earlier entry if its target had left."""
        if before is not None and before.left and not entry.left and entry.boot > before.boot:
            self._outbox.append(Send(entry.peer_url, Entries((before,))))

    def _on_own_entry(self, entry: NodeEntry) -> None:
        """Handle an entry of this node, of an earlier start or under the same name."""
        if entry.left is not None and self._leaving.restore(entry.left, source="node"):
            self._target_changed()
        self._update_own_entry()
        if not self._stopping:
            self._registration.refute(entry)
            self._view_outdated = True

    def _ask_seeds(self) -> None:
        """Ask a seed for its state, and introduce this node to the others.

        Seeds that all know of a node pass its entry on to each node that asks one of them.
        """
        asked = self._join.next_seed()
        if asked is None:
            return
        self._outbox.append(self._gossip.ask(asked))
        own = Entries((self._registration.entry,))
        self._outbox += [Send(seed, own) for seed in self._join.seeds if seed != asked]

    def _broadcast_rollout(self, record: RolloutRecord) -> None:
        self._outbox += self._fanout.to_all(record, relays=ROLLOUT_RELAYS)

    def _send_evidence(self) -> None:
        due = self._canary.evidence(self._registration.entry)
        if due is None:
            return
        holder, evidence = due
        if holder == self._registration.entry.name:
            self._rollouts.on_evidence(evidence)
        elif evidence.routes:
            peers = [entry for entry in self._table.others() if entry.name == holder]
            self._outbox += send_to(evidence, peers)

    def _finish(self) -> list[Send]:
        """Rebuild the routing view if its inputs have changed; return the queued messages."""
        self._update_view()
        return self._take_outbox()

    def _update_view(self) -> None:
        if self._view_outdated:
            share = self._dependencies.retry_slack / (1 + self.nodes_known)
            self._callbacks.set_retry_burst(max(1.0, share))
            self._dependencies.views.current = build_view(
                self._operator.config,
                self._table.entries(),
                self._rollouts.shares(),
                evacuated=self._operator.evacuated,
                complete=self._access.current,
                before=self._dependencies.views.current,
                confirmation=self._dependencies.trust.confirmation,
            )
            self._view_outdated = False

    def _take_outbox(self) -> list[Send]:
        sends, self._outbox = self._outbox, []
        return sends


_MESSAGES: dict[type[Any], Callable[[HostedCore, str, Any], None]] = {
    DeadlyRequests: lambda core, sender, message: core._suspicions.on_deadly(sender, message),
    Evidence: HostedCore._on_evidence,
    Relayed: HostedCore._on_relayed,
    ReaderHeartbeat: HostedCore._on_heartbeat,
    RolloutRecord: HostedCore._on_rollout,
    SuspectsCleared: lambda core, sender, message: core._suspicions.on_cleared(sender, message),
    TargetEnd: lambda core, sender, message: core._suspicions.on_end(sender, message),
    MemberCount: HostedCore._on_member_count,
    TokenGrant: HostedCore._on_token_grant,
    TokenRequest: HostedCore._on_token_request,
}

_HANDLERS: dict[type[Any], Callable[[HostedCore, Any], None]] = {
    PageRead: HostedCore._on_page_read,
    ReadFailed: HostedCore._on_read_failed,
    RecordKept: HostedCore._on_record_kept,
    RecordWritten: HostedCore._on_record_written,
    WriteFailed: HostedCore._on_write_failed,
    ReportReceived: HostedCore._on_target_report,
    LeaveReceived: HostedCore._on_target_leave,
    CallReported: HostedCore._on_call_reported,
    DependencyFailed: HostedCore._on_dependency_failed,
    LocalTargetEnded: HostedCore._on_local_end,
    StopRequested: HostedCore._on_stop_requested,
    TargetStated: HostedCore._on_target_stated,
    TokensWanted: HostedCore._on_tokens_wanted,
}
