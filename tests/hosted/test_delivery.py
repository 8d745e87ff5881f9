"""Checks by a node before and after its target handles a request."""

from __future__ import annotations

import socket
import threading
import unittest
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from random import Random

from attrs import define, field

from citronrack.calls import Admission, Drainer, Request, Upstream, ViewHolder
from citronrack.calls.context import CallContext, ContextCodec
from citronrack.calls.delivery import FAILING_TARGET_LOAD, TargetDelivery, TargetIdentity
from citronrack.calls.health import TargetHealth
from citronrack.calls.message import Response
from citronrack.calls.notice import StatementTracker
from citronrack.calls.suspects import Suspects
from citronrack.clock import SystemClock
from citronrack.platform.answers import decode_notice
from citronrack.platform.names import HEADERS
from citronrack.telemetry import EventLog
from citronrack.verdict import Verdict

from ..calls.support import ScriptedServer


def make_delivery(
    address: tuple[str, int],
    *,
    identity: Callable[[], TargetIdentity],
    admission: Admission,
    upstream: Upstream,
) -> TargetDelivery:
    """Return the delivery to a target with the platform's header names."""
    clock = SystemClock()
    events = EventLog(node="n", level="error")
    return TargetDelivery(
        address=address,
        identity=identity,
        views=ViewHolder(),
        upstream=upstream,
        admission=admission,
        health=TargetHealth(clock),
        contexts=ContextCodec(key=b"", clock=clock, random=Random(1)),
        drainer=Drainer(),
        report=lambda record: None,
        events=events,
        suspects=Suspects(clock, events),
        statements=StatementTracker(on_change=admission.apply),
        decode_notice=decode_notice,
        names=HEADERS,
    )


@define(eq=False)
class DeliveryFixture:
    """A `TargetDelivery` to a scripted target."""

    answer: bytes = b""
    identity: TargetIdentity = field(factory=lambda: TargetIdentity("catalogue", "v1", "i-1"))
    slots: int = 2
    requests: list[bytes] = field(factory=list)
    target: ScriptedServer = field(init=False)
    delivery: TargetDelivery = field(init=False)
    admission: Admission = field(init=False)

    def __enter__(self) -> DeliveryFixture:
        self.target = ScriptedServer(self._answer_once)
        self.use_admission(Admission(slots=self.slots, clock=SystemClock()))
        return self

    def use_admission(self, admission: Admission) -> None:
        """Deliver through other slots, whose clock may be a manual one."""
        self.admission = admission
        self.delivery = make_delivery(
            self.target.address,
            identity=lambda: self.identity,
            admission=admission,
            upstream=Upstream(),
        )

    def __exit__(self, *_: object) -> None:
        self.target.close()

    def _answer_once(self, connection: socket.socket) -> None:
        data = connection.recv(65_536)
        if data:  # A check whether the target still listens sends nothing.
            self.requests.append(data)
            connection.sendall(self.answer)

    def call(
        self,
        *,
        service: str = "catalogue",
        cancelled: Callable[[], bool] = lambda: False,
        timeout_s: float = 2.0,
    ) -> Response:
        """Return the response to a call that another node forwards."""
        request = Request(
            "POST", b"/x", service=service, request_id="r1", host="h", cancelled=cancelled
        )
        answer = self.delivery.deliver(
            request, CallContext(SystemClock().monotonic() + timeout_s, 1, 1, "k")
        )
        answer.read()
        return answer


def http_answer(status: int, *headers: str, body: bytes = b"ok", request_id: str = "r1") -> bytes:
    """Return the bytes of an answer, with the id of the request."""
    echo = f"Attempt-Id: {request_id}"
    lines = [f"HTTP/1.1 {status} -", echo, f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class DeliveryTest(unittest.TestCase):
    """Responses that are not the target's own, and targets that must not receive a call."""

    def test_target_of_another_service(self) -> None:
        """Guards against running a request at a service that took over the target's address."""
        with DeliveryFixture(http_answer(200, "Instance-Signature: s")) as fixture:
            answer = fixture.call(service="media")
            self.assertIs(answer.verdict, Verdict.NOT_RUN)
            self.assertFalse(answer.reached_target)
            self.assertEqual(fixture.requests, [])

    def test_expected_target_and_remaining_time_are_sent(self) -> None:
        """Guards against running a request at another start of the target or past its deadline."""
        with DeliveryFixture(http_answer(200, "Instance-Signature: s")) as fixture:
            self.assertEqual(fixture.call().status, 200)
            head = fixture.requests[0].lower()
            self.assertIn(b"expected-instance: i-1\r\n", head)
            left_ms = int(head.split(b"deadline-ms: ")[1].split(b"\r\n")[0])
            self.assertTrue(0 < left_ms <= 2000)
            self.assertNotIn(b"x-citronrack", head)

    def test_target_that_loses_requests_gets_no_non_idempotent_one(self) -> None:
        """Guards against losing requests at a target that closes every connection.

        After a lost request, the node refuses calls that must not run twice, and states that they
        were not run, so that another target can run them.
        """
        with DeliveryFixture(b"") as fixture:
            lost = fixture.call()
            self.assertEqual((lost.status, lost.verdict), (502, Verdict.MAY_HAVE_RUN))
            refused = fixture.call()
            self.assertEqual((refused.status, refused.verdict), (503, Verdict.NOT_RUN))
            self.assertFalse(refused.reached_target)
            self.assertEqual(refused.load, FAILING_TARGET_LOAD)
            self.assertEqual(len(fixture.requests), 1)
            fixture.identity = TargetIdentity("catalogue", "v1", "i-2")
            self.assertEqual(fixture.call().status, 502)

    def test_refusal_of_the_target(self) -> None:
        """Guards against treating a target's refusal as a run, or not counting its retry."""
        for status in (421, 429, 503):
            with DeliveryFixture(http_answer(status, "Not-Executed: 1")) as fixture:
                answer = fixture.call()
                self.assertEqual((answer.status, answer.verdict), (503, Verdict.NOT_RUN))
                self.assertTrue(answer.reached_target)
                self.assertEqual(fixture.admission.load, 0)

    def test_answers_that_are_not_the_targets_own(self) -> None:
        """Guards against a success that belongs to another request or is truncated."""
        answers = {
            "unsigned": http_answer(200),
            "other request": http_answer(200, "Instance-Signature: s", request_id="r0"),
            "coded": http_answer(200, "Instance-Signature: s", "Content-Encoding: gzip"),
            "cut short": http_answer(200, "Instance-Signature: s")[:-1],
            "malformed": b"\x00\x01\x02\r\n\r\n",
        }
        for name, data in answers.items():
            with self.subTest(name), DeliveryFixture(data) as fixture:
                answer = fixture.call()
                self.assertEqual((answer.status, answer.verdict), (502, Verdict.MAY_HAVE_RUN))

    def test_failure_of_the_target_is_passed_on(self) -> None:
        """Guards against changing the status of a target's own failure."""
        with DeliveryFixture(http_answer(500, "Instance-Signature: s")) as fixture:
            answer = fixture.call()
            self.assertEqual((answer.status, answer.verdict), (500, Verdict.RAN))

    def test_waiting_call_is_refused_when_the_target_leaves(self) -> None:
        """Guards against a call that was queued for a slot and reaches a target that has left."""
        with DeliveryFixture(http_answer(200, "Instance-Signature: s"), slots=1) as fixture:
            slot = fixture.admission.acquire(route="", deadline=SystemClock().monotonic() + 5)
            waiting = ThreadPoolExecutor(1).submit(fixture.call)
            threading.Event().wait(0.05)
            fixture.identity = TargetIdentity("catalogue", "v1", "i-1", refusal="leaving")
            self.assertIs(waiting.result(1.0).verdict, Verdict.NOT_RUN)
            slot.release()
            self.assertEqual(fixture.requests, [])
