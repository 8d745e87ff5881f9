"""Delivers calls to the local target."""

from __future__ import annotations

import math
import time
from collections.abc import Callable, Mapping

from attrs import frozen

from ..config import Route
from ..decisions.room import Urgency
from ..errors import CallFailed
from ..telemetry import Event, EventLog
from ..validators import MAX_NUMBER
from ..verdict import Verdict
from ._arrivals import ArrivalWindow
from ._connections import Address
from ._in_hand import RequestsInHand
from .admission import Admission, Refused, Slot
from .authentication import without_credentials
from .context import CallContext, ContextCodec
from .drain import Drainer
from .headers import CONTEXT, DEFAULT_HEADER_NAMES, HeaderNames, Headers
from .health import LOST_REQUEST_REASON, TargetHealth
from .message import (
    CALLER_GONE,
    BodyEnd,
    CallerDisconnected,
    DeadlineExceeded,
    Request,
    Response,
    failure_response,
    local_response,
)
from .notice import NoticeDecoder, StatementTracker, no_notice
from .record import CallRecord
from .suspects import Suspects
from .target_identity import TargetIdentity
from .upstream import OutgoingRequest, Upstream
from .view import RoutingView, ViewHolder

SUSPECT_RUNS = "targets have ended under this request, and it cannot run alone now"

UNROUTED = ""
"""Route name of calls whose route is not in this node's configuration yet."""

DEFAULT_CONNECT_TIMEOUT_S = 0.25

MISDIRECTED = 421
"""Status with which another process than the expected one refuses a request."""

FAILING_TARGET_LOAD = 20
"""Load reported for a target that fails requests. Such a target looks idle, and other nodes would
prefer it. The value equals four busy slots and a queue of 16 calls."""


def _soft_deadline(route: Route | None, request: Request, now: float) -> float:
    """Return the monotonic time by which the response should have ended.

    Calls of the highest priority have no soft deadline, because work that is already done depends
    on them; they wait until their deadline.
    """
    if route is None or not route.target_latency_ms or not route.priority:
        return math.inf
    aim_ms = request.aim_ms if request.aim_ms is not None else route.target_latency_ms
    return now + aim_ms / 1000


def _urgency(view: RoutingView, route: Route | None, workspace: str) -> Urgency:
    """Return the urgency of a call; a workspace that is not configured here has no priority."""
    known = view.config.workspaces.get(workspace)
    return Urgency(
        workspace=(known.priority or 0) if known is not None else 0,
        route=route.priority if route is not None else 0,
    )


def _rank(urgency: Urgency) -> int:
    """Return an urgency as one number; the lower one goes first."""
    return urgency.workspace * (MAX_NUMBER + 1) + urgency.route


@frozen
class _InboundCall:
    """A call for the local target, from another node or from this one.

    Attributes:
        request: The request.
        context: Its deadline and retry state.
        route: Name of its route.
        idempotent: Whether it may run more than once.
        identity: Identity of the target when the call arrived.
        started: Monotonic time of the arrival.
        urgency: Rank of the call under overload.
    """

    request: Request
    context: CallContext
    route: str
    idempotent: bool
    identity: TargetIdentity
    started: float
    urgency: Urgency


class TargetDelivery:
    """Handles calls for the local target, from other nodes and from this one.

    Args:
        address: Address of the target.
        identity: Returns the current identity of the target.
        views: Holder of the current routing view.
        upstream: Connections.
        admission: Slots of the target.
        health: Recent failures of the target.
        contexts: Writes the context header.
        drainer: Drain state of the node.
        report: Receives a record of each call.
        events: Event log.
        statements: What the target states in its answers.
        decode_notice: Decodes the statements in the headers of an answer.
        suspects: Requests that may have ended their targets.
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
        suspects: Suspects,
        statements: StatementTracker | None = None,
        decode_notice: NoticeDecoder = no_notice,
        names: HeaderNames = DEFAULT_HEADER_NAMES,
    ) -> None:
        self._statements = statements if statements is not None else StatementTracker()
        self._arrivals = ArrivalWindow()
        self._in_hand = RequestsInHand(address, identity=identity, suspects=suspects)
        self._decode_notice = decode_notice
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
        """Handle a request of another node."""
        context = self._contexts.decode(request.context) or self._contexts.new_context()
        return self.deliver(request, context.with_deadline(self._drainer.latest_end))

    def deliver(self, request: Request, context: CallContext) -> Response:
        """Handle a request; the response's verdict says whether it may have run."""
        response = self._deliver(request, context)
        response.pause_s = self._admission.pause_s
        return response

    def _deliver(self, request: Request, context: CallContext) -> Response:
        view = self._views.current
        identity = self._identity()
        route = view.route_of(request.path, request.host)
        name = route.name if route is not None else UNROUTED
        started = time.monotonic()
        idempotent = view.is_idempotent(route, identity.service, request.method)
        urgency = _urgency(view, route, request.workspace)
        call = _InboundCall(request, context, name, idempotent, identity, started, urgency)
        reason = self._reason_to_refuse(call)
        if reason:
            return self._refuse(call, reason)
        self._statements.follow(lambda: self._identity().process)
        try:
            slot = self._admission.acquire(
                route=name,
                deadline=context.deadline,
                weight=route.weight if route is not None else 1,
                priority=_rank(urgency),
                soft_deadline=_soft_deadline(route, request, started),
                cancel_reason=lambda: self._reason_to_withdraw(call),
            )
        except Refused as refusal:
            return self._refuse(call, str(refusal))
        reason = self._reason_to_withdraw(call)
        if not reason and not self._health.admit(identity.target_id, idempotent=idempotent):
            reason = LOST_REQUEST_REASON
        if not reason and not self._in_hand.add(request, identity.process):
            reason = SUSPECT_RUNS
        if reason:
            slot.release(ran=False)
            return self._refuse(call, reason)
        return self._run(call, slot)

    def _reason_to_refuse(self, call: _InboundCall) -> str:
        """Return the reason to refuse a new call, empty for none."""
        if self._drainer.draining:
            return "the node is stopping"
        if call.context.too_deep:
            return "the call is nested too deeply"
        if call.request.service not in ("", call.identity.service):
            return "the target belongs to another service"
        if self._is_failing(call):
            return LOST_REQUEST_REASON
        return call.identity.refusal

    def _reason_to_withdraw(self, call: _InboundCall) -> str:
        """Return the reason to refuse a queued call, empty for none."""
        if call.request.cancelled():
            return CALLER_GONE
        now = self._identity()
        if now.target_id != call.identity.target_id:
            return "the target was replaced"
        if self._is_failing(call):
            return LOST_REQUEST_REASON
        return now.refusal

    def _is_failing(self, call: _InboundCall) -> bool:
        target_id = call.identity.target_id
        return self._health.should_refuse(target_id, idempotent=call.idempotent)

    def _run(self, call: _InboundCall, slot: Slot) -> Response:
        started = time.monotonic()
        try:
            response = self._send(call, on_target_done=slot.release)
        except CallFailed as error:
            target_ended = self._in_hand.remove_failed(call.request, error)
            target_failed = not isinstance(error, (CallerDisconnected, DeadlineExceeded))
            if target_failed:
                self._health.record_failure(call.identity.target_id)
            ran = error.verdict is not Verdict.NOT_RUN
            if not ran:
                slot.release(ran=False)
                if target_failed:
                    self._admission.mark_cold()
            # Other nodes count a refusal with a load as a refusal, one without as a failure.
            response = failure_response(error, load=self._admission.load if ran else None)
            response.target_ended = target_ended
            self._record(call, response, cold=slot.cold)
            return response
        except BaseException:
            self._in_hand.remove(call.request)
            slot.release(ran=False)
            raise

        self._health.record_success()

        def done(end: BodyEnd) -> None:
            self._in_hand.remove(call.request)
            slot.release()
            if end is not BodyEnd.COMPLETE:
                response.verdict = Verdict.MAY_HAVE_RUN
            self._record(call, response, cold=slot.cold, started=started)

        if self._names.not_run and any(name == self._names.not_run for name, _ in response.headers):
            response.finish()
            self._in_hand.remove(call.request)
            slot.release(ran=False)
            return self._refuse(call, "the target did not run the request", reached_target=True)
        response.add_done_callback(done)
        response.load = self._admission.load
        return response

    def _send(self, call: _InboundCall, *, on_target_done: Callable[[], None]) -> Response:
        request, context = call.request, call.context
        self._record_arrival()
        service = self._views.current.config.services.get(call.identity.service)
        return self._upstream.send(
            self._address,
            OutgoingRequest(
                method=request.method,
                target=request.target,
                headers=[
                    *without_credentials(request.headers, self._names, self._views.current),
                    *self._headers(call),
                ],
                body=request.body,
                idempotent=call.idempotent,
                deadline=context.deadline,
                cancelled=request.cancelled,
                buffer_response=bool(self._names.signature),
                check_response=self._response_check(call),
                on_target_done=on_target_done,
            ),
            connect_timeout_s=(
                service.connect_timeout_ms / 1000 if service else DEFAULT_CONNECT_TIMEOUT_S
            ),
        )

    def _record_arrival(self) -> None:
        """Count a call that is passed to the target, and log the count while there is a limit."""
        arrivals = self._arrivals.record(time.monotonic())
        statement = self._statements.current
        if arrivals is not None and statement.limit_per_s is not None:
            self._events.write(
                Event.TARGET_ARRIVALS,
                target_id=statement.process[0],
                arrivals=arrivals,
                limit_per_s=statement.limit_per_s,
            )

    def _headers(self, call: _InboundCall) -> Headers:
        """Return the headers that are added to those of the request."""
        names = self._names
        if not names.expected_target:
            return [(CONTEXT, self._contexts.encode(call.context))]
        left_ms = max(1, int((call.context.deadline - time.monotonic()) * 1000))
        headers = [(names.timeout, b"%d" % left_ms)]
        if call.identity.target_id:
            headers.append((names.expected_target, call.identity.target_id.encode("latin-1")))
        return headers

    def _response_check(
        self, call: _InboundCall
    ) -> Callable[[int, Mapping[bytes, bytes]], str] | None:
        """Return the check that a response is the target's genuine response to the request.

        The check also records what the target states in a response, whether it is genuine or not.
        """
        if not self._names.signature:
            return None
        sent_at = time.monotonic()

        def check_response(status: int, fields: Mapping[bytes, bytes]) -> str:
            fault = self._fault_of_response(call.request, status, fields)
            if status != MISDIRECTED:  # Such a response is of another process.
                self._statements.observe(
                    call.identity.process,
                    self._decode_notice(fields),
                    genuine=not fault,
                    sent_at=sent_at,
                    now=time.monotonic(),
                )
            return fault

        return check_response

    def _fault_of_response(
        self, request: Request, status: int, fields: Mapping[bytes, bytes]
    ) -> str:
        """Return why a response is not the target's genuine one to a request, empty if it is."""
        names = self._names
        # Targets echo the id. A response without it may be a copy of an earlier one.
        if fields.get(names.request_id, b"") != request.request_id.encode("latin-1"):
            return "the answer belongs to another request"
        if 200 <= status < 300 and names.signature not in fields:
            return "the answer is not signed by the target"
        if b"content-encoding" in fields:
            return "the answer has a content coding"
        return ""

    def _refuse(self, call: _InboundCall, reason: str, *, reached_target: bool = False) -> Response:
        load = self._admission.load
        if reason == LOST_REQUEST_REASON:
            load = max(load, FAILING_TARGET_LOAD)
        response = local_response(503, reason, Verdict.NOT_RUN, load=load)
        response.reached_target = reached_target
        response.evacuated = self._identity().evacuated and not reached_target
        self._events.write(
            Event.CALL_REFUSED,
            route=call.route,
            request_id=call.request.request_id,
            reason=reason,
            load=load,
        )
        self._record(call, response, cold=False)
        return response

    def _record(
        self,
        call: _InboundCall,
        response: Response,
        *,
        cold: bool,
        started: float | None = None,
    ) -> None:
        began = started if started is not None else call.started
        if started is not None or not response.refused:
            self._events.write(
                Event.CALL_DELIVERED,
                route=call.route,
                request_id=call.request.request_id,
                target_id=call.identity.target_id,
                service_version=call.identity.service_version,
                status=response.status,
                verdict=response.verdict.value,
                waited_ms=round((began - call.started) * 1000, 1),
                ms=round((time.monotonic() - began) * 1000, 1),
                load=self._admission.load,
                reason=response.local_reason,
            )
        self._report(
            CallRecord(
                route=call.route,
                service=call.identity.service,
                service_version=call.identity.service_version,
                method=call.request.method,
                status=response.status,
                latency_s=time.monotonic() - began,
                verdict=response.verdict,
                refused=response.refused,
                cold=cold,
                delivered_here=True,
            )
        )
