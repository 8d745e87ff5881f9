"""Factories that assemble the call path for a node or for an embedding caller."""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from concurrent.futures import Executor
from functools import partial
from random import Random

from attrs import define, frozen

from ..clock import Clock, SystemClock
from ..telemetry import Event, EventLog
from ._connections import Address
from .admission import Admission
from .authentication import Authenticator
from .balancer import Balancer
from .budget import RetryBudgets
from .context import ContextCodec
from .delivery import TargetDelivery
from .drain import Drainer
from .headers import DEFAULT_HEADER_NAMES, HeaderNames
from .health import TargetHealth
from .limits import MAX_HEAD_BYTES, WireLimits
from .notice import NoticeDecoder, StatementTracker, TargetProcess, TargetStatement, no_notice
from .record import CallRecord, ResponseRecord
from .router import RETRY_STATUSES, LocalDelivery, Router
from .server import CallServer
from .suspects import Suspects
from .target_identity import TargetIdentity
from .upstream import Upstream
from .view import ViewHolder
from .workspace_limits import WorkspaceLimits

CLOSE_TIMEOUT_S = 1.0
"""Longest time for which connections without a call stay open at the end of a stop."""

LAST_ANSWERS_S = 0.15
"""Time before the end of a stop in which the last answers are written."""

ADDED_HEAD_BYTES = 1024
"""Allowance for headers that a node adds, so that the next node accepts what one node accepted."""


@frozen
class PathSettings:
    """Settings of the call path.

    Attributes:
        name: Name of the node, empty for an embedding caller.
        availability_zone: Zone of the node.
        key: Shared key of the mesh.
        balancer: Name of the load-balancing policy.
        link_one_way_s: One-way latency to another zone, in seconds.
        connections: Connections served at once by each listener.
        names: Names of the headers that callers and targets use.
        service: Service of this instance, sent to targets if ``names`` has a header for it.
        retry_statuses: Response statuses after which an idempotent call may go to another target.
        decode_notice: Decodes what targets state in the headers of their answers.
    """

    name: str
    availability_zone: str
    key: bytes
    balancer: str = "adaptive"
    link_one_way_s: float = 0.004
    connections: int = 120
    names: HeaderNames = DEFAULT_HEADER_NAMES
    service: str = ""
    retry_statuses: frozenset[int] = RETRY_STATUSES
    decode_notice: NoticeDecoder = no_notice


@frozen
class OwnTarget:
    """The local target of a node.

    Attributes:
        address: ``(ip, port)`` of its HTTP server.
        service: Service that it belongs to.
        service_version: Service version that it runs.
        slots: Number of calls that it runs at once.
        ramp_s: Time over which it gets all of its slots after a start.
    """

    address: Address
    service: str
    service_version: str
    slots: int
    ramp_s: float = 10.0


@define(eq=False)
class CallPath:
    """The call path of one node.

    Attributes:
        calls: Listener for callers and the local target.
        deliveries: Listener for other nodes.
        drainer: Drain state, shared by both listeners.
        admission: Slots of the local target.
        upstream: Connections to targets and nodes.
    """

    calls: CallServer
    deliveries: CallServer
    drainer: Drainer
    admission: Admission
    upstream: Upstream

    def begin_stop(self, end: float) -> None:
        """Announce a stop: calls that arrive from now on end by its end, with an answer.

        Args:
            end: Monotonic time at which `stop` will return.
        """
        self.drainer.announce(end - LAST_ANSWERS_S)

    def stop(self, limit_s: float) -> bool:
        """Refuse new calls, wait for calls in flight and close all connections.

        Returns:
            Whether all calls had ended within the limit.
        """
        end = time.monotonic() + limit_s
        self.drainer.begin()
        idle = self.drainer.wait_idle(limit_s)
        for server in (self.deliveries, self.calls):
            left_s = max(LAST_ANSWERS_S, end - time.monotonic())
            idle = server.stop(min(left_s, CLOSE_TIMEOUT_S) if idle else 0.0) and idle
        self.upstream.close()
        return idle


def make_router(
    settings: PathSettings,
    *,
    views: ViewHolder,
    events: EventLog,
    report: Callable[[CallRecord], None],
    random: Random,
    clock: Clock | None = None,
    upstream: Upstream | None = None,
    local: LocalDelivery | None = None,
    on_response: Callable[[ResponseRecord], None] | None = None,
    budget: RetryBudgets | None = None,
    latest_end: Callable[[], float] = lambda: math.inf,
    suspects: Suspects | None = None,
    authenticator: Authenticator | None = None,
    limits_of_workspaces: WorkspaceLimits | None = None,
) -> Router:
    """Return a router for a node or for a caller that embeds it.

    Args:
        settings: Identity and policy.
        views: Holder of the current routing view.
        events: Event log.
        report: Receives a record of each attempt.
        random: Source of random numbers.
        clock: Source of time.
        upstream: Connections, a new pool if None.
        local: Delivers to the local target.
        on_response: Receives a record of each routed call when its response has ended.
        budget: Limits retries, the default limits if None.
        latest_end: Returns the monotonic time by which new calls must have ended.
        suspects: Requests that may have ended their targets, none known if None.
        authenticator: Finds the workspaces of callers, one without limits if None.
        limits_of_workspaces: Limits of the workspaces, none if None.
    """
    clock = clock if clock is not None else SystemClock()

    def ejected(name: str, seconds: float) -> None:
        event = Event.TARGET_EJECTED if seconds else Event.TARGET_RESTORED
        events.write(event, target=name, seconds=seconds)

    return Router(
        views=views,
        upstream=upstream if upstream is not None else Upstream(),
        balancer=Balancer(
            policy=settings.balancer,
            availability_zone=settings.availability_zone,
            link_rtt_s=2 * settings.link_one_way_s,
            clock=clock,
            random=random,
            observer=ejected,
        ),
        budget=budget if budget is not None else RetryBudgets(),
        contexts=ContextCodec(key=settings.key, clock=clock, random=random),
        report=report,
        events=events,
        own_name=settings.name,
        own_service=settings.service,
        names=settings.names,
        retry_statuses=settings.retry_statuses,
        local=local,
        on_response=on_response,
        decode_notice=settings.decode_notice,
        latest_end=latest_end,
        suspects=suspects if suspects is not None else Suspects(clock, events),
        authenticator=authenticator,
        limits=limits_of_workspaces,
    )


def make_call_path(
    settings: PathSettings,
    *,
    call_address: Address,
    deliver_address: Address,
    target: OwnTarget,
    views: ViewHolder,
    events: EventLog,
    report: Callable[[CallRecord], None],
    executor: Executor,
    random: Random,
    clock: Clock | None = None,
    limits: WireLimits | None = None,
    identity: Callable[[], TargetIdentity] | None = None,
    on_response: Callable[[ResponseRecord], None] | None = None,
    budget: RetryBudgets | None = None,
    on_statement: Callable[[TargetStatement], None] = lambda statement: None,
    suspects: Suspects | None = None,
    authenticator: Authenticator | None = None,
    limits_of_workspaces: WorkspaceLimits | None = None,
) -> CallPath:
    """Return the call path of a node; its listeners are bound and accept once `run` is called."""
    clock = clock if clock is not None else SystemClock()
    limits = limits if limits is not None else WireLimits(connections=settings.connections)
    suspects = suspects if suspects is not None else Suspects(clock, events)
    own_identity = TargetIdentity(target.service, target.service_version)
    upstream = Upstream()
    drainer = Drainer()
    admission = Admission(slots=target.slots, clock=clock, ramp_s=target.ramp_s)
    if target.ramp_s:
        admission.mark_cold()

    def statement_changed(statement: TargetStatement) -> None:
        events.write(Event.TARGET_STATEMENT, **statement.log_fields)
        admission.apply(statement)
        on_statement(statement)

    def limit_invalid(process: TargetProcess) -> None:
        events.write(Event.LIMIT_INVALID, target_id=process[0])

    delivery = TargetDelivery(
        address=target.address,
        identity=identity if identity is not None else lambda: own_identity,
        views=views,
        upstream=upstream,
        admission=admission,
        health=TargetHealth(clock),
        contexts=ContextCodec(key=settings.key, clock=clock, random=random),
        drainer=drainer,
        report=report,
        events=events,
        statements=StatementTracker(on_change=statement_changed, on_invalid=limit_invalid),
        decode_notice=settings.decode_notice,
        names=settings.names,
        suspects=suspects,
    )
    router = make_router(
        settings,
        views=views,
        events=events,
        report=report,
        random=random,
        clock=clock,
        upstream=upstream,
        local=delivery.deliver,
        on_response=on_response,
        budget=budget,
        latest_end=lambda: drainer.latest_end,
        suspects=suspects,
        authenticator=authenticator,
        limits_of_workspaces=limits_of_workspaces,
    )
    peer_limits = WireLimits(
        idle_s=limits.idle_s,
        head_s=limits.head_s,
        body_idle_s=limits.body_idle_s,
        max_head_bytes=max(limits.max_head_bytes, MAX_HEAD_BYTES) + ADDED_HEAD_BYTES,
        connections=limits.connections,
    )
    on_error = partial(events.write_input_failure, "request")
    return CallPath(
        calls=CallServer(
            address=call_address,
            handler=router.handle,
            executor=executor,
            drainer=drainer,
            limits=limits,
            nested=router.is_nested,
            names=settings.names,
            dropped_headers=settings.names.reserved,
            on_error=on_error,
        ),
        deliveries=CallServer(
            address=deliver_address,
            handler=delivery.handle,
            executor=executor,
            drainer=drainer,
            limits=peer_limits,
            sends_load=True,
            names=settings.names,
            on_error=on_error,
        ),
        drainer=drainer,
        admission=admission,
        upstream=upstream,
    )
