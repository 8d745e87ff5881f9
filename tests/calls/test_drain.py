"""Graceful stops."""

from __future__ import annotations

import unittest
from concurrent.futures import ThreadPoolExecutor

from .support import Client, Mesh, request, wait_for


class DrainTest(unittest.TestCase):
    """A stop with calls, uploads and idle connections."""

    def test_stop_completes_calls_in_flight(self) -> None:
        """Guards against a drain that interrupts a call or an upload, or drops a new request."""
        with Mesh() as mesh:
            first, second = mesh.add(), mesh.add()
            mesh.publish(only=(second.name,))
            with ThreadPoolExecutor(1) as stopper, Client(first.call_address) as running:
                idle, upload = Client(second.call_address), Client(second.call_address)
                idle.call("/parts")
                # Its slot is released after the response; until then, it counts as load.
                self.assertTrue(wait_for(lambda: second.path.admission.load == 0))
                running.send(request("/parts/slow?do=delay:300"))
                upload.send(b"POST /photos HTTP/1.1\r\nhost: a\r\ncontent-length: 100000\r\n\r\n")
                upload.send(b"x" * 90_000)
                self.assertTrue(wait_for(lambda: second.path.admission.load == 2))
                stopped = stopper.submit(second.path.stop, 10.0)
                self.assertTrue(wait_for(lambda: second.path.drainer.draining))
                crossing = idle.call("/parts", headers="x-request-id: crossing\r\n")
                self.assertEqual((crossing.status, crossing.verdict), (503, "not-run"))
                self.assertEqual(crossing.headers["connection"], "close")
                with Client(second.call_address) as late:
                    self.assertEqual(late.call("/parts").verdict, "not-run")
                upload.send(b"x" * 10_000)
                self.assertEqual(upload.reply().status, 200)
                self.assertEqual(running.reply().status, 200)
                self.assertTrue(stopped.result())
                idle.socket.close()
                upload.socket.close()
            self.assertNotIn("crossing", second.target.executed)
            self.assertEqual(second.target.uploaded, 100_000)

    def test_stop_ends_at_its_limit(self) -> None:
        """Guards against a stop that waits for a slow call beyond its limit."""
        with Mesh() as mesh:
            node = mesh.add()
            with Client(node.call_address) as client:
                client.send(request("/photos?do=delay:2000"))
                self.assertTrue(wait_for(lambda: node.target.running == 1))
                self.assertFalse(node.path.stop(0.1))
            self.assertTrue(wait_for(lambda: node.path.drainer.in_flight == 0, limit_s=1.0))
