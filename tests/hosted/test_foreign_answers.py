"""Answers of targets that repeat, cut short or mislabel what they send."""

from __future__ import annotations

import socket
import time
import unittest
from collections.abc import Callable, Iterator

from citronrack.calls import Admission, Request, Upstream
from citronrack.calls._sockets import abort
from citronrack.calls.context import CallContext
from citronrack.calls.message import Response
from citronrack.calls.target_identity import TargetIdentity
from citronrack.clock import SystemClock
from citronrack.verdict import Verdict

from ..calls.support import ScriptedServer
from .test_delivery import make_delivery

Script = Callable[[socket.socket], None]
REFUSED, SERVED = "503 -\r\nNot-Executed: 1", "200 -\r\nInstance-Signature: s"
IDLE_S = 0.01
"""Idle time between two requests, longer than the shortest after which a connection is reused."""


def answer(status: str, request_id: str | None, body: str = "") -> bytes:
    """Return the bytes of an answer, without an id for None."""
    echo = "" if request_id is None else f"Attempt-Id: {request_id}\r\n"
    return f"HTTP/1.1 {status}\r\n{echo}Content-Length: {len(body)}\r\n\r\n{body}".encode()


def repeating(copy: bytes, *, delay_s: float | None) -> Script:
    """Return a script that refuses the first request and later sends ``copy`` once more.

    Args:
        copy: The bytes that are sent again.
        delay_s: Delay of the copy after the refusal; None to send it after the second request.
    """

    def script(connection: socket.socket) -> None:
        connection.recv(65_536)
        connection.sendall(answer(REFUSED, "r1"))
        if delay_s is not None:
            time.sleep(delay_s)
            connection.sendall(copy)
        if not connection.recv(65_536):
            return
        connection.sendall((copy if delay_s is None else b"") + answer(SERVED, "r2", "two"))
        connection.recv(1)

    return script


def serving(connection: socket.socket) -> None:
    """Answer one request of a new connection."""
    if connection.recv(65_536):
        connection.sendall(answer(SERVED, "r2", "two"))


def cut(data: bytes, *, reset: bool) -> Script:
    """Return a script that sends ``data`` and closes or resets the connection."""

    def script(connection: socket.socket) -> None:
        connection.recv(65_536)
        connection.sendall(data)
        if reset:
            abort(connection)

    return script


class ForeignAnswersTest(unittest.TestCase):
    """What a node makes of bytes that are not the whole answer to its request."""

    def deliver_to(self, *scripts: Script) -> Callable[[str], Response]:
        """Return a function that delivers a request with an id to a target with these scripts."""
        clock = SystemClock()
        server = ScriptedServer(*scripts)
        self.addCleanup(server.close)
        upstream = Upstream()
        self.addCleanup(upstream.close)
        delivery = make_delivery(
            server.address,
            identity=lambda: TargetIdentity("catalogue", "v1", "i-1"),
            admission=Admission(slots=2, clock=clock),
            upstream=upstream,
        )

        def deliver(request_id: str) -> Response:
            request = Request("POST", b"/x", service="catalogue", request_id=request_id, host="h")
            response = delivery.deliver(request, CallContext(clock.monotonic() + 3.0, 1, 1, "k"))
            response.read()
            return response

        return deliver

    def variants(self) -> Iterator[tuple[str, Script]]:
        """Yield scripts that send an earlier answer once more."""
        copies = {
            "refusal with the older id": answer(REFUSED, "r1"),
            "refusal without an id": answer(REFUSED, None),
            "success with the older id": answer(SERVED, "r1", "one"),
            "success without an id": answer(SERVED, None, "one"),
        }
        for name, copy in copies.items():
            for delay_s in (0.0, IDLE_S / 2, None):
                yield f"{name}, delay {delay_s}", repeating(copy, delay_s=delay_s)

    def test_repeated_answer_on_a_kept_connection(self) -> None:
        """Guards against "not run" or a foreign body for a request that reached the target."""
        for name, script in self.variants():
            with self.subTest(name):
                deliver = self.deliver_to(script, serving)
                self.assertIs(deliver("r1").verdict, Verdict.NOT_RUN)
                time.sleep(IDLE_S)
                second = deliver("r2")
                self.assertIsNot(second.verdict, Verdict.NOT_RUN)
                if second.status == 200:
                    self.assertEqual(second.whole, b"two")

    def test_answer_cut_at_each_byte(self) -> None:
        """Guards against a success with an empty or short body that looks complete."""
        chunked = (
            b"HTTP/1.1 200 -\r\nInstance-Signature: s\r\nAttempt-Id: r1\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n"
        )
        for whole in (answer(SERVED, "r1", "one"), chunked):
            for end in range(len(whole)):
                for reset in (False, True):
                    with self.subTest(end=end, reset=reset):
                        response = self.deliver_to(cut(whole[:end], reset=reset))("r1")
                        self.assertEqual(response.status, 502)
                        self.assertIs(response.verdict, Verdict.MAY_HAVE_RUN)

    def test_answer_without_a_length_that_is_reset(self) -> None:
        """Guards against a body without a length that ends with a reset and looks complete."""
        head = b"HTTP/1.1 200 -\r\nInstance-Signature: s\r\nAttempt-Id: r1\r\n\r\non"
        self.assertEqual(self.deliver_to(cut(head, reset=True))("r1").status, 502)

    def test_interim_answers(self) -> None:
        """Guards against an interim answer that is taken as the whole answer."""
        interim = b"HTTP/1.1 103 -\r\nInstance-Signature: s\r\nAttempt-Id: r1\r\n\r\n"
        self.assertEqual(self.deliver_to(cut(interim, reset=False))("r1").status, 502)
        whole = interim + answer(SERVED, "r1", "one")
        self.assertEqual(self.deliver_to(cut(whole, reset=False))("r1").whole, b"one")
        short = answer(SERVED, "r1", "one")[:-1]
        self.assertEqual(self.deliver_to(cut(short, reset=False))("r1").status, 502)
