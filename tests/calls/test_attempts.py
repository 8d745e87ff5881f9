"""The response to a call after several attempts."""

from __future__ import annotations

import unittest
from collections.abc import Iterable
from random import Random

from citronrack.calls import PoolTarget, Request, RouteIndex, RoutingView, Upstream, ViewHolder
from citronrack.calls._connections import Address
from citronrack.calls.balancer import Balancer
from citronrack.calls.budget import RetryBudgets
from citronrack.calls.context import ContextCodec
from citronrack.calls.message import Response, local_response
from citronrack.calls.router import Router
from citronrack.calls.suspects import Suspects
from citronrack.calls.upstream import OutgoingRequest
from citronrack.clock import ManualClock, SystemClock
from citronrack.config import ConfigSet, Route, Service
from citronrack.telemetry import EventLog
from citronrack.verdict import Verdict

SERVICE = "catalogue"
TARGETS = 3


class ScriptedUpstream(Upstream):
    """Returns prepared responses, one for each attempt."""

    def __init__(self, responses: Iterable[Response]) -> None:
        super().__init__()
        self._responses = iter(responses)

    def send(
        self, address: Address, request: OutgoingRequest, *, connect_timeout_s: float
    ) -> Response:
        """Return the next response."""
        return next(self._responses)


def lost_response() -> Response:
    """Return the response of a node whose target failed the request."""
    return local_response(502, "the connection broke", Verdict.MAY_HAVE_RUN, load=1)


def refusal() -> Response:
    """Return the response of a node that did not send the request to its target."""
    return local_response(503, "the queue is full", Verdict.NOT_RUN, load=9)


class LastResponseTest(unittest.TestCase):
    """Verdicts of calls with several attempts."""

    def route_call(self, *responses: Response) -> Response:
        """Route an idempotent call whose attempts get these responses."""
        route = Route("r", "/", SERVICE, "", idempotent=True)
        config = ConfigSet(1, {SERVICE: Service(SERVICE)}, {"r": route})
        views = ViewHolder()
        pool = tuple(
            PoolTarget(f"n{index}", ("10.0.0.1", index), "z", 2) for index in range(TARGETS)
        )
        views.current = RoutingView(
            ready=True, config=config, pools={(SERVICE, ""): pool}, index=RouteIndex([route])
        )
        clock = ManualClock()
        events = EventLog(node="n", level="error")
        router = Router(
            views=views,
            upstream=ScriptedUpstream(responses),
            balancer=Balancer(availability_zone="z", link_rtt_s=0.0, clock=clock, random=Random(1)),
            budget=RetryBudgets(ratio=1.0),
            contexts=ContextCodec(key=b"", clock=SystemClock(), random=Random(1)),
            report=lambda record: None,
            events=events,
            suspects=Suspects(clock, events),
        )
        return router.handle(Request("GET", b"/x", host="h"))

    def test_refusal_after_a_lost_attempt(self) -> None:
        """Guards against the verdict "not run" for a call that another target may have run."""
        response = self.route_call(lost_response(), refusal(), refusal(), refusal())
        self.assertEqual((response.status, response.verdict), (502, Verdict.MAY_HAVE_RUN))

    def test_refusals_alone(self) -> None:
        """Guards against an unknown outcome when the call reached no target."""
        response = self.route_call(refusal(), refusal(), refusal())
        self.assertEqual((response.status, response.verdict), (503, Verdict.NOT_RUN))

    def test_response_after_a_lost_attempt(self) -> None:
        """Guards against a valid response that is replaced because an earlier attempt failed."""
        response = self.route_call(lost_response(), Response(200))
        self.assertEqual((response.status, response.verdict), (200, Verdict.RAN))
