"""Confirmed configurations must be active on every node in time."""

from __future__ import annotations

import unittest
from collections.abc import Iterable
from itertools import product
from random import Random
from typing import Any

from citronrack.clock import ManualClock
from citronrack.hosted.gossip import MAX_RECORDS_BYTES, TopicRecords
from citronrack.hosted.readers import ReaderHeartbeat
from citronrack.hosted.replica import TopicReplica
from citronrack.hosted.store import KeyedPage, KeyedRecord

from .mesh import make_gossip
from .polling_mesh import STEP_S, PollingMesh

CONFIG_APPLY_S = 2.0
ZONES = ("za", "zb", "zc")
SIZE = 12
STABLE_S = 3.0
DELAYS_S = (0.0, 0.3, 0.6, 0.9, 1.2)
"""Delays between the start of a fault and the change."""


class LateChangeTest(unittest.TestCase):
    """Faults of the store during or after which a change must still be active in time."""

    def steady_mesh(self) -> PollingMesh:
        """Return a mesh in which exactly one node reads."""
        mesh = PollingMesh(SIZE, zones=ZONES)
        mesh.run(5.0)
        self.assertEqual(len(mesh.readers()), 1)
        return mesh

    def assert_in_time(self, mesh: PollingMesh, version: int, nodes: Iterable[str]) -> None:
        """Write a version and check that nodes have it within the bound."""
        mesh.change(version)
        mesh.run(CONFIG_APPLY_S)
        versions = mesh.versions()
        self.assertEqual({name: versions[name] for name in nodes}, dict.fromkeys(nodes, version))

    def check_random_nodes(self, kind: str) -> None:
        """Check a change while some nodes, including a reader, cannot read from the store."""
        for seed in range(20):
            with self.subTest(seed=seed):
                random = Random(seed)
                mesh = self.steady_mesh()
                affected = random.sample(sorted(mesh.cores), 6)
                getattr(mesh, kind).update(affected, mesh.readers())
                mesh.run(random.uniform(0, 1.5))
                self.assert_in_time(mesh, 2, mesh.cores)

    def test_reader_whose_read_hangs(self) -> None:
        """Guards against nodes that wait for the timeout of their reader's read."""
        for delay_s in DELAYS_S:
            for zone in ZONES:
                with self.subTest(delay_s=delay_s, zone=zone):
                    mesh = self.steady_mesh()
                    mesh.silent.update(mesh.readers(), [mesh.next_reader(zone)])
                    mesh.run(delay_s)
                    self.assert_in_time(mesh, 2, mesh.cores)

    def test_next_reader_hangs_as_well(self) -> None:
        """Guards against a zone that waits for several hanging readers in turn."""
        self.check_random_nodes("silent")

    def test_reader_that_is_refused(self) -> None:
        """Guards against accepting a node as reader before one of its reads has succeeded."""
        self.check_random_nodes("refused")

    def test_zone_without_the_store(self) -> None:
        """Guards against a zone that receives changes only from its own readers."""
        for kind, zone in product(("silent", "refused"), ZONES):
            for delay_s in DELAYS_S:
                with self.subTest(kind=kind, zone=zone, delay_s=delay_s):
                    mesh = self.steady_mesh()
                    names = [name for name in mesh.cores if mesh.zone_of(name) == zone]
                    getattr(mesh, kind).update(names)
                    mesh.run(delay_s)
                    self.assert_in_time(mesh, 2, mesh.cores)

    def test_zone_cut_off_from_the_others(self) -> None:
        """Guards against a zone that reaches the store and waits for a reader of another zone."""
        for zone in ZONES:
            for delay_s in DELAYS_S:
                with self.subTest(zone=zone, delay_s=delay_s):
                    mesh = self.steady_mesh()
                    mesh.drops = lambda sender, to, message, mesh=mesh, zone=zone: (
                        (mesh.zone_of(sender) == zone) is not (mesh.zone_of(to) == zone)
                    )
                    mesh.run(delay_s)
                    self.assert_in_time(mesh, 2, mesh.cores)

    def test_dead_nodes_of_a_zone(self) -> None:
        """Guards against a zone that gets changes only through relays that have just died."""
        for seed in range(20):
            with self.subTest(seed=seed):
                random = Random(seed)
                mesh = self.steady_mesh()
                mesh.unreachable.update(random.sample(sorted(mesh.cores), SIZE // 2))
                mesh.silent.update(mesh.unreachable)
                mesh.run(random.uniform(0, 1.5))
                self.assert_in_time(mesh, 2, set(mesh.cores) - mesh.unreachable)

    def test_store_recovers(self) -> None:
        """Guards against reads that still wait for a response when the store has recovered.

        The bound applies again once the store has been available for three seconds.
        """
        for tenths in range(2, 62, 3):
            silent_s = tenths / 10
            with self.subTest(silent_s=silent_s):
                mesh = self.steady_mesh()
                mesh.silent.update(mesh.cores)
                mesh.run(silent_s)
                mesh.silent.clear()
                mesh.run(STABLE_S - CONFIG_APPLY_S)
                self.assert_in_time(mesh, 2, mesh.cores)

    def test_restart_without_the_store(self) -> None:
        """Guards against a node that starts without the store and learns nothing from others."""
        mesh = self.steady_mesh()
        mesh.silent.update(mesh.cores)
        mesh.add("n4", boot=2)
        mesh.run(STABLE_S)
        self.assertEqual(mesh.cores["n4"].config_version, 1)

    def test_node_without_confirmation_is_incomplete(self) -> None:
        """Guards against a final 404 from a node that may lack the newest configuration."""
        mesh = self.steady_mesh()
        self.assertTrue(all(holder.current.complete for holder in mesh.views.values()))
        mesh.silent.add("n4")
        mesh.unreachable.add("n4")
        mesh.run(CONFIG_APPLY_S)
        incomplete = [name for name, holder in mesh.views.items() if not holder.current.complete]
        self.assertEqual(incomplete, ["n4"])
        mesh.unreachable.clear()
        mesh.run(CONFIG_APPLY_S)
        self.assertTrue(mesh.views["n4"].current.complete)

    def test_message_is_lost(self) -> None:
        """Guards against a change that is late after one lost message during a hanging read."""
        for number in range(3):
            for kind in (TopicRecords, ReaderHeartbeat):
                with self.subTest(kind=kind.__name__, number=number):
                    mesh = self.steady_mesh()
                    mesh.silent.update(mesh.readers())
                    mesh.drops = self.lose(kind, number)
                    self.assert_in_time(mesh, 2, mesh.cores)

    def test_lost_change_before_an_order(self) -> None:
        """Guards against a position that covers a lost record."""
        mesh = self.steady_mesh()
        mesh.drops = lambda sender, to, message: isinstance(message, TopicRecords | ReaderHeartbeat)
        mesh.change(2)
        mesh.run(STEP_S)
        mesh.drops = lambda sender, to, message: False
        mesh.order("v2")
        mesh.run(CONFIG_APPLY_S)
        self.assertEqual(set(mesh.versions().values()), {2})

    def test_lost_first_part_of_an_answer(self) -> None:
        """Guards against a position that covers a lost record of a response of several messages."""
        clock = ManualClock()
        full, empty = TopicReplica("t", clock=ManualClock()), TopicReplica("t", clock=ManualClock())
        values = {key: Random(key).randbytes(MAX_RECORDS_BYTES * 2 // 3) for key in "abc"}
        records = [KeyedRecord(key, values[key], offset) for offset, key in enumerate(values)]
        full.apply(KeyedPage(tuple(records), len(records)))
        nodes = [make_gossip(replica, clock) for replica in (full, empty)]
        waiting = nodes[0].on_message("tcp://e", nodes[1].request_records("tcp://f").message)[1:]
        self.assertEqual(len(waiting), len(records) - 1)
        while waiting:
            send = waiting.pop(0)
            node = nodes[send.to == "tcp://e"]
            waiting += node.on_message("tcp://f" if node is nodes[1] else "tcp://e", send.message)
        self.assertEqual({key: empty.value(key) for key in values}, values)
        self.assertEqual(empty.position, full.position)

    @staticmethod
    def lose(kind: type[Any], number: int) -> Any:
        """Return a rule that drops one message of a kind to each node.

        Args:
            kind: Class of the message.
            number: Index of the dropped message among those of the class.
        """
        seen: dict[str, int] = {}

        def drops(_: str, to: str, message: Any) -> bool:
            if not isinstance(message, kind):
                return False
            seen[to] = seen.get(to, -1) + 1
            return seen[to] == number

        return drops
