"""Immutable routing state of the call path, replaced as a whole by the control task."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from attrs import Factory, field, frozen

from ..config import ConfigSet, KeyIndex, Route
from .confirmation import Confirmation
from .notice import TargetProcess


@frozen
class PoolTarget:
    """A target that may be chosen.

    Attributes:
        name: Name of the target's node.
        deliver_address: ``(ip, port)`` of that node's deliver listener.
        availability_zone: Zone of the target.
        slots: Number of calls that it runs at once.
        load: Last reported number of calls in flight or waiting.
        load_age_s: Age of that report when the view was made, in seconds.
        target_id: Id of the target's process; statistics of an earlier process are discarded.
        limit_per_s: Calls a second that it takes from all nodes together, None without a limit.
        started_ms: Wall time of the start of the target's process, 0 when it is unknown.
    """

    name: str
    deliver_address: tuple[str, int]
    availability_zone: str
    slots: int
    load: int = 0
    load_age_s: float = 0.0
    target_id: str = ""
    limit_per_s: float | None = None
    started_ms: int = 0

    @property
    def process(self) -> TargetProcess:
        """Identifies the target's process; a restarted target may keep its id."""
        return self.target_id, self.started_ms


@frozen
class RouteShare:
    """Division of a route's calls between two service versions during a move.

    Attributes:
        move_id: The move, empty outside of moves.
        from_version: Old version, which gets the remaining calls.
        to_version: New version, which gets ``share`` of the calls.
        share: Fraction of the calls, 0 to 1.
    """

    move_id: str
    from_version: str
    to_version: str
    share: float


class RouteIndex:
    """Index for longest-prefix matching of routes.

    Routes are indexed by host and by the first segment of their prefix, so a lookup compares only a
    few of the thousand routes that a configuration may have.

    Args:
        routes: All routes.
    """

    def __init__(self, routes: Iterable[Route] = ()) -> None:
        self._routes: dict[tuple[str, str], list[Route]] = {}
        for route in sorted(routes, key=lambda entry: len(entry.prefix), reverse=True):
            key = (route.host, _first_segment(route.prefix))
            self._routes.setdefault(key, []).append(route)

    def find(self, path: str, host: str) -> Route | None:
        """Return the route with the longest prefix of ``path``, None when there is none.

        A route for the host takes precedence over one for all hosts.
        """
        for key in _lookup_keys(path, host):
            for route in self._routes.get(key, ()):
                if path.startswith(route.prefix):
                    return route
        return None


def _first_segment(prefix: str) -> str:
    """Return the first segment if the prefix contains it completely, empty otherwise."""
    head, slash, _ = prefix[1:].partition("/")
    return head if slash else ""


def _lookup_keys(path: str, host: str) -> Iterable[tuple[str, str]]:
    segment = path.split("?", 1)[0][1:].partition("/")[0]
    hosts = (host, "") if host else ("",)
    for name in hosts:
        yield name, segment
        if segment:
            yield name, ""


@frozen
class RoutingView:
    """An immutable snapshot of the routing state.

    Attributes:
        ready: Whether calls are served.
        reason: Why calls are not served, empty if they are.
        config: The configuration in force.
        shares: Division of calls by route name, for routes with a move.
        pools: Targets by service and service version.
        index: Index of the routes.
        service_shares: Division of calls by service, for services whose routes all move together.
        complete: Whether ``config`` was known to be the newest when the view was made.
        keys: Index of the keys in ``config``.
        confirmation: How recently ``config`` was known to be the newest.
    """

    ready: bool = False
    reason: str = "the node has just started"
    config: ConfigSet = field(factory=ConfigSet)
    shares: Mapping[str, RouteShare] = field(factory=dict)
    pools: Mapping[tuple[str, str], tuple[PoolTarget, ...]] = field(factory=dict)
    index: RouteIndex = field(factory=RouteIndex)
    service_shares: Mapping[str, RouteShare] = field(factory=dict)
    complete: bool = True
    keys: KeyIndex = field(
        default=Factory(lambda self: KeyIndex(self.config.workspaces.values()), takes_self=True)
    )
    confirmation: Confirmation = field(factory=Confirmation)

    @property
    def is_newest(self) -> bool:
        """Whether what ``config`` lacks cannot be in a newer one on which callers may rely."""
        return self.complete and self.confirmation.is_recent

    def route_of(self, path: str, host: str = "") -> Route | None:
        """Return the route with the longest prefix of ``path``, None when there is none.

        Args:
            path: Path of the request.
            host: Host of the request; a route without a host serves all hosts.
        """
        return self.index.find(path, host)

    def is_idempotent(self, route: Route | None, service: str, method: str) -> bool:
        """Return whether a request may run more than once.

        Args:
            route: Route of the request; its setting overrides the methods of the service.
            service: Service that gets the request.
            method: Method in upper case.
        """
        if route is not None and route.idempotent is not None:
            return route.idempotent
        known = self.config.services.get(service)
        return known is not None and method in known.idempotent_methods

    def share_of(self, route: Route, service: str) -> RouteShare | None:
        """Return the division of a route's calls to a service, None without a move."""
        return self.shares.get(route.name) or self.service_shares.get(service)


class ViewHolder:
    """Reference to the current view; assignment is atomic."""

    def __init__(self) -> None:
        self.current = RoutingView()
