"""Real node processes under kills, pauses and log outages."""

from __future__ import annotations

import json
import os
import signal
import unittest
from functools import partial
from typing import Any

from citronrack.bench.fleet import Fleet, FleetNode, wait_until
from citronrack.demo.traffic import Caller

HANG_LIMIT_S = 60.0  # only ends a hanging test; not a limit of the product


class ProcessesTest(unittest.TestCase):
    """Guards against faults that only occur with real processes, sockets and signals."""

    def setUp(self) -> None:
        self.fleet = self.enterContext(Fleet())
        for zone in ("a", "b"):
            for index in (1, 2):
                self.fleet.add_node(f"{zone}-{index}", zone, service_version="1.0.0")
        for name in self.fleet.nodes:
            self.fleet.start(name)
        self.timeout_ms = 1_000
        self.until(lambda: all(n.client.get("/healthz").status == 200 for n in self.running()))
        self.publish(self.fleet.nodes["b-1"])

    def until(self, condition: Any) -> None:
        """Wait until ``condition`` holds."""
        self.assertTrue(wait_until(condition, limit_s=HANG_LIMIT_S))

    def running(self) -> list[FleetNode]:
        """Return the nodes whose process runs."""
        nodes = self.fleet.nodes.values()
        return [n for n in nodes if n.process is not None and n.process.poll() is None]

    def status(self, node: FleetNode) -> Any:
        """Return a node's status."""
        return node.client.get("/v1/status").content

    def publish(self, node: FleetNode) -> int:
        """Confirm a change through ``node`` and return its version."""
        self.timeout_ms += 1
        route = {
            "name": "lookups",
            "prefix": "/",
            "service": "catalogue",
            "service_version": "1.0.0",
            "timeout_ms": self.timeout_ms,
        }
        versions = {"1.0.0": {"name": "1.0.0"}}
        intent = {"services": [{"name": "catalogue", "versions": versions}], "routes": [route]}
        plan = node.client.post("/v1/plans", intent)
        answer = node.client.post("/v1/plans/confirm", plan.content)
        self.assertEqual(answer.status, 200, answer.content)
        return int(answer.content["version"])

    def answers(self, node: FleetNode, *, one_paused: bool) -> bool:
        """Return whether a call through ``node`` succeeds.

        A paused process still accepts connections. Until it is ejected, a call to it ends with
        504 at the route's timeout. Any other failure is a fault, and so is 504 without a pause.
        """
        status = Caller().call(node.call_url + "/x").status
        self.assertIn(status, (200, 504) if one_paused else (200,))
        return status == 200

    def await_version(
        self, nodes: list[FleetNode], version: int, *, one_paused: bool = False
    ) -> None:
        """Wait until ``version`` is in force on ``nodes`` and calls through them succeed."""
        self.until(lambda: all(self.status(n).get("version", -1) >= version for n in nodes))
        self.until(lambda: all(n.client.get("/readyz").status == 200 for n in nodes))
        for node in nodes:
            self.until(partial(self.answers, node, one_paused=one_paused))

    def versions_in_log(self, name: str) -> list[list[int]]:
        """Return the versions that each process of a node put in force, in order."""
        runs: list[list[int]] = []
        for line in self.fleet.log_text(name).splitlines():
            try:
                entry = json.loads(line)
            except ValueError:
                self.fail(f"{name} has written a line that is not JSON: {line!r}")
            if entry["event"] == "node_started":
                runs.append([])
            elif entry["event"] == "config_in_force":
                runs[-1].append(entry["version"])
        return runs

    def kill(self, name: str) -> None:
        """Kill the process of a node."""
        process = self.fleet.nodes[name].process
        assert process is not None
        process.kill()
        process.wait()

    def test_killed_reader_paused_node_and_restart(self) -> None:
        """Fails if a killed reader loses a change, or a paused node reverts to an older version."""
        others = [n for n in self.running() if n.availability_zone == "a"]
        self.await_version(self.running(), 0)
        self.until(lambda: any(self.status(n)["reader_role"] == "primary" for n in others))
        reader = next(n for n in others if self.status(n)["reader_role"] == "primary")
        paused = self.fleet.nodes["b-2"]
        os.kill(paused.pid, signal.SIGSTOP)
        self.kill(reader.name)
        version = self.publish(self.fleet.nodes["b-1"])
        unpaused = [n for n in self.running() if n is not paused]
        self.await_version(unpaused, version, one_paused=True)
        os.kill(paused.pid, signal.SIGCONT)
        self.fleet.start(reader.name)
        self.await_version(self.running(), version)
        for name in self.fleet.nodes:
            for run in self.versions_in_log(name):
                self.assertEqual(run, sorted(set(run)), name)

    def test_outage_with_a_restart(self) -> None:
        """Fails if a node restarted in an outage serves an older version or reports as proven."""
        version = self.publish(self.fleet.nodes["b-1"])
        self.await_version(self.running(), version)
        self.fleet.log.faults.outage = True
        self.kill("a-1")
        self.fleet.start("a-1")
        restarted = self.fleet.nodes["a-1"]
        self.await_version([restarted], version)
        self.assertEqual(self.status(restarted)["readiness"], "ready (unproven)")
        plan = restarted.client.post("/v1/plans", {"remove_routes": ["lookups"]})
        unknown = restarted.client.post("/v1/plans/confirm", plan.content)
        self.assertEqual((unknown.status, unknown.content["result"]), (202, "unknown"))
        self.fleet.log.faults.outage = False
        self.until(lambda: self.status(restarted)["readiness"] == "ready")
        self.await_version(self.running(), self.publish(restarted))
