"""Calls that arrive after a planned stop has begun."""

from __future__ import annotations

import time
import unittest

from .support import Client, Mesh, request, wait_for

LEFT_S = 0.6
"""Time from the begin of the stop to its end, less than the work of the call and its timeout."""


class LateInTheGraceTest(unittest.TestCase):
    """Calls that a stopping node takes, and that need longer than the stop."""

    def test_call_ends_with_an_answer(self) -> None:
        """Guards against calls that are taken during the notice of a stop and cut at its end."""
        for own_target in (True, False):
            with self.subTest(own_target=own_target), Mesh() as mesh:
                first, second = mesh.add(), mesh.add()
                target = first if own_target else second
                mesh.publish(only=(target.name,))
                with Client(first.call_address) as client:
                    self.assertEqual(client.call("/parts").status, 200)
                    end = time.monotonic() + LEFT_S
                    first.path.begin_stop(end)
                    client.send(request("/photos?do=delay:3000"))
                    self.assertTrue(wait_for(lambda n=target: n.target.running == 1))
                    self.assertTrue(first.path.stop(end - time.monotonic()))
                    reply = client.reply()
                    self.assertEqual((reply.status, reply.verdict), (504, "may-have-run"))

    def test_short_call_is_served(self) -> None:
        """Guards against refusing calls that end within the stop."""
        with Mesh() as mesh:
            node = mesh.add()
            node.path.begin_stop(time.monotonic() + 5.0)
            with Client(node.call_address) as client:
                self.assertEqual(client.call("/parts").status, 200)
