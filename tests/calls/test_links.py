"""Connections that were idle."""

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

ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"


def forgetful(rest_s: float) -> Callable[[socket.socket], None]:
    """Return a script that answers requests, and resets a connection that rested before its next.

    Args:
        rest_s: Rest after which the connection is forgotten, in seconds.
    """

    def script(connection: socket.socket) -> None:
        began = time.monotonic()
        while connection.recv(65_536):
            if time.monotonic() - began > rest_s:
                abort(connection)
                return
            connection.sendall(ANSWER)
            began = time.monotonic()

    return script


class RestedConnectionTest(unittest.TestCase):
    """Targets that forget idle connections without notice."""

    def setUp(self) -> None:
        """Start a server and connections to it."""
        self.server = ScriptedServer(forgetful(0.2))
        self.addCleanup(self.server.close)
        self.upstream = Upstream()
        self.addCleanup(self.upstream.close)

    def send(self, method: str) -> Response:
        """Send a request whose answer is read completely."""
        request = OutgoingRequest(
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
