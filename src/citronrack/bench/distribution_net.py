"""An in-process network of cores with simulated time, for measurements and tests of failures."""

from __future__ import annotations

import heapq
import itertools
import time
from collections import Counter, defaultdict
from collections.abc import Callable, Sequence
from random import Random
from typing import Any

import attrs
from attrs import define, field, frozen

from ..clock import ManualClock
from ..codec import MAX_MESSAGE_BYTES
from ..distribution import DistributionCore, ReaderRole
from ..membership import FailureDetector, Member, MemberTable, ZoneDirectory
from ..transport.framing import pack, unpack
from ..transport.send import Core, Send

TICK_S = 0.25
IN_ZONE_DELAY_S = 0.0005
CROSS_ZONE_DELAY_S = 0.004
LOG_DELAY_S = 0.005
LONG_POLL_S = 2.0
POLL_RETRY_S = 1.0
POLL_CHECK_S = 0.25
READY_AFTER_S = 1.0
RECORD_BYTES = 600
UNPACK_SAMPLE = 16
_KEY = bytes(32)


@define
class Faults:
    """What the network does to messages.

    Attributes:
        loss: Share of lost messages.
        duplication: Share of messages that arrive twice.
        jitter_s: Greatest extra delay; reorders messages.
        cut_zones: Pairs of zones without a connection.
        cut_nodes: Pairs of nodes without a connection.
        log_cut: Names of nodes that cannot reach the log.
        deaf: Names of nodes that send but receive nothing.
    """

    loss: float = 0.0
    duplication: float = 0.0
    jitter_s: float = 0.0
    cut_zones: set[frozenset[str]] = field(factory=set)
    cut_nodes: set[frozenset[str]] = field(factory=set)
    log_cut: set[str] = field(factory=set)
    not_receiving: set[str] = field(factory=set)


@define
class Counts:
    """What was sent and computed."""

    sent_bytes: Counter[str] = field(factory=Counter)
    received_bytes: Counter[str] = field(factory=Counter)
    messages: Counter[str] = field(factory=Counter)
    bytes_by_class: Counter[str] = field(factory=Counter)
    cross_zone_bytes: int = 0
    log_reads: int = 0
    core_s: float = 0.0
    codec_s: float = 0.0


@frozen
class Delivered:
    """One record that a node folded."""

    offset: int
    at: float


class NodeSim:
    """The cores of one node, wired as the composition root does it."""

    def __init__(
        self, net: Network, name: str, zone: str, *, core: type[DistributionCore] = DistributionCore
    ) -> None:
        self.net = net
        self.name = name
        self.zone = zone
        self.core = core
        self.running = False
        self.paused = False
        self.ready_allowed = True
        self.boot = 0
        self.next_offset = 0
        self.version = -1
        self.delivered: list[Delivered] = []
        self.content: list[bytes] = []

    @property
    def address(self) -> str:
        """Address of the node."""
        return f"tcp://{self.name}"

    def start(self, seeds: Sequence[str], remote: dict[str, Sequence[str]]) -> None:
        """Start without state, as after a restart."""
        self.boot += 1
        self.running, self.paused = True, False
        self.next_offset, self.version, self.delivered, self.content = 0, -1, [], []
        clock, random = self.net.clock, Random(f"{self.net.seed}/{self.name}/{self.boot}")
        self.table = MemberTable(make_member(self.name, self.zone, clock.wall_ms()))
        self.distribution = self.core(
            own=self.name,
            clock=clock,
            random=random,
            members=self.table.members,
            fold=self,
            deliver=self._deliver,
            relays=lambda: self.directory.relay_addresses(),
            make_snapshot=lambda: b"\0".join(self.content),
            load_snapshot=self._load_snapshot,
        )
        self.detector = FailureDetector(
            table=self.table, clock=clock, random=random, seeds=seeds, observer=self.distribution
        )
        self.directory = ZoneDirectory(
            table=self.table,
            clock=clock,
            random=random,
            seeds=remote,
            observer=self.distribution,
            own_progress=self.distribution.own_zone_progress,
        )
        self.cores: tuple[Core, ...] = (self.detector, self.distribution, self.directory)
        self.started_at = clock.monotonic()

    def tick(self) -> list[Send]:
        """Run what is due."""
        ready = self.net.clock.monotonic() - self.started_at > READY_AFTER_S
        self.table.update_own(
            ready=self.ready_allowed and ready and self.next_offset > 0,
            reading=self.distribution.reading,
            version=self.version,
        )
        return [effect for core in self.cores for effect in core.on_tick()]

    def receive(self, sender: str, message: Any) -> list[Send]:
        """Hand a message to the cores that want it."""
        effects: list[Send] = []
        for core in self.cores:
            if isinstance(message, core.MESSAGES):  # type: ignore[attr-defined]
                effects += core.on_message(sender, message)
        return effects

    @property
    def reads_log(self) -> bool:
        """Whether the node polls the log."""
        return self.distribution.role is not ReaderRole.NONE

    def _deliver(self, offset: int, data: bytes) -> None:
        if offset != self.next_offset:
            raise AssertionError(f"{self.name}: got {offset}, wanted {self.next_offset}")
        self.next_offset = offset + 1
        self.version = offset
        self.content.append(data)
        self.delivered.append(Delivered(offset, self.net.clock.monotonic()))

    def _load_snapshot(self, data: bytes) -> bool:
        records = data.split(b"\0")
        if len(records) <= self.next_offset:
            return False
        self.content = records
        self.next_offset = len(records)
        self.version = self.next_offset - 1
        self.distribution.jump_to(self.next_offset)
        return True


class Network:
    """Runs nodes on one simulated clock.

    Args:
        seed: Seed of all random numbers.
        measure: Whether frames are made, so that bytes and processor time are counted.
    """

    def __init__(self, seed: int, *, measure: bool = False) -> None:
        self.seed = seed
        self.clock = ManualClock()
        self.random = Random(seed)
        self.faults = Faults()
        self.counts = Counts()
        self.nodes: dict[str, NodeSim] = {}
        self.log: list[bytes] = []
        self.log_first = 0
        self.appended_at: list[float] = []
        self._measure = measure
        self._by_address: dict[str, NodeSim] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._waiting: set[tuple[str, int]] = set()
        self._frame: tuple[Any, str, bytes] = (None, "", b"")

    def add(self, node: NodeSim) -> None:
        """Add a node that does not run yet."""
        self.nodes[node.name] = node
        self._by_address[node.address] = node

    def start(self, name: str) -> None:
        """Start a node; its seeds are three nodes of its zone and two of each other zone."""
        node = self.nodes[name]
        by_zone: dict[str, list[str]] = defaultdict(list)
        for other in self.nodes.values():
            if other is not node:
                by_zone[other.zone].append(other.address)
        remote: dict[str, Sequence[str]] = {
            zone: some[:2] for zone, some in by_zone.items() if zone != node.zone
        }
        node.start(by_zone[node.zone][:3], remote)
        phase = self.random.uniform(0, TICK_S)
        boot = node.boot
        self.at(phase, lambda: self._tick(node, boot))
        self.at(phase, lambda: self._poll(node, boot))

    def stop(self, name: str) -> None:
        """Kill a node."""
        self.nodes[name].running = False

    def append(self, data: bytes | None = None) -> int:
        """Append a record to the log and return its offset."""
        offset = len(self.log)
        self.log.append(data if data is not None else b"%d:" % offset + b"x" * RECORD_BYTES)
        self.appended_at.append(self.clock.monotonic())
        waiting, self._waiting = self._waiting, set()
        for name, boot in sorted(waiting):
            node = self.nodes[name]
            self.at(LOG_DELAY_S, lambda node=node, boot=boot: self._poll(node, boot))  # type: ignore[misc]
        return offset

    def at(self, delay: float, action: Callable[[], None]) -> None:
        """Run ``action`` after ``delay`` seconds."""
        due = self.clock.monotonic() + delay
        heapq.heappush(self._events, (due, next(self._order), action))

    def run(self, seconds: float) -> None:
        """Let simulated time pass."""
        end = self.clock.monotonic() + seconds
        while self._events and self._events[0][0] <= end:
            due, _, action = heapq.heappop(self._events)
            self.clock.advance(max(0.0, due - self.clock.monotonic()))
            action()
        self.clock.advance(max(0.0, end - self.clock.monotonic()))

    def live(self, zone: str | None = None) -> list[NodeSim]:
        """Return the running nodes."""
        return [n for n in self.nodes.values() if n.running and zone in (None, n.zone)]

    def send(self, source: NodeSim, effects: Sequence[Send]) -> None:
        """Carry messages, with the present faults."""
        for effect in effects:
            target = self._by_address.get(effect.to)
            size = self._account(source, effect, target) if self._measure else 0
            if target is None or self._is_cut(source, target):
                continue
            for _ in range(1 + (self.random.random() < self.faults.duplication)):
                if self.random.random() >= self.faults.loss:
                    self._carry(source, target, effect.message, size)

    def _carry(self, source: NodeSim, target: NodeSim, message: Any, size: int) -> None:
        delay = IN_ZONE_DELAY_S if source.zone == target.zone else CROSS_ZONE_DELAY_S
        delay += self.random.uniform(0, self.faults.jitter_s)
        boot = target.boot
        self.at(delay, lambda: self._arrive(source.address, target, boot, message, size))

    def _arrive(self, sender: str, target: NodeSim, boot: int, message: Any, size: int) -> None:
        if not target.running or target.boot != boot:
            return
        if target.paused:  # the socket buffer holds the message until the node runs again
            self.at(TICK_S, lambda: self._arrive(sender, target, boot, message, size))
            return
        self.counts.received_bytes[target.name] += size
        begin = time.perf_counter()
        effects = target.receive(sender, message)
        self.counts.core_s += time.perf_counter() - begin
        self.send(target, effects)

    def _tick(self, node: NodeSim, boot: int) -> None:
        if not node.running or node.boot != boot:
            return
        self.at(TICK_S, lambda: self._tick(node, boot))
        if node.paused:
            return
        begin = time.perf_counter()
        effects = node.tick()
        self.counts.core_s += time.perf_counter() - begin
        self.send(node, effects)

    def _poll(self, node: NodeSim, boot: int) -> None:
        if not node.running or node.boot != boot:
            return
        if node.paused or not node.reads_log:
            self.at(POLL_CHECK_S, lambda: self._poll(node, boot))
            return
        if node.name in self.faults.log_cut:
            node.distribution.on_log_failure()
            self.at(POLL_RETRY_S, lambda: self._poll(node, boot))
            return
        self.counts.log_reads += 1
        start = max(node.distribution.next_offset, self.log_first)
        records = tuple(enumerate(self.log[start : start + 1000], start))
        self.send(node, node.distribution.on_log_records(records))
        if len(self.log) > node.distribution.next_offset and records:
            self.at(LOG_DELAY_S, lambda: self._poll(node, boot))
            return
        self._waiting.add((node.name, boot))
        self.at(LONG_POLL_S, lambda: self._poll_ended(node, boot))

    def _poll_ended(self, node: NodeSim, boot: int) -> None:
        if (node.name, boot) in self._waiting:
            self._waiting.discard((node.name, boot))
            self._poll(node, boot)

    def _is_cut(self, source: NodeSim, target: NodeSim) -> bool:
        zones = frozenset((source.zone, target.zone))
        names = frozenset((source.name, target.name))
        if target.name in self.faults.not_receiving:
            return True
        return zones in self.faults.cut_zones or names in self.faults.cut_nodes

    def _account(self, source: NodeSim, effect: Send, target: NodeSim | None) -> int:
        """Make the frame, and count its bytes and the time that it took."""
        message = effect.message
        kind = type(message).__name__
        begin = time.perf_counter()
        if self._frame[0] is not message or self._frame[1] != source.address:
            frame = pack(message, sender=source.address, mesh_id="bench", key=_KEY)
            self._frame = message, source.address, frame
        frame = self._frame[2]
        if len(frame) > MAX_MESSAGE_BYTES:
            raise AssertionError(f"{kind} of {len(frame)} bytes is over the frame limit")
        self.counts.codec_s += time.perf_counter() - begin
        counts = self.counts
        counts.messages[kind] += 1
        counts.bytes_by_class[kind] += len(frame)
        counts.sent_bytes[source.name] += len(frame)
        if target is not None and target.zone != source.zone:
            counts.cross_zone_bytes += len(frame)
        if sum(counts.messages.values()) % UNPACK_SAMPLE == 0:
            begin = time.perf_counter()
            unpack(frame, mesh_id="bench", key=_KEY)
            counts.codec_s += UNPACK_SAMPLE * (time.perf_counter() - begin)
        return len(frame)


def make_member(name: str, zone: str, incarnation: int) -> Member:
    """Return a description with fields as long as in a real fleet."""
    number = int("".join(c for c in name if c.isdigit()) or 0)
    host = f"10.{number // 62500 % 250}.{number // 250 % 250}.{number % 250}"
    member = Member(
        name=name,
        address=f"tcp://{name}",
        call_address=f"{host}:7000",
        deliver_address=f"{host}:7001",
        availability_zone=zone,
        service="catalogue",
        service_version="2.4.1",
        incarnation=incarnation,
    )
    return attrs.evolve(member, slots=6)


def make_fleet(
    seed: int,
    sizes: dict[str, int],
    *,
    measure: bool = False,
    core: type[DistributionCore] = DistributionCore,
) -> Network:
    """Return a network whose nodes have been started.

    Args:
        seed: Seed of all random numbers.
        sizes: Number of nodes by zone.
        measure: Whether bytes and processor time are counted.
        core: Way of distribution.
    """
    net = Network(seed, measure=measure)
    for zone, size in sizes.items():
        for index in range(size):
            net.add(NodeSim(net, f"{zone}-{index:04d}", zone, core=core))
    for name in net.nodes:
        net.start(name)
    return net
