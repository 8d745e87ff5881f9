"""Plans: what an intent would change, step by step."""

from __future__ import annotations

import hashlib

import attrs
from attrs import frozen

from ..codec import encode
from ..config import Change, ConfigSet, Move, Step, apply_change
from ..errors import ConfigInvalid
from .capacity import CapacityView, unknown_capacity
from .intent import Intent, MoveIntent
from .plan_report import Guard, Resource, differences, guards, resources, warnings
from .policy import Policy, profiles

PLAN_LIFETIME_MS = 10 * 60 * 1000


@frozen
class Plan:
    """A self-contained description of a change; nothing happens until it is confirmed.

    Attributes:
        plan_id: Digest of all other fields.
        base_version: Configuration version that the plan rests on.
        made_ms: Wall time at which it was made.
        expires_ms: Wall time after which it cannot be confirmed.
        change: What it puts and removes, with the exact times and shares of each move's steps.
        differences: What changes against the present, for people.
        warnings: What may go wrong, for people.
        guards: How each move is judged.
        resources: Targets of the service versions that the moves need.
    """

    plan_id: str
    base_version: int
    made_ms: int
    expires_ms: int
    change: Change
    differences: tuple[str, ...] = ()
    warnings: tuple[str, ...] = ()
    guards: tuple[Guard, ...] = ()
    resources: tuple[Resource, ...] = ()


def plan_digest(plan: Plan) -> str:
    """Return the id that belongs to the plan's content."""
    content = encode(attrs.evolve(plan, plan_id=""))
    return hashlib.blake2b(content, digest_size=16).hexdigest()


def make_plan(
    intent: Intent,
    base: ConfigSet,
    *,
    now_ms: int,
    default_profile: str,
    capacity: CapacityView = unknown_capacity,
) -> Plan:
    """Return the plan for ``intent``; the same arguments give the same plan.

    Args:
        intent: What the operator wants.
        base: Configuration in force.
        now_ms: Wall time.
        default_profile: Policy for moves when the intent names none.
        capacity: Returns what is known about a service version's targets.

    Raises:
        ConfigInvalid: When the intent cannot lead to a valid configuration.
    """
    profile = intent.profile or default_profile
    if profile not in profiles:
        raise ConfigInvalid([f"unknown profile {profile!r}; known: {', '.join(profiles)}"])
    policy = profiles.get(profile)
    moves = tuple(_move(move, intent, base, now_ms, profile) for move in intent.moves)
    change = Change(
        put_services=intent.services,
        put_routes=intent.routes,
        put_moves=moves,
        remove_services=intent.remove_services,
        remove_routes=intent.remove_routes,
    )
    result = apply_change(base, change, version=base.version + 1)
    plan = Plan(
        plan_id="",
        base_version=base.version,
        made_ms=now_ms,
        expires_ms=_expiry(moves, now_ms),
        change=change,
        differences=tuple(differences(base, result)),
        warnings=tuple(warnings(base, result, moves, policy, capacity)),
        guards=tuple(guards(moves, policy)),
        resources=tuple(resources(result, moves, capacity)),
    )
    return attrs.evolve(plan, plan_id=plan_digest(plan))


def ramp(policy: Policy, *, start_ms: int, deadline_ms: int) -> tuple[Step, ...]:
    """Return the steps of a move between two wall times."""
    span = max(deadline_ms - start_ms, 0)
    return tuple(Step(step.share, start_ms + int(span * step.at)) for step in policy.ramp)


def _expiry(moves: tuple[Move, ...], now_ms: int) -> int:
    """A plan whose moves would already be over cannot be confirmed."""
    return min([now_ms + PLAN_LIFETIME_MS, *(move.deadline_ms for move in moves)])


def _move(move: MoveIntent, intent: Intent, base: ConfigSet, now_ms: int, profile: str) -> Move:
    put = {route.name: route for route in intent.routes}
    route = put.get(move.route) or base.routes.get(move.route)
    if route is None:
        raise ConfigInvalid([f"route {move.route!r} does not exist"])
    start_ms = move.start_ms or now_ms
    policy = profiles.get(profile)
    return Move(
        move_id=f"{move.route}-{move.to_version}-{start_ms}",
        route=move.route,
        from_version=route.service_version,
        to_version=move.to_version,
        start_ms=start_ms,
        deadline_ms=move.deadline_ms,
        steps=ramp(policy, start_ms=start_ms, deadline_ms=move.deadline_ms),
        unproven_share=policy.unproven_share,
        profile=profile,
    )
