"""Targets that send bytes without end."""

from __future__ import annotations

import socket
import time
import unittest
from collections.abc import Callable

from citronrack.calls._response import ResponseReader
from citronrack.calls.limits import MAX_HEAD_BYTES, READ_BYTES, WHOLE_BODY_BYTES
from citronrack.calls.message import WholeBody
from citronrack.calls.upstream import OutgoingRequest, Upstream
from citronrack.errors import CallFailed
from citronrack.verdict import Verdict

from .support import ScriptedServer

STATUS = b"HTTP/1.1 200 OK\r\n"
CHUNKED = STATUS + b"transfer-encoding: chunked\r\n\r\n"
ENDLESS = {
    "header lines": (STATUS, b"x: y\r\n"),
    "one header": (STATUS + b"x: ", b"y"),
    "status line": (b"HTTP/1.1 200 ", b"K"),
    "interim responses": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "chunk extension": (CHUNKED + b"1;", b"y"),
    "trailers": (CHUNKED + b"1\r\nz\r\n0\r\n", b"x: y\r\n"),
}
"""Beginning of a response and what is repeated after it."""

DEADLINE_S = 20.0
SENT_AT_MOST = 64 * 1024 * 1024
"""Bytes of a head after which a stand-in gives up; far more than the buffers of two sockets."""


def endless(
    start: bytes, repeated: bytes, sent: list[int], *, limit: float = SENT_AT_MOST
) -> Callable[[socket.socket], None]:
    """Return a script that sends until the caller closes, and notes how many bytes it sent."""

    def script(connection: socket.socket) -> None:
        connection.recv(READ_BYTES)
        block = repeated * (READ_BYTES // len(repeated))
        total = 0
        try:
            connection.sendall(start)
            while total < limit:
                connection.sendall(block)
                total += len(block)
        except OSError:
            pass
        sent.append(total)

    return script


class EndlessResponseTest(unittest.TestCase):
    """Bytes that are no answer and do not end."""

    def send(self, server: ScriptedServer, *, deadline_s: float) -> CallFailed:
        """Return how a call to a server failed."""
        upstream = Upstream()
        self.addCleanup(upstream.close)
        request = OutgoingRequest(
            method="GET",
            target=b"/",
            headers=[(b"host", b"h")],
            body=WholeBody(b""),
            idempotent=True,
            deadline=time.monotonic() + deadline_s,
            cancelled=lambda: False,
            buffer_response=True,
        )
        with self.assertRaises(CallFailed) as failed:
            answer = upstream.send(server.address, request, connect_timeout_s=2.0)
            for _ in answer.stream or ():
                continue
        return failed.exception

    def test_head_without_end(self) -> None:
        """Guards against a node whose memory fills with a head until the deadline of the call."""
        for name, (start, repeated) in ENDLESS.items():
            with self.subTest(name):
                sent: list[int] = []
                server = ScriptedServer(endless(start, repeated, sent))
                error = self.send(server, deadline_s=DEADLINE_S)
                self.assertIs(error.verdict, Verdict.MAY_HAVE_RUN)
                server.close()
                self.assertLess(sent[0], SENT_AT_MOST)

    def test_body_without_end(self) -> None:
        """Guards against a node that holds a body without end; it passes it on as it comes."""
        reader = ResponseReader(head_only=False)
        reader.feed(CHUNKED)
        for _ in range(100):
            reader.feed(b"ffff\r\n" + b"z" * 0xFFFF + b"\r\n")
        self.assertFalse(reader.broken)
        sent: list[int] = []
        script = endless(STATUS + b"\r\n", b"z" * WHOLE_BODY_BYTES, sent, limit=float("inf"))
        server = ScriptedServer(script)
        self.addCleanup(server.close)
        self.send(server, deadline_s=0.5)

    def test_large_head_is_taken(self) -> None:
        """Guards against a limit that refuses heads of the size that callers may send."""
        reader = ResponseReader(head_only=False)
        line = b"x: " + b"y" * 95 + b"\r\n"
        reader.feed(STATUS + line * (MAX_HEAD_BYTES // len(line) - 1))
        reader.feed(b"content-length: 2\r\n\r\nok")
        self.assertTrue(reader.complete)
        self.assertFalse(reader.broken)
