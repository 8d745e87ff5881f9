"""Cores of nodes on a platform in one process, with an in-memory store and a manual clock."""

from __future__ import annotations

import json
from collections.abc import Callable
from concurrent.futures import Future
from random import Random
from typing import Any

from attrs import define, field

from citronrack.calls import ViewHolder
from citronrack.clock import ManualClock
from citronrack.hosted.control import ANSWER_TIMEOUT_S
from citronrack.hosted.core import HostedCore
from citronrack.hosted.dependencies import CoreDependencies
from citronrack.hosted.entry import NodeEntry, NodeTable
from citronrack.hosted.fanout import Fanout
from citronrack.hosted.gossip import GossipCore
from citronrack.hosted.messages import (
    LeaveReceived,
    PageRead,
    ReadFailed,
    RecordKept,
    RecordWritten,
    ReportReceived,
    WriteFailed,
)
from citronrack.hosted.position import position_of
from citronrack.hosted.publish import Write
from citronrack.hosted.readers import CONFIG_APPLY_S
from citronrack.hosted.replica import TopicReplica
from citronrack.hosted.store import MESH_TOPIC, KeyedPage, KeyedRecord
from citronrack.hosted.target import OwnTargetTracker, TargetLeave, TargetReport
from citronrack.hosted.trust import ConfigTrust
from citronrack.platform.operator import operator_topic
from citronrack.telemetry import Event, EventLog
from citronrack.transport.send import Send

TICK_S = 0.25
SERVICE = "catalogue"


def config_record(version: int, offset: int, *prefixes: str) -> KeyedRecord:
    """Return an operator's configuration with one route per prefix."""
    columns = ["name", "host", "prefix", "kind", "timeout", "service", "max_attempts"]
    rows = [[p, "h", f"/{p}/", "idempotent", "1s", SERVICE, 2] for p in prefixes]
    value = {
        "version": version,
        "routes": {"columns": columns, "rows": rows},
        "services": {"columns": ["name"], "rows": [[SERVICE]]},
        "limits": {},
    }
    return KeyedRecord("config", json.dumps(value).encode(), offset)


class RecordingLog(EventLog):
    """Records events instead of printing them."""

    def __init__(self) -> None:
        super().__init__(node="n", level="debug")
        self.written: list[tuple[Event, dict[str, Any]]] = []

    def write(self, event: Event, **fields: Any) -> None:
        """Record one event."""
        self.written.append((event, fields))


@define(eq=False)
class Store:
    """Topics in memory.

    Attributes:
        topics: Records by topic.
        era: How often the store has returned from a copy.
    """

    topics: dict[str, list[KeyedRecord]] = field(factory=dict)
    era: int = 0

    def put(self, topic: str, key: str, value: bytes | None) -> None:
        """Append a record."""
        records = self.topics.setdefault(topic, [])
        records.append(KeyedRecord(key, value, position_of(self.era, len(records))))

    def newest(self, topic: str) -> KeyedPage:
        """Return the newest record of each key."""
        records = self.topics.get(topic, [])
        newest = {record.key: record for record in records}
        return KeyedPage(tuple(newest.values()), position_of(self.era, len(records)))

    def return_from(self, copy: Store) -> None:
        """Replace all records by those of a copy, which begins the next era."""
        self.era += 1
        self.topics = {}
        for topic, records in copy.topics.items():
            for record in records:
                self.put(topic, record.key, record.value)


class Mesh:
    """Cores whose messages are delivered immediately; time only advances in `run`.

    Attributes:
        cut: Names of nodes that cannot reach the store.
        unreachable: Names of nodes that neither send nor receive messages.
        drops: Returns whether a message from a sender to a receiver is lost.
        puts: Number of records that the nodes have written.
        sequence: Sequence number of the latest reports.
        sent: Class, sender and receiver of each message.
        revoke_s: Time without a confirmation after which new nodes accept no key.
    """

    revoke_s: float | None = None

    def __init__(self, size: int, *, zones: tuple[str, ...] = ("z",)) -> None:
        self.zones = zones
        self.clock = ManualClock()
        self.store = Store()
        self.cores: dict[str, HostedCore] = {}
        self.logs: dict[str, RecordingLog] = {}
        self.views: dict[str, ViewHolder] = {}
        self.cut: set[str] = set()
        self.unreachable: set[str] = set()
        self.drops: Callable[[str, str, Any], bool] = lambda sender, to, message: False
        self.puts = 0
        self.sequence = 1
        self.sent: list[tuple[str, str, str]] = []
        self._writes: list[tuple[str, Write]] = []
        for index in range(size):
            self.add(f"n{index}")

    def add(self, name: str, *, boot: int = 1, seeds: tuple[str, ...] = ()) -> HostedCore:
        """Add a node; it replaces one of the same name.

        Args:
            name: Name of the node.
            boot: Wall time of its start.
            seeds: Names of the nodes that its settings state.
        """
        address = f"10.0.0.{int(name[1:]) + 1}"
        self.views[name] = ViewHolder()
        self.logs[name] = RecordingLog()
        target = OwnTargetTracker(
            address=f"{address}:80", service=SERVICE, report_interval_s=1.5, clock=self.clock
        )
        core = HostedCore(
            CoreDependencies(
                clock=self.clock,
                random=Random(name),
                events=self.logs[name],
                views=self.views[name],
                target=target,
                operator=operator_topic(),
                submit=lambda write, n=name: self._writes.append((n, write)),
                trust=ConfigTrust(self.clock, newest_s=CONFIG_APPLY_S, revoke_s=self.revoke_s),
                seeds=tuple(f"tcp://10.0.0.{int(seed[1:]) + 1}:7000" for seed in seeds),
            ),
            own=NodeEntry(name, boot, 0, self.zone_of(name), f"{address}:7000", f"{address}:8000"),
        )
        self.cores[name] = core
        core.start()
        return core

    def zone_of(self, name: str) -> str:
        """Return the zone of a node."""
        return self.zones[int(name[1:]) % len(self.zones)]

    def read(self, *names: str) -> None:
        """Let nodes read all topics; a node in `cut` gets a failed read."""
        self._store_writes()
        for name in names or tuple(self.cores):
            for topic in (operator_topic().name, MESH_TOPIC):
                message: Any = PageRead(
                    topic, self.store.newest(topic), full=True, created_at=self.clock.monotonic()
                )
                if name in self.cut:
                    message = ReadFailed(topic, "cut off")
                self.deliver(name, self.cores[name].handle(message))
        self._store_writes()

    def run(self, seconds: float) -> None:
        """Advance the clock tick by tick."""
        for _ in range(round(seconds / TICK_S)):
            self.clock.advance(TICK_S)
            for name, core in self.cores.items():
                self.deliver(name, core.on_tick())
            self._store_writes()

    def run_with_reports(self, seconds: float) -> None:
        """Advance the clock while the targets of all nodes report."""
        for _ in range(round(seconds)):
            self.sequence += 1
            for name in self.cores:
                self.report(name, sequence=self.sequence)
            self.run(1.0)

    def report(self, name: str, **fields: Any) -> str:
        """Send a report of a node's target; return the error message of the answer."""
        answer: Future[str] = Future()
        usual = {
            "target_id": f"i-{name}",
            "service": SERVICE,
            "service_version": "v1",
            "address": f"10.0.0.{int(name[1:]) + 1}:80",
            "slots": 6,
            "draining": False,
            "sequence": 1,
            "started_ms": 1,
            "cold_s": 0.0,
        }
        report = TargetReport(**{**usual, **fields})
        self.deliver(name, self.cores[name].handle(ReportReceived(report, answer)))
        return self.answer(answer)

    def leave(self, name: str, target_id: str, started_ms: int | None = None) -> str:
        """Send a leave notice of a node's target; return the error message of the answer."""
        answer: Future[str] = Future()
        leave = LeaveReceived(TargetLeave(target_id, started_ms), answer)
        self.deliver(name, self.cores[name].handle(leave))
        return self.answer(answer)

    def answer(self, answer: Future[str]) -> str:
        """Return an answer that may wait for the store; time passes only while it is away."""
        self._store_writes()
        if not answer.done():
            self.run(ANSWER_TIMEOUT_S)
        return answer.result(0)

    def deliver(self, sender: str, sends: list[Send]) -> None:
        """Deliver messages to their nodes, and recursively the replies to them."""
        for send in sends:
            name = f"n{int(send.to.removeprefix('tcp://10.0.0.').split(':')[0]) - 1}"
            self.sent.append((type(send.message).__name__, sender, name))
            if self.drops(sender, name, send.message):
                continue
            if name in self.cores and not {name, sender} & self.unreachable:
                address = f"tcp://10.0.0.{int(sender[1:]) + 1}:7000"
                replies = self.cores[name].on_message(address, send.message)
                self.cores[name].on_turn_end()
                self.deliver(name, replies)

    def pool(self, name: str) -> set[str]:
        """Return the names of the targets to which a node routes calls."""
        return {target.name for target in self.views[name].current.pools.get((SERVICE, ""), ())}

    def states(self) -> list[str]:
        """Return the rollout states written for the operator, in order."""
        records = self.store.topics.get("keyed.status", [])
        return [json.loads(record.value or b"")["state"] for record in records]

    def _store_writes(self) -> None:
        """Execute pending writes of the nodes that reach the store."""
        waiting = []
        for name, write in self._writes:
            if name not in self.cut:
                self._store_write(name, write)
            elif write.once and name in self.cores:
                self.deliver(name, self.cores[name].handle(WriteFailed(write.topic, write.key)))
            else:
                waiting.append((name, write))
        self._writes = waiting

    def _store_write(self, name: str, write: Write) -> None:
        """Execute a write like `PublishTask`."""
        source = None
        if write.source is not None:
            source = self.store.newest(write.source[0]).value(write.source[1])
        needed, value = write.resolve(self.store.newest(write.topic).value(write.key), source)
        if needed:
            self.store.put(write.topic, write.key, value)
            self.puts += 1
        if name not in self.cores:
            return
        core = self.cores[name]
        if write.may_replace is not None or write.source is not None:
            topic = write.source[0] if write.source is not None else write.topic
            page = PageRead(topic, self.store.newest(topic), full=True, for_write=True)
            self.deliver(name, core.handle(page))
        message: Any = RecordKept(write.topic, write.key, source)
        if needed:
            message = RecordWritten(write.topic, self.store.topics[write.topic][-1], source)
        self.deliver(name, core.handle(message))


def make_gossip(replica: TopicReplica, clock: ManualClock) -> GossipCore:
    """Return the gossip of a node that knows no other nodes."""
    table = NodeTable(own_name="n", clock=clock)
    own = NodeEntry("n", 1, 0, "z", "10.0.0.1:1", "10.0.0.1:2")
    table.put(own)
    random = Random(1)
    return GossipCore(
        replicas={replica.topic: replica},
        table=table,
        fanout=Fanout(own, table=table, random=random),
        clock=clock,
        random=random,
        on_records=lambda topic, records, source: None,
        on_entries=lambda entries: None,
        rollouts=tuple,
    )
