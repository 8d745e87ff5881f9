"""Intents: changes that an operator asks for."""

from __future__ import annotations

from attrs import frozen

from ..config import Route, Service


@frozen
class MoveIntent:
    """A request to shift the traffic of a route to another service version.

    Attributes:
        route: Name of the route.
        to_version: Service version that should receive the traffic.
        deadline_ms: Wall time by which the move must have finished.
        start_ms: Wall time of the first step, 0 to start immediately.
    """

    route: str
    to_version: str
    deadline_ms: int
    start_ms: int = 0


@frozen
class Intent:
    """A requested change of the configuration.

    Attributes:
        services: Services to add or replace.
        routes: Routes to add or replace.
        moves: Traffic to shift.
        remove_services: Names of services to remove.
        remove_routes: Names of routes to remove.
        profile: Name of the policy for the moves, empty for the node's default.
    """

    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
    moves: tuple[MoveIntent, ...] = ()
    remove_services: tuple[str, ...] = ()
    remove_routes: tuple[str, ...] = ()
    profile: str = ""
