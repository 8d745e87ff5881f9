"""Hands calls to the own target."""

from __future__ import annotations

import math
import time
from collections.abc import Callable, Mapping

from attrs import frozen

from ..config import Route
from ..errors import CallFailed
from ..telemetry import Event, EventLog
from ..verdict import Verdict
from ._connections import Address
from .admission import Admission, Refused, Slot
from .context import CallContext, ContextCodec
from .drain import Drainer
from .headers import CONTEXT, DEFAULT_HEADER_NAMES, HeaderNames, Headers
from .health import LOST_REQUEST_REASON, TargetHealth
from .message import (
    BodyEnd,
    CallerDisconnected,
    DeadlineExceeded,
    Request,
    Response,
    failure_response,
    local_response,
)
from .record import CallRecord
from .upstream import OutgoingRequest, Upstream
from .view import ViewHolder

UNROUTED = ""
"""Route name of calls whose route this node does not know yet."""

DEFAULT_CONNECT_TIMEOUT_S = 0.25

FAILING_TARGET_LOAD = 20
"""Load that is told for a target that loses requests. It looks idle, and other nodes would choose
it first; this is the load of a target of four slots with a queue of four times as many calls."""


@frozen
class TargetIdentity:
    """Who the own target is at present.

    Attributes:
        service: Service of the target.
        service_version: Its release.
        target_id: Id of this start of the target, empty when it has none.
        refusal: Why it gets no calls, empty while it does.
    """

    service: str
    service_version: str
    target_id: str = ""
    refusal: str = ""


def _soft_deadline(route: Route | None, now: float) -> float:
    """Return until when an answer is of full use.

    Calls of the highest rank wait until their deadline: other work that has been done already
    depends on them.
    """
    if route is None or not route.target_latency_ms or not route.priority:
        return math.inf
    return now + route.target_latency_ms / 1000


@frozen
class _InboundCall:
    """A call that another node, or this one, hands to the own target.

    Attributes:
        request: The request.
        context: Its limits.
        route: Name of its route.
        idempotent: Whether it may run more than once.
        identity: Who the target was when the call arrived.
        started: Monotonic time of the arrival.
    """

    request: Request
    context: CallContext
    route: str
    idempotent: bool
    identity: TargetIdentity
    started: float


class TargetDelivery:
    """Answers calls of other nodes, and of this one, with the own target.

    Args:
        address: Address of the target.
        identity: Returns who the target is at present.
        views: Present routing view.
        upstream: Connections.
        admission: Slots of the target.
        health: Requests that the target has lost.
        contexts: Writes the context header.
        drainer: State of the node's stop.
        report: Receives a record of each call.
        events: Log lines.
        names: Names of the headers that callers and targets use.
    """

    def __init__(
        self,
        *,
        address: Address,
        identity: Callable[[], TargetIdentity],
        views: ViewHolder,
        upstream: Upstream,
        admission: Admission,
        health: TargetHealth,
        contexts: ContextCodec,
        drainer: Drainer,
        report: Callable[[CallRecord], None],
        events: EventLog,
        names: HeaderNames = DEFAULT_HEADER_NAMES,
    ) -> None:
        self._address = address
        self._identity = identity
        self._health = health
        self._names = names
        self._views = views
        self._upstream = upstream
        self._admission = admission
        self._contexts = contexts
        self._drainer = drainer
        self._report = report
        self._events = events

    def handle(self, request: Request) -> Response:
        """Answer a request of another node."""
        context = self._contexts.decode(request.context) or self._contexts.new_context()
        return self.deliver(request, context)

    def deliver(self, request: Request, context: CallContext) -> Response:
        """Answer a request; the answer says whether the request may have run."""
        view = self._views.current
        identity = self._identity()
        route = view.route_of(request.path, request.host)
        name = route.name if route is not None else UNROUTED
        started = time.monotonic()
        idempotent = view.is_idempotent(route, identity.service, request.method)
        delivered = _InboundCall(request, context, name, idempotent, identity, started)
        reason = self._reason_to_refuse(delivered)
        if reason:
            return self._refuse(delivered, reason)
        try:
            slot = self._admission.acquire(
                route=name,
                deadline=context.deadline,
                weight=route.weight if route is not None else 1,
                priority=route.priority if route is not None else 0,
                soft_deadline=_soft_deadline(route, started),
                cancel_reason=lambda: self._reason_to_withdraw(delivered),
            )
        except Refused as refusal:
            return self._refuse(delivered, str(refusal))
        reason = self._reason_to_withdraw(delivered)
        if not reason and not self._health.admit(identity.target_id, idempotent=idempotent):
            reason = LOST_REQUEST_REASON
        if reason:
            slot.release(ran=False)
            return self._refuse(delivered, reason)
        return self._run(delivered, slot)

    def _reason_to_refuse(self, delivered: _InboundCall) -> str:
        """Return why a new call is refused, empty when it is not."""
        if self._drainer.draining:
            return "the node is stopping"
        if delivered.context.too_deep:
            return "the call is nested too deeply"
        if delivered.request.service not in ("", delivered.identity.service):
            return "the target belongs to another service"
        if self._is_failing(delivered):
            return LOST_REQUEST_REASON
        return delivered.identity.refusal

    def _reason_to_withdraw(self, delivered: _InboundCall) -> str:
        """Return why a call that waits is refused, empty when it is not."""
        if delivered.request.cancelled():
            return "the caller has gone away"
        now = self._identity()
        if now.target_id != delivered.identity.target_id:
            return "the target was replaced"
        if self._is_failing(delivered):
            return LOST_REQUEST_REASON
        return now.refusal

    def _is_failing(self, delivered: _InboundCall) -> bool:
        target_id = delivered.identity.target_id
        return self._health.should_refuse(target_id, idempotent=delivered.idempotent)

    def _run(self, delivered: _InboundCall, slot: Slot) -> Response:
        started = time.monotonic()
        try:
            answer = self._send(delivered, on_target_done=slot.release)
        except CallFailed as error:
            record_failure = not isinstance(error, (CallerDisconnected, DeadlineExceeded))
            if record_failure:
                self._health.record_failure(delivered.identity.target_id)
            ran = error.verdict is not Verdict.NOT_RUN
            if not ran:
                slot.release(ran=False)
                if record_failure:
                    self._admission.mark_cold()
            # A refusal carries the load; an answer without one says that the target failed.
            answer = failure_response(error, load=self._admission.load if ran else None)
            self._record(delivered, answer, cold=slot.cold)
            return answer
        except BaseException:
            slot.release(ran=False)
            raise

        self._health.record_success()

        def done(end: BodyEnd) -> None:
            slot.release()
            if end is not BodyEnd.COMPLETE:
                answer.verdict = Verdict.MAY_HAVE_RUN
            self._record(delivered, answer, cold=slot.cold, started=started)

        if self._names.not_run and any(name == self._names.not_run for name, _ in answer.headers):
            answer.finish()
            slot.release(ran=False)
            return self._refuse(
                delivered, "the target did not run the request", reached_target=True
            )
        answer.add_done_callback(done)
        answer.load = self._admission.load
        return answer

    def _send(self, delivered: _InboundCall, *, on_target_done: Callable[[], None]) -> Response:
        request, context = delivered.request, delivered.context
        service = self._views.current.config.services.get(delivered.identity.service)
        return self._upstream.send(
            self._address,
            OutgoingRequest(
                method=request.method,
                target=request.target,
                headers=[*request.headers, *self._headers(delivered)],
                body=request.body,
                idempotent=delivered.idempotent,
                deadline=context.deadline,
                cancelled=request.cancelled,
                buffer_response=bool(self._names.signature),
                check_response=self._response_check(request),
                on_target_done=on_target_done,
            ),
            connect_timeout_s=(
                service.connect_timeout_ms / 1000 if service else DEFAULT_CONNECT_TIMEOUT_S
            ),
        )

    def _headers(self, delivered: _InboundCall) -> Headers:
        """Return the headers that the target gets beside those of the request."""
        names = self._names
        if not names.expected_target:
            return [(CONTEXT, self._contexts.encode(delivered.context))]
        left_ms = max(1, int((delivered.context.deadline - time.monotonic()) * 1000))
        headers = [(names.timeout, b"%d" % left_ms)]
        if delivered.identity.target_id:
            headers.append((names.expected_target, delivered.identity.target_id.encode("latin-1")))
        return headers

    def _response_check(
        self, request: Request
    ) -> Callable[[int, Mapping[bytes, bytes]], str] | None:
        """Return the check that an answer is the target's own answer to the request."""
        names = self._names
        if not names.signature:
            return None
        request_id = request.request_id.encode("latin-1")

        def check_response(status: int, fields: Mapping[bytes, bytes]) -> str:
            if fields.get(names.request_id, request_id) != request_id:
                return "the answer belongs to another request"
            if 200 <= status < 300 and names.signature not in fields:
                return "the answer is not signed by the target"
            if b"content-encoding" in fields:
                return "the answer has a content coding"
            return ""

        return check_response

    def _refuse(
        self, delivered: _InboundCall, reason: str, *, reached_target: bool = False
    ) -> Response:
        load = self._admission.load
        if reason == LOST_REQUEST_REASON:
            load = max(load, FAILING_TARGET_LOAD)
        answer = local_response(503, reason, Verdict.NOT_RUN, load=load)
        answer.reached_target = reached_target
        self._events.write(
            Event.CALL_REFUSED,
            route=delivered.route,
            request_id=delivered.request.request_id,
            reason=reason,
            load=load,
        )
        self._record(delivered, answer, cold=False)
        return answer

    def _record(
        self,
        delivered: _InboundCall,
        answer: Response,
        *,
        cold: bool,
        started: float | None = None,
    ) -> None:
        began = started if started is not None else delivered.started
        if started is not None or not answer.refused:
            self._events.write(
                Event.CALL_DELIVERED,
                route=delivered.route,
                request_id=delivered.request.request_id,
                target_id=delivered.identity.target_id,
                service_version=delivered.identity.service_version,
                status=answer.status,
                verdict=answer.verdict.value,
                waited_ms=round((began - delivered.started) * 1000, 1),
                ms=round((time.monotonic() - began) * 1000, 1),
                load=self._admission.load,
                reason=answer.local_reason,
            )
        self._report(
            CallRecord(
                route=delivered.route,
                service=delivered.identity.service,
                service_version=delivered.identity.service_version,
                method=delivered.request.method,
                status=answer.status,
                latency_s=time.monotonic() - began,
                verdict=answer.verdict,
                refused=answer.refused,
                cold=cold,
                delivered_here=True,
            )
        )
