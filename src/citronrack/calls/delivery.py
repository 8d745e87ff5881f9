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
from ._links import Address
from .admission import Admission, Refused, Slot
from .context import CallContext, ContextCodec
from .drain import Drainer
from .headers import CONTEXT, PRODUCT_HEADERS, HeaderNames, Headers
from .health import LOST_REQUESTS, TargetHealth
from .message import (
    Answer,
    CallerGone,
    DeadlinePassed,
    End,
    Request,
    failure_answer,
    own_answer,
)
from .record import CallRecord
from .upstream import Outgoing, Upstream
from .view import ViewHolder

UNROUTED = ""
"""Route name of calls whose route this node does not know yet."""

DEFAULT_CONNECT_TIMEOUT_S = 0.25

LOSING_LOAD = 20
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


def _wanted_by(route: Route | None, now: float) -> float:
    """Return until when an answer is of full use.

    Calls of the highest rank wait until their deadline: other work that has been done already
    depends on them.
    """
    if route is None or not route.target_latency_ms or not route.priority:
        return math.inf
    return now + route.target_latency_ms / 1000


@frozen
class _Delivered:
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
        names: HeaderNames = PRODUCT_HEADERS,
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

    def handle(self, request: Request) -> Answer:
        """Answer a request of another node."""
        context = self._contexts.received(request.context) or self._contexts.fresh()
        return self.deliver(request, context)

    def deliver(self, request: Request, context: CallContext) -> Answer:
        """Answer a request; the answer says whether the request may have run."""
        view = self._views.current
        identity = self._identity()
        route = view.route_of(request.path, request.host)
        name = route.name if route is not None else UNROUTED
        started = time.monotonic()
        idempotent = view.may_repeat(route, identity.service, request.method)
        delivered = _Delivered(request, context, name, idempotent, identity, started)
        reason = self._reason_to_refuse(delivered)
        if reason:
            return self._refuse(delivered, reason)
        try:
            slot = self._admission.acquire(
                route=name,
                deadline=context.deadline,
                weight=route.weight if route is not None else 1,
                priority=route.priority if route is not None else 0,
                wanted_by=_wanted_by(route, started),
                withdrawn=lambda: self._reason_to_withdraw(delivered),
            )
        except Refused as refusal:
            return self._refuse(delivered, str(refusal))
        reason = self._reason_to_withdraw(delivered)
        if not reason and not self._health.admit(identity.target_id, idempotent=idempotent):
            reason = LOST_REQUESTS
        if reason:
            slot.release(ran=False)
            return self._refuse(delivered, reason)
        return self._run(delivered, slot)

    def _reason_to_refuse(self, delivered: _Delivered) -> str:
        """Return why a new call is refused, empty when it is not."""
        if self._drainer.draining:
            return "the node is stopping"
        if delivered.context.too_deep:
            return "the call is nested too deeply"
        if delivered.request.service not in ("", delivered.identity.service):
            return "the target belongs to another service"
        if self._loses(delivered):
            return LOST_REQUESTS
        return delivered.identity.refusal

    def _reason_to_withdraw(self, delivered: _Delivered) -> str:
        """Return why a call that waits is refused, empty when it is not."""
        if delivered.request.cancelled():
            return "the caller has gone away"
        now = self._identity()
        if now.target_id != delivered.identity.target_id:
            return "the target was replaced"
        if self._loses(delivered):
            return LOST_REQUESTS
        return now.refusal

    def _loses(self, delivered: _Delivered) -> bool:
        target_id = delivered.identity.target_id
        return self._health.refuses(target_id, idempotent=delivered.idempotent)

    def _run(self, delivered: _Delivered, slot: Slot) -> Answer:
        started = time.monotonic()
        try:
            answer = self._send(delivered, settled=slot.release)
        except CallFailed as error:
            lost = not isinstance(error, (CallerGone, DeadlinePassed))
            if lost:
                self._health.lost(delivered.identity.target_id)
            ran = error.verdict is not Verdict.NOT_RUN
            if not ran:
                slot.release(ran=False)
                if lost:
                    self._admission.mark_cold()
            # A refusal carries the load; an answer without one says that the target failed.
            answer = failure_answer(error, load=self._admission.load if ran else None)
            self._record(delivered, answer, cold=slot.cold)
            return answer
        except BaseException:
            slot.release(ran=False)
            raise

        self._health.answered()

        def done(end: End) -> None:
            slot.release()
            if end is not End.COMPLETE:
                answer.verdict = Verdict.MAY_HAVE_RUN
            self._record(delivered, answer, cold=slot.cold, started=started)

        if self._names.not_run and any(name == self._names.not_run for name, _ in answer.headers):
            answer.finish()
            slot.release(ran=False)
            return self._refuse(delivered, "the target did not run the request", arrived=True)
        answer.when_done(done)
        answer.load = self._admission.load
        return answer

    def _send(self, delivered: _Delivered, *, settled: Callable[[], None]) -> Answer:
        request, context = delivered.request, delivered.context
        service = self._views.current.config.services.get(delivered.identity.service)
        return self._upstream.send(
            self._address,
            Outgoing(
                method=request.method,
                target=request.target,
                headers=[*request.headers, *self._headers(delivered)],
                body=request.body,
                idempotent=delivered.idempotent,
                deadline=context.deadline,
                cancelled=request.cancelled,
                hold_answer=bool(self._names.signature),
                fault_of=self._fault_check(request),
                settled=settled,
            ),
            connect_timeout_s=(
                service.connect_timeout_ms / 1000 if service else DEFAULT_CONNECT_TIMEOUT_S
            ),
        )

    def _headers(self, delivered: _Delivered) -> Headers:
        """Return the headers that the target gets beside those of the request."""
        names = self._names
        if not names.expected_target:
            return [(CONTEXT, self._contexts.encode(delivered.context))]
        left_ms = max(1, int((delivered.context.deadline - time.monotonic()) * 1000))
        headers = [(names.timeout, b"%d" % left_ms)]
        if delivered.identity.target_id:
            headers.append((names.expected_target, delivered.identity.target_id.encode("latin-1")))
        return headers

    def _fault_check(self, request: Request) -> Callable[[int, Mapping[bytes, bytes]], str] | None:
        """Return the check that an answer is the target's own answer to the request."""
        names = self._names
        if not names.signature:
            return None
        request_id = request.request_id.encode("latin-1")

        def fault_of(status: int, fields: Mapping[bytes, bytes]) -> str:
            if fields.get(names.request_id, request_id) != request_id:
                return "the answer belongs to another request"
            if 200 <= status < 300 and names.signature not in fields:
                return "the answer is not signed by the target"
            if b"content-encoding" in fields:
                return "the answer has a content coding"
            return ""

        return fault_of

    def _refuse(self, delivered: _Delivered, reason: str, *, arrived: bool = False) -> Answer:
        load = self._admission.load
        if reason == LOST_REQUESTS:
            load = max(load, LOSING_LOAD)
        answer = own_answer(503, reason, Verdict.NOT_RUN, load=load)
        answer.arrived = arrived
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
        delivered: _Delivered,
        answer: Answer,
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
                reason=answer.own_reason,
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
