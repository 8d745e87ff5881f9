"""Leaving of targets that a node has acknowledged, across restarts of nodes."""

from __future__ import annotations

import unittest
from concurrent.futures import Future

from citronrack.hosted.gossip import Positions
from citronrack.hosted.leaving import LEFT_PREFIX, NOT_INFORMED, STORE_WAIT_S, decode_leave
from citronrack.hosted.messages import LeaveReceived
from citronrack.hosted.store import MESH_TOPIC
from citronrack.hosted.target import LEAVING, TargetLeave

from .mesh import TICK_S
from .polling_mesh import PollingMesh

ZONES = ("za", "zb")
SIZE = 6
SEEDS = ("n0", "n1", "n2")
LEAVES = "n5"
STARTED_MS = 1_000


class LeavingTest(unittest.TestCase):
    """A late report does not undo what was acknowledged."""

    def setUp(self) -> None:
        self.mesh = PollingMesh(0, zones=ZONES)
        for index in range(SIZE):
            self.mesh.add(f"n{index}", seeds=SEEDS)
        self.mesh.run(8.0)
        for name in self.mesh.cores:
            self.mesh.report(name, started_ms=STARTED_MS)
        self.mesh.run(1.0)
        self.assertIn(LEAVES, self.mesh.pool("n0"))

    def leave(self, *, draining: bool) -> None:
        """Let the target leave, by a report or by a notice, and get its acknowledgement."""
        if draining:
            answer = self.mesh.report(LEAVES, started_ms=STARTED_MS, sequence=5, draining=True)
        else:
            answer = self.mesh.leave(LEAVES, f"i-{LEAVES}", STARTED_MS)
        self.assertEqual(answer, "")

    def restart(self, *names: str) -> None:
        """Start new processes of nodes at the same moment."""
        for name in names:
            self.mesh.add(name, boot=2, seeds=SEEDS)

    def late_report(self) -> None:
        """Deliver a report that the target sent before it left."""
        self.mesh.report(LEAVES, started_ms=STARTED_MS, sequence=2)

    def assert_refused(self, reason: str = LEAVING) -> None:
        """Check that the target gets no calls."""
        self.assertEqual(self.mesh.cores[LEAVES].identity().refusal, reason)
        for name in self.mesh.cores:
            if name != LEAVES:
                self.assertNotIn(LEAVES, self.mesh.pool(name))

    def test_start_with_an_earlier_time_leaves(self) -> None:
        """Guards against a leaving that is acknowledged and not applied, after a clock step."""
        earlier = {"started_ms": STARTED_MS - 400, "draining": True}
        self.assertNotEqual(self.mesh.report(LEAVES, **earlier, sequence=2), "")
        self.assertIn(LEAVES, self.mesh.pool("n0"))
        self.mesh.run(0.75)
        self.assertEqual(self.mesh.report(LEAVES, **earlier, sequence=3), "")
        self.mesh.run(1.0)
        self.assert_refused()

    def test_restart_of_the_node(self) -> None:
        """Guards against a late report that undoes an acknowledged leaving after a restart."""
        for draining in (False, True):
            for store_answers in (True, False):
                for wait_s in (0.0, 1.0):
                    with self.subTest(draining=draining, store=store_answers, wait_s=wait_s):
                        self.setUp()
                        if not store_answers:
                            self.mesh.silent.update(self.mesh.cores)
                            self.mesh.cut.update(self.mesh.cores)
                        self.leave(draining=draining)
                        self.restart(LEAVES)
                        self.mesh.run(wait_s)
                        self.late_report()
                        self.mesh.run(1.0)
                        self.assert_refused()

    def test_restart_of_the_zone_and_of_all_nodes(self) -> None:
        """Guards against a leaving that is kept only by processes that end together."""
        zone = [name for name in self.mesh.cores if self.mesh.zone_of(name) == "zb"]
        for names in (zone, list(self.mesh.cores)):
            with self.subTest(names=names):
                self.setUp()
                self.leave(draining=False)
                self.restart(*names)
                self.late_report()
                self.assertTrue(self.mesh.cores[LEAVES].identity().refusal)
                self.mesh.run(3.0)
                for name in self.mesh.cores:
                    if name != LEAVES:
                        self.mesh.report(name, started_ms=STARTED_MS)
                self.mesh.run(1.0)
                self.assert_refused()

    def test_report_before_others_are_heard(self) -> None:
        """Guards against calls by a late report while nobody has told a node what it promised."""
        self.leave(draining=False)
        self.mesh.silent.update(self.mesh.cores)
        self.mesh.unreachable.add(LEAVES)
        self.restart(LEAVES)
        self.late_report()
        self.mesh.run(1.0)
        self.assert_refused(NOT_INFORMED)
        self.mesh.unreachable.clear()
        self.mesh.run(3.0)
        self.assert_refused()

    def test_entry_of_the_new_process_is_heard_first(self) -> None:
        """Guards against a new entry that replaces the only copy of what its node promised."""
        self.mesh.cut.update(self.mesh.cores)
        self.leave(draining=False)
        self.mesh.silent.update(self.mesh.cores)
        self.mesh.drops = lambda sender, to, message: (
            sender == LEAVES and isinstance(message, Positions)
        )
        self.restart(LEAVES)
        self.mesh.run(TICK_S)
        self.mesh.drops = lambda sender, to, message: False
        self.late_report()
        self.assert_refused()

    def test_later_start_is_served(self) -> None:
        """Guards against a node that refuses calls for the next target after a leaving."""
        self.leave(draining=False)
        self.restart(LEAVES)
        self.mesh.run(1.0)
        self.late_report()
        self.mesh.report(LEAVES, started_ms=STARTED_MS + 1)
        self.mesh.run(1.0)
        self.assertEqual(self.mesh.cores[LEAVES].identity().refusal, "")
        self.assertIn(LEAVES, self.mesh.pool("n0"))

    def test_acknowledgement_waits_for_the_store(self) -> None:
        """Guards against an acknowledgement that only the process that gave it remembers."""
        self.mesh.cut.add(LEAVES)
        answer: Future[str] = Future()
        notice = LeaveReceived(TargetLeave(f"i-{LEAVES}", STARTED_MS), answer)
        self.mesh.deliver(LEAVES, self.mesh.cores[LEAVES].handle(notice))
        self.assertFalse(answer.done())
        self.assert_refused()
        self.mesh.run(STORE_WAIT_S + TICK_S)
        self.assertEqual(answer.result(0), "")
        self.mesh.cut.clear()
        self.mesh.run(TICK_S)
        records = {record.key: record for record in self.mesh.store.newest(MESH_TOPIC).records}
        kept = decode_leave(records[LEFT_PREFIX + LEAVES].value)
        self.assertEqual(kept, TargetLeave(f"i-{LEAVES}", STARTED_MS))

    def test_start_with_an_empty_topic(self) -> None:
        """Guards against nodes that refuse all calls because nothing was ever stored."""
        mesh = PollingMesh(0, zones=ZONES)
        mesh.cut.update(f"n{index}" for index in range(SIZE))  # No write reaches the store.
        for index in range(SIZE):
            mesh.add(f"n{index}", seeds=SEEDS)
        mesh.run(3.0)
        for name in mesh.cores:
            mesh.report(name)
        mesh.run(1.0)
        self.assertEqual(mesh.pool("n3"), set(mesh.cores))
        self.assertEqual(mesh.cores["n3"].identity().refusal, "")
