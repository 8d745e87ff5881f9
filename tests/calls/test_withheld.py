"""Bodies that wait until a node asks for them."""

from __future__ import annotations

import queue
import socket
import threading
import time
import unittest
from collections.abc import Callable

from citronrack.calls.message import IterableBody, Response, WholeBody
from citronrack.calls.upstream import OutgoingRequest, Upstream
from citronrack.errors import CallFailed
from citronrack.verdict import Verdict

from .support import ScriptedServer

BODY = b"order"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
Script = Callable[[socket.socket], object]


def take_head(connection: socket.socket) -> bytes:
    """Return what arrives up to the end of a head."""
    data = b""
    while not data.endswith(b"\r\n\r\n"):
        byte = connection.recv(1)
        if not byte:
            raise ConnectionError("the connection ended within a head")
        data += byte
    return data


def take_body(connection: socket.socket) -> None:
    """Ask for the body and read it."""
    connection.sendall(CONTINUE)
    left = len(BODY)
    while left:
        left -= len(connection.recv(left))


def answer_once(connection: socket.socket) -> None:
    """Answer one request as a node does."""
    take_head(connection)
    take_body(connection)
    connection.sendall(ANSWER)


class WithheldBodyTest(unittest.TestCase):
    """What is known of a request that must not run twice when its node is lost."""

    def send(
        self, *scripts: Script, method: str = "POST", limit_s: float = 5.0, times: int = 1
    ) -> Response:
        """Send a request to a node; several one after the other over kept connections."""
        node = ScriptedServer(*scripts)
        self.addCleanup(node.close)
        upstream = Upstream()
        self.addCleanup(upstream.close)
        for _ in range(times):
            request = OutgoingRequest(
                method=method,
                target=b"/",
                headers=[(b"host", b"h")],
                body=WholeBody(BODY),
                idempotent=method != "POST",
                deadline=time.monotonic() + limit_s,
                cancelled=lambda: False,
                to_node=True,
            )
            answer = upstream.send(node.address, request, connect_timeout_s=2.0)
            answer.finish()
            time.sleep(0.05)
        return answer

    def failure(self, script: Script, *, limit_s: float = 5.0) -> Verdict:
        """Return the verdict on a request that gets no answer."""
        with self.assertRaises(CallFailed) as failed:
            self.send(script, limit_s=limit_s)
        return failed.exception.verdict

    def test_node_is_lost_before_it_asks(self) -> None:
        """Guards against work that counts as perhaps done although no target had it."""
        self.assertIs(self.failure(take_head), Verdict.NOT_RUN)

    def test_node_is_lost_after_it_asked(self) -> None:
        """Guards against "not run" for a request that a target may have."""

        def script(connection: socket.socket) -> None:
            take_head(connection)
            take_body(connection)

        self.assertIs(self.failure(script), Verdict.MAY_HAVE_RUN)

    def test_deadline_passes_in_the_queue(self) -> None:
        """Guards against an unknown outcome for a request that waited until its deadline."""
        ended = threading.Event()
        self.addCleanup(ended.set)
        verdict = self.failure(lambda _: ended.wait(2.0), limit_s=0.2)
        self.assertIs(verdict, Verdict.NOT_RUN)

    def test_kept_connection_that_ends(self) -> None:
        """Guards against a refused request where a new connection to the node would do."""

        def script(connection: socket.socket) -> None:
            answer_once(connection)
            take_head(connection)

        self.assertEqual(self.send(script, answer_once, times=2).status, 200)

    def test_requests_that_may_be_repeated_do_not_wait(self) -> None:
        """Guards against a round trip more for requests that gain nothing by it."""

        def script(connection: socket.socket) -> None:
            self.assertNotIn(b"expect", take_head(connection))
            connection.recv(len(BODY))
            connection.sendall(ANSWER)

        self.assertEqual(self.send(script, method="PUT").status, 200)


class LateBody(IterableBody):
    """A body whose sender never sends it."""

    def wait_first_part(self, limit_s: float) -> bool:
        """Return that nothing came."""
        return False


class FirstPartTest(unittest.TestCase):
    """The node beside the target."""

    def test_target_gets_nothing_before_the_body(self) -> None:
        """Guards against a target that has the head of a request which counts as not run."""
        seen: queue.Queue[bytes] = queue.Queue()
        target = ScriptedServer(lambda connection: seen.put(connection.recv(100)))
        self.addCleanup(target.close)
        upstream = Upstream()
        self.addCleanup(upstream.close)
        request = OutgoingRequest(
            method="POST",
            target=b"/",
            headers=[(b"host", b"h")],
            body=LateBody((), length=5),
            idempotent=False,
            deadline=time.monotonic() + 5,
            cancelled=lambda: False,
        )
        with self.assertRaises(CallFailed) as failed:
            upstream.send(target.address, request, connect_timeout_s=2.0)
        self.assertIs(failed.exception.verdict, Verdict.NOT_RUN)
        self.assertEqual(seen.get(timeout=5), b"")
