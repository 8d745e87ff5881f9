"""Ways in which a withdrawn key, that is an older configuration, could be taken again."""

from __future__ import annotations

import json
import unittest
from copy import deepcopy
from random import Random
from typing import Any
from unittest.mock import patch

from citronrack.calls.confirmation import Confirmation
from citronrack.clock import ManualClock
from citronrack.hosted.clock_bounds import ClockBounds
from citronrack.hosted.gossip import NOT_ASKED, UNKNOWN_VERSION, Positions, TopicRecords
from citronrack.hosted.messages import PageRead
from citronrack.hosted.readers import NOT_STATED, ReaderHeartbeat
from citronrack.hosted.store import KeyedPage
from citronrack.hosted.trust import CHECK_S, ConfigTrust
from citronrack.telemetry import Event
from citronrack.transport.messages import message_codec

from .mesh import Mesh, config_record
from .polling_mesh import TOPIC, PollingMesh

REVOKE_S = 5.0


def address(name: str) -> str:
    """Return the address of a node for messages."""
    return f"tcp://10.0.0.{int(name[1:]) + 1}:7000"


def put(mesh: Mesh, version: int) -> None:
    """Write a configuration as the operator."""
    mesh.store.put(TOPIC, "config", config_record(version, 0, f"v{version}").value)


def confirmation(mesh: Mesh, name: str) -> Confirmation:
    """Return the confirmation of the configuration by which a node routes."""
    return mesh.views[name].current.confirmation


class OldVersionTest(unittest.TestCase):
    """Older versions in the store, while other nodes know the newest one."""

    def setUp(self) -> None:
        self.mesh = Mesh(3)
        put(self.mesh, 1)
        self.mesh.read()
        self.copy = deepcopy(self.mesh.store)
        put(self.mesh, 4)
        self.mesh.read()
        self.mesh.run(2.0)

    def assert_newest(self, *names: str) -> None:
        """Check that nodes accept keys, and only those of version 4."""
        for name in names or self.mesh.cores:
            with self.subTest(name=name):
                self.assertEqual(self.mesh.cores[name].config_version, 4)
                self.assertEqual(confirmation(self.mesh, name).refusal, "")

    def test_start_with_a_copy_before_an_answer_of_a_node(self) -> None:
        """Guards against a restarted node that takes keys of the copy until others answer."""
        self.mesh.store.return_from(self.copy)
        self.mesh.read("n0")
        self.mesh.unreachable = {"n3"}
        self.mesh.add("n3", seeds=("n1",))
        self.mesh.run(0.5)
        page = PageRead(TOPIC, self.mesh.store.newest(TOPIC), full=True)
        self.mesh.cores["n3"].handle(page)
        self.assertEqual(self.mesh.cores["n3"].config_version, 1)
        self.assertNotEqual(confirmation(self.mesh, "n3").refusal, "")
        self.assertFalse(self.mesh.views["n3"].current.is_newest)
        self.mesh.unreachable = set()
        self.mesh.read("n3")
        self.mesh.run(0.25)
        self.assert_newest()

    def test_node_at_the_position_of_the_others(self) -> None:
        """Guards against a node that keeps an older version because it lacks no position."""
        self.mesh.store.return_from(self.copy)
        self.mesh.read()
        self.mesh.unreachable = {"n3"}
        self.mesh.add("n3")
        self.mesh.run(CHECK_S + 0.5)
        self.mesh.read("n3")
        self.mesh.run(0.5)
        positions = {core.position(TOPIC) for core in self.mesh.cores.values()}
        self.assertEqual((len(positions), self.mesh.cores["n3"].config_version), (1, 1))
        self.assertEqual(confirmation(self.mesh, "n3").refusal, "")
        self.mesh.unreachable = set()
        self.mesh.run(2.0)
        self.assert_newest()
        self.mesh.read()
        self.assert_newest()

    def test_node_in_an_earlier_era(self) -> None:
        """Guards against a newest version that is lost since only a cut off node has it."""
        self.mesh.cut = self.mesh.unreachable = {"n2"}
        self.mesh.store.return_from(self.copy)
        for name in ("n0", "n1"):
            self.mesh.add(name, boot=2)
        self.mesh.read()
        self.mesh.run(2.0)
        self.assertEqual(self.mesh.cores["n0"].config_version, 1)
        self.mesh.unreachable = set()
        self.mesh.run(3.0)
        self.assert_newest()

    def test_late_append(self) -> None:
        """Guards against an older version, or one that is refused, at a later position."""
        for value in (config_record(3, 0, "a").value, b"{", None):
            with self.subTest(value=value):
                self.setUp()
                self.mesh.store.put(TOPIC, "config", value)
                self.mesh.read()
                self.mesh.add("n2", boot=2)
                self.mesh.add("n3", seeds=("n0",))
                self.mesh.run(2.0)
                self.mesh.read()
                self.mesh.run(2.0)
                self.assert_newest()

    def test_refused_version_is_told(self) -> None:
        """Guards against a refused version of which no line tells what is wrong."""
        fields = json.loads(config_record(5, 0, "a").value or b"")
        fields["tenants"] = {"columns": ["name", "api_keys"], "rows": [["w", ["a-key", "a key"]]]}
        self.mesh.store.put(TOPIC, "config", json.dumps(fields).encode())
        self.mesh.read("n0")
        self.assert_newest()
        event, line = self.mesh.logs["n0"].written[-1]
        self.assertEqual((event, line["table"], line["row"]), (Event.RECORD_REFUSED, "tenants", 1))
        self.assertNotIn("a-key", repr(self.mesh.logs["n0"].written))

    def test_random_histories(self) -> None:
        """Guards against any order of events after which a node takes an older version again."""
        for seed in range(15):
            with self.subTest(seed=seed):
                self.play(Random(seed))

    def play(self, random: Random) -> None:
        """Restart nodes while versions, late appends and copies come and messages are lost."""
        mesh = PollingMesh(5, zones=("a", "b"))
        mesh.run(2.0)
        mesh.drops = lambda sender, to, message: random.random() < 0.1
        copy, version, boot, least = deepcopy(mesh.store), 1, 1, dict.fromkeys(mesh.cores, 1)
        for _ in range(30):
            action = random.choice(("change", "late", "copy", "return", "restart", "restart"))
            if action == "change":
                version += 1
                mesh.change(version)
            elif action == "late":
                mesh.change(max(1, version - 1))
            elif action == "copy":
                copy = deepcopy(mesh.store)
            elif action == "return":
                mesh.store.return_from(copy)
            else:
                boot, name = boot + 1, random.choice(sorted(mesh.cores))
                others = tuple(sorted(set(mesh.cores) - {name}))
                mesh.add(name, boot=boot, seeds=random.choice((others, ())))
                least[name] = min(mesh.cores[other].config_version for other in others)
            for _ in range(random.randint(1, 6)):
                mesh.run(0.25)
                for name, core in mesh.cores.items():
                    if not confirmation(mesh, name).refusal:
                        self.assertGreaterEqual(core.config_version, least[name])
                        least[name] = core.config_version


class RevokingMesh(PollingMesh):
    """A mesh whose nodes accept no key without a confirmation."""

    revoke_s = REVOKE_S


class ConfirmationTest(unittest.TestCase):
    """The age of what is certain, at nodes that were cut off or suspended."""

    def setUp(self) -> None:
        self.mesh = RevokingMesh(4, zones=("a",))
        self.mesh.run(5.0)
        self.name = next(name for name in self.mesh.cores if name not in self.mesh.readers())
        self.assertLess(self.age_s, 2.0)

    @property
    def age_s(self) -> float:
        """Age of what is certain at the node that is not a reader."""
        return confirmation(self.mesh, self.name).age_s

    def test_cut_off(self) -> None:
        """Guards against a cut off node that counts as confirmed, and one that never does again."""
        before = self.mesh.views[self.name].current
        self.mesh.silent = self.mesh.unreachable = {self.name}
        self.mesh.run(REVOKE_S + 1.0)
        self.assertGreater(self.age_s, REVOKE_S)
        self.mesh.change(2)
        self.mesh.unreachable = set()
        self.mesh.run(2.0)
        self.assertEqual(self.mesh.cores[self.name].config_version, 2)
        self.assertLess(self.age_s, 2.0)
        # What confirms the newer version is no confirmation of the view with the older one.
        self.assertGreater(before.confirmation.age_s, REVOKE_S)

    def test_messages_that_waited(self) -> None:
        """Guards against old heartbeats that confirm an old version after a node stood still."""
        held: list[tuple[str, Any]] = []

        def hold(sender: str, to: str, message: Any) -> bool:
            if to == self.name:
                held.append((sender, message))
            return to == self.name

        core = self.mesh.cores.pop(self.name)
        self.mesh.drops = hold
        self.mesh.run(3.0)
        waiting = list(held)
        self.mesh.change(2)
        self.mesh.run(REVOKE_S + 1.0)
        self.assertGreater(sum(isinstance(m, ReaderHeartbeat) for _, m in waiting), 2)
        for sender, message in waiting:
            core.on_message(address(sender), message)
            core.on_turn_end()
            self.assertEqual(core.config_version, 1)
            self.assertGreater(self.age_s, REVOKE_S)
        self.mesh.cores[self.name] = core
        self.mesh.drops = lambda sender, to, message: False
        self.mesh.run(2.0)
        self.assertEqual(core.config_version, 2)
        self.assertLess(self.age_s, 2.0)

    def test_answers_without_heartbeats(self) -> None:
        """Guards against a node that refuses keys though others could confirm its version."""
        with patch.object(ClockBounds, "offset_s", return_value=None):  # Nothing is certain.
            self.mesh.run(REVOKE_S + 3.0)
        self.assertLess(self.age_s, REVOKE_S)

    def test_page_before_the_end(self) -> None:
        """Guards against a page of a topic that goes on, which confirms nothing."""
        self.mesh.silent = self.mesh.unreachable = {self.name}
        self.mesh.run(REVOKE_S + 1.0)
        core, now = self.mesh.cores[self.name], self.mesh.clock.monotonic()
        page = KeyedPage((), 1, complete=False, start=1)
        core.handle(PageRead(TOPIC, page, full=False, created_at=now))
        self.assertGreater(self.age_s, REVOKE_S)

    def test_store_away(self) -> None:
        """Guards against nodes that confirm each other while none of them reaches the store."""
        self.mesh.silent = set(self.mesh.cores)
        self.mesh.run(REVOKE_S + 2.0)
        ages = [confirmation(self.mesh, name).age_s for name in self.mesh.cores]
        self.assertGreater(min(ages), REVOKE_S)
        self.mesh.add(self.name, boot=2, seeds=("n0", "n1", "n2", "n3"))
        self.mesh.run(1.0)
        self.assertEqual(self.mesh.cores[self.name].config_version, 1)
        self.assertGreater(self.age_s, REVOKE_S)


class TrustTest(unittest.TestCase):
    """Clocks, answers and messages of the previous release."""

    def test_clock_of_a_sender(self) -> None:
        """Guards against a first contact by messages that have waited, and against drift."""
        bounds, sender = ClockBounds(), ("r", 1)
        for index in range(80):  # Sent from 0 to 10 s, received at once 20 s later.
            sent_at = index / 8
            self.assertIsNone(bounds.offset_s(sender, sent_at=sent_at, now=30 + index / 1000))
        for index in range(16):
            sent_at, now = 31 + index / 8, 31 + 1 / 64 + index / 8
            offset_s = bounds.offset_s(sender, sent_at=sent_at, now=now)
            self.assertEqual(offset_s is not None, index >= 8)
        for hour in range(48):
            sent_at = 3600.0 * hour + 100
            now = sent_at * (1 + 1e-4)
            offset_s = bounds.offset_s(sender, sent_at=sent_at, now=now)
        assert offset_s is not None
        self.assertAlmostEqual(sent_at + offset_s, now, delta=0.1)

    def test_version_that_another_node_told(self) -> None:
        """Guards against keys of a version of which this node knows that it is not the newest."""
        clock = ManualClock()
        trust = ConfigTrust(clock)
        trust.on_config(4)
        trust.on_peer(5, checked=True)
        clock.advance(2 * CHECK_S)
        trust.on_tick()
        self.assertNotEqual(trust.confirmation.refusal, "")
        trust.on_config(5)
        self.assertEqual(trust.confirmation.refusal, "")

    def test_answers(self) -> None:
        """Guards against an answer that waited, or that was given to another process."""
        clock = ManualClock()
        trust = ConfigTrust(clock)
        clock.advance(9.0)
        for asked_ms in (9_500, -5_000, NOT_ASKED):
            trust.on_answer(asked_ms, 0)
            self.assertEqual(trust.age_s, float("inf"))
        trust.on_answer(4_000, 1_000)
        self.assertAlmostEqual(trust.age_s, 6.0)

    def test_previous_release(self) -> None:
        """Guards against messages that nodes of this and the previous release cannot read."""
        heartbeat = ReaderHeartbeat("r", 7, 10, 300, 1, 5_000, 4_000)
        positions = Positions((("t", 1),), 1, False, True, (), (), 4, False, 9)
        records = TopicRecords("t", (), 1, (), 1, 20, 9, 30)
        for message, fields, expected in (
            (heartbeat, 4, ReaderHeartbeat("r", 7, 10, 300, 0, NOT_STATED)),
            (positions, 6, Positions((("t", 1),), 1, False, True, version=UNKNOWN_VERSION)),
            (records, 6, TopicRecords("t", (), 1, (), 1, 20)),
        ):
            tag, plain = message_codec.to_plain(message)
            self.assertEqual(message_codec.from_plain((tag, plain[:fields])), expected)
            self.assertEqual(message_codec.from_plain((tag, (*plain, "later"))), message)
        trust = ConfigTrust(ManualClock())
        trust.on_heartbeat(ReaderHeartbeat("r", 7, 10, 300), covered=True)
        self.assertAlmostEqual(trust.age_s, 0.3)
