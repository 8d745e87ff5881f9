"""Events that affect the platform, the links, the nodes and the targets."""

from __future__ import annotations

from collections.abc import Callable

from attrs import field, frozen

from .. import validators
from .fake_target import FAULT_KINDS, Fault
from .language import EVENT_KINDS, TimedEvent, number, ref
from .network import PLATFORM
from .sim_node import SimNode
from .world import World


def start_action(world: World, node: SimNode) -> Callable[[], None]:
    """Return an action that starts ``node``."""
    return lambda: world.start(node)


@EVENT_KINDS.register("drain")
@frozen(kw_only=True)
class Drain(TimedEvent):
    """A target is drained and stops; it does not restart.

    Attributes:
        node: Node beside the target.
    """

    node: str = ref("node")

    def apply(self, world: World) -> None:
        """Start the drain."""
        world.drain(world.node(self.node))


@EVENT_KINDS.register("crash")
@frozen(kw_only=True)
class Crash(TimedEvent):
    """An instance crashes, together with its node and target.

    Attributes:
        node: Node on the instance.
    """

    node: str = ref("node")

    def apply(self, world: World) -> None:
        """Crash the instance."""
        world.crash(world.node(self.node))


@EVENT_KINDS.register("start")
@frozen(kw_only=True)
class Start(TimedEvent):
    """A stopped instance starts again without state.

    Attributes:
        node: Node on the instance.
    """

    node: str = ref("node")

    def apply(self, world: World) -> None:
        """Start the instance."""
        world.start(world.node(self.node))


@EVENT_KINDS.register("restart")
@frozen(kw_only=True)
class Restart(TimedEvent):
    """A node is drained, stops and starts again.

    Attributes:
        node: The node.
        down_s: Seconds between stop and start.
    """

    node: str = ref("node")
    down_s: float = number(0, 3_600, default=1.0)

    def apply(self, world: World) -> None:
        """Drain, stop and start again."""
        node = world.node(self.node)
        world.drain(node, lambda: world.timeline.after(self.down_s, start_action(world, node)))


@EVENT_KINDS.register("herd_restart")
@frozen(kw_only=True)
class HerdRestart(TimedEvent):
    """Many instances crash at the same time and restart together.

    Attributes:
        zone: Zone of the instances, empty for all zones.
        down_s: Seconds until the first instance restarts.
        spread_s: Interval in seconds over which the restarts are spread.
        spare: Number of nodes in each zone that keep running.
    """

    zone: str = ref("zone", default="")
    down_s: float = number(0, 3_600, default=2.0)
    spread_s: float = number(0, 600, default=1.0)
    spare: int = field(default=0, validator=validators.between(0, 100))

    def apply(self, world: World) -> None:
        """Crash the instances and schedule their restart."""
        kept_running: dict[str, int] = {}
        crashing = []
        for node in world.nodes.values():
            if not node.up or (self.zone and node.zone != self.zone):
                continue
            if kept_running.get(node.zone, 0) < self.spare:
                kept_running[node.zone] = kept_running.get(node.zone, 0) + 1
            else:
                crashing.append(node)
        for index, node in enumerate(crashing):
            world.crash(node)
            restart_after_s = self.down_s + self.spread_s * index / len(crashing)
            world.timeline.after(restart_after_s, start_action(world, node))


@EVENT_KINDS.register("pause")
@frozen(kw_only=True)
class Pause(TimedEvent):
    """A node process is suspended while its clock continues.

    Attributes:
        node: The node.
        holder_of: Duty whose current holder is paused instead.
        for_s: Seconds until the process resumes, 0 to wait for `resume`.
    """

    node: str = ref("node", default="")
    holder_of: str = field(default="", validator=validators.one_of("", "outcomes", "compactor"))
    for_s: float = number(0, 3_600, default=0.0)

    def apply(self, world: World) -> None:
        """Pause the node."""
        node = world.holder(self.holder_of) if self.holder_of else world.resolve_node(self.node)
        if node is None:
            return
        node.pause()
        world.check_reachability()
        if self.for_s:
            world.timeline.after(self.for_s, lambda: Resume.resume_if_paused(world, node))


@EVENT_KINDS.register("resume")
@frozen(kw_only=True)
class Resume(TimedEvent):
    """A paused node resumes and processes what arrived in the meantime.

    Attributes:
        node: The node.
    """

    node: str = ref("node")

    def apply(self, world: World) -> None:
        """Resume the node."""
        self.resume_if_paused(world, world.node(self.node))

    @staticmethod
    def resume_if_paused(world: World, node: SimNode) -> None:
        """Resume ``node`` if it is running and paused."""
        if node.up and node.paused:
            node.resume()
            world.check_reachability()


@EVENT_KINDS.register("log_outage")
@frozen(kw_only=True)
class LogOutage(TimedEvent):
    """The platform's log fails every request.

    Attributes:
        for_s: Seconds until the log recovers, 0 to wait for `log_recovery`.
    """

    for_s: float = number(0, 3_600, default=0.0)

    def apply(self, world: World) -> None:
        """Start the outage."""
        world.log.set_available(False)
        if self.for_s:
            world.timeline.after(self.for_s, lambda: world.log.set_available(True))


@EVENT_KINDS.register("log_recovery")
@frozen(kw_only=True)
class LogRecovery(TimedEvent):
    """The platform's log is available again."""

    def apply(self, world: World) -> None:
        """End the outage."""
        world.log.set_available(True)


@EVENT_KINDS.register("slow_log")
@frozen(kw_only=True)
class SlowLog(TimedEvent):
    """The platform's log responds slowly.

    Attributes:
        delay_ms: Time for each response in milliseconds.
    """

    delay_ms: float = number(0, 60_000, default=1_000.0)

    def apply(self, world: World) -> None:
        """Set the delay."""
        world.log.delay_s = self.delay_ms / 1000


@EVENT_KINDS.register("lose_append_answers")
@frozen(kw_only=True)
class LoseAppendAnswers(TimedEvent):
    """The next appends take effect, but their responses are lost.

    Attributes:
        count: Number of appends.
    """

    count: int = field(default=1, validator=validators.between(1, 1_000))

    def apply(self, world: World) -> None:
        """Enable the fault."""
        world.log.answers_to_lose += self.count


@EVENT_KINDS.register("write_snapshot")
@frozen(kw_only=True)
class WriteSnapshot(TimedEvent):
    """A snapshot of all records is appended, as by the holder of the compactor duty."""

    def apply(self, world: World) -> None:
        """Write the snapshot."""
        world.write_snapshot()


@EVENT_KINDS.register("trim_log")
@frozen(kw_only=True)
class TrimLog(TimedEvent):
    """The platform removes old records.

    Attributes:
        keep: Number of records that are retained.
    """

    keep: int = field(default=0, validator=validators.between(0, 1_000_000))

    def apply(self, world: World) -> None:
        """Trim the records."""
        world.log.trim(self.keep)


@EVENT_KINDS.register("partition")
@frozen(kw_only=True)
class Partition(TimedEvent):
    """The link between two zones, or between a zone and the platform, is down.

    Attributes:
        one: A zone.
        other: Another zone, or ``platform``.
    """

    one: str = ref("zone")
    other: str = ref("side")

    def apply(self, world: World) -> None:
        """Block the link."""
        world.network.block_link(self.one, self.other)
        world.check_reachability()


@EVENT_KINDS.register("isolate")
@frozen(kw_only=True)
class Isolate(TimedEvent):
    """A zone is disconnected from all other zones and from the platform.

    Attributes:
        zone: The zone.
    """

    zone: str = ref("zone")

    def apply(self, world: World) -> None:
        """Block all links of the zone."""
        world.network.isolate(self.zone)
        world.check_reachability()


@EVENT_KINDS.register("cut_platform")
@frozen(kw_only=True)
class CutPlatform(TimedEvent):
    """All zones are disconnected from the platform, but not from each other."""

    def apply(self, world: World) -> None:
        """Block all links to the platform."""
        for zone in world.deployment.zones:
            world.network.block_link(zone, PLATFORM)
        world.check_reachability()


@EVENT_KINDS.register("heal")
@frozen(kw_only=True)
class Heal(TimedEvent):
    """All links work again."""

    def apply(self, world: World) -> None:
        """Restore all links."""
        world.network.heal()
        world.check_reachability()


@EVENT_KINDS.register("bad_version")
@frozen(kw_only=True)
class BadVersion(TimedEvent):
    """A service version becomes bad; with ``at: 0`` it is bad from the start.

    Attributes:
        service: Name of the service.
        service_version: The service version.
        kind: ``failing``, ``slow``, ``one-route`` or ``under-load``.
        rate: Share of the affected calls that fail.
        slow_factor: Factor on the duration of calls, for ``slow``.
        route: Affected route, for ``one-route``.
        busy_share: Share of slots in use at which calls start to fail, for ``under-load``.
    """

    service: str = ref("service")
    service_version: str = field(validator=validators.name)
    kind: str = field(default="failing", validator=validators.one_of(*FAULT_KINDS))
    rate: float = number(0, 1, default=0.5)
    slow_factor: float = number(1, 1_000, default=6.0)
    route: str = ref("route", default="")
    busy_share: float = number(0, 1, default=0.5)

    def apply(self, world: World) -> None:
        """Inject the fault."""
        fault = Fault(self.kind, self.rate, self.slow_factor, self.route, self.busy_share)
        world.set_fault(self.service, self.service_version, fault)


@EVENT_KINDS.register("load")
@frozen(kw_only=True)
class Load(TimedEvent):
    """The rate of calls changes.

    Attributes:
        calls_per_s: Mean number of calls per second over all zones.
    """

    calls_per_s: float = number(0, 2_000, default=20.0)

    def apply(self, world: World) -> None:
        """Set the rate."""
        world.calls.set_rate(self.calls_per_s)


@EVENT_KINDS.register("start_targets")
@frozen(kw_only=True)
class StartTargets(TimedEvent):
    """Additional instances with targets start.

    Attributes:
        service: Name of the service.
        service_version: Service version of the targets.
        count: Number of instances, distributed over the zones.
    """

    service: str = ref("service")
    service_version: str = field(validator=validators.name)
    count: int = field(default=1, validator=validators.between(1, 100))

    def apply(self, world: World) -> None:
        """Start the instances."""
        world.add_targets(self.service, self.service_version, self.count)
