"""A small simulated fleet with faults, and checks of its invariants."""

from __future__ import annotations

from unittest import TestCase

from citronrack.bench.distribution_net import Network, NodeSim, make_fleet

CONVERGENCE_S = 9.0
STEP_S = 0.25
SETTLED_S = 8.0
SEEDS = (1, 2, 3)
ZONES = {"north": 6, "east": 4, "south": 3}


class FleetUnderTest:
    """Three zones on a lossy network; `run` checks the invariants at each step."""

    def __init__(self, case: TestCase, seed: int, *, zones: dict[str, int] = ZONES) -> None:
        self.case = case
        self.seed = seed
        self.net: Network = make_fleet(seed, zones)
        self._steps = 0
        self._highest: dict[tuple[str, int], int] = {}
        for _ in range(3):
            self.net.append(b"before")
        self.run(SETTLED_S)
        self.net.faults.loss = 0.05
        self.net.faults.duplication = 0.05
        self.net.faults.jitter_s = 0.05

    def run(self, seconds: float) -> None:
        """Advance the simulation and check the invariants."""
        for _ in range(round(seconds / STEP_S)):
            self.net.run(STEP_S)
            self.check()

    def check(self) -> None:
        """Check that offsets never decrease, and that records are complete and in order."""
        live = self.net.live()
        for node in live:
            key = node.name, node.boot
            self.case.assertGreaterEqual(node.next_offset, self._highest.get(key, 0), self.seed)
            self._highest[key] = node.next_offset
            self.case.assertEqual(node.content, self.net.log[: node.next_offset], self.seed)
        if live:  # one node per step; checking all nodes would dominate the run time
            self._steps += 1
            self._check_progress(live[self._steps % len(live)])

    def _check_progress(self, node: NodeSim) -> None:
        """Check that no zone is reported as in force while one of its nodes is behind."""
        for zone in node.directory.zone_progress():
            if not zone.in_force(0):
                continue
            behind = [
                other.name
                for other in self.net.live(zone.availability_zone)
                if other.boot == 1 and other.version < zone.lowest
            ]
            self.case.assertEqual(behind, [], f"seed {self.seed}, seen by {node.name}")

    def assert_converges(
        self, nodes: list[NodeSim] | None = None, *, within: float = CONVERGENCE_S
    ) -> None:
        """Run until the nodes have all records of the log; fail after ``within`` seconds."""
        chosen = self.net.live() if nodes is None else nodes
        begin = self.net.clock.monotonic()
        while self.net.clock.monotonic() - begin < within:
            self.run(STEP_S)
            if all(node.next_offset == len(self.net.log) for node in chosen):
                return
        late = {n.name: n.next_offset for n in chosen if n.next_offset < len(self.net.log)}
        self.case.fail(f"seed {self.seed}: {late} of {len(self.net.log)} after {within} s")

    def readers(self, zone: str) -> list[NodeSim]:
        """Return the primary and the standby reader of a zone."""
        some = self.net.live(zone)[0]
        return [self.net.nodes[name] for name in some.distribution.tree.readers()]

    def cut_zone(self, zone: str) -> None:
        """Partition a zone from all other zones."""
        others = {node.zone for node in self.net.nodes.values()} - {zone}
        self.net.faults.cut_zones = {frozenset((zone, other)) for other in others}

    def cut_log(self, nodes: list[NodeSim]) -> None:
        """Partition nodes from the log."""
        self.net.faults.log_cut = {node.name for node in nodes}
