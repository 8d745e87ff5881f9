"""Answers with an invalid status, and answers that begin before the request has ended."""

from __future__ import annotations

import contextlib
import socket
import time
import unittest
from itertools import product

from citronrack.calls._sockets import abort
from citronrack.calls.headers import DEFAULT_HEADER_NAMES, LAST_CHUNK
from citronrack.platform.names import HEADERS

from .support import Client, Mesh, Reply, ScriptedServer
from .test_withheld import receive_head

TARGETS = ("node-0", "node-1")
GENUINE = b"Attempt-Id: r1\r\nInstance-Signature: s\r\n"


class OddAnswerTest(unittest.TestCase):
    """Answers of the own target, and of a remote one through its node."""

    def setUp(self) -> None:
        self.requests = 0
        self.target = ScriptedServer(self.script)
        self.addCleanup(self.target.close)

    def script(self, connection: socket.socket) -> None:
        """Answer with a status, or with a part of an answer after some bytes of the body."""
        kind, argument = receive_head(connection).split(b" ")[1].split(b"/")[2:]
        self.requests += 1
        if kind == b"status":
            head = b"HTTP/1.1 %b -\r\nContent-Length: 2\r\nConnection: close\r\n" % argument
            connection.sendall(head + GENUINE + b"\r\nok")
            return
        if kind == b"late":
            time.sleep(0.05)  # Meanwhile, the node fills the buffers and waits within a write.
        left = int(argument)
        while left > 0:
            left -= len(connection.recv(left))
        connection.sendall(b"HTTP/1.1 200 -\r\n" + GENUINE + b"\r\npart")
        abort(connection)

    def reply(self, mesh: Mesh, method: str, path: str, *parts: bytes, headers: str = "") -> Reply:
        """Return what a caller gets from the first node for a request that reaches the target."""
        before, mesh.target_id = self.requests, f"i-{self.requests}"
        head = f"{method} {path} HTTP/1.1\r\nhost: mesh\r\nAttempt-Id: r1\r\n{headers}\r\n"
        with Client(mesh.nodes[0].call_address) as client, contextlib.suppress(OSError):
            client.send(head.encode())
            with contextlib.suppress(OSError):  # The node may have answered and closed.
                for part in parts:
                    client.send(part)
            reply = client.reply(head_only=method == "HEAD")
        self.assertEqual(self.requests, before + 1)
        return reply

    def test_invalid_status(self) -> None:
        """Guards against passing on a status that HTTP does not have, from a target or a node."""
        with Mesh() as mesh:
            for _ in range(2):
                mesh.add(address=self.target.address)
            for only in (*TARGETS, ""):
                mesh.publish(only=(only,))
                if not only:
                    mesh.publish_address(self.target.address)
                statuses = ("000", "001", "099", "600", "999")
                for status, method in product(statuses, ("GET", "HEAD", "POST")):
                    with self.subTest(only=only, status=status, method=method):
                        length = "content-length: 0\r\n"
                        path = f"/parts/status/{status}"
                        reply = self.reply(mesh, method, path, headers=length)
                        self.assertEqual((reply.status, reply.verdict), (502, "may-have-run"))
                self.assertEqual(self.reply(mesh, "GET", "/parts/status/599").status, 599)

    def test_early_answer_without_a_length_that_is_reset(self) -> None:
        """Guards against a whole answer at the caller, when a target resets it during an upload.

        A write that fails takes the report of the reset away from the next read. This happened with
        long uploads, for which the node waits within a write.
        """
        for names in (DEFAULT_HEADER_NAMES, HEADERS):
            with Mesh(names=names) as mesh:
                for _ in range(2):
                    mesh.add(address=self.target.address)
                cases = [
                    *product((1_000, 300_000), (0, 0.5, 1)),
                    (8_000_000, 0),
                ]
                for (size, moment), only, chunked in product(cases, TARGETS, (True, False)):
                    with self.subTest(only=only, size=size, chunked=chunked, moment=moment):
                        mesh.publish(only=(only,))
                        after = max(0, round(moment * size) - 1)
                        reply = self.upload(mesh, after, size, chunked=chunked)
                        framed = {"content-length", "transfer-encoding"} & reply.headers.keys()
                        whole = reply.complete or not framed
                        self.assertFalse(reply.status == 200 and whole, reply.headers)

    def upload(self, mesh: Mesh, after: int, size: int, *, chunked: bool) -> Reply:
        """Return the reply to an upload in ten parts that is answered after some of its bytes."""
        path, part = f"/photos/{'late' if size > 300_000 else 'early'}/{after}", b"x" * (size // 10)
        if not chunked:
            length = f"content-length: {size}\r\n"
            return self.reply(mesh, "PUT", path, *[part] * 10, headers=length)
        chunks = [b"%x\r\n%b\r\n" % (len(part), part)] * 10
        coding = "transfer-encoding: chunked\r\n"
        return self.reply(mesh, "PUT", path, *chunks, LAST_CHUNK, headers=coding)
