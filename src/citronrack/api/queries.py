"""Read-only API requests."""

from __future__ import annotations

from attrs import frozen

from ..config import Move
from ..log import MoveOutcome
from ..log.fold import FoldState
from ..node.status import MeshStatus
from .commands import QUERY_TIMEOUT_S, CommandResult
from .gateway import NodeGateway


@frozen
class MoveStatus:
    """State of one move.

    Attributes:
        move_id: The move.
        state: ``open`` or the outcome's result.
        move: Definition of the move while it is open.
        outcome: How the move ended, or what an open move still waits for.
    """

    move_id: str
    state: str
    move: Move | None = None
    outcome: MoveOutcome | None = None


def status(gateway: NodeGateway) -> MeshStatus:
    """Return the status of the node and the mesh."""
    return gateway.status().result(QUERY_TIMEOUT_S)


def plan(gateway: NodeGateway, plan_id: str) -> CommandResult:
    """Return the result of a plan, as far as this node has read the log."""
    state = gateway.state().result(QUERY_TIMEOUT_S)
    known = state.plans.get(plan_id)
    if known is None:
        return CommandResult(
            "unknown",
            plan_id=plan_id,
            reason=f"no record of the plan below offset {state.next_offset}",
        )
    result = "accepted" if known.accepted else "refused"
    version = known.offset if known.accepted else -1
    return CommandResult(result, plan_id=plan_id, version=version, reason=known.reason)


def moves(gateway: NodeGateway) -> tuple[MoveStatus, ...]:
    """Return all open moves and the latest outcomes."""
    state = gateway.state().result(QUERY_TIMEOUT_S)
    names = [
        *state.config.moves,
        *(name for name in state.outcomes if name not in state.config.moves),
    ]
    found = (_move(state, name) for name in names)
    return tuple(entry for entry in found if entry is not None)


def move(gateway: NodeGateway, move_id: str) -> MoveStatus | None:
    """Return one move, or None when the move is unknown."""
    return _move(gateway.state().result(QUERY_TIMEOUT_S), move_id)


def _move(state: FoldState, move_id: str) -> MoveStatus | None:
    definition = state.config.moves.get(move_id)
    outcome = state.outcomes.get(move_id)
    if definition is not None:
        return MoveStatus(move_id, "open", definition, outcome)
    if outcome is not None:
        return MoveStatus(move_id, outcome.result, None, outcome)
    return None
