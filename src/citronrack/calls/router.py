"""Routes calls to targets and retries them where that is safe."""

from __future__ import annotations

import math
import time
from collections.abc import Callable, Iterable

from attrs import evolve

from ..config import Route
from ..decisions.allotment import Admission, AdmissionStatus
from ..errors import CallFailed
from ..telemetry import Event, EventLog
from ..verdict import Verdict
from ._routed_call import RoutedCall, call_headers, choose_service, choose_version
from .authentication import Authenticator, Refusal
from .balancer import Balancer, LimitsUsedUp
from .budget import RetryBudgets
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
    set_retry_after,
)
from .notice import NoticeDecoder, no_notice
from .patience import CallerPatience
from .record import CallRecord, ResponseRecord
from .split import hash_fraction
from .suspects import Suspects
from .suspicion import HOLD_S, Standing
from .target_stats import TargetStats
from .upstream import OutgoingRequest, Upstream
from .view import PoolTarget, ViewHolder
from .workspace_limits import REFUSALS, NoLimits, WorkspaceLimits, state_retry_after

RETRY_STATUSES = frozenset({502, 503, 504})
"""Response statuses after which a call may be sent to another target."""

MIN_RETRY_TIME_S = 0.002
"""Least remaining time before the deadline for which a retry is started."""

MAX_REROUTES = 2
"""Maximum further targets tried after refusals; under overload each one costs a round trip."""

TARGETS_ENDED = "targets have ended under this request"

LIMITS_USED_UP = "the targets take no further call in time"

RETRY_AFTER_SALT = "retry-after"
"""Purpose of the hash that spreads the returns of refused callers."""


LocalDelivery = Callable[[Request, CallContext], Response]


# 404 is final for callers, so only a node that has the newest configuration returns it.
_NO_ROUTE = {
    True: (404, "no route has a prefix of this path"),
    False: (503, "no route has a prefix of this path in a configuration that may be old"),
}


class Router:
    """Sends each request to a target of the mesh and returns the response.

    A node runs it behind its call listener. A caller that embeds it in its own process saves the
    hop through its node: calls go to the target's node directly.

    Args:
        views: Holder of the current routing view.
        upstream: Connections to other nodes.
        balancer: Chooses targets.
        budget: Limits retries.
        contexts: Reads and writes the context header.
        report: Receives a record of each attempt.
        events: Event log.
        own_name: Name of this node, empty for an embedding caller.
        own_service: Service of this instance, sent to targets if ``names`` has a header for it.
        names: Names of the headers that callers and targets use.
        retry_statuses: Response statuses after which an idempotent call may go to another target.
        local: Delivers to the local target without a connection to this node.
        on_response: Receives a record of each routed call when its response has ended.
        decode_notice: Decodes what targets state in the headers of their answers.
        latest_end: Returns the monotonic time by which new calls must have ended.
        suspects: Requests that may have ended their targets.
        authenticator: Finds the workspaces of callers.
        limits: Limits of the workspaces.
    """

    def __init__(
        self,
        *,
        views: ViewHolder,
        upstream: Upstream,
        balancer: Balancer,
        budget: RetryBudgets,
        contexts: ContextCodec,
        report: Callable[[CallRecord], None],
        events: EventLog,
        own_name: str = "",
        own_service: str = "",
        names: HeaderNames = DEFAULT_HEADER_NAMES,
        retry_statuses: frozenset[int] = RETRY_STATUSES,
        local: LocalDelivery | None = None,
        on_response: Callable[[ResponseRecord], None] | None = None,
        decode_notice: NoticeDecoder = no_notice,
        latest_end: Callable[[], float] = lambda: math.inf,
        suspects: Suspects,
        authenticator: Authenticator | None = None,
        limits: WorkspaceLimits | None = None,
    ) -> None:
        self._limits = limits if limits is not None else NoLimits()
        self._authenticator = authenticator if authenticator is not None else Authenticator(names)
        self._suspects = suspects
        self._latest_end = latest_end
        self._on_response = on_response
        self._decode_notice = decode_notice
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
        self._patience = CallerPatience()

    def close(self) -> None:
        """Close idle connections; an embedding process calls it when it exits."""
        self._upstream.close()

    def is_nested(self, request: Request) -> bool:
        """Return whether the request was sent by a target while it handled another call."""
        return self._contexts.decode_nested(request.context) is not None

    def handle(self, request: Request) -> Response:
        """Route a request and return the response; never raises `CallFailed`.

        The response's verdict says whether the request may have run.
        """
        view = self._views.current
        if not view.ready:
            return self._refuse(request, 503, view.reason)
        route = view.route_of(request.path, request.host)
        if route is None:
            return self._refuse(request, *_NO_ROUTE[view.is_newest])
        caller = self._authenticator.identify(request, route, view)
        if isinstance(caller, Refusal):
            return self._refuse(request, caller.status, caller.reason, route.name, caller.headers)
        request = self._authenticator.forwarded(request, caller, view)
        context = self._contexts.decode_nested(request.context) or self._contexts.new_context()
        if context.too_deep:
            return self._refuse(request, 508, "the call is nested too deeply", route.name)
        timeout_ms = route.timeout_ms
        if request.timeout_ms is not None:
            timeout_ms = min(timeout_ms, request.timeout_ms)
        deadline = min(time.monotonic() + timeout_ms / 1000, self._latest_end())
        context = context.with_deadline(deadline)
        service_name = choose_service(route, context.call_key)
        service_version, pool = choose_version(view, route, service_name, context.call_key)
        if not pool:
            return self._refuse(request, 503, "the route has no target", route.name)
        standing = self._suspects.standing(request)
        if standing >= Standing.HELD:
            return self._refuse_suspect(request, route, context)
        if request.workspace:
            admission = self._limits.admit(request.workspace)
            if admission is not AdmissionStatus.ADMITTED:
                return self._refuse_beyond_limit(request, route, context, admission)
        service = view.config.services[service_name]
        self._budget.record_call(service_name, time.monotonic())
        call = RoutedCall(
            request=request,
            context=context,
            view=view,
            route=route,
            service=service_name,
            service_version=service_version,
            pool=pool,
            idempotent=view.is_idempotent(route, service_name, request.method),
            connect_timeout_s=service.connect_timeout_ms / 1000,
            age_s=self._patience.age_s(route.name, request.timeout_ms, time.monotonic()),
            suspect=standing is not Standing.CLEAR,
        )
        response = self._route(call)
        if request.workspace and response.verdict is Verdict.NOT_RUN:
            self._limits.refund(request.workspace)
        if self._on_response is not None:
            self._report_response(self._on_response, call, response)
        return response

    @staticmethod
    def _report_response(
        on_response: Callable[[ResponseRecord], None], call: RoutedCall, response: Response
    ) -> None:
        """Report the call when its response has ended."""

        def done(end: BodyEnd) -> None:
            on_response(
                ResponseRecord(
                    request_id=call.request.request_id,
                    route=call.route.name,
                    service=call.service,
                    service_version=call.service_version,
                    status=response.status,
                    verdict=response.verdict if end is BodyEnd.COMPLETE else Verdict.MAY_HAVE_RUN,
                    seconds=time.monotonic() - call.started,
                    targets=tuple(call.tried),
                    config_version=call.view.config.version,
                    reason=response.local_reason,
                    workspace=call.request.workspace,
                )
            )

        response.add_done_callback(done)

    def _route(self, call: RoutedCall) -> Response:
        while True:
            response, target = self._attempt(call)
            if target is not None:
                call.tried[target.name] = None
            if (
                target is None
                or not self._may_retry(call, response)
                or len(call.tried) >= len(call.pool)
            ):
                return self._final_response(call, response)
            call.may_have_run |= response.verdict is not Verdict.NOT_RUN
            response.finish()
            if response.reached_target:
                call.context = call.context.after_retry()
            self._events.write(
                Event.CALL_RETRIED,
                route=call.route.name,
                request_id=call.request.request_id,
                target=target.name,
                status=response.status,
                verdict=response.verdict.value,
            )

    def _attempt(self, call: RoutedCall) -> tuple[Response, PoolTarget | None]:
        """Send the call to one target; the target is None when there is none to choose."""
        try:
            stats = self._balancer.choose(
                (call.service, call.service_version),
                call.pool,
                excluded=call.excluded,
                body_bytes=call.request.body.length or 0,
                patience_s=call.patience_s,
            )
        except LimitsUsedUp as error:
            call.pause_s = error.pause_s
            return self._refuse(call.request, 503, LIMITS_USED_UP, call.route.name), None
        if stats is None:
            refusal = self._refuse(call.request, 503, "the route has no target", call.route.name)
            return refusal, None
        target = stats.target
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
            response = self._send(call, target)
        except CallFailed as error:
            response = failure_response(error)
            too_late = isinstance(error, DeadlineExceeded) and error.verdict is Verdict.NOT_RUN
            ignore_failure = too_late or isinstance(error, CallerDisconnected)
        except BaseException:
            self._balancer.record_end(stats)
            raise
        call.suspect = call.suspect or response.target_ended
        if response.evacuated:
            call.evacuated.add(target.availability_zone)
        elif not response.reached_target:
            call.reroutes += 1
        else:
            call.reached += 1
        self._record_leaving(call, target, response)
        self._report_attempt(call, stats, response, started, ignore_failure=ignore_failure)
        return response, target

    def _record_leaving(self, call: RoutedCall, target: PoolTarget, response: Response) -> None:
        """Stop sending calls to a target whose answer says that it is about to end."""
        if response.from_node or not self._decode_notice(dict(response.headers)).leaving:
            return
        if self._balancer.record_leaving(target):
            self._events.write(
                Event.TARGET_LEAVES,
                target=target.name,
                target_id=target.target_id,
                request_id=call.request.request_id,
            )

    def _send(self, call: RoutedCall, target: PoolTarget) -> Response:
        request = call.request
        if self._local is not None and target.name == self._own_name:
            headers = [*request.headers, *self._caller_headers]
            local_request = evolve(
                request,
                headers=headers,
                service=call.service,
                aim_ms=call.aim_ms,
                suspect=call.suspect,
            )
            return self._local(local_request, call.context)
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
                    *call_headers(call),
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
        call: RoutedCall,
        stats: TargetStats,
        response: Response,
        started: float,
        *,
        ignore_failure: bool,
    ) -> None:
        """Report the attempt when its response has ended."""
        head_s = time.monotonic() - started
        # Refusals carry the load of the refusing node; without a load there was no connection.
        refused = response.refused and response.load is not None
        failed = response.status >= 500 and not refused and not ignore_failure
        unreachable = failed and not response.reached_target
        if failed:
            self._events.write(
                Event.CALL_FAILED,
                route=call.route.name,
                request_id=call.request.request_id,
                target=stats.target.name,
                status=response.status,
                verdict=response.verdict.value,
            )

        def done(end: BodyEnd) -> None:
            if end is BodyEnd.COMPLETE and response.verdict is Verdict.RAN:
                self._suspects.record_success(call.request)
            self._balancer.record_end(
                stats,
                latency_s=None if response.from_node else head_s,
                failed=failed or end is BodyEnd.BROKEN,
                unreachable=unreachable,
                load=response.load,
                pause_s=response.pause_s,
            )
            self._report(
                CallRecord(
                    route=call.route.name,
                    service=call.service,
                    service_version=call.service_version,
                    method=call.request.method,
                    status=response.status,
                    latency_s=time.monotonic() - started,
                    verdict=response.verdict if end is BodyEnd.COMPLETE else Verdict.MAY_HAVE_RUN,
                    refused=response.refused,
                )
            )

        response.add_done_callback(done)

    def _may_retry(self, call: RoutedCall, response: Response) -> bool:
        """Return whether the call is sent to another target.

        A call that a node refused has not loaded a target, so only the number of reroutes is
        limited. A call that reached a target needs a token of the retry budget.
        """
        if response.status not in self._retry_statuses or not call.request.body.replayable:
            return False
        if time.monotonic() + MIN_RETRY_TIME_S > call.context.deadline:
            return False
        if call.request.cancelled() or self._suspects.is_deadly(call.request):
            return False
        if not response.reached_target:
            return call.reroutes <= MAX_REROUTES and call.has_time_to_reroute
        safe_to_retry = call.idempotent or response.verdict is Verdict.NOT_RUN
        if not safe_to_retry or call.context.retries_left <= 0:
            return False
        if call.route.max_attempts and call.reached >= call.route.max_attempts:
            return False
        return self._budget.try_withdraw(call.service, time.monotonic())

    def _final_response(self, call: RoutedCall, response: Response) -> Response:
        """Return the response for the caller.

        A refusal covers only the last attempt, so it is replaced when an earlier one may have run.
        """
        if response.verdict is not Verdict.NOT_RUN:
            return response
        if call.may_have_run:
            response.finish()
            reason = "an attempt before may have run, the last one was refused"
            return local_response(502, f"{reason}: {response.local_reason}", Verdict.MAY_HAVE_RUN)
        if response.from_node and response.status == 503:
            set_retry_after(
                response,
                aim_left_s=(call.aim_ms or 0) / 1000,
                left_s=call.caller_left_s,
                spread=hash_fraction(call.context.call_key, RETRY_AFTER_SALT),
                pause_s=call.pause_s,
            )
        return response

    def _refuse_beyond_limit(
        self, request: Request, route: Route, context: CallContext, admission: Admission
    ) -> Response:
        """Refuse a request that the limit of its workspace leaves no room for."""
        status, reason = REFUSALS[type(admission)]
        response = self._refuse(request, status, reason, route.name)
        if status == 503:
            self._spread_return(response, context)
        state_retry_after(response, admission)
        return response

    @staticmethod
    def _spread_return(response: Response, context: CallContext, *, pause_s: float = 0.0) -> None:
        """Let a caller that is not served for reasons of its own come back within its time."""
        set_retry_after(
            response,
            aim_left_s=0.0,
            left_s=context.deadline - time.monotonic(),
            spread=hash_fraction(context.call_key, RETRY_AFTER_SALT),
            pause_s=pause_s,
        )

    def _refuse_suspect(self, request: Request, route: Route, context: CallContext) -> Response:
        """Refuse a request under which targets have ended, and say when to come back."""
        response = self._refuse(request, 503, TARGETS_ENDED, route.name)
        self._spread_return(response, context, pause_s=HOLD_S)
        return response

    def _refuse(
        self,
        request: Request,
        status: int,
        reason: str,
        route: str = "",
        headers: Iterable[tuple[bytes, bytes]] = (),
    ) -> Response:
        self._events.write(
            Event.CALL_REFUSED,
            route=route,
            request_id=request.request_id,
            reason=reason,
            config_version=self._views.current.config.version,
        )
        response = local_response(status, reason, Verdict.NOT_RUN)
        response.headers += headers
        return response
