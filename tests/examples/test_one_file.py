"""The single-file executable runs a node as one process."""

from __future__ import annotations

import os
import unittest
from pathlib import Path

from citronrack.bench.fleet import Fleet, wait_until

PROGRAM = os.environ.get("CITRONRACK_PYZ", "")


def children(pid: int) -> list[str]:
    """Return the ids of all child processes of ``pid``."""
    tasks = Path(f"/proc/{pid}/task").iterdir()
    return [child for task in tasks for child in (task / "children").read_text().split()]


@unittest.skipUnless(PROGRAM, "set CITRONRACK_PYZ to the built program; CI does")
class OneFileTest(unittest.TestCase):
    """Guards against a build that does not start, or that starts further processes."""

    def test_node_is_one_process_and_stops_gracefully(self) -> None:
        """Fails if the program forks, lacks a file that it needs, or does not stop."""
        with Fleet(executable=[PROGRAM]) as fleet:
            node = fleet.add_node("a-1", "a", service_version="1.0.0")
            fleet.start("a-1")
            alive = wait_until(lambda: node.client.get("/healthz").status == 200, limit_s=60)
            self.assertTrue(alive, fleet.log_text("a-1"))
            self.assertEqual(children(node.pid), [])
            self.assertEqual(fleet.stop("a-1"), 0)
