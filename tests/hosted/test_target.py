"""Order of the reports of a node's target."""

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
    """Return the default report with some fields replaced."""
    return TargetReport(**{**REPORT, **fields})


class OwnTargetTrackerTest(unittest.TestCase):
    """Reports that are late or from another start or another target."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.target = OwnTargetTracker(
            address=ADDRESS, service="catalogue", report_interval_s=1.5, clock=self.clock
        )

    def test_no_calls_before_the_first_report(self) -> None:
        """Guards against calls to a target whose id is unknown."""
        self.assertTrue(self.target.identity.refusal)
        self.assertTrue(self.target.on_report(report()))
        self.assertEqual(self.target.identity.refusal, "")
        self.assertEqual(self.target.identity.target_id, "i-1")

    def test_late_report_does_not_undo_a_leave(self) -> None:
        """Guards against calls to a leaving target after an outdated report."""
        self.target.on_report(report(sequence=3))
        self.target.on_report(report(sequence=5, draining=True))
        self.target.on_report(report(sequence=4))
        self.assertIs(self.target.view.state, TargetState.LEAVING)
        self.target.on_report(report(sequence=6))
        self.assertIs(self.target.view.state, TargetState.LEAVING)
        self.assertTrue(self.target.identity.refusal)

    def test_start_with_an_earlier_time(self) -> None:
        """Guards against a process that is ignored because the wall clock was set back."""
        self.target.on_report(report(sequence=7))
        earlier = {"started_ms": 600}
        self.assertFalse(self.target.on_report(report(**earlier)))
        self.clock.advance(0.6)
        self.assertTrue(self.target.on_report(report(**earlier, sequence=2, draining=True)))
        self.assertIs(self.target.view.state, TargetState.LEAVING)

    def test_late_reports_of_a_former_process(self) -> None:
        """Guards against a process that has ended and whose reports were held up."""
        former = {"started_ms": 600, "target_id": "i-0"}
        self.target.on_report(report())
        for sequence in range(2, 6):
            for late in (5, 6, 7):
                self.assertFalse(self.target.on_report(report(**former, sequence=late)))
            self.clock.advance(1.5)
            self.target.on_report(report(sequence=sequence))
        self.assertEqual(self.target.identity.target_id, "i-1")

    def test_leave_without_a_draining_report(self) -> None:
        """Guards against calls to a target that only sends a leave notice."""
        self.target.on_report(report())
        self.assertFalse(self.target.on_leave(TargetLeave("i-0", None)))
        self.assertFalse(self.target.on_leave(TargetLeave("i-1", 999)))
        self.assertTrue(self.target.on_leave(TargetLeave("i-1", None)))
        self.target.on_report(report(sequence=2))
        self.assertTrue(self.target.identity.refusal)

    def test_leave_before_the_first_report(self) -> None:
        """Guards against a late report that reactivates a target whose notice was acknowledged.

        A node that restarts while its target leaves may receive the notice before any report.
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
        """Guards against mistaking a new process for the one that left."""
        self.target.on_report(report(sequence=9))
        self.target.on_leave(TargetLeave("i-1", None))
        self.assertTrue(self.target.on_report(report(sequence=0, started_ms=2_000)))
        self.assertEqual(self.target.identity.refusal, "")

    def test_report_of_an_earlier_start(self) -> None:
        """Guards against a report that was delayed by a partition past the next start."""
        self.target.on_report(report(target_id="i-2", service="media", started_ms=2_000))
        self.assertFalse(self.target.on_report(report(sequence=50)))
        self.assertEqual(self.target.identity.service, "media")

    def test_other_address(self) -> None:
        """Guards against accepting reports of targets of other nodes."""
        with self.assertRaises(ValueError):
            self.target.on_report(report(address="10.0.0.2:80"))

    def test_silent_target(self) -> None:
        """Guards against calls to a target that has crashed without a notice."""
        self.target.on_report(report())
        self.clock.advance(5.9)
        self.assertFalse(self.target.on_tick())
        self.clock.advance(0.2)
        self.assertTrue(self.target.on_tick())
        self.assertIs(self.target.view.state, TargetState.SILENT)
        self.assertTrue(self.target.on_report(report(sequence=2)))
        self.assertEqual(self.target.identity.refusal, "")

    def test_start_with_an_earlier_wall_time(self) -> None:
        """Guards against ignoring a new target because the wall clock jumped back."""
        self.target.on_report(report(started_ms=9_000))
        self.assertFalse(self.target.on_report(report(target_id="i-2", started_ms=8_000)))
        self.clock.advance(7)
        self.assertTrue(self.target.on_report(report(target_id="i-2", started_ms=8_000)))
