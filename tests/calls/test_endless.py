"""Targets that send endless responses."""

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
"""Start of a response and the bytes that are repeated after it."""

DEADLINE_S = 20.0
MAX_SENT_BYTES = 64 * 1024 * 1024
"""Bytes after which the script stops; far more than the buffers of two sockets hold."""


def endless(
    start: bytes, repeated: bytes, sent: list[int], *, limit: float = MAX_SENT_BYTES
) -> Callable[[socket.socket], None]:
    """Return a script that sends until the caller closes and records the number of bytes."""

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
    """Endless heads and bodies."""

    def send(self, server: ScriptedServer, *, deadline_s: float) -> CallFailed:
        """Send a request that must fail and return the error."""
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
            response = upstream.send(server.address, request, connect_timeout_s=2.0)
            for _ in response.stream or ():
                continue
        return failed.exception

    def test_endless_head(self) -> None:
        """Guards against buffering an endless head in memory until the deadline of the call."""
        for name, (start, repeated) in ENDLESS.items():
            with self.subTest(name):
                sent: list[int] = []
                server = ScriptedServer(endless(start, repeated, sent))
                error = self.send(server, deadline_s=DEADLINE_S)
                self.assertIs(error.verdict, Verdict.MAY_HAVE_RUN)
                server.close()
                self.assertLess(sent[0], MAX_SENT_BYTES)

    def test_endless_body(self) -> None:
        """Guards against buffering an endless body, which must be streamed."""
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

    def test_large_head_is_accepted(self) -> None:
        """Guards against a limit on response heads that is below the one on request heads."""
        reader = ResponseReader(head_only=False)
        line = b"x: " + b"y" * 95 + b"\r\n"
        reader.feed(STATUS + line * (MAX_HEAD_BYTES // len(line) - 1))
        reader.feed(b"content-length: 2\r\n\r\nok")
        self.assertTrue(reader.complete)
        self.assertFalse(reader.broken)
