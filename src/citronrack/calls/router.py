"""Chooses targets for calls, sends them and retries where that is safe."""

from __future__ import annotations

import time
from collections.abc import Callable

from attrs import define, evolve, field

from ..config import Route
from ..errors import CallFailed
from ..telemetry import Event, EventLog
from ..verdict import Verdict
from .balancer import Balancer
from .budget import RetryBudget
from .context import CallContext, ContextCodec
from .headers import CONTEXT, DEFAULT_HEADER_NAMES, SERVICE, HeaderNames
from .message import (
    BodyEnd,
    CallerDisconnected,
    DeadlineExceeded,
    Request,
    Response,
    failure_response,
    local_response,
)
from .record import CallRecord, ResponseRecord
from .split import hash_fraction, picks_new
from .target_stats import TargetStats
from .upstream import OutgoingRequest, Upstream
from .view import PoolTarget, RoutingView, ViewHolder

RETRY_STATUSES = frozenset({502, 503, 504})
"""Answers after which a call may be sent to another target."""

MIN_RETRY_TIME_S = 0.002
"""A retry needs at least this much time before the deadline."""

MAX_REROUTES = 2
"""Further targets that a call tries after refusals; under overload each one costs a round trip."""

LocalDelivery = Callable[[Request, CallContext], Response]


@define(eq=False)
class _Call:
    """A call while it is routed.

    Attributes:
        started: Monotonic time of its arrival.
        tried: Targets that it went to, in order.
        reached: How many of them it has loaded.
        reroutes: How many others refused it or could not be reached.
        may_have_run: Whether one of them may have run it.
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


# Only a node that knows the newest configuration can say that there is no route.
_NO_ROUTE = {
    True: (404, "no route has a prefix of this path"),
    False: (503, "no route has a prefix of this path in a configuration that may be old"),
}


class Router:
    """Answers requests with the targets of the mesh.

    A node uses it behind its call listener. A caller that embeds it in its own process saves the
    hop to a node: the call goes to the target's node directly.

    Args:
        views: Present routing view.
        upstream: Connections to other nodes.
        balancer: Chooses targets.
        budget: Limits retries.
        contexts: Reads and writes the context header.
        report: Receives a record of each attempt.
        events: Log lines.
        own_name: Name of the node beside the own target, empty for none.
        own_service: Service of the own instance, told to targets where ``names`` says how.
        names: Names of the headers that callers and targets use.
        retry_statuses: Answers after which an idempotent call may go to another target.
        local: Delivers to the own target without a connection to the own node.
        answered: Receives a record of each routed call when its answer has ended.
    """

    def __init__(
        self,
        *,
        views: ViewHolder,
        upstream: Upstream,
        balancer: Balancer,
        budget: RetryBudget,
        contexts: ContextCodec,
        report: Callable[[CallRecord], None],
        events: EventLog,
        own_name: str = "",
        own_service: str = "",
        names: HeaderNames = DEFAULT_HEADER_NAMES,
        retry_statuses: frozenset[int] = RETRY_STATUSES,
        local: LocalDelivery | None = None,
        on_response: Callable[[ResponseRecord], None] | None = None,
    ) -> None:
        self._on_response = on_response
        self._views = views
        self._upstream = upstream
        self._balancer = balancer
        self._budget = budget
        self._contexts = contexts
        self._report = report
        self._events = events
        self._logs_routing = events.is_enabled(Event.CALL_ROUTED)
        self._own_name = own_name
        self._names = names
        self._retry_statuses = retry_statuses
        self._caller_headers = (
            [(names.caller_service, own_service.encode("latin-1"))] if names.caller_service else []
        )
        self._local = local

    def close(self) -> None:
        """Close idle connections; for an embedding process that ends."""
        self._upstream.close()

    def is_nested(self, request: Request) -> bool:
        """Return whether the request was made by a target while it ran another call."""
        return self._contexts.decode_nested(request.context) is not None

    def handle(self, request: Request) -> Response:
        """Return the answer to a request; never raises `CallFailed`.

        The answer's verdict says whether the request may have run.
        """
        view = self._views.current
        if not view.ready:
            return self._refuse(request, 503, view.reason)
        route = view.route_of(request.path, request.host)
        if route is None:
            return self._refuse(request, *_NO_ROUTE[view.complete])
        context = self._contexts.decode_nested(request.context) or self._contexts.new_context()
        if context.too_deep:
            return self._refuse(request, 508, "the call is nested too deeply", route.name)
        timeout_ms = route.timeout_ms
        if request.timeout_ms is not None:
            timeout_ms = min(timeout_ms, request.timeout_ms)
        context = context.with_deadline(time.monotonic() + timeout_ms / 1000)
        service_name = _choose_service(route, context.call_key)
        service_version, pool = _choose_version(view, route, service_name, context.call_key)
        if not pool:
            return self._refuse(request, 503, "the route has no target", route.name)
        service = view.config.services[service_name]
        self._budget.deposit()
        call = _Call(
            request=request,
            context=context,
            view=view,
            route=route,
            service=service_name,
            service_version=service_version,
            pool=pool,
            idempotent=view.is_idempotent(route, service_name, request.method),
            connect_timeout_s=service.connect_timeout_ms / 1000,
        )
        answer = self._route(call)
        if self._on_response is not None:
            self._report_response(self._on_response, call, answer)
        return answer

    @staticmethod
    def _report_response(
        on_response: Callable[[ResponseRecord], None], call: _Call, answer: Response
    ) -> None:
        """Report the call when its answer has ended."""

        def done(end: BodyEnd) -> None:
            on_response(
                ResponseRecord(
                    request_id=call.request.request_id,
                    route=call.route.name,
                    service=call.service,
                    service_version=call.service_version,
                    status=answer.status,
                    verdict=answer.verdict if end is BodyEnd.COMPLETE else Verdict.MAY_HAVE_RUN,
                    seconds=time.monotonic() - call.started,
                    targets=tuple(call.tried),
                    config_version=call.view.config.version,
                    reason=answer.local_reason,
                )
            )

        answer.add_done_callback(done)

    def _route(self, call: _Call) -> Response:
        while True:
            answer, target = self._attempt(call)
            if target is not None:
                call.tried[target.name] = None
            if (
                target is None
                or not self._may_retry(call, answer)
                or len(call.tried) >= len(call.pool)
            ):
                return _final_response(call, answer)
            call.may_have_run |= answer.verdict is not Verdict.NOT_RUN
            answer.finish()
            if answer.reached_target:
                call.context = call.context.after_retry()
            self._events.write(
                Event.CALL_RETRIED,
                route=call.route.name,
                request_id=call.request.request_id,
                target=target.name,
                status=answer.status,
                verdict=answer.verdict.value,
            )

    def _attempt(self, call: _Call) -> tuple[Response, PoolTarget | None]:
        """Send the call to one target; None stands for no target."""
        entry = self._balancer.choose(
            (call.service, call.service_version),
            call.pool,
            excluded=call.tried,
            body_bytes=call.request.body.length or 0,
        )
        if entry is None:
            refusal = self._refuse(call.request, 503, "the route has no target", call.route.name)
            return refusal, None
        target = entry.target
        if self._logs_routing:
            self._events.write(
                Event.CALL_ROUTED,
                route=call.route.name,
                request_id=call.request.request_id,
                target=target.name,
                service_version=call.service_version,
                config_version=call.view.config.version,
                call_key=call.context.call_key,
                depth=call.context.depth,
            )
        started = time.monotonic()
        ignore_failure = False
        try:
            answer = self._send(call, target)
        except CallFailed as error:
            answer = failure_response(error)
            too_late = isinstance(error, DeadlineExceeded) and error.verdict is Verdict.NOT_RUN
            ignore_failure = too_late or isinstance(error, CallerDisconnected)
        except BaseException:
            self._balancer.record_end(entry)
            raise
        if not answer.reached_target:
            call.reroutes += 1
        else:
            call.reached += 1
        self._report_attempt(call, entry, answer, started, ignore_failure=ignore_failure)
        return answer, target

    def _send(self, call: _Call, target: PoolTarget) -> Response:
        request = call.request
        if self._local is not None and target.name == self._own_name:
            headers = [*request.headers, *self._caller_headers]
            own = evolve(request, headers=headers, service=call.service)
            return self._local(own, call.context)
        return self._upstream.send(
            target.deliver_address,
            OutgoingRequest(
                method=request.method,
                target=request.target,
                headers=[
                    *request.headers,
                    *self._caller_headers,
                    (SERVICE, call.service.encode("latin-1")),
                    (CONTEXT, self._contexts.encode(call.context)),
                ],
                body=request.body,
                idempotent=call.idempotent,
                deadline=call.context.deadline,
                cancelled=request.cancelled,
                to_node=True,
                buffer_response=bool(self._names.signature),
            ),
            connect_timeout_s=call.connect_timeout_s,
        )

    def _report_attempt(
        self,
        call: _Call,
        entry: TargetStats,
        answer: Response,
        started: float,
        *,
        ignore_failure: bool,
    ) -> None:
        """Report the attempt when its answer has ended."""
        head_s = time.monotonic() - started
        # A refusal carries the load of the node that refused; without one there was no connection.
        refused = answer.refused and answer.load is not None
        failed = answer.status >= 500 and not refused and not ignore_failure
        unreachable = failed and not answer.reached_target
        if failed:
            self._events.write(
                Event.CALL_FAILED,
                route=call.route.name,
                request_id=call.request.request_id,
                target=entry.target.name,
                status=answer.status,
                verdict=answer.verdict.value,
            )

        def done(end: BodyEnd) -> None:
            self._balancer.record_end(
                entry,
                latency_s=None if answer.from_node else head_s,
                failed=failed or end is BodyEnd.BROKEN,
                unreachable=unreachable,
                load=answer.load,
            )
            self._report(
                CallRecord(
                    route=call.route.name,
                    service=call.service,
                    service_version=call.service_version,
                    method=call.request.method,
                    status=answer.status,
                    latency_s=time.monotonic() - started,
                    verdict=answer.verdict if end is BodyEnd.COMPLETE else Verdict.MAY_HAVE_RUN,
                    refused=answer.refused,
                )
            )

        answer.add_done_callback(done)

    def _may_retry(self, call: _Call, answer: Response) -> bool:
        """Return whether the call is sent to another target.

        A call that a node refused has not loaded any target, so only its number of targets is
        limited; sending a call once more that has reached a target takes a token.
        """
        if answer.status not in self._retry_statuses or not call.request.body.replayable:
            return False
        if time.monotonic() + MIN_RETRY_TIME_S > call.context.deadline:
            return False
        if call.request.cancelled():
            return False
        if not answer.reached_target:
            return call.reroutes <= MAX_REROUTES
        is_idempotent = call.idempotent or answer.verdict is Verdict.NOT_RUN
        if not is_idempotent or call.context.retries_left <= 0:
            return False
        if call.route.max_attempts and call.reached >= call.route.max_attempts:
            return False
        return self._budget.try_withdraw()

    def _refuse(self, request: Request, status: int, reason: str, route: str = "") -> Response:
        self._events.write(
            Event.CALL_REFUSED,
            route=route,
            request_id=request.request_id,
            reason=reason,
            config_version=self._views.current.config.version,
        )
        return local_response(status, reason, Verdict.NOT_RUN)


def _final_response(call: _Call, answer: Response) -> Response:
    """Return what the caller gets; a refusal says nothing of the attempts before it."""
    if answer.verdict is not Verdict.NOT_RUN or not call.may_have_run:
        return answer
    answer.finish()
    reason = f"an attempt before may have run, the last one was refused: {answer.local_reason}"
    return local_response(502, reason, Verdict.MAY_HAVE_RUN)


def _choose_service(route: Route, call_key: str) -> str:
    """Return the service that gets the call; the same for all retries of a call."""
    if not route.split:
        return route.service
    total = sum(part.weight for part in route.split)
    point = hash_fraction(call_key, route.name) * total
    for part in route.split:
        point -= part.weight
        if point < 0:
            return part.service
    return route.split[-1].service


def _choose_version(
    view: RoutingView, route: Route, service: str, call_key: str
) -> tuple[str, tuple[PoolTarget, ...]]:
    """Return the service version that gets the call and its targets."""
    share = view.share_of(route, service)
    if share is None:
        version = route.service_version
        return version, view.pools.get((service, version), ())
    new = picks_new(call_key, share.move_id, share.share)
    sides = [share.to_version, share.from_version] if new else [share.from_version]
    if not new and share.share > 0:
        sides.append(share.to_version)
    for version in sides:
        pool = view.pools.get((service, version), ())
        if pool:
            return version, pool
    return sides[0], ()
