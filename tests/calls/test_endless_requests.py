"""Callers and targets that send endless requests to the listeners of a node."""

from __future__ import annotations

import socket
import time
import unittest
from collections.abc import Callable, Iterator
from concurrent.futures import Future, ThreadPoolExecutor

from citronrack.calls.limits import READ_BYTES, WireLimits
from citronrack.calls.message import Request, Response, local_page
from citronrack.calls.server import CallServer
from citronrack.hosted.control import ControlHandler
from citronrack.hosted.messages import CoreMessage
from citronrack.platform.reports import decode_report
from citronrack.telemetry import EventLog

from .support import LOCALHOST

HEAD = b"POST /api/Instances.Heartbeat/i-1 HTTP/1.1\r\nhost: a\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
ENDLESS = {
    "garbage": (b"", b"\x16\x03\x01\x00"),
    "empty lines": (b"", b"\r\n"),
    "request line": (b"GET /", b"y"),
    "header lines": (HEAD, b"x: y\r\n"),
    "one header": (HEAD + b"x: ", b"y"),
    "chunk size": (CHUNKED, b"0"),
    "chunk extension": (CHUNKED + b"1;", b"y"),
    "trailers": (CHUNKED + b"1\r\nz\r\n0\r\n", b"x: y\r\n"),
    "one trailer": (CHUNKED + b"1\r\nz\r\n0\r\nx: ", b"y"),
}
"""Start of a request and the bytes that are repeated after it; no part of them is a body."""

ENDLESS_BODIES = {
    "chunks": (CHUNKED, b"4\r\nbody\r\n"),
    "declared length": (HEAD + b"content-length: 99999999999\r\n\r\n", b"body"),
}

MAX_SENT_BYTES = 16 * 1024 * 1024
"""Bytes after which a sender gives up; far more than the buffers of two sockets hold."""

SEND_TIMEOUT_S = 10.0


def send_endless(address: tuple[str, int], start: bytes, repeated: bytes) -> int:
    """Send until the server closes the connection; return the number of bytes."""
    block = repeated * (READ_BYTES // len(repeated))
    total = 0
    with socket.create_connection(address, timeout=SEND_TIMEOUT_S) as connection:
        try:
            connection.sendall(start)
            while total < MAX_SENT_BYTES:
                connection.sendall(block)
                total += len(block)
        except ConnectionError:
            pass
    return total


class EndlessRequestTest(unittest.TestCase):
    """What a listener keeps of a request is bounded."""

    def serve(self, handler: Callable[[Request], Response]) -> tuple[str, int]:
        """Start a listener and return its address."""
        executor = ThreadPoolExecutor(8)
        server = CallServer(
            address=LOCALHOST,
            handler=handler,
            executor=executor,
            limits=WireLimits(),
            on_error=self.errors.append,
        )
        executor.submit(server.run)
        self.addCleanup(executor.shutdown)
        self.addCleanup(server.stop)
        return server.address

    def setUp(self) -> None:
        self.errors: list[Exception] = []

    def test_listener_of_callers(self) -> None:
        """Guards against keeping an endless head, chunk extension or trailer in memory."""

        def consume(request: Request) -> Response:
            for _ in request.body.chunks():
                continue
            return local_page(b"text/plain", b"")

        address = self.serve(consume)
        for name, (start, repeated) in ENDLESS.items():
            with self.subTest(name):
                self.assertLess(send_endless(address, start, repeated), MAX_SENT_BYTES)
        self.assertEqual(self.errors, [])

    def test_listener_of_reports(self) -> None:
        """Guards against a target whose endless report fills the memory of its node."""
        posted: list[CoreMessage] = []
        control = ControlHandler(
            decode_report=decode_report,
            post=posted.append,
            events=EventLog(node="n", level="error"),
        )
        address = self.serve(control.handle)
        for name, (start, repeated) in {**ENDLESS, **ENDLESS_BODIES}.items():
            with self.subTest(name):
                self.assertLess(send_endless(address, start, repeated), MAX_SENT_BYTES)
        self.assertEqual((posted, self.errors), ([], []))

    def test_body_is_passed_on_in_parts(self) -> None:
        """Guards against a node that reads an endless body faster than it passes it on."""
        taken: Future[None] = Future()
        self.addCleanup(taken.cancel)

        def stall(request: Request) -> Response:
            parts: Iterator[bytes] = request.body.chunks()
            next(parts)
            taken.set_result(None)
            time.sleep(1.0)
            return local_page(b"text/plain", b"")

        address = self.serve(stall)
        start, repeated = ENDLESS_BODIES["chunks"]
        block = repeated * (READ_BYTES // len(repeated))
        with socket.create_connection(address, timeout=SEND_TIMEOUT_S) as connection:
            connection.sendall(start + block)
            taken.result(SEND_TIMEOUT_S)
            connection.settimeout(0.5)
            total = 0
            with self.assertRaises(TimeoutError):
                while total < MAX_SENT_BYTES:
                    total += connection.send(block)
