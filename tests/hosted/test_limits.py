"""Targets that name in their answers how many calls a second they take."""

from __future__ import annotations

import unittest

from citronrack.calls import Admission
from citronrack.clock import ManualClock, SystemClock

from .test_delivery import DeliveryFixture, http_answer

WINDOW_S = 4.0
EXCESS = 1.5
SLACK = 5
"""The platform allows in any window of 4 s one and a half times the limit and 5 calls."""


def allowed(limit_per_s: float) -> float:
    """Return the number of calls that a target with a limit may get in a window."""
    return EXCESS * WINDOW_S * limit_per_s + SLACK


class LimitedTargetTest(unittest.TestCase):
    """Calls that a node passes to its own target."""

    def test_a_target_gets_no_more_calls_than_it_names(self) -> None:
        """Guards against a rate at a target that only its slots bound."""
        answer = http_answer(200, "Instance-Signature: s", "Server-Limit: 2.5", "Connection: close")
        clock = ManualClock()
        clock.advance(SystemClock().monotonic())
        with DeliveryFixture(answer, slots=8) as fixture:
            fixture.use_admission(Admission(slots=8, clock=clock))
            statuses = [fixture.call(timeout_s=0.3).status for _ in range(61)]
            self.assertEqual(statuses, [200] + [503] * 60)
            self.assertLessEqual(len(fixture.requests), allowed(2.5))
            clock.advance(0.4)
            last = fixture.call(timeout_s=0.8)
            self.assertEqual((last.status, last.local_reason), (200, ""))
