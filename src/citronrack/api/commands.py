"""API requests that change the configuration."""

from __future__ import annotations

from concurrent.futures import Future
from typing import Any, TypeVar

from attrs import frozen

from ..clock import Clock
from ..errors import AppendRefused, AppendUnknown, PlanConflict, PlanExpired
from ..log import Cancelled, Confirmed
from ..moves import Intent, Plan, make_plan
from ..moves.plan import plan_digest
from .gateway import NodeGateway

FOLD_TIMEOUT_S = 8.0
QUERY_TIMEOUT_S = 2.0

T = TypeVar("T")


@frozen
class CommandResult:
    """Result of a command.

    Attributes:
        result: ``accepted``, ``refused`` or ``unknown``.
        plan_id: Id of the plan, empty for other commands.
        version: Configuration version that the command created, -1 when none or unknown.
        reason: Why the command was refused, or how to query its result later.
    """

    result: str
    plan_id: str = ""
    version: int = -1
    reason: str = ""


def plan_intent(
    gateway: NodeGateway, intent: Intent, *, clock: Clock, default_profile: str
) -> Plan:
    """Compute the plan for an intent without changing anything.

    Raises:
        ConfigInvalid: When the intent does not lead to a valid configuration.
    """
    state = gateway.state().result(QUERY_TIMEOUT_S)
    return make_plan(
        intent,
        state.config,
        now_ms=clock.wall_ms(),
        default_profile=default_profile,
        capacity=gateway.capacity().result(QUERY_TIMEOUT_S),
    )


def confirm(gateway: NodeGateway, plan: Plan, *, operator: str, clock: Clock) -> CommandResult:
    """Put a plan in force.

    Raises:
        PlanConflict: When the plan was altered or is based on another version; nothing changed.
        PlanExpired: When the plan has expired; nothing changed.
    """
    _check_plan(gateway, plan, clock)
    body = Confirmed(
        plan_id=plan.plan_id,
        base_version=plan.base_version,
        change=plan.change,
        confirmed_ms=clock.wall_ms(),
        expires_ms=plan.expires_ms,
        operator=operator,
    )
    unknown = CommandResult(
        "unknown",
        plan_id=plan.plan_id,
        reason="the log did not answer; ask again with GET /v1/plans/" + plan.plan_id,
    )
    offset = _append(gateway, body)
    if offset is None:
        return unknown
    decided = _result_or_none(gateway.plan_result(plan.plan_id, offset))
    if decided is None:
        return unknown
    if not decided.accepted:
        raise PlanConflict(decided.reason)
    return CommandResult("accepted", plan_id=plan.plan_id, version=decided.offset)


def cancel(gateway: NodeGateway, move_id: str, *, operator: str) -> CommandResult:
    """Cancel an open move and return its route to the old service version.

    Raises:
        PlanConflict: When the move is not open; nothing changed.
    """
    state = gateway.state().result(QUERY_TIMEOUT_S)
    move = state.config.moves.get(move_id)
    if move is None:
        raise PlanConflict(f"move {move_id!r} is not open")
    unknown = CommandResult("unknown", reason=f"ask again with GET /v1/moves/{move_id}")
    offset = _append(gateway, Cancelled(move_id, move.epoch, operator))
    if offset is None:
        return unknown
    after = _result_or_none(gateway.state_after(offset))
    if after is None:
        return unknown
    outcome = after.outcomes.get(move_id)
    if outcome is None or outcome.result != "cancelled":
        raise PlanConflict(f"move {move_id!r} ended otherwise before it could be cancelled")
    return CommandResult("accepted", version=after.config.version)


def _check_plan(gateway: NodeGateway, plan: Plan, clock: Clock) -> None:
    if plan_digest(plan) != plan.plan_id:
        raise PlanConflict("the plan's content does not match its id")
    if clock.wall_ms() > plan.expires_ms:
        raise PlanExpired("the plan has expired; ask for a new one")
    state = gateway.state().result(QUERY_TIMEOUT_S)
    known = state.plans.get(plan.plan_id)
    if known is not None and known.accepted:
        raise PlanConflict(f"the plan is already in force since version {known.offset}")
    if state.config.version > plan.base_version:
        raise PlanConflict(
            f"the plan rests on version {plan.base_version}, "
            f"but version {state.config.version} is in force"
        )


def _append(gateway: NodeGateway, body: Any) -> int | None:
    """Return the offset of the record, or None when it is unknown whether it was appended.

    Raises:
        PlanConflict: When the record was definitely not appended.
    """
    try:
        return gateway.append(body).result(FOLD_TIMEOUT_S).offset
    except (AppendUnknown, TimeoutError):
        return None
    except AppendRefused as error:
        raise PlanConflict(f"nothing was changed: {error}") from error


def _result_or_none(answer: Future[T]) -> T | None:
    try:
        return answer.result(FOLD_TIMEOUT_S)
    except TimeoutError:
        return None
