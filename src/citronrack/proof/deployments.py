"""The two deployments that scenarios run on, with the sizes of section 2.3 of the design page."""

from __future__ import annotations

from attrs import frozen

from ..registry import Registry


@frozen
class RouteLoad:
    """A route and the load that callers put on it.

    Attributes:
        name: Name of the route.
        prefix: Path prefix.
        method: HTTP method of the calls.
        weight: Share of all calls, relative to the other routes.
    """

    name: str
    prefix: str
    method: str
    weight: int


@frozen
class ServiceSpec:
    """A service of a deployment.

    Attributes:
        name: Name of the service.
        service_version: Service version that runs at the start.
        workers: Number of targets.
        work_ms: Mean processing time of a call in milliseconds.
        routes: Routes of the service.
    """

    name: str
    service_version: str
    workers: int
    work_ms: float
    routes: tuple[RouteLoad, ...]


@frozen
class Deployment:
    """Zones, services and links of one organisation.

    Attributes:
        profile: Policy for moves.
        zones: Availability zones.
        services: Services.
        slots: Calls that a target runs concurrently.
        link_ms: One-way delay between zones in milliseconds.
        caller_ms: One-way delay between callers and nodes in milliseconds.
    """

    profile: str
    zones: tuple[str, ...]
    services: tuple[ServiceSpec, ...]
    slots: int
    link_ms: float
    caller_ms: float = 1.0


DEPLOYMENTS: Registry[Deployment] = Registry("deployment")

SPOORHOUT = DEPLOYMENTS.register("spoorhout")(
    Deployment(
        profile="spoorhout",
        zones=("lowlands-a", "lowlands-b", "lowlands-c"),
        services=(
            ServiceSpec(
                "catalogue",
                "2.4.1",
                8,
                20.0,
                (
                    RouteLoad("lookups", "/parts", "GET", 6),
                    RouteLoad("orders", "/orders", "POST", 2),
                ),
            ),
            ServiceSpec(
                "media",
                "1.8.0",
                3,
                60.0,
                (
                    RouteLoad("photos", "/photos", "PUT", 1),
                    RouteLoad("stock", "/stock", "GET", 1),
                ),
            ),
        ),
        slots=6,
        link_ms=3.5,
    )
)

HARBOR_LANTERN = DEPLOYMENTS.register("harbor-lantern")(
    Deployment(
        profile="harbor-lantern",
        zones=("wharf-row", "mill-square", "chapel-lane", "depot-yard"),
        services=(
            ServiceSpec(
                "vendor-desk",
                "5.0.2",
                8,
                25.0,
                (
                    RouteLoad("stalls", "/stalls", "GET", 5),
                    RouteLoad("bookings", "/bookings", "POST", 2),
                    RouteLoad("fees", "/fees", "POST", 1),
                ),
            ),
            ServiceSpec(
                "inspection-vault",
                "3.2.0",
                4,
                80.0,
                (RouteLoad("bundles", "/bundles", "PUT", 2),),
            ),
        ),
        slots=9,
        link_ms=4.0,
    )
)
