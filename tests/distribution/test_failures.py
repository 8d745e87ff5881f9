"""Whole failures, driven through the cores with several seeds."""

from __future__ import annotations

import unittest
from collections.abc import Iterator
from unittest import mock

from citronrack.distribution.messages import PushRecords
from citronrack.distribution.reading import MAX_NON_READERS
from citronrack.distribution.tree import READERS

from .fleet import SEEDS, ZONES, FleetUnderTest


class FailureTest(unittest.TestCase):
    """Guards against lost, late, repeated or reordered records."""

    def fleets(self) -> Iterator[FleetUnderTest]:
        """Yield a settled fleet per seed."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                yield FleetUnderTest(self, seed)

    def test_reader_dies(self) -> None:
        """Fails if records stop when the primary reader dies."""
        for fleet in self.fleets():
            fleet.net.stop(fleet.readers("north")[0].name)
            fleet.net.append()
            fleet.converges()

    def test_all_readers_die(self) -> None:
        """Fails if a zone waits for readers that no longer exist."""
        for fleet in self.fleets():
            for node in fleet.readers("north"):
                fleet.net.stop(node.name)
            fleet.net.append()
            fleet.converges()

    def test_reader_cut_off_from_the_log_only(self) -> None:
        """Fails if both readers cannot read and no other node takes their place."""
        for fleet in self.fleets():
            readers = fleet.readers("north")
            fleet.cut_log(readers[:1])
            fleet.net.append()
            fleet.converges()
            fleet.cut_log(readers)
            fleet.run(10)
            self.assertTrue(set(fleet.readers("north")).isdisjoint(readers))
            fleet.net.append()
            fleet.converges()

    def test_zone_cut_off_from_the_log(self) -> None:
        """Fails if a zone without the log gets no records through the relays of other zones."""
        for fleet in self.fleets():
            fleet.cut_log(fleet.net.live("east"))
            fleet.run(2)
            for _ in range(5):
                fleet.net.append()
                fleet.run(0.5)
            fleet.converges()

    def test_zone_cut_off_from_everything_and_healed(self) -> None:
        """Fails if a partition loses or mixes up records, or counts a lost zone as done."""
        for fleet in self.fleets():
            net = fleet.net
            fleet.cut_log(net.live("east"))
            fleet.cut_zone("east")
            last = net.append()
            fleet.converges(net.live("north") + net.live("south"))
            east = net.live("east")
            net.send(east[0], east[0].distribution.put_fact("mark/a", 1, b"e", urgent=True))
            north = net.live("north")[0]
            net.send(north, north.distribution.put_fact("mark/b", 1, b"n", urgent=True))
            fleet.run(40)
            self.assertTrue(all(node.next_offset == last for node in east))
            progress = {z.availability_zone: z for z in north.directory.zone_progress()}
            self.assertFalse(progress["east"].in_force(0))
            self.assertGreater(progress["east"].unknown, 0)
            self.assertTrue(progress["south"].in_force(last))
            self.assertFalse(any(m.known for m in north.directory.members("east")))
            net.faults.cut_zones.clear()
            net.faults.log_cut.clear()
            fleet.converges()
            fleet.run(9)
            for node in net.live():
                self.assertEqual(len(node.distribution.facts.items("mark/")), 2, node.name)

    def test_herd_restart(self) -> None:
        """Fails if a mass restart leaves nodes behind or with an incomplete table."""
        for fleet in self.fleets():
            names = [node.name for node in fleet.net.live()]
            for name in names:
                fleet.net.stop(name)
            fleet.net.run(3)
            fleet.net.append()
            for name in names:
                fleet.net.start(name)
            fleet.converges()
            fleet.run(15)
            for node in fleet.net.live():
                self.assertEqual(len(node.table.members()), ZONES[node.zone], node.name)
                for zone in node.directory.zones():
                    known = [m for m in node.directory.members(zone) if m.known]
                    self.assertEqual(len(known), ZONES[zone], f"{node.name} of {zone}")

    def test_half_restarts_while_the_log_is_down(self) -> None:
        """Fails if restarted nodes do not get the records from peers."""
        for fleet in self.fleets():
            fleet.cut_log(fleet.net.live())
            for node in fleet.net.live()[::2]:
                fleet.net.stop(node.name)
            fleet.run(1)
            for node in list(fleet.net.nodes.values())[::2]:
                fleet.net.start(node.name)
            fleet.converges()

    def test_crossing_updates_under_loss(self) -> None:
        """Fails if loss, duplication and reordering of many updates break the order."""
        for fleet in self.fleets():
            fleet.net.faults.loss = 0.2
            fleet.net.faults.duplication = 0.2
            for _ in range(40):
                fleet.net.append()
                fleet.run(0.25)
            fleet.net.faults.loss = 0.05
            fleet.converges()

    def test_marks_spread_without_the_log(self) -> None:
        """Fails if a mark needs the log, or a duplicate of it changes anything."""
        for fleet in self.fleets():
            fleet.cut_log(fleet.net.live())
            node = fleet.net.live("south")[-1]
            effects = node.distribution.put_fact("mark/x", 1, b"bad", urgent=True)
            fleet.net.send(node, effects)
            fleet.run(9)
            for other in fleet.net.live():
                self.assertIsNotNone(other.distribution.facts.get("mark/x"), other.name)

    def test_log_outage_does_not_make_all_nodes_give_up(self) -> None:
        """Fails if an outage makes each node in turn change and spread its description."""
        fleet = FleetUnderTest(self, 1, zones={"north": 24})
        before = {node.name: node.table.own.incarnation for node in fleet.net.live()}
        fleet.cut_log(fleet.net.live())
        for _ in range(90):
            fleet.run(1)
            non_readers = sum(not node.table.own.reading for node in fleet.net.live())
            # Three polls take 3 s and an update about 5 s to reach all: two pairs are on the way.
            self.assertLessEqual(non_readers, MAX_NON_READERS + 2 * READERS)
        # Each gives up, retries after 30 to 60 s, and gives up again, as does its substitute.
        raised = sum(n.table.own.incarnation - before[n.name] for n in fleet.net.live())
        self.assertLessEqual(raised, 4 * (MAX_NON_READERS + READERS))
        fleet.net.faults.log_cut.clear()
        fleet.net.append()
        fleet.converges()

    def test_push_is_forwarded_once(self) -> None:
        """Fails if nodes that take each other for children send a push to and fro."""
        net = FleetUnderTest(self, 1).net
        node = net.live("north")[0]
        start = node.next_offset + 1  # a gap, so that the records stay undelivered
        push = PushRecords(start, (b"x",), node.name)
        sends = [node.receive("tcp://north-0001", push) for _ in range(2)]
        forwarded = [sum(isinstance(s.message, PushRecords) for s in some) for some in sends]
        self.assertGreater(forwarded[0], 0)
        self.assertEqual(forwarded[1], 0)

    def test_trimmed_records_are_replaced_by_a_snapshot(self) -> None:
        """Fails if a node that is further behind than its peers' memory never catches up."""
        with (
            mock.patch("citronrack.distribution.store.KEPT_RECORDS", 5),
            mock.patch("citronrack.distribution.snapshots.PART_BYTES", 4096),
        ):
            for fleet in self.fleets():
                name = fleet.readers("north")[1].name
                fleet.net.stop(name)
                for _ in range(30):
                    fleet.net.append()
                    fleet.run(0.25)
                fleet.cut_log(fleet.net.live())
                fleet.net.faults.log_cut.add(name)
                fleet.net.start(name)
                fleet.converges()


if __name__ == "__main__":
    unittest.main()
