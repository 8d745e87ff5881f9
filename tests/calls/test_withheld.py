"""Bodies that are sent only after 100 Continue."""

from __future__ import annotations

import queue
import socket
import threading
import time
import unittest
from collections.abc import Callable
from typing import Any

import httptools

from citronrack.calls.headers import LAST_CHUNK
from citronrack.calls.message import Body, IterableBody, Response, WholeBody
from citronrack.calls.upstream import OutgoingRequest, Upstream
from citronrack.errors import CallFailed
from citronrack.verdict import Verdict

from .support import Client, Mesh, ScriptedServer

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
        self,
        *scripts: Script,
        method: str = "POST",
        limit_s: float = 5.0,
        times: int = 1,
        body: Callable[[], Body] = lambda: WholeBody(BODY),
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
                body=body(),
                idempotent=method != "POST",
                deadline=time.monotonic() + limit_s,
                cancelled=lambda: False,
                to_node=True,
            )
            response = upstream.send(node.address, request, connect_timeout_s=2.0)
            response.finish()
            time.sleep(0.05)
        return response

    def failure(self, *scripts: Script, **options: Any) -> Verdict:
        """Return the verdict on a request that gets no response."""
        with self.assertRaises(CallFailed) as failed:
            self.send(*scripts, **options)
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

    def test_empty_chunked_body(self) -> None:
        """Guards against "not run" for a request whose empty body was complete at the node."""

        def read_all(connection: socket.socket) -> None:
            receive_head(connection)
            connection.sendall(CONTINUE)
            self.assertEqual(receive_head(connection), LAST_CHUNK)

        def respond(connection: socket.socket) -> None:
            read_all(connection)
            connection.sendall(RESPONSE)

        def respond_then_fail(connection: socket.socket) -> None:
            respond(connection)
            read_all(connection)

        options: dict[str, Any] = {"body": lambda: IterableBody(())}
        for name, scripts, times in (
            ("new connection", (read_all,), 1),
            ("kept connection", (respond_then_fail, respond), 2),
        ):
            with self.subTest(name):
                verdict = self.failure(*scripts, times=times, **options)
                self.assertIs(verdict, Verdict.MAY_HAVE_RUN)
        self.assertEqual(self.send(respond, **options).status, 200)

    def test_declared_empty_body(self) -> None:
        """Guards against "not run" for a request that was complete with its head."""

        def script(connection: socket.socket) -> None:
            self.assertNotIn(b"expect", receive_head(connection))

        verdict = self.failure(script, body=lambda: IterableBody((), length=0))
        self.assertIs(verdict, Verdict.MAY_HAVE_RUN)


LATE_ENDS = {
    "last chunk": (b"0\r\n\r\n",),
    "last chunk in two writes": (b"0\r\n", b"\r\n"),
    "extension of the last chunk": (b"0;last=yes\r\n\r\n",),
    "trailer": (b"0\r\nsum: 0\r\n\r\n",),
    "one chunk": (b"5\r\norder\r\n0\r\n\r\n",),
    "one chunk, the end later": (b"5\r\norder\r\n", b"0\r\n\r\n"),
}
"""Writes of a caller that end a chunked body."""


class CompleteRequest:
    """Reads one request and notes its end; its ``on_`` methods are callbacks of httptools."""

    def __init__(self) -> None:
        self.complete = False
        self.expects = False

    def on_header(self, name: bytes, _: bytes) -> None:
        self.expects = self.expects or name.lower() == b"expect"

    def on_message_complete(self) -> None:
        self.complete = True

    def read(self, connection: socket.socket) -> None:
        """Read a request as a node does that passes it on."""
        parser = httptools.HttpRequestParser(self)
        parser.feed_data(receive_head(connection))
        if self.expects and not self.complete:
            connection.sendall(CONTINUE)
        while not self.complete:
            parser.feed_data(connection.recv(65536))


class BodyEndTest(unittest.TestCase):
    """Statuses for non-idempotent requests whose node has failed, by the way in which they end."""

    def status(self, framing: str, writes: tuple[bytes, ...], *, complete: bool) -> int:
        """Return the status for a request whose node ends its connection.

        Args:
            framing: Headers that frame the body.
            writes: What the caller writes after the head, one after the other.
            complete: Whether the node fails only when it has the whole request.
        """

        def script(connection: socket.socket) -> None:
            if complete:
                CompleteRequest().read(connection)
            else:
                receive_head(connection)

        server = ScriptedServer(script)
        self.addCleanup(server.close)
        with Mesh() as mesh:
            node = mesh.add()
            mesh.publish_address(server.address)
            with Client(node.call_address) as client:
                client.send(f"POST /parts HTTP/1.1\r\nhost: a\r\n{framing}\r\n".encode())
                for data in writes:
                    time.sleep(0.02)
                    client.send(data)
                return client.reply().status

    def test_node_fails_with_the_whole_request(self) -> None:
        """Guards against "not run" for a request that the node may have passed on."""
        for expect in ("", "expect: 100-continue\r\n"):
            for name, writes in LATE_ENDS.items():
                with self.subTest(name, expect=expect):
                    framing = f"transfer-encoding: chunked\r\n{expect}"
                    self.assertEqual(self.status(framing, writes, complete=True), 502)
        for length in (0, len(BODY)):
            with self.subTest(length=length):
                framing, writes = f"content-length: {length}\r\n", (BODY[:length],)
                self.assertEqual(self.status(framing, writes, complete=True), 502)

    def test_node_fails_without_the_body(self) -> None:
        """Guards against an unknown outcome for a request whose body was not passed on."""
        for name, writes in LATE_ENDS.items():
            with self.subTest(name):
                framing = "transfer-encoding: chunked\r\n"
                self.assertEqual(self.status(framing, writes, complete=False), 503)


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
