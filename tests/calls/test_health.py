"""Targets that lose requests."""

from __future__ import annotations

import unittest

from citronrack.calls.health import (
    FAILURES_BEFORE_PACING,
    NON_IDEMPOTENT_PROBE_INTERVAL_S,
    PROBE_INTERVAL_S,
    TargetHealth,
)
from citronrack.clock import ManualClock

TARGET = "i-1"


class TargetHealthTest(unittest.TestCase):
    """Which requests a target gets after it has lost some."""

    def setUp(self) -> None:
        """Make the health of a target that has answered so far."""
        self.clock = ManualClock()
        self.health = TargetHealth(self.clock)

    def admitted(self, *, idempotent: bool, seconds: float, every_s: float) -> int:
        """Return how many requests get to the target, all of which it loses."""
        count = 0
        for _ in range(round(seconds / every_s)):
            self.clock.advance(every_s)
            if self.health.admit(TARGET, idempotent=idempotent):
                self.health.record_failure(TARGET)
                count += 1
        return count

    def test_target_that_answers_gets_all(self) -> None:
        """Guards against a target that keeps being refused after one lost answer."""
        self.health.record_failure(TARGET)
        self.assertFalse(self.health.admit(TARGET, idempotent=False))
        self.assertTrue(self.health.admit(TARGET, idempotent=True))
        self.health.record_success()
        for idempotent in (True, False):
            self.assertTrue(self.health.admit(TARGET, idempotent=idempotent))

    def test_trials_are_paced(self) -> None:
        """Guards against a retry for each of the many requests that a crashed target loses."""
        record_failure = self.admitted(idempotent=True, seconds=2.0, every_s=0.01)
        self.assertLessEqual(record_failure, FAILURES_BEFORE_PACING + 2.0 / PROBE_INTERVAL_S)
        self.assertGreater(record_failure, 1.0 / PROBE_INTERVAL_S)

    def test_target_without_repeatable_requests_is_tried_out(self) -> None:
        """Guards against a target of uploads only that gets nothing after its first lost one."""
        record_failure = self.admitted(
            idempotent=False, seconds=5 * NON_IDEMPOTENT_PROBE_INTERVAL_S, every_s=0.1
        )
        self.assertTrue(2 <= record_failure <= 6, record_failure)

    def test_one_of_many_that_wait_tries_it_out(self) -> None:
        """Guards against all waiting requests being sent at once to a target that is still down."""
        self.health.record_failure(TARGET)
        self.clock.advance(NON_IDEMPOTENT_PROBE_INTERVAL_S)
        sent = sum(self.health.admit(TARGET, idempotent=False) for _ in range(10))
        self.assertEqual(sent, 1)

    def test_other_start_begins_anew(self) -> None:
        """Guards against a replaced target that is refused for what the one before has lost."""
        self.health.record_failure(TARGET)
        self.assertTrue(self.health.admit("i-2", idempotent=False))
