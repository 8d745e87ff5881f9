"""Election of the nodes of a zone that read the operator topic."""

from __future__ import annotations

import unittest

from citronrack.clock import ManualClock
from citronrack.hosted.entry import NodeEntry
from citronrack.hosted.readers import ReaderHeartbeat, ReaderRole, ReaderTimings

NAMES = [f"n{index}" for index in range(8)]
FAST = "n5"
"""Name of the node with the fastest link."""

TICK_S = 0.25
CONFIG_APPLY_S = 2.0
READ_S = 0.2
"""Longest duration of a read on a new connection over a healthy link."""

TIMINGS = ReaderTimings.within(CONFIG_APPLY_S)


def entry(name: str) -> NodeEntry:
    """Return the entry of a node in the zone."""
    address = f"10.0.0.{name[1:]}"
    link_mbps = 200 if name == FAST else 10
    return NodeEntry(name, 1, 0, "z", f"{address}:1", f"{address}:2", link_mbps=link_mbps)


class Zone:
    """Reader roles of a zone whose heartbeats are delivered immediately.

    Attributes:
        cut: Names of nodes that cannot reach the store.
        dead: Names of nodes that do nothing.
        lagging: Names of nodes that lack the newest record.
        answer_at: Time of the next response of the store, by node.
    """

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.roles = {name: ReaderRole(entry(name), self.clock) for name in NAMES}
        self.cut: set[str] = set()
        self.dead: set[str] = set()
        self.lagging: set[str] = set()
        self.answer_at = dict.fromkeys(NAMES, 0.0)

    def run(self, seconds: float) -> None:
        """Advance the clock tick by tick."""
        for _ in range(round(seconds / TICK_S)):
            self.clock.advance(TICK_S)
            for name in NAMES:
                if name not in self.dead:
                    self._tick(name)

    @property
    def readers(self) -> list[str]:
        """Names of the live nodes that read and reach the store."""
        return [
            name
            for name, role in self.roles.items()
            if role.reading and name not in self.dead | self.cut
        ]

    def _tick(self, name: str) -> None:
        role, now = self.roles[name], self.clock.monotonic()
        before = role.reading
        role.on_tick([entry(other) for other in NAMES if other != name])
        if not role.reading or name in self.cut or (before and now < self.answer_at[name]):
            return
        self.answer_at[name] = now + TIMINGS.wait_s
        if not role.on_read(now):
            return
        for other, role in self.roles.items():
            if other not in {name} | self.dead:
                position = 4 if other in self.lagging else 5
                heartbeat = ReaderHeartbeat(name, 5, entry(name).link_mbps)
                role.on_heartbeat(heartbeat, position=position, store_answers=other not in self.cut)


class ReaderRoleTest(unittest.TestCase):
    """Each zone has one reader, and a failed one is replaced in time."""

    def test_worst_case_delay_of_a_change(self) -> None:
        """Guards against delays that add up to more than the time within which a change applies.

        A store that drops its history holds pending reads until the end of their wait.
        """
        for bound_s in (CONFIG_APPLY_S, 2.5, 9.0):
            timings = ReaderTimings.within(bound_s)
            self.assertLess(timings.wait_s + TICK_S, bound_s)
            total_s = timings.stale_after_s + timings.max_rank_delay_s + 2 * TICK_S + READ_S
            self.assertLess(total_s, bound_s)

    def test_heartbeats_arrive_before_the_timeout(self) -> None:
        """Guards against nodes that start to read although all reads of their reader succeed."""
        self.assertLess(TIMINGS.wait_s + TIMINGS.heartbeat_interval_s, TIMINGS.stale_after_s)

    def test_one_node_reads(self) -> None:
        """Guards against every node reading every change from the store."""
        zone = Zone()
        zone.run(3.0)
        self.assertEqual(len(zone.readers), 1)

    def test_node_with_the_fastest_link_reads(self) -> None:
        """Guards against a reader whose link is saturated by forwarding changes to its zone."""
        zone = Zone()
        zone.run(3.0)
        self.assertEqual(zone.readers, [FAST])

    def test_another_node_reads_in_time(self) -> None:
        """Guards against a zone that misses a change because its reader crashed or was cut off."""
        for fault in ("dead", "cut"):
            with self.subTest(fault):
                zone = Zone()
                zone.run(3.0)
                getattr(zone, fault).update(zone.readers)
                zone.run(CONFIG_APPLY_S - TICK_S)
                self.assertGreaterEqual(len(zone.readers), 1)
                zone.run(3.0)
                self.assertEqual(len(zone.readers), 1)

    def test_one_reader_forwards_records(self) -> None:
        """Guards against saturated links in a zone in which each of several readers forwards."""
        zone = Zone()
        zone.run(3.0)
        zone.dead.update(zone.readers)
        zone.run(1.5)
        self.assertEqual(len(self.leading(zone)), 1)
        zone.lagging.update(set(NAMES) - set(self.leading(zone)))
        zone.run(3.0)
        self.assertGreater(len(zone.readers), 1)
        self.assertEqual(len(self.leading(zone)), 1)

    @staticmethod
    def leading(zone: Zone) -> list[str]:
        """Return the names of the nodes that forward records."""
        return [name for name in zone.readers if zone.roles[name].leading]

    def test_node_that_gets_no_records_reads_itself(self) -> None:
        """Guards against a node that gets heartbeats of a reader but not its records."""
        zone = Zone()
        zone.run(3.0)
        lagging = next(name for name in NAMES if name not in zone.readers)
        zone.lagging.add(lagging)
        zone.run(CONFIG_APPLY_S - TICK_S)
        self.assertIn(lagging, zone.readers)

    def test_delayed_confirmation_is_old(self) -> None:
        """Guards against treating a replica as fresh after the instance was suspended.

        Responses and heartbeats wait in the sockets meanwhile and are old when they are read.
        """
        clock = ManualClock()
        clock.advance(100.0)
        role = ReaderRole(entry(FAST), clock, TIMINGS)
        role.on_read(100.0)
        clock.advance(5.0)
        self.assertFalse(role.current)
        role.on_read(100.0)
        role.on_heartbeat(ReaderHeartbeat("n1", 5, 10, 5_000), position=5, store_answers=True)
        self.assertFalse(role.current)
        role.on_read(104.9)
        self.assertTrue(role.current)
