"""Events caused by operators."""

from __future__ import annotations

from functools import partial

import attrs
from attrs import field, frozen

from .. import validators
from ..config import Change, Route
from ..log import Confirmed
from ..moves import Intent
from ..moves.intent import MoveIntent
from .language import EVENT_KINDS, TimedEvent, number, ref
from .sim_node import SimNode
from .world import World


def timeout_intent(node: SimNode, route: str, timeout_ms: int) -> Intent:
    """Return an intent that changes the timeout of a route; empty when the route is unknown."""
    present = node.core.fold.config.routes.get(route)
    if present is None:
        return Intent()
    return Intent(routes=(attrs.evolve(present, timeout_ms=timeout_ms),))


def move_intent(node: SimNode, route: str, to_version: str, deadline_s: float) -> Intent:
    """Return an intent that moves a route to ``to_version`` within ``deadline_s`` seconds."""
    deadline_ms = node.clock.wall_ms() + round(deadline_s * 1000)
    return Intent(moves=(MoveIntent(route, to_version, deadline_ms),))


@EVENT_KINDS.register("publish")
@frozen(kw_only=True)
class Publish(TimedEvent):
    """An operator plans and confirms a new timeout of a route.

    Attributes:
        route: The route.
        timeout_ms: New timeout in milliseconds.
        node: Node that receives the request, empty for the first serving node.
        plan: Label of the plan for expectations.
        repeat: Number of such changes, each with a different timeout.
        every_s: Seconds between the changes.
    """

    route: str = ref("route")
    timeout_ms: int = field(default=4_000, validator=validators.between(1, 500_000))
    node: str = ref("node", default="")
    plan: str = ref("new-plan", default="publish")
    repeat: int = field(default=1, validator=validators.between(1, 1_000))
    every_s: float = number(0, 600, default=1.0)

    def apply(self, world: World) -> None:
        """Make and confirm the plan."""
        for turn in range(self.repeat):
            world.timeline.after(turn * self.every_s, partial(self._once, world, turn))

    def _once(self, world: World, turn: int) -> None:
        node = world.resolve_node(self.node)
        intent = timeout_intent(node, self.route, self.timeout_ms + turn)
        world.operators.plan(self.plan, intent, node)
        world.operators.confirm(self.plan, node)


@EVENT_KINDS.register("publish_invalid")
@frozen(kw_only=True)
class PublishInvalid(TimedEvent):
    """A partly invalid confirmation is appended to the log, bypassing the checks of a node.

    Attributes:
        route: Route whose timeout the valid part changes.
    """

    route: str = ref("route")

    def apply(self, world: World) -> None:
        """Append the record."""
        present = world.log.fold.config
        changed = attrs.evolve(present.routes[self.route], timeout_ms=1)
        dangling = Route("dangling", "/dangling", "no-such-service", "0")
        change = Change(put_routes=(changed, dangling))
        plan_id = f"invalid-{world.log.fold.next_offset}"
        world.append_body(Confirmed(plan_id, present.version, change, 0, 1, "operator"))


@EVENT_KINDS.register("plan")
@frozen(kw_only=True)
class PlanTimeout(TimedEvent):
    """An operator plans a new timeout of a route without confirming the plan.

    Attributes:
        plan: Label of the plan.
        route: The route.
        timeout_ms: New timeout in milliseconds.
        node: Node that receives the request, empty for the first serving node.
    """

    plan: str = ref("new-plan")
    route: str = ref("route")
    timeout_ms: int = field(default=4_000, validator=validators.between(1, 500_000))
    node: str = ref("node", default="")

    def apply(self, world: World) -> None:
        """Make the plan."""
        node = world.resolve_node(self.node)
        world.operators.plan(self.plan, timeout_intent(node, self.route, self.timeout_ms), node)


@EVENT_KINDS.register("plan_move")
@frozen(kw_only=True)
class PlanMove(TimedEvent):
    """An operator plans a move without confirming the plan.

    Attributes:
        plan: Label of the plan.
        route: Route whose traffic is moved.
        to_version: Service version that receives the traffic.
        deadline_s: Seconds within which the move must finish.
        node: Node that receives the request, empty for the first serving node.
    """

    plan: str = ref("new-plan")
    route: str = ref("route")
    to_version: str = field(validator=validators.name)
    deadline_s: float = number(1, 3_600, default=60.0)
    node: str = ref("node", default="")

    def apply(self, world: World) -> None:
        """Make the plan."""
        node = world.resolve_node(self.node)
        intent = move_intent(node, self.route, self.to_version, self.deadline_s)
        world.operators.plan(self.plan, intent, node)


@EVENT_KINDS.register("confirm")
@frozen(kw_only=True)
class Confirm(TimedEvent):
    """An operator confirms a plan.

    Attributes:
        plan: Label of the plan.
        node: Node that receives the request, empty for the first serving node.
    """

    plan: str = ref("plan")
    node: str = ref("node", default="")

    def apply(self, world: World) -> None:
        """Confirm the plan."""
        world.operators.confirm(self.plan, world.resolve_node(self.node))


@EVENT_KINDS.register("move")
@frozen(kw_only=True)
class StartMove(TimedEvent):
    """An operator plans and confirms a move.

    Attributes:
        route: Route whose traffic is moved.
        to_version: Service version that receives the traffic.
        deadline_s: Seconds within which the move must finish.
        node: Node that receives the request, empty for the first serving node.
        plan: Label of the plan for expectations.
    """

    route: str = ref("route")
    to_version: str = field(validator=validators.name)
    deadline_s: float = number(1, 3_600, default=60.0)
    node: str = ref("node", default="")
    plan: str = ref("new-plan", default="move")

    def apply(self, world: World) -> None:
        """Make and confirm the plan."""
        node = world.resolve_node(self.node)
        intent = move_intent(node, self.route, self.to_version, self.deadline_s)
        world.operators.plan(self.plan, intent, node)
        world.operators.confirm(self.plan, node)


@EVENT_KINDS.register("race")
@frozen(kw_only=True)
class Race(TimedEvent):
    """Two operators plan on the same version and confirm concurrently through two nodes.

    Attributes:
        route: Route whose timeout both plans change.
        left: Node of the first operator, whose plan has the label ``left``.
        right: Node of the second operator, whose plan has the label ``right``.
    """

    route: str = ref("route")
    left: str = ref("node")
    right: str = ref("node")

    def apply(self, world: World) -> None:
        """Make both plans, then confirm both."""
        sides = (("left", world.node(self.left), 3_000), ("right", world.node(self.right), 2_000))
        for label, node, timeout_ms in sides:
            world.operators.plan(label, timeout_intent(node, self.route, timeout_ms), node)
        for label, node, _ in sides:
            world.operators.confirm(label, node)


@EVENT_KINDS.register("cancel")
@frozen(kw_only=True)
class Cancel(TimedEvent):
    """An operator cancels the open move of a route.

    Attributes:
        route: The route.
        node: Node that receives the request, empty for the first serving node.
    """

    route: str = ref("route")
    node: str = ref("node", default="")

    def apply(self, world: World) -> None:
        """Cancel the move."""
        world.operators.cancel(self.route, world.resolve_node(self.node))
