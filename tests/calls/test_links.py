"""Reuse of idle connections."""

from __future__ import annotations

import socket
import time
import unittest
from collections.abc import Callable

from citronrack.calls._sockets import abort
from citronrack.calls.message import Response, WholeBody
from citronrack.calls.upstream import OutgoingRequest, Upstream
from citronrack.errors import CallFailed
from citronrack.verdict import Verdict

from .support import ScriptedServer

RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"


def resetting_script(max_idle_s: float) -> Callable[[socket.socket], None]:
    """Return a script that answers requests and resets connections that were idle for too long.

    Args:
        max_idle_s: Idle time after which the next request is reset, in seconds.
    """

    def script(connection: socket.socket) -> None:
        started_at = time.monotonic()
        while connection.recv(65_536):
            if time.monotonic() - started_at > max_idle_s:
                abort(connection)
                return
            connection.sendall(RESPONSE)
            started_at = time.monotonic()

    return script


class IdleConnectionTest(unittest.TestCase):
    """Targets that drop idle connections without notice."""

    def setUp(self) -> None:
        """Start a server and an upstream."""
        self.server = ScriptedServer(resetting_script(0.2))
        self.addCleanup(self.server.close)
        self.upstream = Upstream()
        self.addCleanup(self.upstream.close)

    def send(self, method: str) -> Response:
        """Send a request and release its response."""
        request = OutgoingRequest(
            method=method,
            target=b"/",
            headers=[(b"host", b"h")],
            body=WholeBody(b""),
            idempotent=method == "GET",
            deadline=time.monotonic() + 5,
            cancelled=lambda: False,
        )
        response = self.upstream.send(self.server.address, request, connect_timeout_s=2.0)
        response.finish()
        return response

    def test_request_after_a_reset_gets_a_recent_connection(self) -> None:
        """Guards against repeated failures on idle connections that the target has dropped.

        A failed idempotent request can be retried. It also reduces the idle limit, which protects
        the requests that cannot be retried.
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

    def test_recent_connections_are_used_again(self) -> None:
        """Guards against a new connection for every request after one connection was reset."""
        self.send("GET")
        time.sleep(0.3)
        with self.assertRaises(CallFailed):
            self.send("GET")
        for _ in range(3):
            self.send("POST")
            time.sleep(0.02)
        self.assertEqual(self.server.connections, 2)
