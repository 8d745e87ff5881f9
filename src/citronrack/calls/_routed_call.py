"""The state of one call that is being routed, and the choice of its service and version."""

from __future__ import annotations

import time
from collections.abc import Collection

from attrs import define, field

from ..config import Route
from .context import CallContext
from .headers import AIM, SUSPECT, Headers
from .message import Request
from .split import hash_fraction, picks_new
from .view import PoolTarget, RoutingView

REROUTE_TIME_SHARE = 0.25
"""Share of a call's time in which it is tried elsewhere after a refusal. A call that waited in vain
is refused while its caller still has time to come back."""


@define(eq=False)
class RoutedCall:
    """State of a call that is being routed.

    Attributes:
        started: Monotonic time of its arrival.
        tried: Names of the targets it was sent to, in order.
        reached: Number of attempts that reached a target.
        reroutes: Number of attempts that a node refused or that could not connect.
        may_have_run: Whether a previous attempt may have run.
        age_s: How long the caller had been waiting when this call arrived.
        pause_s: Time until the limits of the targets let a further call start.
        suspect: Whether a target has ended under the request, in this call or an earlier one.
        evacuated: Zones whose targets have refused the call because they are evacuated.
    """

    request: Request
    context: CallContext
    view: RoutingView
    route: Route
    service: str
    service_version: str
    pool: tuple[PoolTarget, ...]
    idempotent: bool
    connect_timeout_s: float
    started: float = field(factory=time.monotonic)
    tried: dict[str, None] = field(factory=dict)
    reached: int = 0
    reroutes: int = 0
    may_have_run: bool = False
    age_s: float = 0.0
    pause_s: float = 0.0
    suspect: bool = False
    evacuated: set[str] = field(factory=set)

    @property
    def excluded(self) -> Collection[str]:
        """Names of the targets that are not tried again, nor those of evacuated zones."""
        if not self.evacuated:
            return self.tried
        zones = [target.name for target in self.pool if target.availability_zone in self.evacuated]
        return {*self.tried, *zones}

    @property
    def patience_s(self) -> float:
        """Time within which the call has to end, in seconds.

        Calls of the highest priority have work behind them and wait until their deadline.
        """
        left_s = self.context.deadline - time.monotonic()
        aim_ms = self.aim_ms if self.route.priority else None
        return left_s if aim_ms is None else min(left_s, aim_ms / 1000)

    @property
    def caller_left_s(self) -> float:
        """Time that the caller still waits, in seconds; it may exceed the timeout of the route."""
        if self.request.timeout_ms is None:
            return self.context.deadline - time.monotonic()
        return self.request.timeout_ms / 1000 - (time.monotonic() - self.started)

    @property
    def has_time_to_reroute(self) -> bool:
        """Whether a refused call may be tried elsewhere: only in the first part of its time."""
        now = time.monotonic()
        return now - self.started <= REROUTE_TIME_SHARE * (self.context.deadline - self.started)

    @property
    def aim_ms(self) -> int | None:
        """Time left until the answer is late, None if the route has no target latency."""
        if not self.route.target_latency_ms:
            return None
        waited_s = self.age_s + time.monotonic() - self.started
        return round(self.route.target_latency_ms - waited_s * 1000)


def call_headers(call: RoutedCall) -> Headers:
    """Return the headers by which the next node knows the state of the call."""
    aim_ms = call.aim_ms
    headers = [] if aim_ms is None else [(AIM, b"%d" % aim_ms)]
    return [*headers, (SUSPECT, b"1")] if call.suspect else headers


def choose_service(route: Route, call_key: str) -> str:
    """Return the service that gets the call; it is the same for all retries of a call."""
    if not route.split:
        return route.service
    total = sum(part.weight for part in route.split)
    point = hash_fraction(call_key, route.name) * total
    for part in route.split:
        point -= part.weight
        if point < 0:
            return part.service
    return route.split[-1].service


def choose_version(
    view: RoutingView, route: Route, service: str, call_key: str
) -> tuple[str, tuple[PoolTarget, ...]]:
    """Return the service version that gets the call, and its targets."""
    share = view.share_of(route, service)
    if share is None:
        version = route.service_version
        return version, view.pools.get((service, version), ())
    new = picks_new(call_key, share.move_id, share.share)
    versions = [share.to_version, share.from_version] if new else [share.from_version]
    if not new and share.share > 0:
        versions.append(share.to_version)
    for version in versions:
        pool = view.pools.get((service, version), ())
        if pool:
            return version, pool
    return versions[0], ()
