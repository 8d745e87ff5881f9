"""Starts of nodes whose settings name a few other nodes."""

from __future__ import annotations

import unittest

from citronrack.hosted.messages import StopRequested
from citronrack.hosted.registration import REGISTRARS

from .polling_mesh import PollingMesh

ZONES = ("za", "zb", "zc")
SIZE = 30
SEEDS = ("n3", "n4", "n5")


class JoiningTest(unittest.TestCase):
    """A start asks peers and not the store."""

    def start_all(self) -> PollingMesh:
        """Return a mesh whose nodes all started at the same time with seeds."""
        mesh = PollingMesh(0, zones=ZONES)
        for index in range(SIZE):
            mesh.add(f"n{index}", seeds=SEEDS)
        return mesh

    def steady_mesh(self) -> PollingMesh:
        """Return a mesh whose nodes know each other and have a configuration."""
        mesh = self.start_all()
        mesh.run(8.0)
        for name in mesh.cores:
            mesh.report(name)
        mesh.run(1.0)
        return mesh

    def test_start_of_all_nodes(self) -> None:
        """Guards against a herd at the store when a whole deployment starts."""
        mesh = self.start_all()
        mesh.run(8.0)
        self.assertEqual(set(mesh.versions().values()), {1})
        self.assertEqual({core.nodes_known for core in mesh.cores.values()}, {SIZE - 1})
        self.assertLessEqual(mesh.puts, 2 * REGISTRARS * len(ZONES))
        self.assertEqual(len(mesh.readers()), 1)

    def test_restart_without_the_store(self) -> None:
        """Guards against a new node that serves nothing until the store is back."""
        mesh = self.steady_mesh()
        mesh.silent.update(mesh.cores, ["n30"])
        mesh.add("n30", seeds=SEEDS)
        mesh.run(1.0)
        self.assertEqual(mesh.cores["n30"].config_version, 1)
        self.assertEqual(mesh.cores["n30"].nodes_known, SIZE)
        mesh.report("n30")
        self.assertIn("n30", mesh.pool("n7"))

    def test_restart_asks_the_store_nothing(self) -> None:
        """Guards against calls to the store at each start while other nodes answer."""
        mesh = self.steady_mesh()
        before = mesh.puts
        names = [f"n{index}" for index in range(SIZE) if f"n{index}" not in mesh.readers()]
        for name in names[:10]:
            mesh.add(name, boot=2, seeds=SEEDS)
            mesh.run(0.5)
            self.assertNotIn(name, mesh.readers())
            self.assertEqual(mesh.cores[name].config_version, 1)
        self.assertLessEqual(mesh.puts - before, REGISTRARS * len(ZONES))

    def test_seeds_that_are_down(self) -> None:
        """Guards against a node that knows nobody because its settings are stale."""
        mesh = self.steady_mesh()
        for seed in SEEDS:
            del mesh.cores[seed]
        mesh.add("n30", seeds=SEEDS)
        mesh.run(1.0)
        mesh.read("n30")
        self.assertEqual(mesh.cores["n30"].config_version, 1)
        self.assertGreater(mesh.cores["n30"].nodes_known, 0)

    def test_stopped_node_stays_stopped_after_a_restart_of_another(self) -> None:
        """Guards against a restarted node that offers a target again that has left."""
        mesh = self.steady_mesh()
        mesh.drops = lambda sender, to, message: to == "n5"
        mesh.deliver("n7", mesh.cores["n7"].handle(StopRequested()))
        mesh.drops = lambda sender, to, message: False
        self.assertIn("n7", mesh.pool("n5"))
        mesh.add("n30", seeds=("n5",))
        mesh.run_with_reports(6.0)
        for name in mesh.cores:
            self.assertNotIn("n7", mesh.pool(name))

    def test_all_nodes_return_at_once(self) -> None:
        """Guards against pools that lack most targets for seconds after a loss of power."""
        mesh = self.steady_mesh()
        for name in list(mesh.cores):
            mesh.add(name, boot=2, seeds=SEEDS)
        mesh.run(1.5)
        self.assertEqual(set(mesh.versions().values()), {1})
        for name in mesh.cores:
            mesh.report(name)
        mesh.run(1.0)
        for name in mesh.cores:
            self.assertEqual(len(mesh.pool(name)), SIZE)
