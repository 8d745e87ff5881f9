"""Nodes that exchange tokens of allotments over links with delays, on simulated time."""

from __future__ import annotations

import heapq
import itertools
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from random import Random
from typing import Any

from attrs import define, field

from citronrack.clock import ManualClock
from citronrack.decisions.allotment import Admission, AdmissionStatus
from citronrack.decisions.tokens import Limit
from citronrack.hosted.allotment_exchange import (
    AllotmentExchange,
    MemberCount,
    TokenGrant,
    TokenRequest,
)
from citronrack.hosted.allotments import (
    FIRST_ANSWER_S,
    LAST_ANSWER_S,
    Allotments,
    TokensWanted,
    TokenWait,
)
from citronrack.hosted.entry import NodeEntry, NodeTable
from citronrack.telemetry import EventLog
from citronrack.transport.send import Send

TICK_S = 0.25
ZONE_S = 0.001
"""Time of a message within a zone, processing included."""

CROSS_S = 0.006
SLACK = 20.0
WINDOW_S = 5.0


@define(eq=False)
class FleetNode:
    """One node of the fleet."""

    entry: NodeEntry
    table: NodeTable
    allotments: Allotments
    exchange: AllotmentExchange
    alive: bool = True


@define(eq=False)
class Fleet:
    """Nodes in zones, with the limits of workspaces.

    Attributes:
        zones: Number of nodes of each zone.
        limits: Limits of the workspaces.
        cut: Returns whether messages between two nodes are lost.
        admitted: Times of admitted requests by workspace.
        answers: Number of results by workspace and class of result.
        messages: Number of messages between nodes.
    """

    zones: tuple[int, ...]
    limits: dict[str, Limit]
    seed: int = 1
    cut: Callable[[FleetNode, FleetNode], bool] = lambda one, other: False
    clock: ManualClock = field(factory=ManualClock)
    nodes: dict[str, FleetNode] = field(factory=dict)
    admitted: dict[str, list[float]] = field(factory=lambda: defaultdict(list))
    answers: dict[str, Counter[str]] = field(factory=lambda: defaultdict(Counter))
    messages: int = 0
    _events: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    _numbers: itertools.count[int] = field(factory=itertools.count)

    def __attrs_post_init__(self) -> None:
        for zone, count in enumerate(self.zones):
            for index in range(count):
                self.start(f"node-{zone}-{index}")

    @property
    def now(self) -> float:
        """Time since the start, in seconds."""
        return self.clock.monotonic()

    def start(self, name: str) -> None:
        """Start a node, or start it again."""
        zone, index = map(int, name.split("-")[1:])
        address = f"10.{zone}.{index // 250}.{index % 250 + 1}"
        entry = NodeEntry(name, 1, 0, f"z{zone}", f"{address}:1", f"{address}:2")
        table = NodeTable(own_name=name, clock=self.clock)
        allotments = Allotments(
            slack=SLACK, clock=self.clock, post=lambda mail: self._on_mail(name, mail)
        )
        exchange = AllotmentExchange(
            name,
            availability_zone=entry.availability_zone,
            table=table,
            allotments=allotments,
            slack=SLACK,
            clock=self.clock,
            random=Random(f"{self.seed}/{name}/{self.now}"),
            events=EventLog(node=name, level="error"),
        )
        node = FleetNode(entry, table, allotments, exchange)
        before = self.nodes.get(name)
        self.nodes[name] = node
        table.put(entry)
        for other in self.nodes.values():
            table.put(other.entry)
            other.table.put(entry)
        exchange.set_limits(self.limits)
        if before is None or not before.alive:
            offset = Random(f"{self.seed}/{name}").random() * TICK_S
            self.at(self.now + offset, lambda: self._tick(node))

    def stop(self, name: str) -> None:
        """Kill a node."""
        self.nodes[name].alive = False

    def at(self, time: float, action: Callable[[], None]) -> None:
        """Do something at a time."""
        heapq.heappush(self._events, (time, next(self._numbers), action))

    def run(self, until: float) -> None:
        """Handle all events up to a time."""
        while self._events and self._events[0][0] <= until:
            time, _, action = heapq.heappop(self._events)
            self.clock.advance(max(0.0, time - self.now))
            action()
        self.clock.advance(max(0.0, until - self.now))

    def request(self, name: str, workspace: str) -> None:
        """Let a caller send a request of a workspace to a node."""
        node = self.nodes[name]
        if not node.alive:
            return
        result = node.allotments.begin(workspace)
        if not isinstance(result, TokenWait):
            self._record(workspace, result)
            return

        def check(overdue: bool) -> None:
            if overdue and not result.ready.is_set():
                self._on_mail(name, TokensWanted(workspace, overdue=True))
            if not overdue:
                self._record(workspace, node.allotments.end(result))

        self.at(self.now + FIRST_ANSWER_S, lambda: check(True))
        self.at(self.now + LAST_ANSWER_S, lambda: check(False))

    def load(
        self, rates: dict[str, float], names: Iterable[str], *, start: float, end: float
    ) -> None:
        """Let callers send requests at random times to random ones of some nodes."""
        random = Random(f"{self.seed}/{start}")
        chosen = list(names)
        for workspace, per_s in rates.items():
            time = start + random.expovariate(per_s)
            while time < end:
                name = random.choice(chosen)
                self.at(time, lambda n=name, w=workspace: self.request(n, w))
                time += random.expovariate(per_s)

    def most_in_window(self, workspace: str) -> int:
        """Return the largest number of requests admitted in a window."""
        times = sorted(self.admitted[workspace])
        first, most = 0, 0
        for last, time in enumerate(times):
            while times[first] <= time - WINDOW_S:
                first += 1
            most = max(most, last - first + 1)
        return most

    def share(self, answer: AdmissionStatus, workspaces: Iterable[str] | None = None) -> float:
        """Return the share of the requests of some workspaces that got an answer."""
        chosen = list(workspaces) if workspaces is not None else list(self.answers)
        total = sum(sum(self.answers[workspace].values()) for workspace in chosen)
        return sum(self.answers[w][answer.name] for w in chosen) / max(1, total)

    def _record(self, workspace: str, result: Admission) -> None:
        name = result.name if isinstance(result, AdmissionStatus) else "OVER_LIMIT"
        self.answers[workspace][name] += 1
        if result is AdmissionStatus.ADMITTED:
            self.admitted[workspace].append(self.now)

    def _tick(self, node: FleetNode) -> None:
        if node.alive and self.nodes[node.entry.name] is node:
            self._deliver(node, node.exchange.on_tick())
            self.at(self.now + TICK_S, lambda: self._tick(node))

    def _on_mail(self, name: str, mail: Any) -> None:
        node = self.nodes[name]
        self._deliver(node, node.exchange.on_wanted(mail))

    def _deliver(self, sender: FleetNode, sends: list[Send]) -> None:
        for send in sends:
            self.messages += 1
            receiver = next(n for n in self.nodes.values() if n.entry.peer_url == send.to)
            same = receiver.entry.availability_zone == sender.entry.availability_zone
            arrival = self.now + (ZONE_S if same else CROSS_S)
            self.at(arrival, lambda s=send.message, r=receiver: self._arrive(sender, r, s))

    def _arrive(self, sender: FleetNode, receiver: FleetNode, message: Any) -> None:
        current = self.nodes[receiver.entry.name] is receiver and receiver.alive
        if current and not self.cut(sender, receiver):
            self._deliver(receiver, _HANDLERS[type(message)](receiver.exchange, message) or [])


_HANDLERS: dict[type[Any], Callable[[AllotmentExchange, Any], list[Send] | None]] = {
    MemberCount: AllotmentExchange.on_member_count,
    TokenGrant: AllotmentExchange.on_grant,
    TokenRequest: AllotmentExchange.on_request,
}
