"""Cores of nodes while the store returns from a copy that is some seconds old."""

from __future__ import annotations

import json
import unittest
from copy import deepcopy
from random import Random

from citronrack.clock import ManualClock
from citronrack.hosted.position import position_of
from citronrack.hosted.readers import ReaderHeartbeat
from citronrack.hosted.replica import REWRITE_S, TopicReplica
from citronrack.hosted.restoration import SPREAD_S
from citronrack.hosted.store import MESH_TOPIC, KeyedPage, KeyedRecord
from citronrack.telemetry import Event

from .mesh import SERVICE, Mesh, config_record
from .polling_mesh import TOPIC, PollingMesh

ZONES = ("a", "b")
ORDER_KEY = f"rollout/{SERVICE}"


def order_value(version: str) -> bytes:
    """Return an operator's rollout order."""
    fields = {"service": SERVICE, "target_version": version, "duration": "16s"}
    return json.dumps(fields).encode()


class RestoredConfigTest(unittest.TestCase):
    """Configurations of a copy."""

    def setUp(self) -> None:
        self.mesh = Mesh(3)
        self.put(1, "a")
        self.mesh.read()
        for name in self.mesh.cores:
            self.mesh.report(name)
        self.copy = deepcopy(self.mesh.store)
        self.put(3, "a", "b")
        self.put(4, "a", "b", "c")
        self.mesh.read()
        self.assertEqual(self.versions(), {4})

    def put(self, version: int, *prefixes: str) -> None:
        """Write a configuration as the operator."""
        self.mesh.store.put(TOPIC, "config", config_record(version, 0, *prefixes).value)

    def versions(self) -> set[int]:
        """Return the versions in force."""
        return {core.config_version for core in self.mesh.cores.values()}

    def test_older_configuration_of_the_copy(self) -> None:
        """Guards against a version that comes back, also on a node that starts meanwhile."""
        self.mesh.store.return_from(self.copy)
        self.mesh.read("n0")
        self.mesh.run(2.0)
        self.assertEqual(self.versions(), {4})
        self.mesh.cut = {"n3"}
        self.mesh.add("n3", seeds=("n1",))
        self.mesh.run(2.0)
        self.assertEqual(self.mesh.cores["n3"].config_version, 4)

    def test_change_at_an_offset_that_was_given_out_before(self) -> None:
        """Guards against a new version that is dropped for its offset."""
        self.mesh.store.return_from(self.copy)
        self.put(4, "a", "b", "c")
        self.put(6, "a", "d")
        self.mesh.read("n0")
        self.mesh.run(2.0)
        self.assertEqual(self.versions(), {6})

    def test_same_version_with_other_content(self) -> None:
        """Guards against nodes that differ in the content of one version."""
        self.mesh.store.return_from(self.copy)
        self.put(4, "x")
        self.mesh.read("n0")
        self.mesh.run(2.0)
        for view in self.mesh.views.values():
            self.assertIsNotNone(view.current.route_of("/x/1", "h"))
            self.assertIsNone(view.current.route_of("/c/1", "h"))

    def test_invalid_configuration(self) -> None:
        """Guards against a replica that loses the newest valid configuration."""
        self.mesh.store.return_from(self.copy)
        self.mesh.store.put(TOPIC, "config", b"{")
        self.mesh.read()
        self.mesh.run(REWRITE_S + 1)
        self.mesh.read()
        self.mesh.cut = {"n3"}
        self.mesh.add("n3", seeds=("n1",))
        self.mesh.run(2.0)
        self.assertEqual(self.mesh.cores["n3"].config_version, 4)

    def test_returns_twice(self) -> None:
        """Guards against a second return that is taken for the first one."""
        for version in (6, 8):
            self.mesh.store.return_from(self.copy)
            self.put(4, "a", "b", "c")
            self.put(version, "a", f"v{version}")
            self.mesh.read("n1")
            self.mesh.run(2.0)
            self.assertEqual(self.versions(), {version})

    def test_late_heartbeat_of_the_earlier_era(self) -> None:
        """Guards against a replica that is confirmed by a reader of the log before the return."""
        self.mesh.store.return_from(self.copy)
        self.mesh.read("n0")
        self.mesh.run(0.5)
        core = self.mesh.cores["n1"]
        self.mesh.clock.advance(5.0)
        before = core.config_age_s
        late = ReaderHeartbeat("n2", position_of(0, 99), age_ms=0)
        core.on_message("tcp://10.0.0.3:7000", late)
        self.assertGreaterEqual(core.config_age_s, before)

    def test_registrars_write_their_entries_again(self) -> None:
        """Guards against a mesh topic that stays empty after a return, and against a herd."""
        empty = deepcopy(self.copy)
        empty.topics[MESH_TOPIC] = []
        self.mesh.store.return_from(empty)
        self.mesh.read("n0")
        before = self.mesh.puts
        self.mesh.run(SPREAD_S + 1.0)
        keys = {record.key for record in self.mesh.store.topics[MESH_TOPIC]}
        self.assertEqual(keys, {"node/n0", "node/n1", "node/n2"})
        self.assertLessEqual(self.mesh.puts - before, 4)
        after = self.mesh.puts
        self.mesh.run(5.0)
        self.assertEqual(self.mesh.puts, after)


class RestoredOrderTest(unittest.TestCase):
    """Rollouts whose orders, records or status the copy lacks."""

    def setUp(self) -> None:
        self.mesh = PollingMesh(3, zones=("a",))
        for name in self.mesh.cores:
            self.mesh.report(name)
        self.mesh.run(1.0)

    def orders(self, name: str) -> list[str]:
        """Return the target versions of the rollouts that a node has begun to follow."""
        written = self.mesh.logs[name].written
        return [f["target_version"] for event, f in written if event is Event.ROLLOUT_ORDERED]

    def shares(self) -> dict[str, tuple[str, float]]:
        """Return the target version and its share on each node."""
        views = {name: view.current for name, view in self.mesh.views.items()}
        shares = {name: view.service_shares[SERVICE] for name, view in views.items()}
        return {name: (share.to_version, share.share) for name, share in shares.items()}

    def test_rollout_goes_on_under_the_order_that_is_written_again(self) -> None:
        """Guards against a rollout that starts anew, and a status that stays lost."""
        copy = deepcopy(self.mesh.store)
        self.mesh.change(2)
        self.mesh.order("v2")
        self.mesh.run(4.0)
        before = self.shares()
        self.assertEqual(self.mesh.states(), ["in_progress"])
        self.mesh.store.return_from(copy)
        self.mesh.order("v2")
        self.mesh.change(2)
        self.mesh.run(4.0)
        for name in self.mesh.cores:
            self.assertEqual(self.orders(name), ["v2"])
        self.assertEqual(self.shares(), before)
        self.assertEqual(self.mesh.states(), ["in_progress"])
        self.mesh.run(14.0)
        self.assertEqual(self.mesh.states()[0], "in_progress")
        self.assertEqual(len(self.mesh.states()), 2)

    def test_replaced_order_does_not_return(self) -> None:
        """Guards against a rollout to a version whose order had been replaced."""
        self.mesh.order("v2")
        self.mesh.run(1.0)
        copy = deepcopy(self.mesh.store)
        self.mesh.order("v3")
        self.mesh.run(1.0)
        self.mesh.store.return_from(copy)
        self.mesh.run(2.0)
        self.mesh.order("v3")
        self.mesh.run(2.0)
        for name in self.mesh.cores:
            self.assertEqual(self.orders(name), ["v2", "v3"])

    def test_restored_order_counts_when_nobody_writes_the_later_one_again(self) -> None:
        """Guards against nodes that keep an order for ever which the store does not have."""
        self.mesh.order("v2")
        self.mesh.run(1.0)
        copy = deepcopy(self.mesh.store)
        self.mesh.order("v3")
        self.mesh.run(1.0)
        self.mesh.store.return_from(copy)
        self.mesh.run(REWRITE_S + 3.0)
        for name in self.mesh.cores:
            self.assertEqual(self.orders(name), ["v2", "v3", "v2"])

    def test_new_order_at_a_lower_offset(self) -> None:
        """Guards against an order that is taken for one of the copy."""
        copy = deepcopy(self.mesh.store)
        for version in range(2, 9):
            self.mesh.change(version)
        self.mesh.order("v2")
        self.mesh.run(1.0)
        self.mesh.store.return_from(copy)
        self.mesh.change(8)
        self.mesh.run(REWRITE_S + 1.0)
        self.mesh.order("v4")
        self.mesh.run(1.0)
        for name in self.mesh.cores:
            self.assertEqual(self.orders(name), ["v2", "v4"])


class RandomReturnsTest(unittest.TestCase):
    """Many returns with lost messages, cuts, restarts and changes."""

    def test_versions_never_go_back_and_arrive_everywhere(self) -> None:
        """Guards against any order of events that loses or takes back a configuration."""
        for seed in range(25):
            with self.subTest(seed=seed):
                self.play(Random(seed))

    def play(self, random: Random) -> None:
        """Play one random history; the operator writes the newest version again."""
        mesh = PollingMesh(4, zones=ZONES)
        mesh.drops = lambda sender, to, message: random.random() < 0.1
        version, boot = 1, 1
        highest = dict.fromkeys(mesh.cores, -1)
        copy = deepcopy(mesh.store)
        for _ in range(40):
            action = random.choice(("change", "change", "copy", "return", "refuse", "restart", ""))
            name = random.choice(sorted(mesh.cores))
            if action == "change":
                version += random.randint(1, 3)
                mesh.change(version)
            elif action == "copy":
                copy = deepcopy(mesh.store)
            elif action == "return":
                mesh.store.return_from(copy)
                mesh.run(random.choice((0.0, 0.1, 1.0)))
                mesh.change(version)
            elif action == "refuse":
                mesh.refused = {name}
            elif action == "restart":
                boot += 1
                others = tuple(sorted(set(mesh.cores) - {name}))
                mesh.add(name, boot=boot, seeds=others)
                highest[name] = -1
            mesh.run(random.choice((0.05, 0.3, 1.0)))
            for node, found in mesh.versions().items():
                self.assertGreaterEqual(found, highest[node])
                highest[node] = found
        mesh.refused = set()
        mesh.run(4.0)
        self.assertEqual(set(mesh.versions().values()), {version})


class RestoredReplicaTest(unittest.TestCase):
    """Pages of several eras at one replica."""

    def test_pages_of_an_earlier_era_have_no_effect(self) -> None:
        """Guards against a late page of the log before the return."""
        replica = TopicReplica("t", clock=ManualClock())
        old = KeyedPage((KeyedRecord("a", b"1", position_of(1, 7)),), position_of(1, 8))
        replica.replace(old)
        replica.replace(KeyedPage((KeyedRecord("a", b"2", position_of(2, 3)),), position_of(2, 4)))
        late = KeyedPage((KeyedRecord("b", b"9", position_of(1, 9)),), position_of(1, 10))
        self.assertEqual(replica.apply(late), [])
        self.assertEqual(replica.replace(late), [])
        self.assertEqual((replica.value("a"), replica.value("b")), (b"2", None))
        self.assertEqual(replica.position, position_of(2, 4))

    def test_later_era_needs_a_full_page(self) -> None:
        """Guards against a position in a log of which nothing before it was read."""
        replica = TopicReplica("t", clock=ManualClock())
        replica.apply(KeyedPage((KeyedRecord("a", b"1", 7),), 8))
        replica.apply(KeyedPage((), position_of(1, 9), start=position_of(1, 9)))
        self.assertEqual(replica.position, 8)
