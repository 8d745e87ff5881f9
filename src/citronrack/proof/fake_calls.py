"""Simulated calls: callers, choice of a target, delivery, responses and retries."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random
from typing import Protocol

from attrs import define, field

from ..calls import CallRecord, PoolTarget, RoutingView
from ..config import Route
from ..moves.share import picks_new
from ..node.mail import CallReported
from ..verdict import Verdict
from .deployments import RouteLoad
from .fake_target import Job
from .network import FakeNetwork
from .observations import (
    AttemptEnded,
    CallAnswered,
    CallRefused,
    CallStarted,
    ObservationDispatcher,
    WorkOffered,
    WorkStarted,
)
from .sim_node import SimNode
from .timeline import Timeline

MAX_ATTEMPTS = 3
CONNECT_TIMEOUT_S = 0.25
CALL_TIMEOUT_S = 5.0


class CallRules:
    """Decisions of the call path, without side effects; tests override single methods."""

    def choose_version(self, view: RoutingView, route: Route, call_key: str) -> str:
        """Return the service version for a call."""
        share = view.shares.get(route.name)
        if share is None:
            return route.service_version
        new = picks_new(call_key, share, share.share)
        return share.to_version if new else share.from_version

    def choose_target(
        self, pool: Sequence[PoolTarget], zone: str, tried: Sequence[str], random: Random
    ) -> PoolTarget | None:
        """Return an untried target, from the own zone if possible, or None."""
        untried = [target for target in pool if target.name not in tried]
        same_zone = [target for target in untried if target.availability_zone == zone]
        choices = same_zone or untried
        return random.choice(choices) if choices else None

    def admits(self, node: SimNode) -> bool:
        """Return whether the node passes the call to its target."""
        return not node.draining and not node.target.full

    def verdict(self, status: int) -> Verdict:
        """Return the verdict on an attempt from the status that the target returned."""
        return Verdict.RAN if status else Verdict.MAY_HAVE_RUN

    def allows_retry(self, call: Call, verdict: Verdict) -> bool:
        """Return whether the call may be attempted again."""
        if call.attempt >= MAX_ATTEMPTS:
            return False
        return verdict.safe_to_retry or call.load.method != "POST"


@define
class Call:
    """A call and the state of its attempts.

    Attributes:
        number: Unique number.
        load: Route and method.
        entry_node: Node that received the call from the caller.
        started: Simulated time of the call in seconds.
        attempt: Number of the current attempt.
        tried: Names of the targets that were tried.
        boot: Boot number of the entry node's process when it received the call.
        closed: Whether the current attempt has ended.
        may_have_run: Whether an earlier attempt may have run.
    """

    number: int
    load: RouteLoad
    entry_node: SimNode
    started: float
    boot: int
    attempt: int = 0
    tried: list[str] = field(factory=list)
    closed: bool = True
    may_have_run: bool = False

    @property
    def idempotent(self) -> bool:
        """Whether the call may safely run more than once."""
        return self.load.method != "POST"


class CallWorld(Protocol):
    """Part of the world that the simulated calls use."""

    timeline: Timeline
    network: FakeNetwork
    nodes: dict[str, SimNode]
    rules: CallRules

    emit: ObservationDispatcher


class FakeCalls:
    """Generates calls at a mean rate and routes them with the nodes' routing views.

    Args:
        world: Nodes, links and call rules.
        random: Source of random numbers.
        loads: Routes with their weights.
        caller_ms: One-way delay between callers and nodes.
    """

    def __init__(
        self, world: CallWorld, *, random: Random, loads: Sequence[RouteLoad], caller_ms: float
    ) -> None:
        self._world = world
        self._random = random
        self._loads = tuple(loads)
        self._weights = [load.weight for load in loads]
        self._caller_s = caller_ms / 1000
        self._number = 0
        self._generation = 0
        self.calls_per_s = 0.0

    def set_rate(self, calls_per_s: float) -> None:
        """Set the mean number of calls per second."""
        self.calls_per_s = calls_per_s
        self._generation += 1
        self._schedule(self._generation)

    def _schedule(self, generation: int) -> None:
        if self.calls_per_s > 0 and generation == self._generation:
            wait = self._random.expovariate(self.calls_per_s)
            self._world.timeline.after(wait, lambda: self._start_call(generation))

    def _start_call(self, generation: int) -> None:
        if generation != self._generation:
            return
        self._schedule(generation)
        entry_nodes = [n for n in self._world.nodes.values() if n.serving and not n.draining]
        if not entry_nodes:
            return
        self._number += 1
        load = self._random.choices(self._loads, self._weights)[0]
        entry_node = self._random.choice(entry_nodes)
        call = Call(self._number, load, entry_node, self._world.timeline.now, entry_node.boot)
        entry_node.calls_open += 1
        self._world.emit(CallStarted(call.started, call.number, load.name, call.idempotent))
        self._world.timeline.after(self._caller_s, lambda: self._attempt(call))

    def _attempt(self, call: Call) -> None:
        world, view = self._world, call.entry_node.views.current
        route = view.route_of(call.load.prefix)
        if call.boot != call.entry_node.boot or not view.ready or route is None:
            self._give_up(call, Verdict.NOT_RUN)
            return
        version = world.rules.choose_version(view, route, str(call.number))
        pool = view.pools.get((route.service, version), ())
        chosen = world.rules.choose_target(pool, call.entry_node.zone, call.tried, self._random)
        if chosen is None:
            self._give_up(call, Verdict.NOT_RUN)
            return
        call.attempt += 1
        call.closed = False
        call.tried.append(chosen.name)
        self._connect(call, route, version, world.nodes[chosen.name])

    def _connect(self, call: Call, route: Route, version: str, node: SimNode) -> None:
        network, timeline = self._world.network, self._world.timeline
        attempt = call.attempt
        recorder = self._new_recorder(call, route, version)
        if network.is_blocked(call.entry_node.zone, node.zone):
            timeline.after(
                CONNECT_TIMEOUT_S,
                lambda: self._finish_attempt(call, attempt, Verdict.NOT_RUN, recorder, 0),
            )
            return
        timeline.after(
            CALL_TIMEOUT_S,
            lambda: self._finish_attempt(call, attempt, Verdict.MAY_HAVE_RUN, recorder, 0),
        )
        delay = network.delay_s(call.entry_node.zone, node.zone)
        timeline.after(delay, lambda: self._deliver(call, attempt, route, version, node, recorder))

    def _deliver(
        self,
        call: Call,
        attempt: int,
        route: Route,
        version: str,
        node: SimNode,
        recorder: AttemptRecorder,
    ) -> None:
        world = self._world
        if node.paused:
            return  # The kernel accepts the bytes, but nothing responds; the attempt times out.
        if not node.up or (node.placement.service, node.placement.service_version) != (
            route.service,
            version,
        ):
            self._respond(call, attempt, node, Verdict.NOT_RUN, recorder, 0)
            return
        world.emit(WorkOffered(world.timeline.now, call.number, node.name))
        if not world.rules.admits(node):
            self._respond(call, attempt, node, Verdict.NOT_RUN, recorder, 503)
            return
        cold = node.target.cold

        def on_done(status: int, answer_to: int) -> None:
            verdict = world.rules.verdict(status)
            recorder.answer_to = answer_to
            node.post(
                CallReported(recorder.call_record(status, verdict, delivered_here=True, cold=cold))
            )
            self._respond(call, attempt, node, verdict, recorder, status)

        def on_start() -> None:
            world.emit(
                WorkStarted(
                    world.timeline.now,
                    call.number,
                    attempt,
                    node.name,
                    route.name,
                    route.service,
                    version,
                    call.idempotent,
                )
            )

        node.target.submit(
            Job(call.number, attempt, route.name, call.idempotent, on_start, on_done)
        )

    def _respond(
        self,
        call: Call,
        attempt: int,
        node: SimNode,
        verdict: Verdict,
        recorder: AttemptRecorder,
        status: int,
    ) -> None:
        network = self._world.network
        if network.is_blocked(call.entry_node.zone, node.zone):
            return  # The response is lost; the attempt times out.
        delay = network.delay_s(call.entry_node.zone, node.zone)
        self._world.timeline.after(
            delay, lambda: self._finish_attempt(call, attempt, verdict, recorder, status)
        )

    def _finish_attempt(
        self, call: Call, attempt: int, verdict: Verdict, recorder: AttemptRecorder, status: int
    ) -> None:
        if call.closed or call.attempt != attempt:
            return  # A late response, or the timeout of an attempt that has ended.
        call.closed = True
        call.may_have_run |= verdict is not Verdict.NOT_RUN
        now = self._world.timeline.now
        self._world.emit(AttemptEnded(now, call.number, attempt, verdict))
        call.entry_node.post(CallReported(recorder.call_record(status, verdict)))
        if verdict is Verdict.RAN and status < 500:
            self._world.emit(CallAnswered(now, call.number, recorder.answer_to, True, status))
            self._finish_call(call)
        elif self._world.rules.allows_retry(call, verdict):
            self._attempt(call)
        else:
            self._give_up(call, verdict)

    def _give_up(self, call: Call, verdict: Verdict) -> None:
        reported = verdict
        if call.may_have_run and verdict is Verdict.NOT_RUN:
            reported = Verdict.MAY_HAVE_RUN  # The last attempt proves nothing about earlier ones.
        self._world.emit(CallRefused(self._world.timeline.now, call.number, reported))
        self._finish_call(call)

    @staticmethod
    def _finish_call(call: Call) -> None:
        call.entry_node.calls_open -= 1

    def _new_recorder(self, call: Call, route: Route, version: str) -> AttemptRecorder:
        return AttemptRecorder(call, route, version, self._world.timeline, self._world.timeline.now)


@define
class AttemptRecorder:
    """Creates the call records of one attempt."""

    call: Call
    route: Route
    version: str
    timeline: Timeline
    started_at: float
    answer_to: int = -1

    def call_record(
        self, status: int, verdict: Verdict, *, delivered_here: bool = False, cold: bool = False
    ) -> CallRecord:
        """Return a call record with the latency up to now."""
        return CallRecord(
            route=self.route.name,
            service=self.route.service,
            service_version=self.version,
            method=self.call.load.method,
            status=status,
            latency_s=self.timeline.now - self.started_at,
            verdict=verdict,
            refused=verdict is Verdict.NOT_RUN,
            cold=cold,
            delivered_here=delivered_here,
        )
