"""End-to-end tests of node processes with stand-ins of the platform."""

from __future__ import annotations

import http.client
import json
import signal
import time
import unittest
from collections.abc import Callable
from pathlib import Path

from ..limits import most_in_window
from .installation import HOST, READINESS, Installation, Instance, get_status


def call(
    instance: Instance, path: str, request_id: str, *, method: str = "GET", body: bytes = b""
) -> tuple[int, bytes]:
    """Return the status and body of a call through the node of an instance."""
    connection = http.client.HTTPConnection(instance.host, instance.calls, timeout=5)
    headers = {"Host": HOST, "Attempt-Id": request_id, "Deadline-Ms": "2000"}
    try:
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def wait_for(condition: Callable[[], bool], limit_s: float = 10.0) -> bool:
    """Return whether a condition becomes true within a limit."""
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.05)
    return condition()


def logged(mesh: Installation, instance: Instance, event: str) -> bool:
    """Return whether the node of an instance has written an event."""
    return f'"event": "{event}"' in dict(mesh.logs())[instance.name]


def ignores_hangup(pid: int) -> bool:
    """Return whether a process ignores SIGHUP, as a node does until its handler is installed."""
    lines = Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines()
    masks = dict(line.split(":\t", 1) for line in lines if ":\t" in line)
    return bool(int(masks["SigIgn"], 16) & 1 << (signal.SIGHUP - 1))


class WholePathTest(unittest.TestCase):
    """Calls, configuration changes, leaving targets and restarts."""

    def test_calls_changes_and_leaving(self) -> None:
        """Guards against unserved calls, outdated routes, and calls to a target that has left."""
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
            for instance in mesh.instances:
                self.expect_unknown_path(instance, "/added/x")
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

    def expect_unknown_path(self, instance: Instance, path: str) -> None:
        """Expect 404 for a path, after 503 at most until the node has checked its version.

        A node that has just started cannot tell an unknown path from one of a newer configuration,
        and no caller comes back after a 404.
        """
        statuses: list[int] = []
        self.assertTrue(wait_for(lambda: self.ask(instance, path, statuses) == 404))
        self.assertLessEqual(set(statuses), {404, 503})
        for _ in range(5):
            self.assertEqual(self.ask(instance, path, statuses), 404)

    @staticmethod
    def ask(instance: Instance, path: str, statuses: list[int]) -> int:
        """Send a request, and record and return the status of its answer."""
        statuses.append(call(instance, path, f"u{len(statuses)}")[0])
        return statuses[-1]

    def test_evacuated_zone_whose_targets_are_cold_at_its_end(self) -> None:
        """Guards against processes that miss an evacuation, or the pace of its cold targets."""
        with Installation(size=4, services=("catalogue",), cold=("60s", 5.0)) as mesh:
            mesh.store.put("keyed.op", "evacuate/zone-0", b"{}")
            for instance in mesh.instances:
                self.assertTrue(wait_for(lambda i=instance: logged(mesh, i, "zone_evacuated")))
                self.assertTrue(wait_for(lambda i=instance: call(i, "/catalogue/x", "a")[0] == 200))
            targets = [instance.target for instance in mesh.instances[0::2] if instance.target]
            self.assertEqual([target.executed for target in targets], [[], []])
            mesh.store.put("keyed.op", "evacuate/zone-0", None)
            for instance in mesh.instances[0::2]:
                self.assertTrue(wait_for(lambda i=instance: logged(mesh, i, "target_cold")))
            for index in range(40):
                call(mesh.instances[index % 2], "/catalogue/x", f"c{index}")
            for target in targets:
                times = [started for _, started in target.executed]
                self.assertGreater(len(times), 0)
                self.assertLessEqual(most_in_window(times, 1.0), 1.5 * 5.0 + 8)

    def test_target_that_leaves_by_its_answers(self) -> None:
        """Guards against calls to a target whose answers, and nothing else, say that it leaves.

        The node beside it starts again in between and must not take it for a usual one.
        """
        with Installation(size=2) as mesh:
            first, second = mesh.instances
            leaving = second.target
            assert leaving is not None
            self.assertTrue(wait_for(lambda: call(first, "/media/x", "a")[0] == 200))
            leaving.statements["Server-Leaving"] = "1"
            self.assertEqual(call(first, "/media/x", "b")[0], 200)
            before = len(leaving.executed)
            for index in range(10):
                self.assertEqual(call(first, "/media/x", f"c{index}")[0], 503)
            mesh.restart(second, signal.SIGKILL)
            restored = '"event": "leaving_restored"'
            self.assertTrue(wait_for(lambda: restored in dict(mesh.logs())[second.name]))
            self.assertTrue(wait_for(lambda: len(self.entries(mesh, first, second)) > 1))
            for index in range(10):
                self.assertEqual(call(first, "/media/x", f"d{index}")[0], 503)
            self.assertEqual(len(leaving.executed), before)
            restarted = max(self.entries(mesh, first, second))
            self.assertNotIn(True, self.entries(mesh, first, second)[restarted])
            leaving.stop()
            mesh.start_target(second)
            self.assertTrue(wait_for(lambda: call(first, "/media/x", "e")[0] == 200))

    @staticmethod
    def entries(mesh: Installation, instance: Instance, peer: Instance) -> dict[int, list[bool]]:
        """Return by start of a peer whether its entries, as a node logged them, take calls."""
        entries: dict[int, list[bool]] = {}
        for line in dict(mesh.logs())[instance.name].splitlines():
            if '"event": "node_entry"' in line and f'"peer": "{peer.name}"' in line:
                fields = json.loads(line)
                entries.setdefault(fields["boot"], []).append(fields["serving"])
        return entries

    def test_restart_of_all_while_the_store_is_unavailable(self) -> None:
        """Guards against a node that serves without a configuration or never recovers.

        All nodes are restarted, because a single one would learn the configuration from the others.
        """
        with Installation(size=3, services=("catalogue",)) as mesh:
            mesh.store.faults.refused.add("*")
            for node in mesh.instances:
                mesh.signal(node, signal.SIGKILL)
            for node in mesh.instances:
                mesh.restart(node, signal.SIGKILL)
            for node in mesh.instances:
                not_ready = wait_for(lambda n=node: get_status(n.host, n.ready, READINESS) == 503)
                self.assertTrue(not_ready, f"{node.name} does not report that it is not ready")
                self.assertEqual(call(node, "/catalogue/x", "s1")[0], 503)
            mesh.store.faults.refused.clear()
            for node in mesh.instances:
                self.assertTrue(wait_for(node.answers_ready))
                served = wait_for(lambda n=node: call(n, "/catalogue/x", "s2")[0] == 200)
                self.assertTrue(served)

    def test_restart_of_one_node_while_the_store_is_unavailable(self) -> None:
        """Guards against a restarted node that learns nothing from others without the store.

        This failed when the others stopped sending to the node, or paused for long between attempts
        to connect to it.
        """
        with Installation(size=4, services=("catalogue",)) as mesh:
            node = mesh.instances[0]
            self.assertTrue(wait_for(lambda: call(node, "/catalogue/x", "a")[0] == 200))
            mesh.store.faults.refused.add("*")
            mesh.restart(node, signal.SIGTERM)
            self.assertTrue(wait_for(node.answers_ready, 5.0), "the node got no configuration")
            self.assertTrue(wait_for(lambda: call(node, "/catalogue/x", "b")[0] == 200, 5.0))

    def test_sigterm_ends_within_the_grace_time(self) -> None:
        """Guards against a shutdown that takes longer than the platform allows."""
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
        """Guards against a node that is terminated by a change of its settings during its start."""
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
