"""Targets that fail requests."""

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
    """Which requests a target gets after failures."""

    def setUp(self) -> None:
        """Create the health of a target without failures."""
        self.clock = ManualClock()
        self.health = TargetHealth(self.clock)

    def count_admitted(self, *, idempotent: bool, seconds: float, every_s: float) -> int:
        """Return how many requests are sent to the target, which fails all of them."""
        count = 0
        for _ in range(round(seconds / every_s)):
            self.clock.advance(every_s)
            if self.health.admit(TARGET, idempotent=idempotent):
                self.health.record_failure(TARGET)
                count += 1
        return count

    def test_responding_target_gets_all_requests(self) -> None:
        """Guards against refusals that continue after a single lost response."""
        self.health.record_failure(TARGET)
        self.assertFalse(self.health.admit(TARGET, idempotent=False))
        self.assertTrue(self.health.admit(TARGET, idempotent=True))
        self.health.record_success()
        for idempotent in (True, False):
            self.assertTrue(self.health.admit(TARGET, idempotent=idempotent))

    def test_probes_are_paced(self) -> None:
        """Guards against a retry of every request while the target is down."""
        sent = self.count_admitted(idempotent=True, seconds=2.0, every_s=0.01)
        self.assertLessEqual(sent, FAILURES_BEFORE_PACING + 2.0 / PROBE_INTERVAL_S)
        self.assertGreater(sent, 1.0 / PROBE_INTERVAL_S)

    def test_target_without_idempotent_requests_is_probed(self) -> None:
        """Guards against a target of uploads only that gets none after its first failure."""
        sent = self.count_admitted(
            idempotent=False, seconds=5 * NON_IDEMPOTENT_PROBE_INTERVAL_S, every_s=0.1
        )
        self.assertTrue(2 <= sent <= 6, sent)

    def test_one_of_many_waiting_requests_is_the_probe(self) -> None:
        """Guards against sending all waiting requests at once to a target that is still down."""
        self.health.record_failure(TARGET)
        self.clock.advance(NON_IDEMPOTENT_PROBE_INTERVAL_S)
        sent = sum(self.health.admit(TARGET, idempotent=False) for _ in range(10))
        self.assertEqual(sent, 1)

    def test_replaced_target_has_no_failures(self) -> None:
        """Guards against a replaced target that is refused for failures of its predecessor."""
        self.health.record_failure(TARGET)
        self.assertTrue(self.health.admit("i-2", idempotent=False))
