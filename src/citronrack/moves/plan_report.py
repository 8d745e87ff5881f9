"""What a plan tells operators beside the change itself."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from attrs import frozen

from ..config import ConfigSet, Move, Route
from .capacity import CapacityView
from .evidence import BUCKET_MS
from .policy import InsufficientEvidenceAction, Policy

_ACTION_TEXTS = {
    InsufficientEvidenceAction.FINISH: "the move finishes",
    InsufficientEvidenceAction.TAKE_BACK: "the move is taken back",
}


@frozen
class Guard:
    """How a move is judged.

    Attributes:
        move_id: The move.
        profile: Name of the policy.
        unproven_share: Largest share before the first step is cleared, in each zone.
        min_calls: Compared calls of the new version that clear a step, in each zone.
        false_alarm_chance: Largest chance that a good version is taken back.
        slow_margin: A call slower than this many times the old version's 90% quantile is slow.
        watch_ms: Time for which the new version is watched after it got all calls.
        with_too_little_evidence: What happens at the deadline.
    """

    move_id: str
    profile: str
    unproven_share: float
    min_calls: int
    false_alarm_chance: float
    slow_margin: float
    watch_ms: int
    with_too_little_evidence: str


@frozen
class Resource:
    """Targets that a move needs.

    Attributes:
        service: Name of the service.
        service_version: Release.
        targets: Live targets, -1 when unknown.
        slots: Calls that they run at once, together, -1 when unknown.
    """

    service: str
    service_version: str
    targets: int
    slots: int


def guards(moves: Sequence[Move], policy: Policy) -> Iterator[Guard]:
    """Yield how each move is judged."""
    for move in moves:
        yield Guard(
            move_id=move.move_id,
            profile=move.profile,
            unproven_share=policy.unproven_share,
            min_calls=policy.min_calls,
            false_alarm_chance=policy.alpha,
            slow_margin=policy.slow_margin,
            watch_ms=policy.watch_ms,
            with_too_little_evidence=_ACTION_TEXTS[policy.insufficient_evidence_action],
        )


def resources(
    result: ConfigSet, moves: Sequence[Move], capacity: CapacityView
) -> Iterator[Resource]:
    """Yield the targets of both versions of each move."""
    wanted = {
        (result.routes[move.route].service, version): None
        for move in moves
        for version in (move.from_version, move.to_version)
    }
    for service, version in wanted:
        known = capacity(service, version)
        if known is None:
            yield Resource(service, version, -1, -1)
        else:
            yield Resource(service, version, known.targets, known.slots)


def differences(base: ConfigSet, result: ConfigSet) -> Iterator[str]:
    """Yield one line per entry that is added, removed or changed."""
    for kind in ("services", "routes", "moves"):
        old, new = getattr(base, kind), getattr(result, kind)
        yield from (f"add {kind[:-1]} {name!r}" for name in new if name not in old)
        yield from (f"remove {kind[:-1]} {name!r}" for name in old if name not in new)
        yield from (
            f"change {kind[:-1]} {name!r}" for name in new if name in old and new[name] != old[name]
        )


def warnings(
    base: ConfigSet,
    result: ConfigSet,
    moves: Sequence[Move],
    policy: Policy,
    capacity: CapacityView,
) -> Iterator[str]:
    """Yield one line per thing that may go wrong."""
    for move in moves:
        yield from _move_warnings(result, move, policy, capacity)
    for route in result.routes.values():
        before = base.routes.get(route.name)
        if before is not None and _changes_version_at_once(before, route):
            yield (
                f"route {route.name!r} changes from {before.service_version!r} to "
                f"{route.service_version!r} at once and is not watched; use a move"
            )
    yield from _removed_version_warnings(base, result, capacity)


def _changes_version_at_once(before: Route, after: Route) -> bool:
    same_service = before.service == after.service
    return same_service and before.service_version != after.service_version


def _move_warnings(
    result: ConfigSet, move: Move, policy: Policy, capacity: CapacityView
) -> Iterator[str]:
    service = result.routes[move.route].service
    new = capacity(service, move.to_version)
    if new is not None and new.targets == 0:
        yield f"{service} {move.to_version} has no target; it gets no calls until one is announced"
    old = capacity(service, move.from_version)
    if old is None or new is None:
        return
    if old.targets == 0:
        yield f"{service} {move.from_version} has no target; nothing can be taken back to it"
    if 0 < new.slots < old.load:
        yield (
            f"{service} {move.to_version} has {new.slots} slots, but {old.load} calls are in "
            f"flight at {move.from_version}"
        )
    yield from _evidence_warnings(move, policy, old.calls_per_second)


def _evidence_warnings(move: Move, policy: Policy, calls_per_second: float) -> Iterator[str]:
    """Compare the time of the first step with the time that its evidence takes."""
    if calls_per_second <= 0 or len(move.steps) < 2:
        return
    settle_s = 2 * BUCKET_MS / 1000 + policy.evidence_interval_s
    needed_s = policy.min_calls / (calls_per_second * move.unproven_share) + settle_s
    first_s = (move.steps[1].at_ms - move.steps[0].at_ms) / 1000
    if needed_s > first_s:
        yield (
            f"move {move.move_id!r}: at {calls_per_second:g} calls/s the first step needs about "
            f"{needed_s:.0f} s of evidence but lasts {first_s:.0f} s; the deadline is too short"
        )


def _removed_version_warnings(
    base: ConfigSet, result: ConfigSet, capacity: CapacityView
) -> Iterator[str]:
    for service in base.services.values():
        kept = result.services.get(service.name)
        for version in service.versions:
            if kept is not None and version in kept.versions:
                continue
            known = capacity(service.name, version)
            if known is not None and known.targets > 0:
                yield (
                    f"{service.name} {version} is removed but {known.targets} targets still "
                    "serve it"
                )
