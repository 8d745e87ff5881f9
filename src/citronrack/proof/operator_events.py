"""Events that operators cause."""

from __future__ import annotations

from functools import partial

import attrs
from attrs import field, frozen

from .. import checks
from ..config import Change, Route
from ..log import Confirmed
from ..moves import Intent
from ..moves.intent import MoveIntent
from .language import EVENT_KINDS, TimedEvent, number, ref
from .sim_node import SimNode
from .world import World


def timeout_intent(node: SimNode, route: str, timeout_ms: int) -> Intent:
    """Return an intent that changes a route's time limit."""
    present = node.core.fold.config.routes.get(route)
    if present is None:
        return Intent()
    return Intent(routes=(attrs.evolve(present, timeout_ms=timeout_ms),))


def move_intent(node: SimNode, route: str, to_version: str, deadline_s: float) -> Intent:
    """Return an intent that moves a route within ``deadline_s``."""
    deadline_ms = node.clock.wall_ms() + round(deadline_s * 1000)
    return Intent(moves=(MoveIntent(route, to_version, deadline_ms),))


@EVENT_KINDS.register("publish")
@frozen(kw_only=True)
class Publish(TimedEvent):
    """An operator plans and confirms a new time limit of a route.

    Attributes:
        route: The route.
        timeout_ms: The new limit.
        node: Node that the operator asks, empty for the first that serves.
        plan: Label of the plan, for expectations.
        repeat: Number of such changes, each with another limit.
        every_s: Seconds between them.
    """

    route: str = ref("route")
    timeout_ms: int = field(default=4_000, validator=checks.between(1, 500_000))
    node: str = ref("node", default="")
    plan: str = ref("new-plan", default="publish")
    repeat: int = field(default=1, validator=checks.between(1, 1_000))
    every_s: float = number(0, 600, default=1.0)

    def apply(self, world: World) -> None:
        """Plan and confirm."""
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
    """A confirmation with a valid and an invalid part reaches the log, past all checks of a node.

    Attributes:
        route: Route whose time limit the valid part changes.
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
    """An operator plans a new time limit of a route and does not confirm it yet.

    Attributes:
        plan: Label of the plan.
        route: The route.
        timeout_ms: The new limit.
        node: Node that the operator asks, empty for the first that serves.
    """

    plan: str = ref("new-plan")
    route: str = ref("route")
    timeout_ms: int = field(default=4_000, validator=checks.between(1, 500_000))
    node: str = ref("node", default="")

    def apply(self, world: World) -> None:
        """Plan."""
        node = world.resolve_node(self.node)
        world.operators.plan(self.plan, timeout_intent(node, self.route, self.timeout_ms), node)


@EVENT_KINDS.register("plan_move")
@frozen(kw_only=True)
class PlanMove(TimedEvent):
    """An operator plans a move and does not confirm it yet.

    Attributes:
        plan: Label of the plan.
        route: Route whose traffic moves.
        to_version: Release that gains the traffic.
        deadline_s: Seconds from now until the move must have finished.
        node: Node that the operator asks, empty for the first that serves.
    """

    plan: str = ref("new-plan")
    route: str = ref("route")
    to_version: str = field(validator=checks.name)
    deadline_s: float = number(1, 3_600, default=60.0)
    node: str = ref("node", default="")

    def apply(self, world: World) -> None:
        """Plan."""
        node = world.resolve_node(self.node)
        intent = move_intent(node, self.route, self.to_version, self.deadline_s)
        world.operators.plan(self.plan, intent, node)


@EVENT_KINDS.register("confirm")
@frozen(kw_only=True)
class Confirm(TimedEvent):
    """An operator confirms a plan.

    Attributes:
        plan: Label of the plan.
        node: Node that the operator asks, empty for the first that serves.
    """

    plan: str = ref("plan")
    node: str = ref("node", default="")

    def apply(self, world: World) -> None:
        """Confirm."""
        world.operators.confirm(self.plan, world.resolve_node(self.node))


@EVENT_KINDS.register("move")
@frozen(kw_only=True)
class StartMove(TimedEvent):
    """An operator plans and confirms a move.

    Attributes:
        route: Route whose traffic moves.
        to_version: Release that gains the traffic.
        deadline_s: Seconds from now until the move must have finished.
        node: Node that the operator asks, empty for the first that serves.
        plan: Label of the plan, for expectations.
    """

    route: str = ref("route")
    to_version: str = field(validator=checks.name)
    deadline_s: float = number(1, 3_600, default=60.0)
    node: str = ref("node", default="")
    plan: str = ref("new-plan", default="move")

    def apply(self, world: World) -> None:
        """Plan and confirm."""
        node = world.resolve_node(self.node)
        intent = move_intent(node, self.route, self.to_version, self.deadline_s)
        world.operators.plan(self.plan, intent, node)
        world.operators.confirm(self.plan, node)


@EVENT_KINDS.register("race")
@frozen(kw_only=True)
class Race(TimedEvent):
    """Two operators plan on the same version and confirm at the same time through two nodes.

    Attributes:
        route: Route whose time limit both change.
        left: Node of one operator; its plan has the label ``left``.
        right: Node of the other; its plan has the label ``right``.
    """

    route: str = ref("route")
    left: str = ref("node")
    right: str = ref("node")

    def apply(self, world: World) -> None:
        """Plan twice, then confirm both."""
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
        node: Node that the operator asks, empty for the first that serves.
    """

    route: str = ref("route")
    node: str = ref("node", default="")

    def apply(self, world: World) -> None:
        """Cancel."""
        world.operators.cancel(self.route, world.resolve_node(self.node))
