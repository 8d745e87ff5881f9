"""Statements of a target whose answers arrive late, out of order or twice."""

from __future__ import annotations

import unittest

from citronrack.calls.notice import StatementTracker, TargetNotice, TargetStatement

PROCESS = ("i-1", 1000)
NONE = TargetNotice()


class StatementTrackerTest(unittest.TestCase):
    """The statements in force of one process."""

    def setUp(self) -> None:
        self.changes: list[TargetStatement] = []
        self.invalid: list[object] = []
        self.tracker = StatementTracker(self.changes.append, self.invalid.append)
        self.tracker.follow(lambda: PROCESS)

    def observe(
        self, notice: TargetNotice, *, sent_at: float, now: float, genuine: bool = True
    ) -> float | None:
        """Apply an answer and return the limit in force."""
        self.tracker.observe(PROCESS, notice, genuine=genuine, sent_at=sent_at, now=now)
        return self.tracker.current.limit_per_s

    def test_late_answer_does_not_end_a_limit(self) -> None:
        """Guards against an answer from before the limit that is read after it."""
        self.assertEqual(self.observe(TargetNotice(5.0), sent_at=1.0, now=2.0), 5.0)
        self.assertEqual(self.observe(NONE, sent_at=1.5, now=3.0), 5.0)
        self.assertEqual(self.observe(NONE, sent_at=2.5, now=3.0, genuine=False), 5.0)
        self.assertIsNone(self.observe(NONE, sent_at=2.5, now=3.0))

    def test_any_answer_names_a_limit(self) -> None:
        """Guards against a limit that stands only in an answer that is thrown away."""
        notice = TargetNotice(5.0)
        self.assertEqual(self.observe(notice, sent_at=1.0, now=2.0, genuine=False), 5.0)
        self.assertFalse(self.tracker.current.answered)

    def test_invalid_limit_keeps_the_known_one(self) -> None:
        """Guards against a target in need that loses its limit by a malformed header."""
        invalid = TargetNotice(limit_invalid=True)
        self.assertIsNone(self.observe(invalid, sent_at=1.0, now=2.0))
        self.observe(TargetNotice(5.0), sent_at=2.0, now=3.0)
        self.assertEqual(self.observe(invalid, sent_at=4.0, now=5.0), 5.0)
        self.assertEqual(self.invalid, [PROCESS, PROCESS])

    def test_new_process_has_no_limit(self) -> None:
        """Guards against the limit of a process that ended, also under the same id."""
        self.observe(TargetNotice(5.0, leaving=True), sent_at=1.0, now=2.0)
        later = ("i-1", 2000)
        self.tracker.follow(lambda: later)
        self.assertEqual(self.tracker.current, TargetStatement(later))
        self.observe(TargetNotice(7.0), sent_at=2.0, now=3.0)
        self.assertEqual(self.tracker.current, TargetStatement(later))

    def test_delayed_call_does_not_bring_an_earlier_process_back(self) -> None:
        """Guards against losing the limit of a process to a call that began before its start."""
        later = ("i-1", 2000)
        answers = iter([PROCESS, later])
        self.tracker.follow(lambda: later)
        self.tracker.observe(later, TargetNotice(7.0), genuine=True, sent_at=1.0, now=2.0)
        self.tracker.follow(lambda: next(answers))
        self.assertEqual(self.tracker.current.limit_per_s, 7.0)

    def test_leaving_is_not_taken_back(self) -> None:
        """Guards against a target that leaves and gets calls again by a late answer."""
        self.observe(TargetNotice(leaving=True), sent_at=1.0, now=2.0)
        self.observe(NONE, sent_at=2.5, now=3.0)
        self.assertTrue(self.tracker.current.leaving)

    def test_only_changes_are_reported(self) -> None:
        """Guards against a message for each answer of a target with a limit."""
        before = len(self.changes)
        for index in range(100):
            self.observe(TargetNotice(5.0), sent_at=index, now=index + 0.5)
        self.assertEqual(len(self.changes), before + 1)
