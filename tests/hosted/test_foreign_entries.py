"""Entries in the mesh topic that another writer has left."""

from __future__ import annotations

import json
import unittest

import msgpack
from attrs import evolve

from citronrack.codec import encode
from citronrack.hosted.entry import NodeEntry
from citronrack.hosted.rollout_record import Phase, RolloutRecord
from citronrack.hosted.store import MESH_TOPIC
from citronrack.platform.operator import operator_topic
from citronrack.telemetry import Event
from citronrack.validators import MAX_NUMBER

from .mesh import SERVICE, Mesh, config_record

GOOD = NodeEntry(
    "n7", 5, 1, "z", "10.0.0.8:7000", "10.0.0.8:8000", SERVICE, "v1", "i-7", 4, True, 0
)
ODD_FIELDS = {
    "peer_address": ("10.0.0.8:99999", "10.0.0.8", "host:1", "", "10.0.0.8:0"),
    "deliver_address": ("10.0.0.8:70000", "x", "10.0.0.8:-1", ""),
    "boot": (-1, 2**63, 2**64 - 1, 1.5, "1"),
    "revision": (-1, 2**63, None),
    "slots": (0, -4, 10**9, 2**63),
    "limit_per_s": (-1.0, float("nan"), float("inf"), "5"),
    "target_started_ms": (-1, 2**63),
    "link_mbps": (-1, 2**63),
    "service": (1, None, "\u0000" * 300),
    "name": ("", 5),
}


def odd_entries() -> list[bytes]:
    """Return encoded entries of the right shape with one odd field each, and other bytes."""
    names = list(NodeEntry.__attrs_attrs__)
    plain = list(msgpack.unpackb(encode(GOOD)))
    values = []
    for index, attribute in enumerate(names):
        for odd in ODD_FIELDS.get(attribute.name, ()):
            values.append(msgpack.packb([*plain[:index], odd, *plain[index + 1 :]]))
    nested = b"\x91" * 100_000 + b"\xc0"
    return [*values, nested, b"", b"\xc1", b"{" * 9, msgpack.packb({"a": 1}), msgpack.packb(2**63)]


class ForeignEntryTest(unittest.TestCase):
    """A mesh whose topic has odd entries beside good ones."""

    def setUp(self) -> None:
        self.mesh = Mesh(2)
        self.mesh.store.put(operator_topic().name, "config", config_record(1, 0, "a").value)
        self.mesh.read()
        for name in self.mesh.cores:
            self.mesh.report(name)
        self.mesh.run(1.0)

    def check_follows(self, value: bytes, key: str) -> None:
        """Check that nodes take the entries and the change that follow an odd one."""
        self.mesh.store.put(MESH_TOPIC, key, value)
        self.mesh.store.put(MESH_TOPIC, "node/n7", encode(GOOD))
        self.mesh.read()
        version = self.mesh.cores["n0"].config_version + 1
        record = config_record(version, 0, f"p{version}")
        self.mesh.store.put(operator_topic().name, record.key, record.value)
        self.mesh.read()
        for name, core in self.mesh.cores.items():
            self.assertEqual(core.config_version, version)
            self.assertIsNotNone(self.mesh.views[name].current.route_of(f"/p{version}/x", "h"))
            self.assertEqual(self.mesh.pool(name), {"n0", "n1", "n7"})

    def test_odd_entries_of_nodes(self) -> None:
        """Guards against a node that no longer follows changes because of one odd entry."""
        for number, value in enumerate(odd_entries()):
            with self.subTest(number=number, value=value[:60]):
                self.check_follows(value, "node/n8")
                written = self.mesh.logs["n0"].written
                self.assertIn(Event.RECORD_REFUSED, [event for event, _ in written])
                self.assertGreater(self.mesh.cores["n0"].records_refused, number)
                self.assertNotIn("node/n8", {e.name for e in self.mesh.cores["n0"].entries})

    def test_greatest_numbers_that_are_valid(self) -> None:
        """Guards against a node that counts on from another writer's number and fails in a tick."""
        operator = operator_topic().name
        order = {"service": SERVICE, "target_version": "v2", "duration": "60s"}
        order_id = len(self.mesh.store.topics[operator])
        self.mesh.store.put(operator, f"rollout/{SERVICE}", json.dumps(order).encode())
        greatest = RolloutRecord(
            order_id, SERVICE, "v2", Phase.RUNNING, 0.04, 0, 0, "n7", MAX_NUMBER
        )
        self.mesh.store.put(MESH_TOPIC, f"rollout/{SERVICE}", greatest.encode())
        own = evolve(self.mesh.cores["n0"].entry, boot=MAX_NUMBER, revision=MAX_NUMBER)
        self.mesh.store.put(MESH_TOPIC, "node/n0", encode(own))
        self.mesh.read()
        self.mesh.run_with_reports(8.0)
        self.check_follows(b"", "node/n8")

    def test_odd_records_of_rollouts(self) -> None:
        """Guards against a rollout record that ends or stops every holder."""
        good = RolloutRecord(0, SERVICE, "v2", Phase.RUNNING, 0.04, 0, 0, "n7", 1)
        plain = list(msgpack.unpackb(encode(good)))
        odd = {0: 2**63, 3: "odd", 4: float("nan"), 5: 99, 6: -(2**62), 8: 2**64 - 1}
        for index, value in odd.items():
            with self.subTest(index=index):
                record = msgpack.packb([*plain[:index], value, *plain[index + 1 :]])
                self.check_follows(record, f"rollout/{SERVICE}")
                self.mesh.run(1.0)
