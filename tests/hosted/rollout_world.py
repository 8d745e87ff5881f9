"""Rollout cores of several nodes over one store, with faults of the store and of the network.

Nodes write through a model of `PublishTask`: a write reads, then appends under a condition, and
either half may be delayed, lost or refused. Breaches of what must always hold are collected.
"""

from __future__ import annotations

from copy import deepcopy
from functools import partial
from itertools import pairwise
from random import Random

from attrs import define, evolve, field

from citronrack.clock import ManualClock
from citronrack.hosted.evidence import Evidence
from citronrack.hosted.publish import Write
from citronrack.hosted.rollout import RolloutCore
from citronrack.hosted.rollout_record import (
    ROLLOUT_PREFIX,
    Phase,
    RolloutOrder,
    RolloutRecord,
    decode_record,
    rollout_write,
)
from citronrack.hosted.store import MESH_TOPIC
from citronrack.platform.operator import status_write
from citronrack.telemetry import EventLog

from .mesh import Store

NODES = ("n0", "n1", "n2", "n3")
TICK_S = 0.25
SERVICE = "s"
DURATION_S = 12.0
CALLS_PER_TICK = 15
KEY = ROLLOUT_PREFIX + SERVICE


@define(eq=False)
class Pending:
    """A write that has read the store and not yet appended."""

    write: Write
    value: bytes | None
    position: int
    source: bytes | None


@define(eq=False)
class Node:
    """One process.

    Attributes:
        name: Name of its node.
        core: Its rollouts.
        frozen: Whether it neither runs nor receives.
        refused: Whether the store turns it away.
        slow: Whether its appends wait until `RolloutWorld.finish_appends`.
        loses: Whether the answer to its next append is lost.
        alive: Whether the process has not ended.
        heard_at: When another node was heard last.
        queue: Writes that were submitted, by topic and key.
        pending: Writes that have read the store and not yet appended.
        inbox: Records that arrived while it was frozen.
        decided: Phase that it holds for final, by order.
        shares: Greatest share that it applied, by order.
    """

    name: str
    core: RolloutCore
    frozen: bool = False
    refused: bool = False
    slow: bool = False
    loses: bool = False
    alive: bool = True
    heard_at: float = 0.0
    queue: dict[str, Write] = field(factory=dict)
    pending: list[Pending] = field(factory=list)
    inbox: list[RolloutRecord] = field(factory=list)
    decided: dict[int, str] = field(factory=dict)
    shares: dict[int, float] = field(factory=dict)

    @property
    def runs(self) -> bool:
        """Whether the process runs now."""
        return self.alive and not self.frozen


class RolloutWorld:
    """Nodes, their store and their network.

    Attributes:
        breaches: What should never have happened, in order.
        order: The operator's latest order.
        stored: Records of rollouts in the store's log, in order.
        cuts: Pairs of sender and receiver between which messages are lost.
        bad: Whether the new version fails.
        new_targets: Names of the nodes whose targets run the new version.
    """

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.store = Store()
        self.cuts: set[tuple[str, str]] = set()
        self.bad = False
        self.new_targets = NODES[::2]
        self.breaches: list[str] = []
        self.stored: list[RolloutRecord] = []
        self.order = RolloutOrder(0, SERVICE, "", DURATION_S)
        self._final: dict[int, str] = {}
        self._lost: list[RolloutRecord] = []
        self._copy: Store | None = None
        self._calls = 0
        self._ticks = 0
        self._late: list[tuple[Node, Pending]] = []
        self.nodes = {name: self._start(name) for name in NODES}

    # What happens to the fleet.

    def give_order(self, version: str, duration_s: float = DURATION_S) -> None:
        """Order a rollout as the operator."""
        order_id = max(self.order.order_id, self.store.newest("keyed.op").position) + 1
        self.store.put("keyed.op", KEY, version.encode())
        self.order = RolloutOrder(order_id, SERVICE, version, duration_s)
        for node in self._running():
            node.core.on_order(self.order)

    def kill(self, name: str) -> None:
        """End a process; an append that it has sent may still be executed."""
        node = self.nodes[name]
        node.alive = False
        self._late += [(node, pending) for pending in node.pending]

    def start(self, name: str) -> None:
        """Start a process that has ended."""
        if not self.nodes[name].alive:
            self.nodes[name] = self._start(name)

    def thaw(self, name: str) -> None:
        """Let a frozen process go on; what was sent to it arrives now."""
        node = self.nodes[name]
        node.frozen = False
        inbox, node.inbox = node.inbox, []
        for record in inbox:
            node.core.on_record(record)

    def heal(self) -> None:
        """End all disruptions."""
        self.cuts.clear()
        for node in list(self.nodes.values()):
            node.refused = node.slow = node.loses = False
            self.thaw(node.name)
            self.start(node.name)
        self.finish_appends()

    def finish_appends(self) -> None:
        """Execute all appends that were delayed."""
        late, self._late = self._late, []
        for node, pending in late:
            self._append(node, pending, answers=False)
        for node in self._running():
            delayed, node.pending = node.pending, []
            for pending in delayed:
                self._append(node, pending, answers=True)

    def keep_copy(self) -> None:
        """Remember the store as it is."""
        self._copy = deepcopy(self.store)

    def return_from_copy(self) -> None:
        """Let the store return from the copy; the operator writes its order again."""
        if self._copy is None:
            return
        self._lost += self.stored
        self.store.return_from(self._copy)
        self._final.clear()
        self.stored.clear()
        for records in self.store.topics.values():
            self.stored += filter(None, (decode_record(record.value) for record in records))
        if not self.order.order_id:
            return
        era_start = self.store.newest("keyed.op").position + 1
        before = self.order.order_id
        self.order = evolve(self.order, order_id=max(era_start, before + 1))
        for node in self.nodes.values():
            if node.alive:
                node.core.on_order(self.order, written_again=True)
                node.core.write_again()
                if before in node.decided:
                    node.decided[self.order.order_id] = node.decided[before]

    def previous_release_returns(self, heartbeats: int) -> None:
        """Let a former holder of the order be one of the previous release that comes back.

        It has counted a revision for each heartbeat while it was cut off, and announces the last
        one. It would replace any stored record with fewer revisions than its next one.
        """
        records = [r for r in self.stored if r.order_id == self.order.order_id]
        first = [r for r in records if r.holder == records[0].holder and not r.decided]
        if not first or self.latest is None or self.latest.holder == first[0].holder:
            return
        last = next((a for a, b in pairwise(records) if a.holder != b.holder), first[-1])
        heartbeat = evolve(last, revision=last.revision + heartbeats)
        if self.latest.revision <= heartbeat.revision + 1:
            self.breaches.append(f"{heartbeat} of the previous release outranks {self.latest}")
        for node in self._running():
            if node.name != heartbeat.holder:
                node.core.on_record(heartbeat)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / TICK_S)):
            self.clock.advance(TICK_S)
            self._ticks += 1
            self._exchange()
            self._observe_calls()
            for node in self._running():
                silence_s = self.clock.monotonic() - node.heard_at
                node.core.on_tick(names=NODES, silence_s=silence_s)
            for node in self._running():
                self._write(node)
            self._check_nodes()

    # What the operator and the tests see.

    @property
    def statuses(self) -> list[bytes]:
        """The values of the operator's status, in the order of their writing."""
        return [record.value or b"" for record in self.store.topics.get("keyed.status", [])]

    @property
    def latest(self) -> RolloutRecord | None:
        """The stored record."""
        return decode_record(self.store.newest(MESH_TOPIC).value(KEY))

    def holder(self) -> str:
        """Return the holder of the stored record, empty for none."""
        return self.latest.holder if self.latest is not None else ""

    def isolate(self, name: str) -> None:
        """Cut a node off from all others, both ways."""
        self.cuts |= {(name, other) for other in NODES} | {(other, name) for other in NODES}

    # Processes.

    def _start(self, name: str) -> Node:
        core = RolloutCore(
            own_name=name,
            clock=self.clock,
            random=Random(name),
            events=EventLog(node=name, level="error"),
            write_record=lambda proposal: self._submit(name, rollout_write(proposal)),
            broadcast_record=partial(self._broadcast, name),
            write_status=lambda service: self._submit(name, status_write(service)),
        )
        if self.order.order_id:
            core.on_order(self.order)
        stored = decode_record(self.store.newest(MESH_TOPIC).value(KEY))
        if stored is not None:
            core.on_record(stored)
        return Node(name, core, heard_at=self.clock.monotonic())

    def _running(self) -> list[Node]:
        return [node for node in self.nodes.values() if node.runs]

    def _submit(self, name: str, write: Write) -> None:
        self.nodes[name].queue[write.topic + write.key] = write

    def _broadcast(self, sender: str, record: RolloutRecord) -> None:
        known = [r for r in self.stored if r.order_id == record.order_id]
        same = [r for r in known if (r.phase, r.share) == (record.phase, record.share)]
        if not same:
            self.breaches.append(f"{sender} announces what was not stored: {record}")
        for name in NODES:
            if name != sender:
                self._send(sender, name, record)

    def _send(self, sender: str, to: str, record: RolloutRecord) -> None:
        node = self.nodes[to]
        if (sender, to) in self.cuts or not node.alive:
            return
        if node.frozen:
            node.inbox.append(record)
            return
        node.heard_at = self.clock.monotonic()
        node.core.on_record(record)

    def _exchange(self) -> None:
        """Let each node send its newest records to another one."""
        for index, name in enumerate(NODES):
            to = NODES[(index + 1 + self._ticks % (len(NODES) - 1)) % len(NODES)]
            if not self.nodes[name].runs or (name, to) in self.cuts:
                continue
            if self.nodes[to].runs:
                self.nodes[to].heard_at = self.clock.monotonic()
            for record in self.nodes[name].core.records():
                self._send(name, to, record)

    def _observe_calls(self) -> None:
        self._calls += CALLS_PER_TICK
        failed = self._calls // 2 if self.bad else 0
        order = self.order
        for source in self._running():
            new = source.name in self.new_targets
            version, failures = (order.target_version, failed) if new else ("v0", 0)
            routes = (("r", self._calls, failures, 0, 0),)
            evidence = Evidence(order.order_id, SERVICE, source.name, version, routes)
            for node in self._running():
                if (source.name, node.name) not in self.cuts:
                    node.core.on_evidence(evidence)

    # The store.

    def _write(self, node: Node) -> None:
        """Try the node's writes once."""
        queue, node.queue = node.queue, {}
        for write in queue.values():
            if node.refused:
                self._fail(node, write)
                continue
            page = self.store.newest(write.topic)
            source = None
            if write.source is not None:
                source = self.store.newest(write.source[0]).value(write.source[1])
            needed, value = write.resolve(page.value(write.key), source)
            stored = decode_record(self.store.newest(MESH_TOPIC).value(KEY))
            if stored is not None:
                node.core.on_record(stored)
            if not needed:
                self._answer(node, write, source)
                continue
            node.pending.append(Pending(write, value, page.position, source))
        if not node.slow:
            pending, node.pending = node.pending, []
            for append in pending:
                self._append(node, append, answers=True)

    def _append(self, node: Node, pending: Pending, *, answers: bool) -> None:
        write = pending.write
        if self.store.newest(write.topic).position != pending.position:
            if answers:
                self._fail(node, write)
            return
        self._check_append(node, write, pending)
        self.store.put(write.topic, write.key, pending.value)
        if node.loses:
            node.loses = False
            self._fail(node, write)
        elif answers and node.runs:
            record = decode_record(pending.value)
            if record is not None and write.topic == MESH_TOPIC:
                node.core.on_record(record)
                self._broadcast(node.name, record)
            else:
                self._answer(node, write, pending.source)

    def _answer(self, node: Node, write: Write, source: bytes | None) -> None:
        if write.source is not None:
            node.core.on_status(decode_record(source))
        else:
            node.core.on_write_failed(SERVICE)

    def _fail(self, node: Node, write: Write) -> None:
        if not write.once:
            node.queue.setdefault(write.topic + write.key, write)
        elif write.topic == MESH_TOPIC:
            node.core.on_write_failed(SERVICE)

    # What must always hold.

    def _check_append(self, node: Node, write: Write, pending: Pending) -> None:
        if write.topic != MESH_TOPIC:
            self._check_status(node, pending.value)
            return
        record, before = decode_record(pending.value), self.latest
        assert record is not None
        self.stored.append(record)
        final = self._final.setdefault(record.order_id, record.phase) if record.decided else ""
        final = final or self._final.get(record.order_id, "")
        if final and record.phase != final:
            self.breaches.append(f"{node.name} moves an order from {final} to {record}")
        if before is None or before.order_id != record.order_id:
            return
        changes = (record.share, record.phase) != (before.share, before.phase)
        if changes and before.holder != node.name and not self._was_lost(record, before):
            self.breaches.append(f"{node.name} changes {before} to {record}")

    def _was_lost(self, record: RolloutRecord, before: RolloutRecord) -> bool:
        """Return whether a record goes on from one that a return of the store has lost.

        A decision is written again over anything else, as it was announced; a step only over an
        earlier record.
        """
        lost = [r for r in self._lost if r.target_version == record.target_version]
        if any(r.decided and r.phase == record.phase for r in lost):
            return True
        later = [r for r in lost if (r.step, r.revision) > (before.step, before.revision)]
        return any(r.holder == record.holder or _state(r) == _state(record) for r in later)

    def _check_status(self, node: Node, value: bytes | None) -> None:
        record = self.latest
        if record is None or not record.decided or not self.statuses:
            return
        final = status_write(SERVICE).derive(record.encode())
        if self.statuses[-1] == final != value:
            self.breaches.append(f"{node.name} writes the status {value!r} over {final!r}")

    def _check_nodes(self) -> None:
        for node in self._running():
            share = node.core.shares().get(SERVICE)
            running = node.core.running(SERVICE)
            if share is None:
                continue
            order_id = share.order_id
            if running is None:
                phase = Phase.COMPLETED if share.share else Phase.ROLLED_BACK
                if node.decided.setdefault(order_id, phase) != phase:
                    self.breaches.append(f"{node.name} moves from {node.decided[order_id]}")
                continue
            if order_id in node.decided:
                self.breaches.append(f"{node.name} runs an order again that was decided")
            if share.share < node.shares.get(order_id, 0.0):
                self.breaches.append(f"{node.name} goes back to the share {share.share}")
            node.shares[order_id] = share.share


def _state(record: RolloutRecord) -> tuple[str, float]:
    """Return what a record says of its version, without who wrote it and when."""
    return record.phase, record.share
