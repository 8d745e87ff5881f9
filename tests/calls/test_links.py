"""Connections that were idle."""

from __future__ import annotations

import contextlib
import socket
import struct
import threading
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

from citronrack.calls.message import Answer, WholeBody
from citronrack.calls.upstream import Outgoing, Upstream
from citronrack.errors import CallFailed
from citronrack.verdict import Verdict

ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ForgetfulServer:
    """Answers requests, and resets a connection that rested before its next request."""

    def __init__(self, rest_s: float) -> None:
        self._rest_s = rest_s
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._executor = ThreadPoolExecutor()
        self._ended = threading.Event()
        self.connections = 0
        self._executor.submit(self._accept)

    @property
    def address(self) -> tuple[str, int]:
        """``(ip, port)`` of the listener."""
        host, port = self._listener.getsockname()
        return host, port

    def close(self) -> None:
        """End all connections."""
        self._ended.set()
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self._executor.shutdown()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                self.connections += 1
                self._executor.submit(self._serve, connection)

    def _serve(self, connection: socket.socket) -> None:
        connection.settimeout(0.05)
        began = time.monotonic()
        with connection:
            while not self._ended.is_set():
                try:
                    if not connection.recv(65536):
                        return
                except TimeoutError:
                    continue
                if time.monotonic() - began > self._rest_s:
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                    return
                connection.sendall(ANSWER)
                began = time.monotonic()


class RestedConnectionTest(unittest.TestCase):
    """Targets that forget idle connections without notice."""

    def setUp(self) -> None:
        """Start a server and connections to it."""
        self.server = ForgetfulServer(0.2)
        self.addCleanup(self.server.close)
        self.upstream = Upstream()
        self.addCleanup(self.upstream.close)

    def send(self, method: str) -> Answer:
        """Send a request whose answer is read completely."""
        request = Outgoing(
            method=method,
            target=b"/",
            headers=[(b"host", b"h")],
            body=WholeBody(b""),
            idempotent=method == "GET",
            deadline=time.monotonic() + 5,
            cancelled=lambda: False,
        )
        answer = self.upstream.send(self.server.address, request, connect_timeout_s=2.0)
        answer.finish()
        return answer

    def test_request_after_a_lost_one_gets_a_young_connection(self) -> None:
        """Guards against work that is lost again and again on connections a target has forgotten.

        A read that is lost can be sent again; what it shows protects the requests that cannot.
        """
        self.send("GET")
        time.sleep(0.3)
        with self.assertRaises(CallFailed) as lost:
            self.send("GET")
        self.assertIs(lost.exception.verdict, Verdict.MAY_HAVE_RUN)
        self.send("GET")
        time.sleep(0.3)
        self.assertEqual(self.send("POST").status, 200)
        self.assertEqual(self.server.connections, 3)

    def test_young_connections_are_used_again(self) -> None:
        """Guards against a new connection for each request once one was lost."""
        self.send("GET")
        time.sleep(0.3)
        with self.assertRaises(CallFailed):
            self.send("GET")
        for _ in range(3):
            self.send("POST")
            time.sleep(0.02)
        self.assertEqual(self.server.connections, 2)
