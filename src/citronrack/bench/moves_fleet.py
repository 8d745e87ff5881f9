"""A small fleet in one process: several `MoveCore`s, facts with delays, a log, scripted targets."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable, Collection
from functools import partial
from random import Random
from typing import Any

from ..calls.record import CallRecord
from ..clock import ManualClock
from ..config import Change, Route, Service, ServiceVersion
from ..log import Claim, Confirmed, Envelope, LogFold, encode_record
from ..log.records import Duty
from ..membership.member import Member
from ..moves import Capacity, Intent, MoveCore, MoveDependencies, MoveIntent, make_plan
from ..transport.messages import message_codec
from ..verdict import Verdict
from .moves_parts import Controller, Deployment, FactsFake, FleetFact, FleetNode, Tally
from .moves_versions import OTHER_ROUTE, Moment, Version

TICK_S = 0.5
FACT_DELAY_S = 0.3  # within a zone; a ping carries an urgent fact at once
ZONE_FACT_DELAY_S = 1.0
SYNC_EVERY_S = 2.0
FOLD_DELAY_S = 0.5
FRAME_BYTES = 64  # magic, versions, mesh id, authentication and the TCP/IP header of one frame
OLD, NEW = "1.0.0", "2.0.0"
SERVICE, OTHER_SERVICE = "catalogue", "media"
LATENCIES_S = (0.008, 0.012, 0.02, 0.045)
LATENCY_WEIGHTS = (0.4, 0.35, 0.17, 0.08)


class MoveFleet:
    """Runs all nodes on one manual clock.

    Args:
        deployment: Sizes.
        profile: Policy of the moves.
        version: Scripted new version.
        seed: Seed of all random numbers.
        deadline_s: Time from the start of the moves to their deadline.
        skew_ms: Largest error of a node's wall clock.
        tick_s: Time between two ticks; all that happens is rounded up to it.
        controller: Decides the shares in place of the nodes, for comparison.
    """

    def __init__(
        self,
        deployment: Deployment,
        *,
        profile: str,
        version: Version,
        seed: int,
        deadline_s: float = 300.0,
        skew_ms: int = 50,
        tick_s: float = TICK_S,
        controller: Controller | None = None,
    ) -> None:
        self.deployment = deployment
        self.random = Random(seed)
        self.clock = ManualClock()
        self.answer = version.answer
        self._load = version.load
        self._tick_s = tick_s
        self._controller = controller
        self.tally = Tally()
        self.cut: set[str] = set()
        self.log_down = False
        self.counts_bytes = True
        self.calls_factor = 1.0  # on the calls of the moving service
        self.lose_answers = False  # each append takes effect, is answered by nobody and retried
        self._log: list[bytes] = []
        self._written_s: list[float] = []
        self._folds = {zone: LogFold() for zone in deployment.zones}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_number = 0
        self.nodes: list[FleetNode] = []
        self._by_address: dict[str, FleetNode] = {}
        self._reachable: dict[tuple[str, str, str], list[FleetNode]] = {}
        self._alive: dict[str, list[FleetNode]] = {}
        self._make_nodes(skew_ms)
        self.start_s = 2.0
        self._open_moves(profile, deadline_s)

    @property
    def age_s(self) -> float:
        """Seconds since the start of the moves."""
        return self.clock.monotonic() - self.start_s

    def fold(self, zone: str) -> LogFold:
        """The log as folded in a zone."""
        return self._folds[zone]

    @property
    def newest(self) -> LogFold:
        """The fold that is furthest."""
        return max(self._folds.values(), key=lambda fold: fold.next_offset)

    def append(self, node: FleetNode, body: Any) -> bool:
        """Append a record as a node; returns whether the log took it."""
        if self.log_down or node.zone in self.cut:
            return False
        node.sequence += 1
        envelope = Envelope(f"{node.member.name}/1", node.sequence, 0, body)
        for _ in range(2 if self.lose_answers else 1):
            self._log.append(encode_record(envelope))
            self._written_s.append(self.clock.monotonic())
        return True

    def claim(self, node: FleetNode, term: int) -> None:
        """Let a node claim the duty ``outcomes``."""
        self.append(node, Claim(Duty.OUTCOMES.value, term, node.member.name, 10_000))

    def step(self) -> None:
        """Run one tick of all nodes and of the traffic; faults are set between two ticks."""
        self._reachable.clear()
        self._alive.clear()
        for clock in (self.clock, *(node.clock for node in self.nodes)):
            clock.advance(self._tick_s)
        self._run_events()
        self._read_log()
        if int(self.clock.monotonic() / SYNC_EVERY_S) != int(
            (self.clock.monotonic() - self._tick_s) / SYNC_EVERY_S
        ):
            self._sync()
        self._traffic()
        for node in self.nodes:
            if node.is_alive and not node.is_paused and self._controller is None:
                self._tick(node)

    def run_until(self, condition: Callable[[], bool], *, limit_s: float) -> bool:
        """Step until ``condition`` holds; returns whether it did within the simulated time."""
        while self.clock.monotonic() < limit_s:
            if condition():
                return True
            self.step()
        return condition()

    def decided(self) -> bool:
        """Whether moves were opened and all of them are decided in the furthest fold."""
        return bool(self.newest.state.outcomes) and not self.newest.config.moves

    def share(self, zone: str, route: str = "lookups") -> float:
        """Largest share that a live node of a zone applies."""
        values = [0.0]
        for node in self._live(zone):
            entry = node.core.shares().get(route)
            values.append(entry.share if entry is not None else 0.0)
        return max(values)

    def _live(self, zone: str) -> list[FleetNode]:
        if zone not in self._alive:
            self._alive[zone] = [
                n for n in self.nodes if n.zone == zone and n.is_alive and not n.is_paused
            ]
        return self._alive[zone]

    def _make_nodes(self, skew_ms: int) -> None:
        zones = self.deployment.zones
        for index in range(self.deployment.workers):
            version = OLD if index < self.deployment.workers / 2 else NEW
            place = index if version == OLD else index - self.deployment.workers // 2
            self._add_node(zones[place % len(zones)], SERVICE, version, skew_ms)
        for index in range(self.deployment.other_workers):
            self._add_node(zones[index % len(zones)], OTHER_SERVICE, "1.0.0", skew_ms)

    def _add_node(self, zone: str, service: str, version: str, skew_ms: int) -> None:
        name = f"{zone}-{len(self.nodes)}"
        clock = ManualClock(skew_ms=self.random.randint(-skew_ms, skew_ms))
        member = Member(name, f"tcp://{name}", "", "", zone, service, version, 1, ready=True)
        index = len(self.nodes)
        facts = FactsFake(lambda fact: self._spread(index, fact))
        dependencies = MoveDependencies(
            facts=facts,
            ranked=lambda: [n.member for n in self._live(zone) if not n.is_demoted],
            zones=lambda: self.deployment.zones,
            unreachable_zones=lambda: self._unreachable_zones(zone),
            capacity=lambda s, v: self._capacity(zone, s, v),
        )
        core = MoveCore(
            own_name=name,
            boot_id="1",
            availability_zone=zone,
            clock=clock,
            dependencies=dependencies,
        )
        self.nodes.append(FleetNode(member, core, facts, clock))
        self._by_address[member.address] = self.nodes[-1]

    def _unreachable_zones(self, zone: str) -> Collection[str]:
        return {z for z in self.deployment.zones if z != zone and self._is_partitioned(z, zone)}

    def _is_partitioned(self, one: str, other: str) -> bool:
        return one != other and bool({one, other} & self.cut)

    def _targets(self, zone: str, service: str, version: str) -> list[FleetNode]:
        """Return the live targets of a version that can be reached from a zone."""
        key = (zone, service, version)
        if key not in self._reachable:
            self._reachable[key] = [
                node
                for node in self.nodes
                if node.is_alive
                and (node.member.service, node.member.service_version) == (service, version)
                and not self._is_partitioned(node.zone, zone)
            ]
        return self._reachable[key]

    def _capacity(self, zone: str, service: str, version: str) -> Capacity:
        targets = len(self._targets(zone, service, version))
        return Capacity(targets, slots=6 * targets)

    def _open_moves(self, profile: str, deadline_s: float) -> None:
        service = Service(SERVICE, {name: ServiceVersion(name) for name in (OLD, NEW)})
        other = Service(OTHER_SERVICE, {"1.0.0": ServiceVersion("1.0.0")})
        routes = (
            Route("lookups", "/parts", SERVICE, OLD),
            Route("orders", "/orders", SERVICE, OLD),
            Route(OTHER_ROUTE, "/photos", OTHER_SERVICE, "1.0.0"),
        )
        first = self.nodes[0]
        self.append(
            first,
            Confirmed(
                "base", -1, Change(put_services=(service, other), put_routes=routes), 0, 1, ""
            ),
        )
        self.claim(first, 1)
        for fold in self._folds.values():
            for offset, data in enumerate(self._log):
                fold.apply(offset, data)
        start_ms = self.clock.wall_ms() + int(self.start_s * 1000)
        deadline_ms = start_ms + int(deadline_s * 1000)
        moves = tuple(
            MoveIntent(route, NEW, deadline_ms, start_ms) for route in ("lookups", "orders")
        )
        plan = make_plan(
            Intent(moves=moves),
            self.newest.config,
            now_ms=self.clock.wall_ms(),
            default_profile=profile,
        )
        self.append(first, Confirmed(plan.plan_id, plan.base_version, plan.change, 0, 1, "op"))

    def _spread(self, index: int, fact: FleetFact) -> None:
        """Carry a fact to all nodes that can be reached, later ones included by `_sync`."""
        origin = self.nodes[index]
        for node in self.nodes:
            if node is origin or self._is_partitioned(node.zone, origin.zone):
                continue
            delay = FACT_DELAY_S if node.zone == origin.zone else ZONE_FACT_DELAY_S
            self._later(delay, partial(self._store_fact, node, fact))

    def _store_fact(self, node: FleetNode, fact: FleetFact) -> None:
        if node.is_alive:
            node.facts.put(fact.key, fact.rank, fact.payload)

    def _sync(self) -> None:
        """Let the first nodes of all zones that hear each other compare their facts."""
        relays = [live[0] for zone in self.deployment.zones if (live := self._live(zone))]
        for one in relays:
            for other in relays:
                if one is not other and not self._is_partitioned(one.zone, other.zone):
                    for fact in list(one.facts.items()):
                        other.facts.put(fact.key, fact.rank, fact.payload)

    def _later(self, delay_s: float, action: Callable[[], None]) -> None:
        self._event_number += 1
        at = self.clock.monotonic() + delay_s
        heapq.heappush(self._events, (at, self._event_number, action))

    def _run_events(self) -> None:
        while self._events and self._events[0][0] <= self.clock.monotonic():
            heapq.heappop(self._events)[2]()

    def _read_log(self) -> None:
        if self.log_down:
            return
        for zone, fold in self._folds.items():
            if zone in self.cut:
                continue
            grown = False
            while fold.next_offset < len(self._log):
                offset = fold.next_offset
                if self._written_s[offset] + FOLD_DELAY_S > self.clock.monotonic():
                    break
                fold.apply(offset, self._log[offset])
                grown = True
            if grown:
                for node in self.nodes:
                    if node.zone == zone and not node.is_paused:
                        node.core.on_state(fold.state)

    def _tick(self, node: FleetNode) -> None:
        for send in node.core.on_tick():
            receiver = self._by_address[send.to]
            if self.counts_bytes:
                size = len(message_codec.encode(send.message)) + FRAME_BYTES
                node.bytes_sent += size
                receiver.bytes_received += size
            if receiver.is_alive and not receiver.is_paused:
                receiver.core.on_message(node.member.address, send.message)
        for body in node.core.due_records():
            self.append(node, body)

    def _traffic(self) -> None:
        rates = {"lookups": 0.7, "orders": 0.3}
        load = self._load(self.age_s)
        per_zone = self._tick_s / len(self.deployment.zones)
        for zone in self.deployment.zones:
            for route, part in rates.items():
                mean = self.deployment.calls_per_second * part * per_zone * self.calls_factor * load
                self._route_calls(zone, route, self._poisson(mean))
            mean = self.deployment.other_calls_per_second * per_zone
            share = 1.0
            moment = Moment(self.age_s, False, OTHER_ROUTE, share)
            self._deliver(zone, OTHER_SERVICE, "1.0.0", moment, self._poisson(mean))

    def _route_calls(self, zone: str, route: str, calls: int) -> None:
        live = self._live(zone)
        if not calls or not live:
            return
        entry = live[self.random.randrange(len(live))]
        share = self._share_at(entry, route)
        new = self._binomial(calls, share)
        self._count(calls, new, Moment(self.age_s, True, route, share))
        self._deliver(zone, SERVICE, NEW, Moment(self.age_s, True, route, share), new)
        self._deliver(zone, SERVICE, OLD, Moment(self.age_s, False, route, 1 - share), calls - new)

    def _share_at(self, entry: FleetNode, route: str) -> float:
        if self._controller is not None:
            return self._controller.share(self.age_s)
        division = entry.core.shares().get(route)
        served = self._folds[entry.zone].config.routes[route].service_version
        return division.share if division is not None else float(served == NEW)

    def _count(self, calls: int, new: int, moment: Moment) -> None:
        tally = self.tally
        tally.calls += calls
        tally.new_calls += new
        if new:
            tally.last_new_s = self.age_s
            behaviour = self.answer(moment)
            usual = self.answer(Moment(moment.age_s, False, moment.route, 1 - moment.share))
            if behaviour != usual and tally.first_fault_s is None:
                tally.first_fault_s = self.age_s
        if tally.first_fault_s is not None:
            tally.new_after_fault += new
            tally.all_after_fault += calls
            if new:
                tally.all_until_last_new = tally.all_after_fault

    def _deliver(self, zone: str, service: str, version: str, moment: Moment, calls: int) -> None:
        """Split calls over the targets of the zone, or of other zones when it has none."""
        if not calls:
            return
        targets = self._targets(zone, service, version)
        near = [node for node in targets if node.zone == zone]
        chosen = near or targets
        for index, node in enumerate(chosen):
            number = calls // len(chosen) + (index < calls % len(chosen))
            if number:
                self._answer_calls(node, moment, number)

    def _answer_calls(self, node: FleetNode, moment: Moment, number: int) -> None:
        behaviour = self.answer(moment)
        failed = self._binomial(number, behaviour.failures)
        if self._controller is not None:
            if moment.is_new:
                self._controller.observe(self.age_s, number, failed)
            return
        counted = Counter(self.random.choices(LATENCIES_S, LATENCY_WEIGHTS, k=number - failed))
        results = [(500, 0.01, failed), *((200, level, n) for level, n in counted.items())]
        for status, latency_s, count in results:
            if count:
                record = CallRecord(
                    route=moment.route,
                    service=node.member.service,
                    service_version=node.member.service_version,
                    method="GET",
                    status=status,
                    latency_s=latency_s * behaviour.slowdown,
                    verdict=Verdict.RAN,
                    cold=behaviour.cold,
                    delivered_here=True,
                )
                node.core.observe(record, count)

    def _binomial(self, number: int, part: float) -> int:
        if part <= 0 or part >= 1:
            return number if part >= 1 else 0
        return sum(self.random.random() < part for _ in range(number))

    def _poisson(self, mean: float) -> int:
        """Return a Poisson number by counting exponential gaps."""
        count, total = 0, self.random.expovariate(1.0)
        while total < mean:
            count += 1
            total += self.random.expovariate(1.0)
        return count
