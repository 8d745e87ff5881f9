"""The configuration model."""

from __future__ import annotations

from attrs import field, frozen

DEFAULT_MAX_CONCURRENCY = 6  # slots per worker
DEFAULT_CONNECT_TIMEOUT_MS = 250
DEFAULT_ROUTE_TIMEOUT_MS = 5_000
IDEMPOTENT_METHODS = ("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE")  # RFC 9110, 9.2.2


@frozen
class ServiceVersion:
    """One release of a service.

    Attributes:
        name: Release name, unique within its service.
        max_concurrency: Calls that one target of this release runs concurrently.
    """

    name: str
    max_concurrency: int = DEFAULT_MAX_CONCURRENCY


@frozen
class Service:
    """A backend service and its releases.

    Attributes:
        name: Unique name.
        versions: Releases by name.
        connect_timeout_ms: Timeout for opening a connection to a target.
        idempotent_methods: Methods that may be retried after a failure.
        cold_start_s: Time for which a target is cold after its start, in seconds; 0 for none.
        cold_per_s: Calls a second that a cold target tolerates, 0 if its targets are never cold.
    """

    name: str
    versions: dict[str, ServiceVersion] = field(factory=dict)
    connect_timeout_ms: int = DEFAULT_CONNECT_TIMEOUT_MS
    idempotent_methods: tuple[str, ...] = IDEMPOTENT_METHODS
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


@frozen
class SplitPart:
    """A weighted service in the traffic split of a route.

    Attributes:
        service: Name of the service.
        weight: Share of the calls, relative to the other weights.
    """

    service: str
    weight: int


@frozen
class Route:
    """Maps a path prefix to a service version.

    Attributes:
        name: Unique name.
        prefix: Path prefix, starts with ``/``; the longest match wins.
        service: Name of the service that serves the route.
        service_version: Release that serves the route outside of moves.
        timeout_ms: Timeout for a whole call.
        weight: Share of a target's slots under overload, relative to other routes.
        host: Host that the route matches, empty for all.
        idempotent: Whether a call may run more than once, None to decide by its method.
        max_attempts: Maximum number of targets tried per call, 0 for no limit by the route.
        target_latency_ms: Latency objective of the route, 0 for none.
        priority: Priority under overload; 0 is the highest.
        split: Services that share the calls by weight, in place of ``service``.
        public: Whether callers need no key of a workspace.
        large_answers: Whether answers are large, such as downloads.
    """

    name: str
    prefix: str
    service: str
    service_version: str
    timeout_ms: int = DEFAULT_ROUTE_TIMEOUT_MS
    weight: int = 1
    host: str = ""
    idempotent: bool | None = None
    max_attempts: int = 0
    target_latency_ms: int = 0
    priority: int = 0
    split: tuple[SplitPart, ...] = ()
    public: bool = False
    large_answers: bool = False


@frozen
class Workspace:
    """A group of callers that share keys, a rate limit and a priority.

    Attributes:
        name: Unique name, fit for a header.
        key_digests: Digests of its keys, see `KeyDigester`; they differ between processes.
        rate_per_s: Requests a second over all nodes together, 0 for no limit.
        burst: Requests beyond the rate that may come at once.
        priority: Priority under overload, which goes before that of the route; 0 is the highest.
    """

    name: str
    key_digests: frozenset[bytes] = field(default=frozenset(), repr=False)
    rate_per_s: float = 0.0
    burst: float = 0.0
    priority: int | None = None


@frozen
class Step:
    """A step of a move's ramp: from ``at_ms`` on, the new version gets ``share``.

    Attributes:
        share: Fraction of the route's calls, 0 to 1.
        at_ms: Wall time in milliseconds since the Unix epoch.
    """

    share: float
    at_ms: int


@frozen
class Move:
    """The shift of a route's traffic from one service version to another.

    Attributes:
        move_id: Unique id, taken from the plan.
        route: Name of the route.
        from_version: Release that loses the traffic.
        to_version: Release that gains it.
        start_ms: Wall time of the first step.
        deadline_ms: Wall time by which the move must have finished.
        steps: The ramp, by time; the last share is 1.
        unproven_share: Maximum share before the first step is cleared.
        profile: Name of the policy that evaluates the move.
        epoch: Configuration version that confirmed the move, 0 before that.
    """

    move_id: str
    route: str
    from_version: str
    to_version: str
    start_ms: int
    deadline_ms: int
    steps: tuple[Step, ...]
    unproven_share: float
    profile: str
    epoch: int = 0


@frozen
class ConfigSet:
    """A complete configuration at one version.

    Attributes:
        version: Log offset of the record that created it, -1 for the empty set.
        services: Services by name.
        routes: Routes by name.
        moves: Undecided moves by id.
        workspaces: Workspaces by name; without any, callers need no key.
    """

    version: int = -1
    services: dict[str, Service] = field(factory=dict)
    routes: dict[str, Route] = field(factory=dict)
    moves: dict[str, Move] = field(factory=dict)
    workspaces: dict[str, Workspace] = field(factory=dict)

    def move_of_route(self, route: str) -> Move | None:
        """Return the undecided move of ``route``, None if there is none."""
        for move in self.moves.values():
            if move.route == route:
                return move
        return None
