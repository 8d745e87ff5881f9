"""Real node processes against the stand-ins of the platform."""

from __future__ import annotations

import http.client
import signal
import time
import unittest
from collections.abc import Callable
from pathlib import Path

from .installation import HOST, READINESS, Installation, Instance, get_status


def call(
    instance: Instance, path: str, request_id: str, *, method: str = "GET", body: bytes = b""
) -> tuple[int, bytes]:
    """Return status and body of a call through the node of an instance."""
    connection = http.client.HTTPConnection(instance.host, instance.calls, timeout=5)
    headers = {"Host": HOST, "Attempt-Id": request_id, "Deadline-Ms": "2000"}
    try:
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def wait_for(condition: Callable[[], bool], limit_s: float = 10.0) -> bool:
    """Return whether a condition became true in time."""
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.05)
    return condition()


def ignores_hangup(pid: int) -> bool:
    """Return whether a process ignores SIGHUP, as it does before it handles it."""
    lines = Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines()
    masks = dict(line.split(":\t", 1) for line in lines if ":\t" in line)
    return bool(int(masks["SigIgn"], 16) & 1 << (signal.SIGHUP - 1))


class WholePathTest(unittest.TestCase):
    """Calls, changes, leaving targets and restarts."""

    def test_calls_changes_and_leaving(self) -> None:
        """Guards against a path that serves nothing, old configuration, and work after a leave."""
        with Installation(size=4) as mesh:
            first = mesh.instances[0]
            for instance in mesh.instances:
                for service in mesh.services:
                    path = f"/{service}/warm"
                    served = wait_for(lambda i=instance, p=path: call(i, p, "w")[0] == 200)
                    self.assertTrue(served, f"{service} is not served at {instance.name}")
            for index in range(20):
                path = f"/{('catalogue', 'media')[index % 2]}/x"
                status, body = call(mesh.instances[index % 4], path, f"r{index}")
                self.assertEqual((status, body), (200, f"r{index} 0".encode()))
            status, body = call(first, "/media-order/x", "o1", method="POST", body=b"z" * 200_000)
            self.assertEqual((status, body), (200, b"o1 200000"))
            self.assertEqual(call(first, "/added/x", "a0")[0], 404)
            mesh.write_config(added="media")
            for instance in mesh.instances:
                self.assertTrue(wait_for(lambda i=instance: call(i, "/added/x", "a1")[0] == 200))
            leaving = mesh.instances[1].target
            assert leaving is not None
            leaving.draining = True
            self.assertTrue(wait_for(lambda: leaving.acknowledged_leave_at > 0))
            before = len(leaving.executed)
            for index in range(20):
                self.assertEqual(call(first, "/media/x", f"l{index}")[0], 200)
            self.assertEqual(len(leaving.executed), before)
            self.assertEqual(
                {c for i in mesh.instances for c in i.target.callers} - {"catalogue", "media"},
                set(),
            )

    def test_restart_of_all_while_the_store_is_away(self) -> None:
        """Guards against a node that serves without a configuration or never recovers.

        A single node would learn the configuration from the others, so all of them start again.
        """
        with Installation(size=3, services=("catalogue",)) as mesh:
            mesh.store.faults.refused.add("*")
            for node in mesh.instances:
                mesh.signal(node, signal.SIGKILL)
            for node in mesh.instances:
                mesh.restart(node, signal.SIGKILL)
            for node in mesh.instances:
                asked = wait_for(lambda n=node: get_status(n.host, n.ready, READINESS) == 503)
                self.assertTrue(asked, f"{node.name} does not say that it is not ready")
                self.assertEqual(call(node, "/catalogue/x", "s1")[0], 503)
            mesh.store.faults.refused.clear()
            for node in mesh.instances:
                self.assertTrue(wait_for(node.answers_ready))
                served = wait_for(lambda n=node: call(n, "/catalogue/x", "s2")[0] == 200)
                self.assertTrue(served)

    def test_restart_while_the_store_is_away_for_all(self) -> None:
        """Guards against a node that learns nothing from others while the store is away.

        Others had stopped to send to it, or had long pauses between attempts to reach it.
        """
        with Installation(size=4, services=("catalogue",)) as mesh:
            node = mesh.instances[0]
            self.assertTrue(wait_for(lambda: call(node, "/catalogue/x", "a")[0] == 200))
            mesh.store.faults.refused.add("*")
            mesh.restart(node, signal.SIGTERM)
            self.assertTrue(wait_for(node.answers_ready, 5.0), "the node got no configuration")
            self.assertTrue(wait_for(lambda: call(node, "/catalogue/x", "b")[0] == 200, 5.0))

    def test_sigterm_ends_within_the_grace_time(self) -> None:
        """Guards against a stop that takes longer than the platform allows."""
        with Installation(size=2, services=("catalogue",)) as mesh:
            node = mesh.instances[0]
            process = node.process
            assert process is not None
            mesh.signal(node, signal.SIGHUP)
            mesh.signal(node, signal.SIGTERM)
            self.assertTrue(wait_for(lambda: not node.answers_ready()))
            self.assertEqual(process.wait(30), 0)
            text = dict(mesh.logs())[node.name]
            for event in ("node_stopping", "drain_finished", "node_stopped"):
                self.assertIn(event, text)

    def test_hangup_during_the_start(self) -> None:
        """Guards against a node that a change of its settings ends while it starts."""
        with Installation(size=1, services=("catalogue",)) as mesh:
            node = mesh.instances[0]
            mesh.restart(node, signal.SIGKILL)
            process = node.process
            assert process is not None
            self.assertTrue(wait_for(lambda: ignores_hangup(process.pid)))
            for _ in range(40):
                time.sleep(0.01)
                mesh.signal(node, signal.SIGHUP)
            self.assertTrue(wait_for(node.answers_ready))
            self.assertIsNone(process.poll())
