"""Hands calls to the own target."""

from __future__ import annotations

import time
from collections.abc import Callable

from ..errors import CallFailed
from ..telemetry import Event, EventLog
from ..verdict import Verdict
from .admission import Admission, Refused, Slot
from .context import CallContext, ContextCodec
from .drain import Drainer
from .headers import CONTEXT
from .message import Answer, End, Request, failure_answer, own_answer
from .record import CallRecord
from .upstream import Address, Outgoing, Upstream
from .view import ViewHolder

UNROUTED = ""
"""Route name of calls whose route this node does not know yet."""

DEFAULT_CONNECT_TIMEOUT_S = 0.25


class TargetDelivery:
    """Answers calls of other nodes, and of this one, with the own target.

    Args:
        address: Address of the target.
        service: Service of the target.
        service_version: Release of the target.
        views: Present routing view.
        upstream: Connections.
        admission: Slots of the target.
        contexts: Writes the context header.
        drainer: State of the node's stop.
        report: Receives a record of each call.
        events: Log lines.
    """

    def __init__(
        self,
        *,
        address: Address,
        service: str,
        service_version: str,
        views: ViewHolder,
        upstream: Upstream,
        admission: Admission,
        contexts: ContextCodec,
        drainer: Drainer,
        report: Callable[[CallRecord], None],
        events: EventLog,
    ) -> None:
        self._address = address
        self._service = service
        self._service_version = service_version
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
        route = view.route_of(request.path)
        name = route.name if route is not None else UNROUTED
        started = time.monotonic()
        if self._drainer.draining:
            return self._refuse(request, name, "the node is stopping", started)
        if context.too_deep:
            return self._refuse(request, name, "the call is nested too deeply", started)
        try:
            slot = self._admission.acquire(
                route=name,
                deadline=context.deadline,
                weight=route.weight if route is not None else 1,
                cancelled=request.cancelled,
            )
        except Refused as refusal:
            return self._refuse(request, name, str(refusal), started)
        return self._run(request, context, name, slot)

    def _run(self, request: Request, context: CallContext, route: str, slot: Slot) -> Answer:
        started = time.monotonic()
        try:
            answer = self._send(request, context)
        except CallFailed as error:
            ran = error.verdict is not Verdict.NOT_RUN
            slot.release(ran=ran)
            if not ran:
                self._admission.mark_cold()
            answer = failure_answer(error, load=self._admission.load)
            self._record(request, route, answer, started, cold=slot.cold)
            return answer
        except BaseException:
            slot.release(ran=False)
            raise

        def done(end: End) -> None:
            slot.release()
            if end is not End.COMPLETE:
                answer.verdict = Verdict.MAY_HAVE_RUN
            self._record(request, route, answer, started, cold=slot.cold)

        answer.when_done(done)
        answer.load = self._admission.load
        return answer

    def _send(self, request: Request, context: CallContext) -> Answer:
        service = self._views.current.config.services.get(self._service)
        return self._upstream.send(
            self._address,
            Outgoing(
                method=request.method,
                target=request.target,
                headers=[*request.headers, (CONTEXT, self._contexts.encode(context))],
                body=request.body,
                idempotent=service is not None and request.method in service.idempotent_methods,
                deadline=context.deadline,
                cancelled=request.cancelled,
            ),
            connect_timeout_s=(
                service.connect_timeout_ms / 1000 if service else DEFAULT_CONNECT_TIMEOUT_S
            ),
        )

    def _refuse(self, request: Request, route: str, reason: str, started: float) -> Answer:
        answer = own_answer(503, reason, Verdict.NOT_RUN, load=self._admission.load)
        self._events.write(Event.CALL_REFUSED, route=route, reason=reason)
        self._record(request, route, answer, started, cold=False)
        return answer

    def _record(
        self, request: Request, route: str, answer: Answer, started: float, *, cold: bool
    ) -> None:
        self._report(
            CallRecord(
                route=route,
                service=self._service,
                service_version=self._service_version,
                method=request.method,
                status=answer.status,
                latency_s=time.monotonic() - started,
                verdict=answer.verdict,
                refused=answer.refused,
                cold=cold,
                delivered_here=True,
            )
        )
