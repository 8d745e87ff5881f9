"""Bodies that are sent only after 100 Continue."""

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
RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
Script = Callable[[socket.socket], object]


def receive_head(connection: socket.socket) -> bytes:
    """Receive and return a message head."""
    data = b""
    while not data.endswith(b"\r\n\r\n"):
        byte = connection.recv(1)
        if not byte:
            raise ConnectionError("the connection ended within a head")
        data += byte
    return data


def request_body(connection: socket.socket) -> None:
    """Send 100 Continue and read the body."""
    connection.sendall(CONTINUE)
    left = len(BODY)
    while left:
        left -= len(connection.recv(left))


def respond_once(connection: socket.socket) -> None:
    """Respond to one request as a node does."""
    receive_head(connection)
    request_body(connection)
    connection.sendall(RESPONSE)


class WithheldBodyTest(unittest.TestCase):
    """Verdicts on non-idempotent requests whose node fails."""

    def send(
        self, *scripts: Script, method: str = "POST", limit_s: float = 5.0, times: int = 1
    ) -> Response:
        """Send requests to a node, one after the other, over persistent connections."""
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
            response = upstream.send(node.address, request, connect_timeout_s=2.0)
            response.finish()
            time.sleep(0.05)
        return response

    def failure(self, script: Script, *, limit_s: float = 5.0) -> Verdict:
        """Return the verdict on a request that gets no response."""
        with self.assertRaises(CallFailed) as failed:
            self.send(script, limit_s=limit_s)
        return failed.exception.verdict

    def test_node_fails_before_continue(self) -> None:
        """Guards against the verdict "may have run" for a request that reached no target."""
        self.assertIs(self.failure(receive_head), Verdict.NOT_RUN)

    def test_node_fails_after_continue(self) -> None:
        """Guards against the verdict "not run" for a request that a target may have received."""

        def script(connection: socket.socket) -> None:
            receive_head(connection)
            request_body(connection)

        self.assertIs(self.failure(script), Verdict.MAY_HAVE_RUN)

    def test_deadline_passes_in_the_queue(self) -> None:
        """Guards against an unknown outcome for a request that waited in the queue only."""
        ended = threading.Event()
        self.addCleanup(ended.set)
        verdict = self.failure(lambda _: ended.wait(2.0), limit_s=0.2)
        self.assertIs(verdict, Verdict.NOT_RUN)

    def test_idle_connection_that_ends(self) -> None:
        """Guards against a failed request when a new connection to the node would work."""

        def script(connection: socket.socket) -> None:
            respond_once(connection)
            receive_head(connection)

        self.assertEqual(self.send(script, respond_once, times=2).status, 200)

    def test_idempotent_requests_do_not_wait(self) -> None:
        """Guards against an additional round trip for requests that do not need it."""

        def script(connection: socket.socket) -> None:
            self.assertNotIn(b"expect", receive_head(connection))
            connection.recv(len(BODY))
            connection.sendall(RESPONSE)

        self.assertEqual(self.send(script, method="PUT").status, 200)


class MissingBody(IterableBody):
    """A body that never arrives."""

    def wait_first_part(self, limit_s: float) -> bool:
        """Return false."""
        return False


class FirstPartTest(unittest.TestCase):
    """Requests from a node to its target."""

    def test_target_gets_nothing_before_the_body(self) -> None:
        """Guards against a target that received the head of a request reported as not run."""
        seen: queue.Queue[bytes] = queue.Queue()
        target = ScriptedServer(lambda connection: seen.put(connection.recv(100)))
        self.addCleanup(target.close)
        upstream = Upstream()
        self.addCleanup(upstream.close)
        request = OutgoingRequest(
            method="POST",
            target=b"/",
            headers=[(b"host", b"h")],
            body=MissingBody((), length=5),
            idempotent=False,
            deadline=time.monotonic() + 5,
            cancelled=lambda: False,
        )
        with self.assertRaises(CallFailed) as failed:
            upstream.send(target.address, request, connect_timeout_s=2.0)
        self.assertIs(failed.exception.verdict, Verdict.NOT_RUN)
        self.assertEqual(seen.get(timeout=5), b"")
