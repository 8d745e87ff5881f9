"""What an operator wants."""

from __future__ import annotations

from attrs import frozen

from ..config import Route, Service


@frozen
class MoveIntent:
    """Traffic of a route should move to another service version.

    Attributes:
        route: Name of the route.
        to_version: Release that should serve it.
        deadline_ms: Wall time by which the move must have finished.
        start_ms: Wall time of the first step, 0 for at once.
    """

    route: str
    to_version: str
    deadline_ms: int
    start_ms: int = 0


@frozen
class Intent:
    """What an operator wants to change.

    Attributes:
        services: Services to add or replace.
        routes: Routes to add or replace.
        moves: Traffic to shift.
        remove_services: Names of services to remove.
        remove_routes: Names of routes to remove.
        profile: Policy that judges the moves, empty for the node's default.
    """

    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
    moves: tuple[MoveIntent, ...] = ()
    remove_services: tuple[str, ...] = ()
    remove_routes: tuple[str, ...] = ()
    profile: str = ""
