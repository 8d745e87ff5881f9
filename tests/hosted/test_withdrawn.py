"""Versions that were taken back, across later orders, restarts and late starts of targets."""

from __future__ import annotations

import unittest

from citronrack.hosted.rollout_record import Phase, RolloutOrder, RolloutRecord, follow
from citronrack.hosted.views import ANY_VERSION, other_versions

from .mesh import SERVICE
from .polling_mesh import PollingMesh
from .test_rollout import Fleet, good

ZONES = ("za", "zb")
SEEDS = ("n0", "n1", "n2")
VERSIONS = {"n0": "v1", "n1": "v1", "n2": "v2", "n3": "v2", "n4": "v3", "n5": "v3"}
BAD = {"n2", "n3"}


class WithdrawnVersionTest(unittest.TestCase):
    """A version that was taken back gets no calls until an order names it again."""

    def setUp(self) -> None:
        self.mesh = PollingMesh(0, zones=ZONES)
        self.versions = dict(VERSIONS)
        for name in VERSIONS:
            self.mesh.add(name, seeds=SEEDS)
        self.mesh.run(2.0)
        self.run_mesh(1)

    def run_mesh(self, seconds: int) -> None:
        """Advance the clock while all targets report."""
        for _ in range(seconds):
            self.mesh.sequence += 1
            for name in self.mesh.cores:
                version = self.versions[name]
                self.mesh.report(name, service_version=version, sequence=self.mesh.sequence)
            self.mesh.run(1.0)

    def take_back(self) -> None:
        """Order a version that gets no calls, so that its time passes and it is taken back."""
        self.mesh.order("v2", duration="4s")
        self.run_mesh(6)
        self.assertEqual(self.mesh.states()[-1], "rolled_back")

    def order(self, version: str) -> None:
        """Order a version and wait until the order has a record."""
        self.mesh.order(version, duration="60s")
        self.run_mesh(3)

    def assert_withdrawn(self, target_version: str, bad: set[str] = BAD) -> None:
        """Check that no node sends calls to the bad version, and that its nodes take none."""
        for name in self.mesh.cores:
            pools = self.mesh.views[name].current.pools
            for version in (ANY_VERSION, target_version, other_versions(target_version)):
                targets = {target.name for target in pools.get((SERVICE, version), ())}
                self.assertEqual(targets & bad, set(), (name, version))
        for name in bad:
            self.assertTrue(self.mesh.cores[name].identity().refusal)

    def test_next_order(self) -> None:
        """Guards against calls to a version that was taken back once the next one is ordered."""
        self.take_back()
        self.mesh.order("v3")
        for _ in range(40):
            self.mesh.run(0.05)
            self.assert_withdrawn("v3")

    def test_several_orders_in_a_row(self) -> None:
        """Guards against a version that only the order right after its own knows as bad."""
        self.take_back()
        for version in ("v3", "v4", "v5"):
            self.order(version)
            self.assert_withdrawn(version)
        self.mesh.order("v6")
        self.mesh.order("v7")
        self.run_mesh(3)
        self.assert_withdrawn("v7")

    def test_change_of_leader(self) -> None:
        """Guards against a leader that only knows the order that it took over."""
        self.take_back()
        self.order("v3")
        holder = next(name for name in VERSIONS if name not in BAD)
        del self.mesh.cores[holder]
        self.run_mesh(5)
        self.assert_withdrawn("v3")

    def test_restart_of_all_nodes(self) -> None:
        """Guards against a bad version that is known only to processes that have ended."""
        for wait_s in (0, 3):
            with self.subTest(wait_s=wait_s):
                self.setUp()
                self.take_back()
                self.mesh.order("v3", duration="60s")
                self.run_mesh(wait_s)
                for name in VERSIONS:
                    self.mesh.add(name, boot=2, seeds=SEEDS)
                for _ in range(5):
                    self.run_mesh(1)
                    for name in BAD:
                        self.assertTrue(self.mesh.cores[name].identity().refusal)
                self.assert_withdrawn("v3")

    def test_target_that_registers_late(self) -> None:
        """Guards against calls to a target of a bad version that starts after the next order."""
        self.take_back()
        self.order("v3")
        self.mesh.add("n6", seeds=SEEDS)
        self.versions["n6"] = "v2"
        self.run_mesh(2)
        self.assert_withdrawn("v3", BAD | {"n6"})

    def test_order_that_is_replaced_before_its_end(self) -> None:
        """Guards against an unproven version that gets the calls of the old one."""
        for wait_s in (0, 2):
            with self.subTest(wait_s=wait_s):
                self.setUp()
                self.mesh.order("v2", duration="60s")
                self.mesh.run(0.2)
                self.run_mesh(wait_s)
                self.order("v3")
                self.assert_withdrawn("v3")

    def test_order_that_names_it_again(self) -> None:
        """Guards against a version that can never be tried again."""
        self.take_back()
        self.order("v3")
        self.order("v2")
        pools = self.mesh.views["n0"].current.pools
        self.assertEqual({target.name for target in pools[SERVICE, "v2"]}, BAD)
        for name in BAD:
            self.assertEqual(self.mesh.cores[name].identity().refusal, "")
        self.assertNotIn("n4", {target.name for target in pools[SERVICE, other_versions("v2")]})

    def test_completed_version_stays(self) -> None:
        """Guards against taking calls from the version in use when the next one is ordered."""
        fleet = Fleet(good)
        fleet.run(16.0)
        self.assertEqual(fleet.phase, Phase.COMPLETED)
        core, _, _ = fleet.nodes["n0"]
        core.on_order(RolloutOrder(9, "s", "v3", 16.0))
        self.assertFalse(core.is_withdrawn("s", "v2"))
        self.assertEqual(core.shares()["s"].withdrawn, ())


class FollowTest(unittest.TestCase):
    """The first record of an order follows the last one of the order before."""

    def record(self, order_id: int, version: str, **fields: object) -> RolloutRecord:
        """Return a record."""
        usual: dict[str, object] = {
            "order_id": order_id,
            "service": "s",
            "target_version": version,
            "phase": Phase.RUNNING,
            "share": 0.0,
            "step": 0,
            "elapsed_ms": 0,
            "holder": "n0",
            "revision": 1,
        }
        return RolloutRecord(**{**usual, **fields})  # type: ignore[arg-type]

    def test_store_decides_what_came_before(self) -> None:
        """Guards against withdrawing a version whose completion the proposing node has missed."""
        first = self.record(9, "v3")
        for phase, withdrawn in (
            (Phase.COMPLETED, ("v0",)),
            (Phase.ROLLED_BACK, ("v0", "v2")),
            (Phase.RUNNING, ("v0", "v2")),
        ):
            with self.subTest(phase):
                previous = self.record(5, "v2", phase=phase, revision=4, withdrawn=("v0", "v3"))
                self.assertEqual(follow(first, previous).withdrawn, withdrawn)

    def test_later_records_stay(self) -> None:
        """Guards against a step of a rollout that drops what its first record withdrew."""
        step = self.record(9, "v3", revision=2, withdrawn=("v2",))
        self.assertEqual(follow(step, self.record(5, "v4")), step)
        self.assertEqual(follow(step, None), step)
