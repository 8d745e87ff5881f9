"""Messages to all nodes of several zones."""

from __future__ import annotations

import unittest

from citronrack.hosted.entry import DIGEST_BUCKETS, NodeEntry, NodeTable
from citronrack.hosted.fanout import Relayed
from citronrack.hosted.gossip import Entries, EntriesRequest
from citronrack.hosted.messages import StopRequested
from citronrack.platform.operator import operator_topic

from .mesh import Mesh, config_record

ZONES = ("za", "zb", "zc", "zd", "ze")
SIZE = 40


class FanoutTest(unittest.TestCase):
    """Changes reach every node, and few messages cross zones."""

    def setUp(self) -> None:
        """Create a mesh whose nodes know each other."""
        self.mesh = Mesh(SIZE, zones=ZONES)
        self.mesh.store.topics[operator_topic().name] = [config_record(1, 0, "a")]
        self.mesh.read()
        for name in self.mesh.cores:
            self.mesh.report(name)
        self.mesh.run(2.0)

    def crossing(self) -> list[str]:
        """Return the classes of the messages that went to another zone."""
        zone_of = self.mesh.zone_of
        return [kind for kind, sender, to in self.mesh.sent if zone_of(sender) != zone_of(to)]

    def nodes_that_route_to(self, name: str) -> list[str]:
        """Return the nodes whose pool contains a node's target."""
        return [other for other in self.mesh.cores if name in self.mesh.pool(other)]

    def test_change_crosses_zones_once(self) -> None:
        """Guards against bytes between zones that grow with the square of the nodes."""
        self.assertEqual(len(self.nodes_that_route_to("n7")), SIZE)
        self.mesh.sent.clear()
        self.mesh.deliver("n7", self.mesh.cores["n7"].handle(StopRequested()))
        self.assertEqual(self.nodes_that_route_to("n7"), [])
        self.assertEqual(self.crossing(), [Relayed.__name__] * (len(ZONES) - 1))
        self.assertLessEqual(len(self.mesh.sent), SIZE)

    def test_lost_relay_message_is_repaired(self) -> None:
        """Guards against a zone that keeps an old entry because its relay has died."""
        self.mesh.drops = lambda sender, to, message: isinstance(message, Relayed)
        self.mesh.deliver("n7", self.mesh.cores["n7"].handle(StopRequested()))
        self.assertNotEqual(self.nodes_that_route_to("n7"), [])
        self.mesh.run_with_reports(6.0)
        self.assertEqual(self.nodes_that_route_to("n7"), [])

    def test_exchange_names_only_what_differs(self) -> None:
        """Guards against an exchange that sends a version of each node for each changed entry."""
        sizes: list[int] = []

        def record(sender: str, to: str, message: object) -> bool:
            if isinstance(message, EntriesRequest):
                sizes.append(len(message.versions))
            return isinstance(message, Entries | Relayed)

        self.mesh.drops = record
        self.mesh.deliver("n7", self.mesh.cores["n7"].handle(StopRequested()))
        self.mesh.run(2.0)
        self.assertTrue(sizes)
        self.assertLess(max(sizes), SIZE / 4)

    def test_sender_of_the_previous_release(self) -> None:
        """Guards against an exchange without bucket digests that finds no difference."""
        table = NodeTable(own_name="a", clock=self.mesh.clock)
        table.put(NodeEntry("a", 1, 0, "z", "10.0.0.1:1", "10.0.0.1:2"))
        self.assertEqual(len(table.differing_buckets(())), DIGEST_BUCKETS)
        self.assertEqual(table.differing_buckets(table.digests), ())

    def test_damaged_relayed_message(self) -> None:
        """Guards against forwarding, or failing on, a message that cannot be decoded."""
        core = self.mesh.cores["n0"]
        for content in (b"", b"\xc1", Relayed.of(Relayed(b"x")).content):
            self.assertEqual(core.on_message("tcp://10.0.0.2:7000", Relayed(content)), [])

    def test_messages_that_arrive_together_rebuild_the_view_once(self) -> None:
        """Guards against a routing view that is rebuilt for each entry of a release."""
        core, holder = self.mesh.cores["n0"], self.mesh.views["n0"]
        before = holder.current
        for index in (50, 51):
            entry = NodeEntry(f"n{index}", 1, 0, "za", f"10.0.1.{index}:1", f"10.0.1.{index}:2")
            core.on_message("tcp://10.0.0.2:7000", Entries((entry,)))
        self.assertIs(holder.current, before)
        core.on_turn_end()
        self.assertIsNot(holder.current, before)
