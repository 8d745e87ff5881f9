"""One simulated node: the real core between fakes of its tasks."""

from __future__ import annotations

import inspect
from collections.abc import Callable
from random import Random
from typing import Any

from attrs import frozen

from ..calls import ViewHolder
from ..clock import Clock
from ..membership import Member
from ..node.control import TICK_MS
from ..node.core import NodeCore
from ..node.cores import compose_core
from ..node.mail import LoadReported
from ..node.readiness import Readiness
from ..telemetry import Event, EventLog, Metrics
from ..transport.send import Send
from .fake_target import FakeTarget
from .log_access import FakeAppender, FakeReader, LogPath
from .observations import (
    ConfigInForce,
    MarkSeen,
    NodeStarted,
    Observation,
    ReadinessChanged,
    ShareGiven,
)
from .timeline import NodeClock, Timeline

MAX_PAUSED_INBOX = 1_000  # the transport's high-water mark
SEEDS_PER_ZONE = 3


class QuietEvents(EventLog):
    """Drops log lines; scenarios observe state instead."""

    def write(self, event: Event, **fields: Any) -> None:
        """Drop the line."""


@frozen
class NodePlace:
    """Where a node stands and what it serves.

    Attributes:
        name: Name of the node.
        number: Number from 1; makes its addresses unique.
        availability_zone: Zone of the instance.
        service: Service of the target.
        service_version: Release of the target.
        slots: Calls that the target runs at once.
    """

    name: str
    number: int
    availability_zone: str
    service: str
    service_version: str
    slots: int

    @property
    def address(self) -> str:
        """Address for messages."""
        return f"tcp://127.0.0.1:{10_000 + self.number}"

    def member(self, incarnation: int) -> Member:
        """Return the description of the node at its start."""
        return Member(
            name=self.name,
            address=self.address,
            call_address=f"127.0.0.1:{20_000 + self.number}",
            deliver_address=f"127.0.0.1:{30_000 + self.number}",
            availability_zone=self.availability_zone,
            service=self.service,
            service_version=self.service_version,
            incarnation=incarnation,
            slots=self.slots,
        )


def make_core(
    *,
    own: Member,
    seeds: dict[str, tuple[str, ...]],
    clock: Clock,
    random: Random,
    views: ViewHolder,
    append: Callable[[Any], None],
    profile: str,
    link_ms: float = 4.0,
) -> NodeCore:
    """Return a core; passes on what the present `compose_core` takes.

    Args:
        own: Description of the node.
        seeds: Addresses of nodes by zone.
        clock: Source of time.
        random: Source of random numbers.
        views: Receives the routing view.
        append: Queues a record body.
        profile: Default policy for moves.
        link_ms: One-way delay between zones.
    """
    zone = own.availability_zone
    offered: dict[str, Any] = {
        "own": own,
        "seeds": seeds.get(zone, ()),
        "remote_seeds": {name: found for name, found in seeds.items() if name != zone},
        "clock": clock,
        "random": random,
        "events": QuietEvents(node=own.name, level="error"),
        "metrics": Metrics(None, prefix=""),
        "views": views,
        "append": append,
        "profile": profile,
        "default_profile": profile,
        "link_one_way_ms": link_ms,
    }
    wanted = inspect.signature(compose_core).parameters
    return compose_core(**{name: value for name, value in offered.items() if name in wanted})


class SimNode:
    """Starts, feeds, pauses and ends one node.

    Args:
        place: Where it stands.
        target: The process beside it.
        timeline: Simulated time.
        clock: The instance's clocks.
        path: Access to the log.
        seeds: Addresses of nodes by zone.
        profile: Default policy for moves.
        send: Carries messages to other nodes.
        emit: Takes observations.
    """

    def __init__(
        self,
        place: NodePlace,
        *,
        target: FakeTarget,
        timeline: Timeline,
        clock: NodeClock,
        path: LogPath,
        seeds: dict[str, tuple[str, ...]],
        profile: str,
        send: Callable[[str, Send], None],
        emit: Callable[[Observation], None],
    ) -> None:
        self.place = place
        self.target = target
        self.clock = clock
        self.boot = 0
        self.up = False
        self.paused = False
        self.draining = False
        self.calls_open = 0
        self.views = ViewHolder()
        self._timeline = timeline
        self._path = path
        self._seeds = seeds
        self._profile = profile
        self._send = send
        self._emit = emit
        self._inbox: list[Callable[[], list[Send]]] = []
        self._core: NodeCore | None = None
        self._random = Random(path.random.random())

    @property
    def core(self) -> NodeCore:
        """The decisions of the running process."""
        if self._core is None:
            raise RuntimeError(f"node {self.place.name} was never started")
        return self._core

    @property
    def name(self) -> str:
        """Name of the node."""
        return self.place.name

    @property
    def zone(self) -> str:
        """Zone of the node."""
        return self.place.availability_zone

    @property
    def serving(self) -> bool:
        """Whether it answers calls."""
        return self.up and not self.paused and self.views.current.ready

    @property
    def now(self) -> float:
        """Simulated seconds."""
        return self._timeline.now

    def start(self) -> None:
        """Start a process without state."""
        self.boot += 1
        self.up, self.paused, self.draining = True, False, False
        self._inbox.clear()
        self.views = ViewHolder()
        self._seen_version, self._seen_state = -1, Readiness.NOT_READY
        self._seen_shares: Any = {}
        self._seen_marks: set[str] = set()
        self._seen_load = 0
        self.appender = FakeAppender(
            self._path, writer=f"{self.name}/{self.boot}", wall_ms=self.clock.wall_ms
        )
        appender = self.appender
        self._core = make_core(
            own=self.place.member(self.clock.wall_ms()),
            seeds=self._seeds,
            clock=self.clock,
            random=self._random,
            views=self.views,
            append=lambda body: appender.submit(body, self.post),
            profile=self._profile,
        )
        self.target.start()
        self._emit(NodeStarted(self.now, self.name, self.zone, self.boot))
        boot = self.boot
        self._reader = FakeReader(
            self._path, state=self._core, post=lambda mail: self.boot == boot and self.post(mail)
        )
        self._reader.poll()
        self._timeline.after(self._random.uniform(0, TICK_MS / 1000), lambda: self._tick(boot))

    def end(self) -> None:
        """End the process and its target at once."""
        self.up = False
        self._reader.stop()
        self.appender.stop()
        self.target.kill()

    def pause(self) -> None:
        """Stop the process without ending it, as a hypervisor does."""
        self.paused = True

    def resume(self) -> None:
        """Let a paused process go on with what has arrived since."""
        self.paused = False
        waiting, self._inbox = self._inbox, []
        for step in waiting:
            self._run(step)

    def post(self, mail: Any) -> bool:
        """Feed mail of another task; False when the process has ended."""
        if self.up:
            self._run(lambda: self.core.handle(mail))
        return self.up

    def receive(self, sender: str, message: Any) -> None:
        """Feed a message of another node."""
        if self.up:
            self._run(lambda: self.core.on_message(sender, message))

    def _tick(self, boot: int) -> None:
        if not self.up or boot != self.boot:
            return
        self._timeline.after(TICK_MS / 1000, lambda: self._tick(boot))
        if self.paused:
            return
        load = self.target.in_flight
        if load != self._seen_load:
            self._seen_load = load
            self._run(lambda: self.core.handle(LoadReported(load)))
        self._run(self.core.on_tick)

    def _run(self, step: Callable[[], list[Send]]) -> None:
        if self.paused:
            if len(self._inbox) < MAX_PAUSED_INBOX:
                self._inbox.append(step)
            return
        for effect in step():
            self._send(self.place.address, effect)
        self._look()

    def _look(self) -> None:
        """Report what changed in the core's decisions."""
        core, now = self.core, self.now
        if core.active.version != self._seen_version:
            self._seen_version = core.active.version
            self._emit(ConfigInForce(now, self.name, self.boot, core.active.current))
        if core.readiness is not self._seen_state:
            state = self._seen_state = core.readiness
            serving = state is not Readiness.NOT_READY
            version = core.active.version
            self._emit(ReadinessChanged(now, self.name, self.boot, state.value, serving, version))
        shares = self.views.current.shares
        if shares != self._seen_shares:
            self._seen_shares = shares
            self._report_shares()
        marks = core.fold.state.marks
        if len(marks) != len(self._seen_marks):
            for key in [key for key in marks if key not in self._seen_marks]:
                mark = marks[key]
                self._seen_marks.add(key)
                self._emit(MarkSeen(now, self.name, mark.service, mark.service_version, mark.epoch))

    def _report_shares(self) -> None:
        view = self.views.current
        for name, share in view.shares.items():
            route = view.config.routes.get(name)
            if route is not None:
                self._emit(
                    ShareGiven(
                        self.now, self.name, name, route.service, share.to_version, share.share
                    )
                )
