"""The simulated mesh of one scenario."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from random import Random
from typing import Any

from ..calls.drain import DRAIN_NOTICE_S
from ..config import Change, Route, Service, ServiceVersion
from ..log import Confirmed, Envelope, encode_record
from ..log.records import RECORDS_STREAM, SNAPSHOTS_STREAM, SnapshotTaken
from ..node.mail import DrainAsked
from .deployments import DEPLOYMENTS, Deployment, ServiceSpec
from .fake_calls import CallRules, FakeCalls
from .fake_log import FakeLog
from .fake_target import FakeTarget, Fault
from .log_access import LogConnection
from .network import FakeNetwork
from .observations import (
    DrainStarted,
    LogState,
    Moment,
    NodeStopped,
    ObservationDispatcher,
    ObservationStore,
    Reachability,
    VersionTurnedBad,
)
from .operators import Operators
from .schema import WorldSpec
from .sim_node import SEEDS_PER_ZONE, NodePlacement, SimNode
from .timeline import NodeClock, Timeline

DRAIN_LIMIT_S = 30.0
SETUP_WRITER = "setup/1"


class World:
    """Connects the nodes of a deployment with the fakes around them.

    Args:
        spec: Initial state of the scenario.
        seed: Seed for all random numbers.
        emit: Passes each observation to its subscribers.
        rules: Decisions of the call path.
        traces: Paths of trace files by node.
    """

    def __init__(
        self,
        spec: WorldSpec,
        *,
        seed: int,
        emit: ObservationDispatcher | None = None,
        rules: CallRules | None = None,
        traces: Mapping[str, str] | None = None,
    ) -> None:
        self.spec = spec
        self._traces = dict(traces or {})
        self.deployment: Deployment = DEPLOYMENTS.get(spec.deployment)
        self.observations = ObservationStore()
        self.emit = emit if emit is not None else ObservationDispatcher()
        self.emit.subscribe(self.observations.observe)
        self.timeline = Timeline()
        self._random = Random(seed)
        self.rules = rules if rules is not None else CallRules()
        self.log = FakeLog(spec.log, timeline=self.timeline, emit=self.emit)
        self.nodes: dict[str, SimNode] = {}
        self._by_address: dict[str, SimNode] = {}
        self._faults: dict[tuple[str, str], Fault] = {}
        self._reachable: dict[str, bool] = {}
        self._setup_sequence = 0
        self.network = FakeNetwork(
            timeline=self.timeline,
            random=self._derived_random(),
            spec=spec.links,
            zones=self.deployment.zones,
            link_ms=self.deployment.link_ms,
            deliver=self._deliver,
        )
        self.operators = Operators(self, profile=self.deployment.profile)
        self.calls = FakeCalls(
            self,
            random=self._derived_random(),
            loads=[load for service in self.deployment.services for load in service.routes],
            caller_ms=self.deployment.caller_ms,
        )

    def begin(self) -> None:
        """Append the initial configuration to the log and schedule the start of all nodes."""
        self.emit(LogState(0.0, True))
        self._append_setup(self._initial_change())
        for service in self.deployment.services:
            self._add_targets(service, service.service_version, service.workers)
        for extra in self.spec.targets:
            self._add_targets(self.service(extra.service), extra.service_version, extra.count)
        for node in self.nodes.values():
            self.timeline.at(
                self._random.uniform(0, self.spec.start_spread_s), self._start_action(node)
            )
        self.calls.set_rate(self.spec.load.calls_per_s)
        self._each_second()

    def service(self, name: str) -> ServiceSpec:
        """Return a service of the deployment."""
        for service in self.deployment.services:
            if service.name == name:
                return service
        raise LookupError(f"deployment {self.spec.deployment!r} has no service {name!r}")

    def node(self, name: str) -> SimNode:
        """Return the node with this name."""
        try:
            return self.nodes[name]
        except KeyError:
            known = ", ".join(self.nodes)
            raise LookupError(f"unknown node {name!r}; known: {known}") from None

    def resolve_node(self, name: str = "") -> SimNode:
        """Return the named node.

        An empty name stands for the first node that serves and is not draining, or for the first
        node when there is none.
        """
        if name:
            return self.node(name)
        for node in self.nodes.values():
            if node.serving and not node.draining:
                return node
        return next(iter(self.nodes.values()))

    def holder(self, duty: str) -> SimNode | None:
        """Return the node that holds the lease of a duty according to the log, or None."""
        lease = self.log.fold.state.leases.get(duty)
        return self.nodes.get(lease.holder) if lease is not None else None

    def crash(self, node: SimNode) -> None:
        """Terminate the instance of a node without warning."""
        if node.up:
            cut_calls = node.target.in_flight
            node.end()
            self.emit(NodeStopped(self.timeline.now, node.name, False, cut_calls))
            self.check_reachability()

    def start(self, node: SimNode) -> None:
        """Start a node unless it is running."""
        if not node.up:
            node.start()
            self.check_reachability()

    def drain(self, node: SimNode, on_stopped: Callable[[], None] | None = None) -> None:
        """Stop a node gracefully and call ``on_stopped`` when its process has ended."""
        if not node.up:
            return
        node.draining = True
        self.emit(DrainStarted(self.timeline.now, node.name))
        node.post(DrainAsked())
        boot, limit = node.boot, self.timeline.now + DRAIN_LIMIT_S
        self.timeline.after(
            DRAIN_NOTICE_S, lambda: self._finish_drain(node, boot, limit, on_stopped)
        )

    def set_fault(self, service: str, service_version: str, fault: Fault) -> None:
        """Inject a fault into a service version."""
        self._faults[service, service_version] = fault
        self.emit(VersionTurnedBad(self.timeline.now, service, service_version))

    def add_targets(self, service: str, service_version: str, count: int) -> None:
        """Start additional targets immediately."""
        for node in self._add_targets(self.service(service), service_version, count):
            self.start(node)

    def write_snapshot(self) -> None:
        """Append a snapshot of all current records to the log."""
        state = self.log.fold
        offset = self.log.append(SNAPSHOTS_STREAM, state.to_snapshot())
        self.append_body(SnapshotTaken(0, state.next_offset, offset))

    def append_body(self, body: Any) -> int:
        """Append a record that was not written by a node, and return its offset."""
        self._setup_sequence += 1
        envelope = Envelope(SETUP_WRITER, self._setup_sequence, 0, body)
        return self.log.append(RECORDS_STREAM, encode_record(envelope))

    def check_reachability(self) -> None:
        """Emit an observation for each node whose reachability has changed."""
        zones = self.network.connected_zones()
        for node in self.nodes.values():
            reachable = node.up and not node.paused and node.zone in zones
            if self._reachable.get(node.name) != reachable:
                self._reachable[node.name] = reachable
                self.emit(Reachability(self.timeline.now, node.name, reachable))

    def end_traces(self) -> None:
        """Close all traces."""
        for node in self.nodes.values():
            node.end_trace()

    def _derived_random(self) -> Random:
        """Return an independent source of random numbers."""
        return Random(self._random.getrandbits(64))

    def _start_action(self, node: SimNode) -> Callable[[], None]:
        return lambda: self.start(node)

    def _each_second(self) -> None:
        self.emit(Moment(self.timeline.now))
        self.timeline.after(1.0, self._each_second)

    def _deliver(self, to: str, sender: str, message: Any) -> None:
        self._by_address[to].receive(sender, message)

    def _finish_drain(
        self, node: SimNode, boot: int, limit: float, on_stopped: Callable[[], None] | None
    ) -> None:
        if not node.up or node.boot != boot:
            return
        open_calls = node.target.in_flight + node.calls_open
        if open_calls and self.timeline.now < limit:
            self.timeline.after(0.1, lambda: self._finish_drain(node, boot, limit, on_stopped))
            return
        node.end()
        self.emit(NodeStopped(self.timeline.now, node.name, True, open_calls))
        self.check_reachability()
        if on_stopped is not None:
            on_stopped()

    def _initial_change(self) -> Change:
        extra: dict[str, list[str]] = {}
        for target in self.spec.targets:
            extra.setdefault(target.service, []).append(target.service_version)
        slots = self.deployment.slots
        services: list[Service] = []
        routes: list[Route] = []
        for service_spec in self.deployment.services:
            names = [service_spec.service_version, *extra.get(service_spec.name, ())]
            versions = {name: ServiceVersion(name, slots) for name in names}
            services.append(Service(service_spec.name, versions))
            routes.extend(
                Route(load.name, load.prefix, service_spec.name, service_spec.service_version)
                for load in service_spec.routes
            )
        return Change(put_services=tuple(services), put_routes=tuple(routes))

    def _append_setup(self, change: Change) -> None:
        self.append_body(Confirmed("setup", -1, change, 0, 1, "setup"))

    def _add_targets(self, service_spec: ServiceSpec, version: str, count: int) -> list[SimNode]:
        zones = self.deployment.zones
        added = []
        for _ in range(count):
            number = len(self.nodes) + 1
            index = (
                sum(node.placement.service == service_spec.name for node in self.nodes.values()) + 1
            )
            placement = NodePlacement(
                f"{service_spec.name}-{index}",
                number,
                zones[(number - 1) % len(zones)],
                service_spec.name,
                version,
                self.deployment.slots,
            )
            added.append(self._make_node(placement, service_spec))
        return added

    def _make_node(self, placement: NodePlacement, service_spec: ServiceSpec) -> SimNode:
        skew = self.spec.clock_skew_ms
        key = (placement.service, placement.service_version)
        self.network.zone_of[placement.address] = placement.availability_zone
        node = SimNode(
            placement,
            target=FakeTarget(
                timeline=self.timeline,
                random=self._derived_random(),
                slots=placement.slots,
                work_ms=service_spec.work_ms,
                fault=lambda: self._faults.get(key),
            ),
            timeline=self.timeline,
            clock=NodeClock(self.timeline, skew_ms=self._random.randint(-skew, skew)),
            log_connection=LogConnection(
                self.timeline,
                self.log,
                self.network,
                placement.availability_zone,
                self._derived_random(),
            ),
            seeds=self._seeds(),
            profile=self.deployment.profile,
            send=self.network.send,
            emit=self.emit,
        )
        node.trace_path = self._traces.get(node.name, "")
        self.nodes[node.name] = node
        self._by_address[placement.address] = node
        return node

    def _seeds(self) -> dict[str, tuple[str, ...]]:
        """Return seed addresses by zone; node numbers are assigned to zones round-robin."""
        zones = self.deployment.zones
        total = math.ceil(
            sum(service_spec.workers for service_spec in self.deployment.services) / len(zones)
        )
        per_zone = range(min(SEEDS_PER_ZONE, total))
        return {
            zone: tuple(
                f"tcp://127.0.0.1:{10_000 + 1 + position + turn * len(zones)}" for turn in per_zone
            )
            for position, zone in enumerate(zones)
        }
