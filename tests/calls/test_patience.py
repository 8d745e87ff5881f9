"""Returning callers and what they are told."""

from __future__ import annotations

import unittest

from citronrack.calls.message import (
    RETRY_AFTER_SHARE,
    Response,
    local_response,
    set_retry_after,
)
from citronrack.calls.patience import WINDOW_S, CallerPatience
from citronrack.verdict import Verdict


class CallerPatienceTest(unittest.TestCase):
    """Ages of calls from the timeouts of their callers."""

    def setUp(self) -> None:
        """Record first tries."""
        self.patience = CallerPatience()
        for index in range(20):
            self.assertEqual(self.patience.age_s("reads", 1_200, index / 10), 0.0)

    def test_returning_caller(self) -> None:
        """Guards against treating a second try like a first one."""
        self.assertAlmostEqual(self.patience.age_s("reads", 880, 2.0), 0.32)
        self.assertEqual(self.patience.age_s("reads", 1_190, 2.0), 0.0)
        self.assertEqual(self.patience.age_s("reads", None, 2.0), 0.0)
        self.assertEqual(self.patience.age_s("other", 880, 2.0), 0.0)

    def test_next_window_knows_the_timeout(self) -> None:
        """Guards against a returning caller that is taken for a first try in a new window."""
        self.patience.age_s("reads", 1_200, WINDOW_S + 2.0)
        self.assertAlmostEqual(self.patience.age_s("reads", 880, WINDOW_S + 2.1), 0.32)

    def test_callers_with_different_timeouts(self) -> None:
        """Guards against refusing callers whose timeouts differ for other reasons."""
        for index in range(40):
            self.patience.age_s("calls", 100 + 13 * index, 2.0)
        self.assertEqual(self.patience.age_s("calls", 300, 2.0), 0.0)


class RetryAfterTest(unittest.TestCase):
    """When a refused caller comes back."""

    def test_share_of_the_time_left(self) -> None:
        """Guards against callers that come back after their deadline or all together."""
        values = []
        for spread in (0.0, 0.5, 0.99):
            response = local_response(503, "full", Verdict.NOT_RUN)
            set_retry_after(response, aim_left_s=-0.1, left_s=4.0, spread=spread)
            values.append(self.retry_after_s(response))
        self.assertEqual(values, sorted(set(values)))
        self.assertEqual(values[1], RETRY_AFTER_SHARE * 4.0)
        self.assertLess(values[2], 4.0 / 3)

    def test_return_in_time(self) -> None:
        """Guards against callers that come back when the answer can only be late."""
        for aim_left_s, left_s in ((0.8, 4.0), (0.3, 1.2)):
            response = local_response(503, "full", Verdict.NOT_RUN)
            set_retry_after(response, aim_left_s=aim_left_s, left_s=left_s, spread=0.99)
            self.assertLess(self.retry_after_s(response), 0.7 * aim_left_s)

    @staticmethod
    def retry_after_s(response: Response) -> float:
        """Return the value of Retry-After."""
        (value,) = [value for name, value in response.headers if name == b"retry-after"]
        return float(value)
