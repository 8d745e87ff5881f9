"""Validation of configuration sets: references between entries, limits and ramps."""

from __future__ import annotations

from collections.abc import Iterator

from .model import ConfigSet, Move, Route, Service

MAX_TIMEOUT_MS = 600_000
MAX_CONCURRENCY = 1_000
MAX_STEPS = 64
MAX_NAME_LENGTH = 128


def find_faults(config: ConfigSet) -> list[str]:
    """Return one line per fault of ``config``, an empty list if it is valid."""
    faults: list[str] = []
    for service in config.services.values():
        faults.extend(_service_faults(service))
    for route in config.routes.values():
        faults.extend(_route_faults(config, route))
    for move in config.moves.values():
        faults.extend(_move_faults(config, move))
    faults.extend(_shared_prefixes(config))
    faults.extend(_routes_with_two_moves(config))
    return faults


def _service_faults(service: Service) -> Iterator[str]:
    where = f"service {service.name!r}"
    if not 0 < len(service.name) <= MAX_NAME_LENGTH:
        yield f"{where}: name must have 1 to {MAX_NAME_LENGTH} characters"
    if not service.versions:
        yield f"{where}: has no versions"
    for name, version in service.versions.items():
        if name != version.name:
            yield f"{where}: version {version.name!r} is listed as {name!r}"
        if not 1 <= version.max_concurrency <= MAX_CONCURRENCY:
            yield f"{where}: max_concurrency of {name!r} must be 1 to {MAX_CONCURRENCY}"
    if not 1 <= service.connect_timeout_ms <= MAX_TIMEOUT_MS:
        yield f"{where}: connect_timeout_ms must be 1 to {MAX_TIMEOUT_MS}"


def _route_faults(config: ConfigSet, route: Route) -> Iterator[str]:
    where = f"route {route.name!r}"
    if not 0 < len(route.name) <= MAX_NAME_LENGTH:
        yield f"{where}: name must have 1 to {MAX_NAME_LENGTH} characters"
    if not route.prefix.startswith("/"):
        yield f"{where}: prefix {route.prefix!r} must start with '/'"
    if not 1 <= route.timeout_ms <= MAX_TIMEOUT_MS:
        yield f"{where}: timeout_ms must be 1 to {MAX_TIMEOUT_MS}"
    if not 1 <= route.weight <= MAX_CONCURRENCY:
        yield f"{where}: weight must be 1 to {MAX_CONCURRENCY}"
    service = config.services.get(route.service)
    if service is None:
        yield f"{where}: service {route.service!r} does not exist"
    elif route.service_version not in service.versions:
        yield f"{where}: service {route.service!r} has no version {route.service_version!r}"


def _move_faults(config: ConfigSet, move: Move) -> Iterator[str]:
    where = f"move {move.move_id!r}"
    route = config.routes.get(move.route)
    if route is None:
        yield f"{where}: route {move.route!r} does not exist"
    else:
        yield from _move_version_faults(config, move, route, where)
    yield from _ramp_faults(move, where)


def _move_version_faults(config: ConfigSet, move: Move, route: Route, where: str) -> Iterator[str]:
    service = config.services.get(route.service)
    known = service.versions if service is not None else {}
    for name in (move.from_version, move.to_version):
        if name not in known:
            yield f"{where}: service {route.service!r} has no version {name!r}"
    if move.from_version == move.to_version:
        yield f"{where}: from_version and to_version are both {move.to_version!r}"
    if route.service_version != move.from_version:
        yield f"{where}: route {route.name!r} is served by {route.service_version!r}"


def _ramp_faults(move: Move, where: str) -> Iterator[str]:
    if not 0 < move.unproven_share <= 1:
        yield f"{where}: unproven_share must be above 0 and at most 1"
    if move.deadline_ms <= move.start_ms:
        yield f"{where}: deadline_ms must be after start_ms"
    if not 1 <= len(move.steps) <= MAX_STEPS:
        yield f"{where}: must have 1 to {MAX_STEPS} steps"
        return
    pairs = list(zip(move.steps, move.steps[1:], strict=False))
    if any(later.at_ms <= earlier.at_ms for earlier, later in pairs):
        yield f"{where}: steps must be in order of time"
    if any(later.share <= earlier.share for earlier, later in pairs):
        yield f"{where}: shares must grow from step to step"
    if any(not 0 < step.share <= 1 for step in move.steps):
        yield f"{where}: shares must be above 0 and at most 1"
    if move.steps[-1].share != 1:
        yield f"{where}: the last share must be 1"
    if move.steps[0].at_ms < move.start_ms or move.steps[-1].at_ms > move.deadline_ms:
        yield f"{where}: steps must lie between start_ms and deadline_ms"


def _shared_prefixes(config: ConfigSet) -> Iterator[str]:
    owners: dict[str, str] = {}
    for route in config.routes.values():
        other = owners.setdefault(route.prefix, route.name)
        if other != route.name:
            yield f"routes {other!r} and {route.name!r} have the same prefix {route.prefix!r}"


def _routes_with_two_moves(config: ConfigSet) -> Iterator[str]:
    owners: dict[str, str] = {}
    for move in config.moves.values():
        other = owners.setdefault(move.route, move.move_id)
        if other != move.move_id:
            yield f"route {move.route!r} has two moves: {other!r} and {move.move_id!r}"
