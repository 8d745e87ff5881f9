"""Evacuated zones and cold targets, in cores of nodes."""

from __future__ import annotations

import json
import unittest
from copy import deepcopy

from citronrack.hosted.evacuation import EVACUATED

from .mesh import SERVICE, Mesh, config_record
from .polling_mesh import TOPIC

KEY = "evacuate/a"


class EvacuationTest(unittest.TestCase):
    """Four nodes in the zones ``a`` and ``b``, whose service states a rate for cold targets."""

    def setUp(self) -> None:
        self.mesh = Mesh(4, zones=("a", "b"))
        value = json.loads(config_record(1, 0, "a").value or b"")
        columns = ["name", "cold_start", "cold_per_s"]
        value["services"] = {"columns": columns, "rows": [[SERVICE, "4s", 20]]}
        self.mesh.store.put(TOPIC, "config", json.dumps(value).encode())
        self.mesh.read()
        self.mesh.run_with_reports(1.0)
        self.applied: list[tuple[float | None, str, str]] = []
        self.follow_rates()

    def follow_rates(self) -> None:
        """Record each rate of the target of n0 with the target and refusal known by then."""
        core = self.mesh.cores["n0"]
        core.callbacks.set_cold_rate = lambda rate: self.applied.append(
            (rate, core.identity().target_id, core.identity().refusal)
        )

    def put(self, value: bytes | None, *names: str) -> None:
        """Write the record of zone ``a``; some nodes read it, and the others hear of it."""
        self.mesh.store.put(TOPIC, KEY, value)
        self.mesh.read(*names)
        self.mesh.run_with_reports(1.0)

    def assert_evacuated(self, expected: bool) -> None:
        """Assert on all nodes whether they route to zone ``a`` and take calls for its targets."""
        for name, core in self.mesh.cores.items():
            pool = {"n1", "n3"} if expected else {"n0", "n1", "n2", "n3"}
            refusal = EVACUATED if expected and self.mesh.zone_of(name) == "a" else ""
            self.assertEqual((self.mesh.pool(name), core.identity().refusal), (pool, refusal))

    def limits(self) -> set[float | None]:
        """Return the limits of the target of n0 that the nodes route by."""
        pools = [view.current.pools[SERVICE, ""] for view in self.mesh.views.values()]
        return {target.limit_per_s for pool in pools for target in pool if target.name == "n0"}

    def test_begin_and_end(self) -> None:
        """Guards against calls to an evacuated zone, and one that odd records end."""
        for value, expected in ((b"{}", True), (b"{}", True), (b"[]", True), (None, False)):
            self.put(value, "n1")
            self.assert_evacuated(expected)
        self.put(b"{}")
        self.mesh.store.put(TOPIC, "evacuate/b", b"{}")
        self.mesh.read()
        self.assertEqual([self.mesh.pool(name) for name in self.mesh.cores], [set()] * 4)

    def test_restarted_node(self) -> None:
        """Guards against calls to a target whose node starts and lacks the operator's records."""
        self.put(b"{}")
        self.mesh.unreachable.add("n0")
        core = self.mesh.add("n0", boot=2, seeds=("n1",))
        self.follow_rates()
        self.mesh.report("n0", sequence=9, cold_s=60.0)
        self.assertTrue(core.identity().refusal)
        self.mesh.unreachable.clear()
        self.mesh.run_with_reports(2.0)
        self.assert_evacuated(True)
        self.put(None)
        rate, _, refusal = self.applied[0]
        self.assertEqual((rate, bool(refusal)), (20.0, True))

    def test_store_returns_from_a_copy(self) -> None:
        """Guards against an evacuation that a copy ends, or one of a copy that comes back."""
        before = deepcopy(self.mesh.store)
        self.put(b"{}", "n1")
        during = deepcopy(self.mesh.store)
        self.mesh.store.return_from(before)
        self.mesh.read("n0")
        self.assert_evacuated(True)
        self.put(b"{}", "n1")
        self.put(None, "n1")
        self.assert_evacuated(False)
        self.mesh.store.return_from(during)
        self.mesh.read("n0")
        self.assert_evacuated(False)

    def test_cold_phases(self) -> None:
        """Guards against a rate that begins after the calls to a new process, or does not end."""
        self.mesh.report("n0", target_id="i-new", started_ms=2, sequence=1, cold_s=1.0)
        self.mesh.run(0.5)
        self.assertEqual(self.limits(), {20.0})
        self.mesh.run(1.0)
        self.assertEqual(self.limits(), {None})
        self.mesh.report("n0", target_id="i-new", started_ms=2, sequence=2, cold_s=9.0)
        self.mesh.report("n0", target_id="i-new", started_ms=2, sequence=1)
        self.mesh.read()
        self.assertEqual([rate for rate, _, _ in self.applied], [20.0, None, 20.0])
        self.assertEqual(self.applied[0][1], "i-n0")

    def test_cold_at_the_end_of_an_evacuation(self) -> None:
        """Guards against full traffic to a target that was idle, whatever its last report said."""
        self.put(b"{}")
        self.put(None)
        self.assertEqual(self.applied, [(20.0, "i-n0", EVACUATED)])
        self.assertEqual(self.limits(), {20.0})
        self.mesh.run_with_reports(4.0)
        self.assertEqual(self.limits(), {None})

    def test_end_of_an_evacuation_before_the_first_report(self) -> None:
        """Guards against full traffic after a report that was written before the end."""
        self.put(b"{}")
        core = self.mesh.add("n0", boot=2, seeds=("n1",))
        self.mesh.run(1.0)
        self.mesh.store.put(TOPIC, KEY, None)
        self.mesh.read()
        self.follow_rates()
        self.mesh.report("n0", sequence=9)
        self.assertEqual([rate for rate, _, _ in self.applied], [20.0])
        self.assertEqual((self.applied[0][1], core.identity().target_id), ("", "i-n0"))
