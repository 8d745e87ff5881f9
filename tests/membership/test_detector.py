"""Members that die, are slow, leave, or lose each other."""

from __future__ import annotations

import unittest
from collections.abc import Iterator

import attrs

from citronrack.bench.distribution_net import NodeSim, make_member
from citronrack.membership import MemberState, MemberTable

from ..distribution.fleet import SEEDS, FleetUnderTest

ZONES = {"north": 10, "east": 4}


class DetectorTest(unittest.TestCase):
    """Guards against false deaths, missed deaths and resurrection."""

    def fleets(self) -> Iterator[FleetUnderTest]:
        """Yield a settled fleet per seed."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                yield FleetUnderTest(self, seed, zones=ZONES)

    def state_of(self, name: str, viewers: list[NodeSim]) -> set[int | None]:
        """Return the states in which others see a member; None where it was dropped."""
        seen = (node.table.get(name) for node in viewers if node.name != name)
        return {None if member is None else member.state for member in seen}

    def test_dead_member_is_gone_and_stays_away(self) -> None:
        """Fails if a death is missed, or a stale table brings the member back."""
        for fleet in self.fleets():
            net = fleet.net
            dead, stale, *others = net.live("north")
            stale.paused = True
            net.stop(dead.name)
            fleet.run(10)
            self.assertEqual(self.state_of(dead.name, others), {MemberState.GONE})
            fleet.run(125)
            self.assertEqual(self.state_of(dead.name, others), {None})
            stale.paused = False
            fleet.run(30)
            states = self.state_of(dead.name, [stale, *others])
            self.assertTrue(states <= {None, MemberState.GONE}, states)
            self.assertEqual(self.state_of(stale.name, others), {MemberState.ALIVE})

    def test_slow_links_to_one_witness_do_not_kill(self) -> None:
        """Fails if one node without acks is enough to declare a member gone."""
        for fleet in self.fleets():
            first, second, *_ = fleet.net.live("north")
            fleet.net.faults.cut_nodes = {frozenset((first.name, second.name))}
            incarnation = second.table.own.incarnation
            fleet.run(40)
            self.assertNotIn(MemberState.GONE, self.state_of(second.name, fleet.net.live("north")))
            self.assertLessEqual(second.table.own.incarnation, incarnation + 3)

    def test_paused_node_suspects_nobody_afterwards(self) -> None:
        """Fails if a node holds its own pause against others."""
        for fleet in self.fleets():
            paused = fleet.net.live("north")[0]
            before = {n.name: n.table.own.incarnation for n in fleet.net.live("north")}
            for seconds in (2.0, 20.0):
                paused.paused = True
                fleet.run(seconds)
                if seconds < 3:
                    states = self.state_of(paused.name, fleet.net.live("north"))
                    self.assertNotIn(MemberState.GONE, states)
                paused.paused = False
                fleet.run(10)
            refuted = [
                n.name
                for n in fleet.net.live("north")
                if n is not paused and n.table.own.incarnation > before[n.name] + 1
            ]
            self.assertEqual(refuted, [])
            self.assertEqual(len(paused.table.members()), ZONES["north"])

    def test_halves_of_a_zone_find_each_other(self) -> None:
        """Fails if two halves that declared each other gone stay apart after the heal."""
        for fleet in self.fleets():
            nodes = fleet.net.live("north")
            left, right = nodes[:5], nodes[5:]
            cuts = {frozenset((a.name, b.name)) for a in left for b in right}
            fleet.net.faults.cut_nodes = cuts
            fleet.run(60)
            self.assertTrue(all(len(node.table.members()) == 5 for node in nodes))
            fleet.net.faults.cut_nodes = set()
            fleet.run(40)
            self.assertEqual({len(node.table.members()) for node in nodes}, {10})

    def test_leave_and_drain_are_told_at_once(self) -> None:
        """Fails if a planned stop is found out by silence only, or not told to other zones."""
        for fleet in self.fleets():
            leaver, drainer, *others = fleet.net.live("north")
            drainer.table.update_own(draining=True)
            fleet.net.send(leaver, leaver.detector.leave())
            fleet.net.stop(leaver.name)
            fleet.run(2.5)
            self.assertEqual(self.state_of(leaver.name, others), {MemberState.GONE})
            self.assertTrue(all(n.table.get(drainer.name).draining for n in others))  # type: ignore[union-attr]
            for node in fleet.net.live("east"):
                known = {m.name: m.summary.draining for m in node.directory.members("north")}
                self.assertTrue(known[drainer.name], node.name)

    def test_load_changes_raise_no_incarnation(self) -> None:
        """Fails if each change of load or version is spread by the whole zone."""
        table = MemberTable(make_member("a", "north", 5))
        table.update_own(load=3, version=7, ready=False)
        self.assertEqual(table.own.incarnation, 5)
        table.update_own(load=4, ready=True)
        self.assertEqual(table.own.incarnation, 6)
        other = make_member("b", "north", 1)
        table.merge((other,))
        self.assertFalse(table.heard(attrs.evolve(other, load=9)))
        self.assertEqual([m.load for m in table.members()], [4, 9])


if __name__ == "__main__":
    unittest.main()
