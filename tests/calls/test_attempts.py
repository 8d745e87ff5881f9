"""What the answer to a call says after several attempts."""

from __future__ import annotations

import unittest
from collections.abc import Iterable
from random import Random

from citronrack.calls import PoolTarget, Request, RouteIndex, RoutingView, Upstream, ViewHolder
from citronrack.calls._connections import Address
from citronrack.calls.balancer import Balancer
from citronrack.calls.budget import RetryBudget
from citronrack.calls.context import ContextCodec
from citronrack.calls.message import Response, local_response
from citronrack.calls.router import Router
from citronrack.calls.upstream import OutgoingRequest
from citronrack.clock import ManualClock, SystemClock
from citronrack.config import ConfigSet, Route, Service
from citronrack.telemetry import EventLog
from citronrack.verdict import Verdict

SERVICE = "catalogue"
TARGETS = 3


class ScriptedUpstream(Upstream):
    """Gives prepared answers, one for each attempt."""

    def __init__(self, answers: Iterable[Response]) -> None:
        super().__init__()
        self._answers = iter(answers)

    def send(
        self, address: Address, request: OutgoingRequest, *, connect_timeout_s: float
    ) -> Response:
        """Return the next answer."""
        return next(self._answers)


def lost() -> Response:
    """Return the answer of a node whose target has lost the request."""
    return local_response(502, "the connection broke", Verdict.MAY_HAVE_RUN, load=1)


def refused() -> Response:
    """Return the answer of a node that did not give the request to its target."""
    return local_response(503, "the queue is full", Verdict.NOT_RUN, load=9)


class LastAnswerTest(unittest.TestCase):
    """Verdicts of calls that went to several targets."""

    def answer(self, *answers: Response) -> Response:
        """Return the answer to an idempotent call whose attempts get these answers."""
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
        router = Router(
            views=views,
            upstream=ScriptedUpstream(answers),
            balancer=Balancer(availability_zone="z", link_rtt_s=0.0, clock=clock, random=Random(1)),
            budget=RetryBudget(ratio=1.0),
            contexts=ContextCodec(key=b"", clock=SystemClock(), random=Random(1)),
            report=lambda record: None,
            events=EventLog(node="n", level="error"),
        )
        return router.handle(Request("GET", b"/x", host="h"))

    def test_refusal_after_a_lost_attempt(self) -> None:
        """Guards against an answer "not run" for a call that another target may have run."""
        answer = self.answer(lost(), refused(), refused(), refused())
        self.assertEqual((answer.status, answer.verdict), (502, Verdict.MAY_HAVE_RUN))

    def test_refusals_alone(self) -> None:
        """Guards against an unknown outcome where no target has had the call."""
        answer = self.answer(refused(), refused(), refused())
        self.assertEqual((answer.status, answer.verdict), (503, Verdict.NOT_RUN))

    def test_answer_after_a_lost_attempt(self) -> None:
        """Guards against a good answer that is dropped for what happened before it."""
        answer = self.answer(lost(), Response(200))
        self.assertEqual((answer.status, answer.verdict), (200, Verdict.RAN))
