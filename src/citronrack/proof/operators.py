"""Simulated operators that plan, confirm and cancel through a node, as the API does."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import Future
from typing import Any, Protocol

from attrs import define

from ..errors import ConfigInvalid
from ..log import Cancelled, Confirmed
from ..log.fold import PlanState
from ..moves import Intent, Plan, make_plan
from ..node.mail import AppendDone, PlanAwaited
from .sim_node import SimNode
from .timeline import Timeline


@define
class TrackedPlan:
    """A plan and its result, as far as the operator knows it.

    Attributes:
        plan: The plan, None when it could not be computed.
        result: ``planned``, ``refused``, ``waiting``, ``accepted`` or ``unknown``.
        reason: Why the result is ``refused`` or ``unknown``.
        version: Configuration version that the plan created, -1 for none.
    """

    plan: Plan | None = None
    result: str = "refused"
    reason: str = ""
    version: int = -1


class OperatorWorld(Protocol):
    """Part of the world that operators use."""

    timeline: Timeline


class Operators:
    """Makes and confirms the plans of a scenario, and stores them by label.

    Args:
        world: The simulated mesh.
        profile: Default policy for moves.
    """

    def __init__(self, world: OperatorWorld, *, profile: str) -> None:
        self._world = world
        self._profile = profile
        self.plans: dict[str, TrackedPlan] = {}
        self.moves: dict[str, str] = {}

    def plan(self, label: str, intent: Intent, node: SimNode) -> TrackedPlan:
        """Compute a plan from the configuration version that a node holds."""
        tracked = self.plans[label] = TrackedPlan()
        base = node.core.fold.config
        if not node.serving:
            tracked.reason = "the node does not answer"
            return tracked
        now_ms = node.clock.wall_ms()
        try:
            tracked.plan = make_plan(intent, base, now_ms=now_ms, default_profile=self._profile)
        except ConfigInvalid as error:
            tracked.reason = str(error)
            return tracked
        tracked.result = "planned"
        for move in tracked.plan.change.put_moves:
            self.moves[move.route] = move.move_id
        return tracked

    def confirm(self, label: str, node: SimNode) -> None:
        """Confirm a plan through a node; the result is stored in its `TrackedPlan` later."""
        tracked = self.plans[label]
        plan = tracked.plan
        if plan is None:
            return
        if not node.serving:
            tracked.result, tracked.reason = "unknown", "the node does not answer"
            return
        tracked.result = "waiting"
        body = Confirmed(
            plan_id=plan.plan_id,
            base_version=plan.base_version,
            change=plan.change,
            confirmed_ms=node.clock.wall_ms(),
            expires_ms=plan.expires_ms,
            operator=label,
        )
        node.appender.submit(body, self._after_append(tracked, plan, node))

    def cancel(self, route: str, node: SimNode) -> None:
        """Cancel the open move of a route, if the node knows one."""
        move = node.core.fold.config.move_of_route(route)
        if move is not None:
            body = Cancelled(move.move_id, move.epoch, "operator")
            node.appender.submit(body, lambda result: None)

    def _after_append(
        self, tracked: TrackedPlan, plan: Plan, node: SimNode
    ) -> Callable[[AppendDone], None]:
        def on_appended(result: AppendDone) -> None:
            if result.offset is None:
                tracked.result, tracked.reason = "unknown", result.reason
                return
            answer: Future[PlanState] = Future()
            answer.add_done_callback(on_decided)
            node.post(PlanAwaited(plan.plan_id, result.offset, answer))

        def on_decided(answer: Future[Any]) -> None:
            state: PlanState = answer.result()
            tracked.result = "accepted" if state.accepted else "refused"
            tracked.reason = state.reason
            tracked.version = state.offset if state.accepted else -1

        return on_appended
