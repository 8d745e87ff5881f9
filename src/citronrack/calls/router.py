"""Chooses targets for calls, sends them and retries where that is safe."""

from __future__ import annotations

import time
from collections.abc import Callable

from attrs import define, field

from ..config import Route
from ..errors import CallFailed
from ..telemetry import Event, EventLog
from ..verdict import Verdict
from .balancer import Balancer
from .budget import RetryBudget
from .context import CallContext, ContextCodec
from .headers import CONTEXT
from .message import Answer, CallerGone, End, Request, failure_answer, own_answer
from .observed import Observed
from .record import CallRecord
from .split import picks_new
from .upstream import Outgoing, Upstream
from .view import PoolTarget, RoutingView, ViewHolder

RETRY_STATUSES = frozenset({502, 503, 504})
"""Answers after which a call may be sent to another target."""

MIN_RETRY_TIME_S = 0.002
"""A retry needs at least this much time before the deadline."""

LocalDelivery = Callable[[Request, CallContext], Answer]


@define(eq=False)
class _Call:
    """A call while it is routed."""

    request: Request
    context: CallContext
    view: RoutingView
    route: Route
    service_version: str
    pool: tuple[PoolTarget, ...]
    idempotent: bool
    connect_timeout_s: float
    tried: set[str] = field(factory=set)


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
        local: Delivers to the own target without a connection to the own node.
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
        local: LocalDelivery | None = None,
    ) -> None:
        self._views = views
        self._upstream = upstream
        self._balancer = balancer
        self._budget = budget
        self._contexts = contexts
        self._report = report
        self._events = events
        self._own_name = own_name
        self._local = local

    def close(self) -> None:
        """Close idle connections; for an embedding process that ends."""
        self._upstream.close()

    def is_nested(self, request: Request) -> bool:
        """Return whether the request was made by a target while it ran another call."""
        return self._contexts.nested(request.context) is not None

    def handle(self, request: Request) -> Answer:
        """Return the answer to a request; never raises `CallFailed`.

        The answer's verdict says whether the request may have run.
        """
        view = self._views.current
        if not view.ready:
            return self._refuse(503, view.reason)
        route = view.route_of(request.path)
        if route is None:
            return self._refuse(404, "no route has a prefix of this path")
        context = self._contexts.nested(request.context) or self._contexts.fresh()
        if context.too_deep:
            return self._refuse(508, "the call is nested too deeply", route.name)
        timeout_ms = route.timeout_ms
        if request.timeout_ms is not None:
            timeout_ms = min(timeout_ms, request.timeout_ms)
        context = context.limited(time.monotonic() + timeout_ms / 1000)
        service_version, pool = _side(view, route, context.call_key)
        if not pool:
            return self._refuse(503, "the route has no target", route.name)
        service = view.config.services[route.service]
        self._budget.earn()
        return self._route(
            _Call(
                request=request,
                context=context,
                view=view,
                route=route,
                service_version=service_version,
                pool=pool,
                idempotent=request.method in service.idempotent_methods,
                connect_timeout_s=service.connect_timeout_ms / 1000,
            )
        )

    def _route(self, call: _Call) -> Answer:
        while True:
            answer, target = self._attempt(call)
            if target is None or not self._may_retry(call, answer):
                return answer
            call.tried.add(target.name)
            if len(call.tried) >= len(call.pool):
                return answer
            answer.finish()
            call.context = call.context.after_retry()
            self._events.write(
                Event.CALL_RETRIED,
                route=call.route.name,
                target=target.name,
                status=answer.status,
                verdict=answer.verdict.value,
            )

    def _attempt(self, call: _Call) -> tuple[Answer, PoolTarget | None]:
        """Send the call to one target; None stands for no target."""
        entry = self._balancer.choose(
            (call.route.service, call.service_version), call.pool, excluded=call.tried
        )
        if entry is None:
            return self._refuse(503, "the route has no target", call.route.name), None
        target = entry.target
        self._events.write(
            Event.CALL_ROUTED,
            route=call.route.name,
            target=target.name,
            service_version=call.service_version,
            call_key=call.context.call_key,
            depth=call.context.depth,
        )
        started = time.monotonic()
        blameless = False
        try:
            answer = self._send(call, target)
        except CallFailed as error:
            answer = failure_answer(error)
            blameless = isinstance(error, CallerGone)
        except BaseException:
            self._balancer.ended(entry)
            raise
        self._watch(call, entry, answer, started, blameless=blameless)
        return answer, target

    def _send(self, call: _Call, target: PoolTarget) -> Answer:
        request = call.request
        if self._local is not None and target.name == self._own_name:
            return self._local(request, call.context)
        return self._upstream.send(
            target.deliver_address,
            Outgoing(
                method=request.method,
                target=request.target,
                headers=[*request.headers, (CONTEXT, self._contexts.encode(call.context))],
                body=request.body,
                idempotent=call.idempotent,
                deadline=call.context.deadline,
                cancelled=request.cancelled,
                to_node=True,
            ),
            connect_timeout_s=call.connect_timeout_s,
        )

    def _watch(
        self, call: _Call, entry: Observed, answer: Answer, started: float, *, blameless: bool
    ) -> None:
        """Report the attempt when its answer has ended."""
        head_s = time.monotonic() - started
        # A refusal carries the load of the node that refused; without one there was no connection.
        refused = answer.refused and answer.load is not None
        failed = answer.status >= 500 and not refused and not blameless
        if failed:
            self._events.write(
                Event.CALL_FAILED,
                route=call.route.name,
                target=entry.target.name,
                status=answer.status,
                verdict=answer.verdict.value,
            )

        def done(end: End) -> None:
            self._balancer.ended(
                entry,
                latency_s=None if answer.from_node else head_s,
                failed=failed or end is End.BROKEN,
                load=answer.load,
            )
            self._report(
                CallRecord(
                    route=call.route.name,
                    service=call.route.service,
                    service_version=call.service_version,
                    method=call.request.method,
                    status=answer.status,
                    latency_s=time.monotonic() - started,
                    verdict=answer.verdict if end is End.COMPLETE else Verdict.MAY_HAVE_RUN,
                    refused=answer.refused,
                )
            )

        answer.when_done(done)

    def _may_retry(self, call: _Call, answer: Answer) -> bool:
        """Return whether the call is sent to another target; takes a token if so."""
        if answer.verdict is not Verdict.NOT_RUN and not call.idempotent:
            return False
        if answer.status not in RETRY_STATUSES:
            return False
        if call.context.retries_left <= 0 or not call.request.body.unread:
            return False
        if time.monotonic() + MIN_RETRY_TIME_S > call.context.deadline:
            return False
        if call.request.cancelled():
            return False
        return self._budget.spend()

    def _refuse(self, status: int, reason: str, route: str = "") -> Answer:
        self._events.write(Event.CALL_REFUSED, route=route, reason=reason)
        return own_answer(status, reason, Verdict.NOT_RUN)


def _side(view: RoutingView, route: Route, call_key: str) -> tuple[str, tuple[PoolTarget, ...]]:
    """Return the service version that gets the call and its targets."""
    share = view.shares.get(route.name)
    if share is None:
        version = route.service_version
        return version, view.pools.get((route.service, version), ())
    new = picks_new(call_key, share.move_id, share.share)
    sides = [share.to_version, share.from_version] if new else [share.from_version]
    if not new and share.share > 0:
        sides.append(share.to_version)
    for version in sides:
        pool = view.pools.get((route.service, version), ())
        if pool:
            return version, pool
    return sides[0], ()
