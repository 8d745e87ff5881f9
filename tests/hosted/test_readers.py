"""Which nodes of a zone read the operator's topic."""

from __future__ import annotations

import unittest

from citronrack.clock import ManualClock
from citronrack.hosted.entry import NodeEntry
from citronrack.hosted.readers import ReaderHeartbeat, ReaderRole, ReaderTimings

NAMES = [f"n{index}" for index in range(8)]
FAST = "n5"
"""The node whose link is faster than those of the others."""

TICK_S = 0.25
CONFIG_APPLY_S = 2.0
READ_S = 0.2
"""Longest time of a read that begins on a new connection of an undisturbed link."""

TIMINGS = ReaderTimings.within(CONFIG_APPLY_S)


def entry(name: str) -> NodeEntry:
    """Return the entry of a node of the zone."""
    address = f"10.0.0.{name[1:]}"
    link_mbps = 200 if name == FAST else 10
    return NodeEntry(name, 1, 0, "z", f"{address}:1", f"{address}:2", link_mbps=link_mbps)


class Zone:
    """Roles whose beats reach all others at once."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.roles = {name: ReaderRole(entry(name), self.clock) for name in NAMES}
        self.cut: set[str] = set()
        self.dead: set[str] = set()
        self.behind: set[str] = set()
        self.answer_at = dict.fromkeys(NAMES, 0.0)

    def run(self, seconds: float) -> None:
        """Let time pass."""
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
                position = 4 if other in self.behind else 5
                beat = ReaderHeartbeat(name, 5, entry(name).link_mbps)
                role.on_heartbeat(beat, position=position, store_answers=other not in self.cut)


class ReaderRoleTest(unittest.TestCase):
    """One reader a zone, and another one in time."""

    def test_longest_way_of_a_change(self) -> None:
        """Guards against waits that add up to more than the time in which a change applies.

        A store that drops its history keeps reads waiting that began before.
        """
        for bound_s in (CONFIG_APPLY_S, 2.5, 9.0):
            times = ReaderTimings.within(bound_s)
            self.assertLess(times.wait_s + TICK_S, bound_s)
            way_s = times.stale_after_s + times.max_rank_delay_s + 2 * TICK_S + READ_S
            self.assertLess(way_s, bound_s)

    def test_calm_reader_is_heard_in_time(self) -> None:
        """Guards against nodes that read although their reader gets all its answers."""
        self.assertLess(TIMINGS.wait_s + TIMINGS.heartbeat_interval_s, TIMINGS.stale_after_s)

    def test_one_node_reads(self) -> None:
        """Guards against a call to the store by every node for every change."""
        zone = Zone()
        zone.run(3.0)
        self.assertEqual(len(zone.readers), 1)

    def test_node_with_the_fastest_link_reads(self) -> None:
        """Guards against a reader whose link is full with what it passes on to its zone."""
        zone = Zone()
        zone.run(3.0)
        self.assertEqual(zone.readers, [FAST])

    def test_another_node_reads_in_time(self) -> None:
        """Guards against a zone that misses a change because its reader died or was cut off."""
        for fault in ("dead", "cut"):
            with self.subTest(fault):
                zone = Zone()
                zone.run(3.0)
                getattr(zone, fault).update(zone.readers)
                zone.run(CONFIG_APPLY_S - TICK_S)
                self.assertGreaterEqual(len(zone.readers), 1)
                zone.run(3.0)
                self.assertEqual(len(zone.readers), 1)

    def test_one_reader_passes_records_on(self) -> None:
        """Guards against a zone whose links fill up because each of its readers sends to all."""
        zone = Zone()
        zone.run(3.0)
        zone.dead.update(zone.readers)
        zone.run(1.5)
        self.assertEqual(len(self.leading(zone)), 1)
        zone.behind.update(set(NAMES) - set(self.leading(zone)))
        zone.run(3.0)
        self.assertGreater(len(zone.readers), 1)
        self.assertEqual(len(self.leading(zone)), 1)

    @staticmethod
    def leading(zone: Zone) -> list[str]:
        """Return the names of the nodes that pass records on."""
        return [name for name in zone.readers if zone.roles[name].leading]

    def test_node_that_gets_no_records_reads_itself(self) -> None:
        """Guards against a node that hears a reader but never gets what it reads."""
        zone = Zone()
        zone.run(3.0)
        behind = next(name for name in NAMES if name not in zone.readers)
        zone.behind.add(behind)
        zone.run(CONFIG_APPLY_S - TICK_S)
        self.assertIn(behind, zone.readers)

    def test_word_that_waited_is_old(self) -> None:
        """Guards against a node that takes itself for current after its instance stood still.

        The answer of a read and the beats of readers wait in the sockets meanwhile.
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
