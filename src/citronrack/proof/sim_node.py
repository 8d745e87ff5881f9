"""A simulated node: the real core with fakes in place of its tasks."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from attrs import frozen

from ..calls import ViewHolder
from ..membership import Member
from ..node.control import TICK_MS
from ..node.core import NodeCore
from ..transport.send import Send
from .core_factory import CoreOptions, make_core
from .decisions import DecisionWatcher
from .fake_target import FakeTarget
from .log_access import FakeAppender, FakeReader, LogConnection
from .observations import (
    NodeStarted,
    Observation,
)
from .timeline import NodeClock, Timeline
from .trace import SteppedClock, TraceWriter, seeded_random, trace_core

MAX_PAUSED_INBOX = 1_000  # high-water mark of the transport
SEEDS_PER_ZONE = 3


@frozen
class NodePlacement:
    """Zone, addresses and target of a node.

    Attributes:
        name: Name of the node.
        number: Number from 1 that makes the node's addresses unique.
        availability_zone: Zone of the instance.
        service: Service of the target.
        service_version: Service version of the target.
        slots: Calls that the target runs concurrently.
    """

    name: str
    number: int
    availability_zone: str
    service: str
    service_version: str
    slots: int

    @property
    def address(self) -> str:
        """Address for messages from other nodes."""
        return f"tcp://127.0.0.1:{10_000 + self.number}"

    def member(self, incarnation: int) -> Member:
        """Return the member entry of the node at its start."""
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


class SimNode:
    """Runs the process of one node: start, inputs, pause and end.

    Args:
        placement: Zone, addresses and target of the node.
        target: The target beside the node.
        timeline: Simulated time.
        clock: Clocks of the instance.
        log_connection: Connection to the log service.
        seeds: Addresses of seed nodes by zone.
        profile: Default policy for moves.
        send: Sends a message to another node.
        emit: Receives observations.
    """

    def __init__(
        self,
        placement: NodePlacement,
        *,
        target: FakeTarget,
        timeline: Timeline,
        clock: NodeClock,
        log_connection: LogConnection,
        seeds: dict[str, tuple[str, ...]],
        profile: str,
        send: Callable[[str, Send], None],
        emit: Callable[[Observation], None],
    ) -> None:
        self.placement = placement
        self.target = target
        self.clock = clock
        self.boot = 0
        self.up = False
        self.paused = False
        self.draining = False
        self.calls_open = 0
        self.trace_path = ""
        self.trace: TraceWriter | None = None
        self.views = ViewHolder()
        self._timeline = timeline
        self._log_connection = log_connection
        self._seeds = seeds
        self._profile = profile
        self._send = send
        self._emit = emit
        self._inbox: list[Callable[[], list[Send]]] = []
        self._core: NodeCore | None = None
        self._random = Random(log_connection.random.random())

    @property
    def core(self) -> NodeCore:
        """Core of the running process."""
        if self._core is None:
            raise RuntimeError(f"node {self.placement.name} was never started")
        return self._core

    @property
    def name(self) -> str:
        """Name of the node."""
        return self.placement.name

    @property
    def zone(self) -> str:
        """Zone of the node."""
        return self.placement.availability_zone

    @property
    def serving(self) -> bool:
        """Whether the node accepts calls."""
        return self.up and not self.paused and self.views.current.ready

    @property
    def now(self) -> float:
        """Simulated time in seconds."""
        return self._timeline.now

    def start(self) -> None:
        """Start a new process without state."""
        self.boot += 1
        self.up, self.paused, self.draining = True, False, False
        self._inbox.clear()
        self.views = ViewHolder()
        self.appender = FakeAppender(
            self._log_connection, writer=f"{self.name}/{self.boot}", wall_ms=self.clock.wall_ms
        )
        appender = self.appender
        self._core = self._make_core(lambda body: appender.submit(body, self.post))
        self._watcher = DecisionWatcher(
            self._core, self.views, node=self.name, boot=self.boot, emit=self._emit
        )
        self.target.start()
        self._emit(NodeStarted(self.now, self.name, self.zone, self.boot))
        boot = self.boot
        self._reader = FakeReader(
            self._log_connection,
            state=self._core,
            post=lambda mail: self.boot == boot and self.post(mail),
        )
        self._reader.begin()
        self._timeline.after(self._random.uniform(0, TICK_MS / 1000), lambda: self._tick(boot))

    def end(self) -> None:
        """Terminate the process and its target immediately."""
        self.up = False
        self.end_trace()
        self._reader.stop()
        self.appender.stop()
        self.target.kill()

    def end_trace(self) -> None:
        """Close the trace of the process, if it is traced."""
        if self.trace is not None:
            self.trace.close()

    def pause(self) -> None:
        """Suspend the process, as a hypervisor does."""
        self.paused = True

    def resume(self) -> None:
        """Resume the process and run the inputs that arrived during the pause."""
        self.paused = False
        waiting, self._inbox = self._inbox, []
        for step in waiting:
            self._run(step)

    def post(self, mail: Any) -> bool:
        """Pass a message from another task to the core; return False when the process has ended."""
        if self.up:
            self._run(lambda: self.core.handle(mail))
        return self.up

    def receive(self, sender: str, message: Any) -> None:
        """Pass a message from another node to the core."""
        if self.up:
            self._run(lambda: self.core.on_message(sender, message))

    def _make_core(self, append: Callable[[Any], None]) -> NodeCore:
        """Create the core of a new process, with tracing when a trace path is set."""
        seed = self._random.getrandbits(64)
        options = self._options()
        own = self.placement.member(self.clock.wall_ms())
        clock = SteppedClock(self.clock, self._own_load) if self.trace_path else self.clock
        core = make_core(
            own=own,
            options=options,
            clock=clock,
            random=seeded_random(seed),
            views=self.views,
            append=append,
            append_snapshot=lambda data: self.appender.submit_snapshot(data, self.post),
            own_load=clock.own_load if isinstance(clock, SteppedClock) else self._own_load,
        )
        if not isinstance(clock, SteppedClock):
            return core
        self.trace = TraceWriter(f"{self.trace_path}.{self.boot}")
        self.trace.begin(own=own, options=options, seed=seed, clock=clock)
        return trace_core(core, views=self.views, clock=clock, writer=self.trace)

    def _own_load(self) -> int:
        return self.target.in_flight

    def _options(self) -> CoreOptions:
        return CoreOptions(
            seeds=self._seeds.get(self.zone, ()),
            remote_seeds={zone: found for zone, found in self._seeds.items() if zone != self.zone},
            profile=self._profile,
            boot=str(self.boot),
        )

    def _tick(self, boot: int) -> None:
        if not self.up or boot != self.boot:
            return
        self._timeline.after(TICK_MS / 1000, lambda: self._tick(boot))
        if self.paused:
            return
        self._run(self.core.on_tick)

    def _run(self, step: Callable[[], list[Send]]) -> None:
        if self.paused:
            if len(self._inbox) < MAX_PAUSED_INBOX:
                self._inbox.append(step)
            return
        for effect in step():
            self._send(self.placement.address, effect)
        self._watcher.emit_changes(self.now)
