"""Targets that name in their answers how many calls a second they take."""

from __future__ import annotations

import unittest
from typing import Any

from citronrack.calls import Admission
from citronrack.calls.notice import TargetStatement
from citronrack.clock import ManualClock, SystemClock
from citronrack.hosted.messages import TargetStated
from citronrack.hosted.target import LEAVING
from citronrack.platform.answers import decode_notice
from citronrack.platform.operator import operator_topic

from ..limits import allowed
from .mesh import SERVICE, Mesh, config_record
from .test_delivery import DeliveryFixture, http_answer


class LimitedTargetTest(unittest.TestCase):
    """Calls that a node passes to its own target."""

    def test_a_target_gets_no_more_calls_than_it_names(self) -> None:
        """Guards against a rate at a target that only its slots bound."""
        answer = http_answer(200, "Instance-Signature: s", "Server-Limit: 2.5", "Connection: close")
        clock = ManualClock()
        clock.advance(SystemClock().monotonic())
        with DeliveryFixture(answer, slots=8) as fixture:
            fixture.use_admission(Admission(slots=8, clock=clock))
            statuses = [fixture.call(timeout_s=0.3).status for _ in range(61)]
            self.assertEqual(statuses, [200] + [503] * 60)
            self.assertLessEqual(len(fixture.requests), allowed(2.5))
            clock.advance(0.4)
            last = fixture.call(timeout_s=0.8)
            self.assertEqual((last.status, last.local_reason), (200, ""))


class AnnouncedLimitTest(unittest.TestCase):
    """Limits that nodes tell each other, so that calls are not forwarded to be refused."""

    def setUp(self) -> None:
        self.mesh = Mesh(3)
        self.mesh.store.topics[operator_topic().name] = [config_record(1, 0, "a")]
        self.mesh.read()
        for name in self.mesh.cores:
            self.mesh.report(name)
        self.mesh.run(1.0)

    def state(self, limit_per_s: float | None, *, started_ms: int = 1) -> None:
        """Let the target of n0 name a limit."""
        message = TargetStated(TargetStatement(("i-n0", started_ms), limit_per_s))
        self.mesh.deliver("n0", self.mesh.cores["n0"].handle(message))
        self.mesh.run(0.5)

    def limits(self) -> set[Any]:
        """Return the limits of the target of n0 that the nodes route by."""
        pools = [view.current.pools[SERVICE, ""] for view in self.mesh.views.values()]
        return {target.limit_per_s for pool in pools for target in pool if target.name == "n0"}

    def test_all_nodes_learn_a_limit_and_its_end(self) -> None:
        """Guards against nodes that forward more calls than a target takes."""
        self.assertEqual(self.limits(), {None})
        self.state(10.4)
        self.assertEqual(self.limits(), {10.0})
        self.state(0.0)
        self.assertEqual(self.limits(), {0.0})
        self.state(None)
        self.assertEqual(self.limits(), {None})

    def test_limit_of_an_earlier_process(self) -> None:
        """Guards against the limit of a process that has ended."""
        self.state(10.4)
        self.mesh.report("n0", started_ms=2, sequence=1)
        self.mesh.run(0.5)
        self.assertEqual(self.limits(), {None})
        self.state(5.0)
        self.assertEqual(self.limits(), {None})

    def test_odd_limits_do_not_stop_the_ticks(self) -> None:
        """Guards against a node whose target names a limit that no entry can hold."""
        for value in (b"9" * 32, b"0", b"0." + b"0" * 30 + b"1", b"9007199254740993"):
            with self.subTest(value=value):
                self.state(decode_notice({b"server-limit": value}).limit_per_s)
                (limit,) = self.limits()
                self.assertEqual(limit, self.mesh.cores["n0"].entry.limit_per_s)
                self.assertIsNotNone(limit)

    def test_small_changes_need_no_messages(self) -> None:
        """Guards against a message to all nodes for each answer of a target."""
        self.state(10.4)
        revision = self.mesh.cores["n0"].entry.revision
        for step in range(5):
            self.state(10.3 + step / 100)
        self.assertEqual(self.mesh.cores["n0"].entry.revision, revision)


class LeavingTargetTest(unittest.TestCase):
    """Targets whose answers say that they leave."""

    def test_node_refuses_calls_until_the_next_process(self) -> None:
        """Guards against calls to a target that leaves, also while the store is away."""
        mesh = Mesh(3)
        mesh.store.topics[operator_topic().name] = [config_record(1, 0, "a")]
        mesh.read()
        for name in mesh.cores:
            mesh.report(name)
        mesh.cut = set(mesh.cores)
        core = mesh.cores["n0"]
        stated = TargetStated(TargetStatement(("i-n0", 1), leaving=True))
        mesh.deliver("n0", core.handle(stated))
        self.assertEqual(core.identity().refusal, LEAVING)
        self.assertNotIn("n0", mesh.pool("n1"))
        mesh.report("n0", sequence=5)
        self.assertEqual(core.identity().refusal, LEAVING)
        mesh.report("n0", sequence=1, started_ms=2)
        self.assertEqual(core.identity().refusal, "")
        mesh.deliver("n0", core.handle(stated))
        self.assertEqual(core.identity().refusal, "")
        self.assertIn("n0", mesh.pool("n1"))
