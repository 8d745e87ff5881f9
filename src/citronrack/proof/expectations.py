"""Expectations of a scenario."""

from __future__ import annotations

from attrs import field, frozen

from .. import validators
from .language import EXPECTATION_KINDS, Expectation, number, ref
from .observations import (
    CallAnswered,
    CallStarted,
    ConfigInForce,
    DrainStarted,
    VersionTurnedBad,
    WorkOffered,
    WorkStarted,
)
from .sim_node import SimNode
from .world import World


@EXPECTATION_KINDS.register("version_in_force")
@frozen(kw_only=True)
class VersionInForce(Expectation):
    """All reachable nodes hold the newest configuration version in the log.

    Attributes:
        zone: Check only nodes in this zone, empty for all zones.
        changes: Minimum number of versions after the first that nodes must have put in force.
        cut_off: Whether nodes without a path to the platform must hold it as well.
    """

    zone: str = ref("zone", default="")
    changes: int = field(default=0, validator=validators.between(0, 1_000_000))
    cut_off: bool = False

    def fault(self, world: World) -> str:
        """Return the nodes that hold another version."""
        version = world.log.fold.config.version
        versions = {
            observed.config.version for observed in world.observations.of_kind(ConfigInForce)
        }
        if len(versions) - 1 < self.changes:
            return f"expected {self.changes} changes in force, observed {len(versions) - 1}"
        zones = set(world.deployment.zones) if self.cut_off else world.network.connected_zones()
        behind = [
            f"{node.name} at {node.core.active.version}"
            for node in world.nodes.values()
            if node.up
            and not node.paused
            and node.zone in zones
            and self.zone in ("", node.zone)
            and node.core.active.version != version
        ]
        return f"version {version} is not in force: {', '.join(behind)}" if behind else ""


@EXPECTATION_KINDS.register("plan_result")
@frozen(kw_only=True)
class PlanResult(Expectation):
    """A plan had the given result.

    Attributes:
        plan: Label of the plan.
        result: ``planned``, ``accepted``, ``refused`` or ``unknown``.
        reason: Text that the reported reason must contain.
    """

    plan: str = ref("plan")
    result: str = field(validator=validators.one_of("planned", "accepted", "refused", "unknown"))
    reason: str = ""

    def fault(self, world: World) -> str:
        """Compare with the result reported to the operator."""
        tracked = world.operators.plans.get(self.plan)
        if tracked is None:
            return f"plan {self.plan!r} does not exist"
        if tracked.result != self.result:
            return f"plan {self.plan!r} is {tracked.result} ({tracked.reason}), not {self.result}"
        if self.reason not in tracked.reason:
            return f"plan {self.plan!r} has the reason {tracked.reason!r}"
        return ""


@EXPECTATION_KINDS.register("one_accepted")
@frozen(kw_only=True)
class OneAccepted(Expectation):
    """Of two concurrent plans, one was accepted and the other refused.

    Attributes:
        left: Label of the first plan.
        right: Label of the second plan.
    """

    left: str = ref("plan", default="left")
    right: str = ref("plan", default="right")

    def fault(self, world: World) -> str:
        """Compare both results."""
        tracked_plans = [world.operators.plans.get(label) for label in (self.left, self.right)]
        results = sorted(
            tracked.result if tracked is not None else "missing" for tracked in tracked_plans
        )
        return (
            "" if results == ["accepted", "refused"] else f"the results of the plans are {results}"
        )


@EXPECTATION_KINDS.register("move_result")
@frozen(kw_only=True)
class MoveResultIs(Expectation):
    """The move of a route has the given result.

    Attributes:
        route: The route.
        result: ``open`` or a result of the outcome record.
        service_version: Service version that must serve the route now, empty for any.
    """

    route: str = ref("route")
    result: str = field(
        validator=validators.one_of(
            "open", "finished in time", "finished late", "taken back", "cancelled", "unknown"
        )
    )
    service_version: str = ""

    def fault(self, world: World) -> str:
        """Compare with the outcome in the log."""
        state = world.log.fold.state
        move_id = world.operators.moves.get(self.route, "")
        outcome = state.outcomes.get(move_id)
        found = outcome.result if outcome is not None else "open"
        if found == "open" and move_id not in state.config.moves:
            return f"route {self.route!r} has no move"
        if found != self.result:
            return f"the move is {found!r}, not {self.result!r}"
        serving = state.config.routes[self.route].service_version
        if self.service_version not in ("", serving):
            return f"route {self.route!r} is served by {serving!r}"
        return ""


@EXPECTATION_KINDS.register("bad_version_got")
@frozen(kw_only=True)
class BadVersionGot(Expectation):
    """A bad service version ran few calls after it turned bad, and none after some time.

    Attributes:
        service: Name of the service.
        service_version: The service version.
        max_share: Maximum share of the service's calls since then.
        max_calls: Maximum number of calls since then.
        none_after_s: Seconds after it turned bad, after which it must not run any call.
    """

    service: str = ref("service")
    service_version: str = field(validator=validators.name)
    max_share: float = number(0, 1, default=1.0)
    max_calls: int = field(default=1_000_000, validator=validators.between(0, 1_000_000))
    none_after_s: float = number(0, 3_600, default=3_600.0)

    def fault(self, world: World) -> str:
        """Count the calls that the version ran."""
        key = (self.service, self.service_version)
        bad_since = [
            observed.at
            for observed in world.observations.of_kind(VersionTurnedBad)
            if (observed.service, observed.service_version) == key
        ]
        if not bad_since:
            return f"{self.service} {self.service_version} never turned bad"
        work = [
            observed
            for observed in world.observations.of_kind(WorkStarted)
            if observed.service == self.service and observed.at >= bad_since[0]
        ]
        bad = [observed.at for observed in work if observed.service_version == self.service_version]
        if len(bad) > self.max_calls:
            return f"it ran {len(bad)} calls, more than {self.max_calls}"
        if len(bad) > self.max_share * len(work):
            return f"it ran {len(bad)} of {len(work)} calls, more than {self.max_share:.1%}"
        if bad and bad[-1] > bad_since[0] + self.none_after_s:
            return f"it still ran a call {bad[-1] - bad_since[0]:.1f} s after it turned bad"
        return ""


@EXPECTATION_KINDS.register("service_version_ran")
@frozen(kw_only=True)
class ServiceVersionRan(Expectation):
    """A service version ran a minimum number of calls.

    Attributes:
        service: Name of the service.
        service_version: The service version.
        min_calls: Minimum number of calls.
    """

    service: str = ref("service")
    service_version: str = field(validator=validators.name)
    min_calls: int = field(default=1, validator=validators.between(1, 1_000_000))

    def fault(self, world: World) -> str:
        """Count the calls that the version ran."""
        key = (self.service, self.service_version)
        ran = sum(
            (observed.service, observed.service_version) == key
            for observed in world.observations.of_kind(WorkStarted)
        )
        return "" if ran >= self.min_calls else f"it ran {ran} calls, fewer than {self.min_calls}"


@EXPECTATION_KINDS.register("no_new_work")
@frozen(kw_only=True)
class NoNewWork(Expectation):
    """No call reached a draining target after some time.

    Attributes:
        node: Node beside the target.
        after_s: Seconds after the start of the drain.
    """

    node: str = ref("node")
    after_s: float = number(0, 600, default=3.0)

    def fault(self, world: World) -> str:
        """Look for calls that arrived after the limit."""
        drains = [
            observed.at
            for observed in world.observations.of_kind(DrainStarted)
            if observed.node == self.node
        ]
        if not drains:
            return f"{self.node} was never drained"
        limit = drains[-1] + self.after_s
        restarts = [
            observed.at
            for observed in world.observations.of_kind(ConfigInForce)
            if observed.node == self.node and observed.at > drains[-1]
        ]
        end = restarts[0] if restarts else world.timeline.now
        late = [
            observed.at
            for observed in world.observations.of_kind(WorkOffered)
            if observed.target == self.node and limit < observed.at < end
        ]
        return f"a call arrived {late[-1] - drains[-1]:.1f} s after the drain began" if late else ""


@EXPECTATION_KINDS.register("readiness")
@frozen(kw_only=True)
class ReadinessIs(Expectation):
    """Nodes have the given readiness.

    Attributes:
        state: ``ready``, ``ready (unproven)``, ``not ready``, or ``serving`` for the first two.
        node: The node, empty for all running nodes.
        zone: Check only nodes in this zone, empty for all zones.
        reason: Text that the reported reason must contain.
    """

    state: str = field(
        validator=validators.one_of("ready", "ready (unproven)", "not ready", "serving")
    )
    node: str = ref("node", default="")
    zone: str = ref("zone", default="")
    reason: str = ""

    def fault(self, world: World) -> str:
        """Return the nodes with a different readiness."""
        wrong = []
        for node in world.nodes.values():
            if not node.up or self.node not in ("", node.name) or self.zone not in ("", node.zone):
                continue
            status = node.core.status()
            right = status.readiness == self.state or (
                self.state == "serving" and status.readiness != "not ready"
            )
            if not right or self.reason not in status.reason:
                wrong.append(f"{node.name} is {status.readiness} ({status.reason})")
        return "; ".join(wrong)


@EXPECTATION_KINDS.register("status")
@frozen(kw_only=True)
class StatusLists(Expectation):
    """The status of a node lists exactly these nodes of a zone as behind and as unknown.

    Attributes:
        node: Node whose status is checked.
        zone: Zone whose lists are checked, empty for the zone of the node.
        behind: Names of nodes that hold an older version.
        unknown: Names of nodes that do not report.
        missing: Names of nodes that must not be listed as alive.
    """

    node: str = ref("node")
    zone: str = ref("zone", default="")
    behind: tuple[str, ...] = ()
    unknown: tuple[str, ...] = ()
    missing: tuple[str, ...] = ()

    def fault(self, world: World) -> str:
        """Compare the lists."""
        status = self._node(world).core.status()
        zone = self.zone or status.availability_zone
        found = [entry for entry in status.zones if entry.availability_zone == zone]
        if not found:
            return f"the status of {self.node} has no zone {zone!r}"
        if set(found[0].behind) != set(self.behind):
            return f"nodes listed as behind: {list(found[0].behind)}"
        if set(found[0].unknown) != set(self.unknown):
            return f"nodes listed as unknown: {list(found[0].unknown)}"
        alive = {entry.name for entry in status.nodes if entry.state == "alive"}
        listed = sorted(alive.intersection(self.missing))
        return f"still listed as alive: {listed}" if listed else ""

    def _node(self, world: World) -> SimNode:
        return world.node(self.node)


@EXPECTATION_KINDS.register("digests_equal")
@frozen(kw_only=True)
class DigestsEqual(Expectation):
    """All running nodes that have read the whole log have the same digest of folded records."""

    def fault(self, world: World) -> str:
        """Compare the digests."""
        end, digest = world.log.fold.next_offset, world.log.fold.state.digest
        other = [
            node.name
            for node in world.nodes.values()
            if node.up
            and node.core.fold.next_offset == end
            and node.core.fold.state.digest != digest
        ]
        return f"nodes with a different digest: {', '.join(other)}" if other else ""


@EXPECTATION_KINDS.register("calls_answered")
@frozen(kw_only=True)
class CallsAnswered(Expectation):
    """A minimum share of the calls was answered.

    Attributes:
        min_share: Minimum share of calls that were answered without a server error.
        after_s: Count only calls that were sent after this time.
        before_s: Count only calls that were sent before this time.
    """

    min_share: float = number(0, 1, default=0.99)
    after_s: float = number(0, 3_600, default=0.0)
    before_s: float = number(0, 3_600, default=3_600.0)

    def fault(self, world: World) -> str:
        """Compare the share of answered calls."""
        limit = min(self.before_s, world.timeline.now - 6.0)  # later calls may still be in progress
        sent = [
            observed.call
            for observed in world.observations.of_kind(CallStarted)
            if self.after_s <= observed.at < limit
        ]
        if not sent:
            return "no call was sent"
        answered = {observed.call for observed in world.observations.of_kind(CallAnswered)}
        share = sum(call in answered for call in sent) / len(sent)
        return "" if share >= self.min_share else f"{share:.2%} of {len(sent)} calls were answered"
