"""Slots of requests that were given up."""

from __future__ import annotations

import socket
import time
import unittest

from citronrack.calls._connections import Connection
from citronrack.calls.message import WholeBody
from citronrack.calls.upstream import OutgoingRequest, Upstream
from citronrack.errors import CallFailed
from citronrack.verdict import Verdict

from .support import Mesh, call


class HalfSent(Upstream):
    """Connections that break while a request is written."""

    @staticmethod
    def _write_head(link: Connection, request: OutgoingRequest) -> bool:
        raise CallFailed("the connection broke", verdict=Verdict.MAY_HAVE_RUN)


class AbandonedRequestTest(unittest.TestCase):
    """A target that goes on working after its caller's deadline."""

    def test_slot_stays_taken_while_the_target_works(self) -> None:
        """Guards against a target that runs more requests than it has slots.

        The slot came back at the deadline, while the target was still at work on the request.
        """
        with Mesh(slots=1) as mesh:
            node = mesh.add(delay_s=0.5)
            replies = [
                call(node.call_address, f"/hasty/{index}", method="POST") for index in range(2)
            ]
            self.assertEqual(replies[0].status, 504)
            self.assertEqual(node.target.peak_running, 1)

    def test_request_that_was_sent_in_part_is_settled(self) -> None:
        """Guards against a slot that stays taken for good.

        A connection that breaks after the first bytes of a request leaves nothing at work.
        """
        on_target_done: list[bool] = []
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        request = OutgoingRequest(
            method="POST",
            target=b"/",
            headers=[],
            body=WholeBody(b"order"),
            idempotent=False,
            deadline=time.monotonic() + 5,
            cancelled=lambda: False,
            on_target_done=lambda: on_target_done.append(True),
        )
        with self.assertRaises(CallFailed):
            HalfSent().send(listener.getsockname(), request, connect_timeout_s=2.0)
        self.assertEqual(on_target_done, [True])
