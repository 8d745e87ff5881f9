"""Plans: what an intent would change, step by step."""

from __future__ import annotations

import hashlib

import attrs
from attrs import frozen

from ..codec import encode
from ..config import Change, ConfigSet, Move, Step, apply_change
from ..errors import ConfigInvalid
from .intent import Intent, MoveIntent

PLAN_LIFETIME_MS = 10 * 60 * 1000
RAMP_SHARES = (0.05, 0.25, 0.5, 1.0)
UNPROVEN_SHARE = 0.05


@frozen
class Plan:
    """A self-contained description of a change; nothing happens until it is confirmed.

    Attributes:
        plan_id: Digest of all other fields.
        base_version: Configuration version that the plan rests on.
        made_ms: Wall time at which it was made.
        expires_ms: Wall time after which it cannot be confirmed.
        change: What it puts and removes.
        differences: What changes against the present, for people.
        warnings: What may go wrong, for people.
    """

    plan_id: str
    base_version: int
    made_ms: int
    expires_ms: int
    change: Change
    differences: tuple[str, ...] = ()
    warnings: tuple[str, ...] = ()


def plan_digest(plan: Plan) -> str:
    """Return the id that belongs to the plan's content."""
    content = encode(attrs.evolve(plan, plan_id=""))
    return hashlib.blake2b(content, digest_size=16).hexdigest()


def make_plan(intent: Intent, base: ConfigSet, *, now_ms: int, default_profile: str) -> Plan:
    """Return the plan for ``intent``.

    Args:
        intent: What the operator wants.
        base: Configuration in force.
        now_ms: Wall time.
        default_profile: Policy for moves when the intent names none.

    Raises:
        ConfigInvalid: When the intent cannot lead to a valid configuration.
    """
    profile = intent.profile or default_profile
    change = Change(
        put_services=intent.services,
        put_routes=intent.routes,
        put_moves=tuple(_move(move, base, now_ms, profile) for move in intent.moves),
        remove_services=intent.remove_services,
        remove_routes=intent.remove_routes,
    )
    result = apply_change(base, change, version=base.version + 1)
    plan = Plan(
        plan_id="",
        base_version=base.version,
        made_ms=now_ms,
        expires_ms=now_ms + PLAN_LIFETIME_MS,
        change=change,
        differences=tuple(_differences(base, result)),
    )
    return attrs.evolve(plan, plan_id=plan_digest(plan))


def _move(move: MoveIntent, base: ConfigSet, now_ms: int, profile: str) -> Move:
    route = base.routes.get(move.route)
    if route is None:
        raise ConfigInvalid([f"route {move.route!r} does not exist"])
    start_ms = move.start_ms or now_ms
    span = max(move.deadline_ms - start_ms, 0)
    steps = tuple(
        Step(share, start_ms + span * index // len(RAMP_SHARES))
        for index, share in enumerate(RAMP_SHARES)
    )
    return Move(
        move_id=f"{move.route}-{move.to_version}-{start_ms}",
        route=move.route,
        from_version=route.service_version,
        to_version=move.to_version,
        start_ms=start_ms,
        deadline_ms=move.deadline_ms,
        steps=steps,
        unproven_share=UNPROVEN_SHARE,
        profile=profile,
    )


def _differences(base: ConfigSet, result: ConfigSet) -> list[str]:
    lines: list[str] = []
    for kind in ("services", "routes", "moves"):
        old, new = getattr(base, kind), getattr(result, kind)
        lines.extend(f"add {kind[:-1]} {name!r}" for name in new if name not in old)
        lines.extend(f"remove {kind[:-1]} {name!r}" for name in old if name not in new)
        lines.extend(
            f"change {kind[:-1]} {name!r}" for name in new if name in old and new[name] != old[name]
        )
    return lines
