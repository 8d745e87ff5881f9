"""Order of the reports of the target beside a node."""

from __future__ import annotations

import unittest
from typing import Any

from citronrack.clock import ManualClock
from citronrack.hosted.target import (
    OwnTargetTracker,
    TargetLeave,
    TargetReport,
    TargetState,
)

ADDRESS = "10.0.0.1:80"
REPORT = {
    "target_id": "i-1",
    "service": "catalogue",
    "service_version": "v1",
    "address": ADDRESS,
    "slots": 6,
    "draining": False,
    "sequence": 1,
    "started_ms": 1_000,
    "cold_s": 0.0,
}


def report(**fields: Any) -> TargetReport:
    """Return a report that differs from the usual one in some fields."""
    return TargetReport(**{**REPORT, **fields})


class OwnTargetStateTest(unittest.TestCase):
    """Reports that are late, of another start or of another target."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.target = OwnTargetTracker(
            address=ADDRESS, service="catalogue", report_interval_s=1.5, clock=self.clock
        )

    def test_no_calls_before_the_first_report(self) -> None:
        """Guards against calls to a target whose id is not known."""
        self.assertTrue(self.target.identity.refusal)
        self.assertTrue(self.target.on_report(report()))
        self.assertEqual(self.target.identity.refusal, "")
        self.assertEqual(self.target.identity.target_id, "i-1")

    def test_late_report_does_not_undo_a_leave(self) -> None:
        """Guards against work for a leaving target after a report that was overtaken."""
        self.target.on_report(report(sequence=3))
        self.target.on_report(report(sequence=5, draining=True))
        self.target.on_report(report(sequence=4))
        self.assertIs(self.target.view.state, TargetState.LEAVING)
        self.target.on_report(report(sequence=6))
        self.assertIs(self.target.view.state, TargetState.LEAVING)
        self.assertTrue(self.target.identity.refusal)

    def test_leave_without_a_draining_report(self) -> None:
        """Guards against work for a target that leaves with a notice only."""
        self.target.on_report(report())
        self.assertFalse(self.target.on_leave(TargetLeave("i-0", None)))
        self.assertFalse(self.target.on_leave(TargetLeave("i-1", 999)))
        self.assertTrue(self.target.on_leave(TargetLeave("i-1", None)))
        self.target.on_report(report(sequence=2))
        self.assertTrue(self.target.identity.refusal)

    def test_leave_before_the_first_report(self) -> None:
        """Guards against a late report that opens a target whose leaving was acknowledged.

        A node that starts again while its target leaves hears of the leaving before any report.
        """
        for started_ms in (None, REPORT["started_ms"]):
            with self.subTest(started_ms):
                self.setUp()
                self.assertFalse(self.target.on_leave(TargetLeave("i-1", started_ms)))
                self.target.on_report(report())
                self.assertIs(self.target.view.state, TargetState.LEAVING)
                self.target.on_report(report(sequence=2))
                self.assertTrue(self.target.identity.refusal)
                self.target.on_report(report(started_ms=2_000))
                self.assertEqual(self.target.identity.refusal, "")

    def test_new_start_under_the_same_id(self) -> None:
        """Guards against a new process that is taken for the one that left."""
        self.target.on_report(report(sequence=9))
        self.target.on_leave(TargetLeave("i-1", None))
        self.assertTrue(self.target.on_report(report(sequence=0, started_ms=2_000)))
        self.assertEqual(self.target.identity.refusal, "")

    def test_report_of_an_earlier_start(self) -> None:
        """Guards against a report that a partition delayed past the start of its successor."""
        self.target.on_report(report(target_id="i-2", service="media", started_ms=2_000))
        self.assertFalse(self.target.on_report(report(sequence=50)))
        self.assertEqual(self.target.identity.service, "media")

    def test_other_address(self) -> None:
        """Guards against reports of targets that this node does not stand beside."""
        with self.assertRaises(ValueError):
            self.target.on_report(report(address="10.0.0.2:80"))

    def test_silent_target(self) -> None:
        """Guards against calls to a target that has died without a word."""
        self.target.on_report(report())
        self.clock.advance(5.9)
        self.assertFalse(self.target.on_tick())
        self.clock.advance(0.2)
        self.assertTrue(self.target.on_tick())
        self.assertIs(self.target.view.state, TargetState.SILENT)
        self.assertTrue(self.target.on_report(report(sequence=2)))
        self.assertEqual(self.target.identity.refusal, "")

    def test_start_with_an_earlier_wall_time(self) -> None:
        """Guards against a target that is shut out because the wall clock jumped back."""
        self.target.on_report(report(started_ms=9_000))
        self.assertFalse(self.target.on_report(report(target_id="i-2", started_ms=8_000)))
        self.clock.advance(7)
        self.assertTrue(self.target.on_report(report(target_id="i-2", started_ms=8_000)))
