"""The same records lead to the same state, and a record takes effect once."""

from __future__ import annotations

import unittest
from typing import Any

from citronrack.config import Change, Route, Service, ServiceVersion
from citronrack.log import Claim, Confirmed, Envelope, LogFold, MoveOutcome, encode_record
from citronrack.log.records import Duty, MoveResult

CATALOGUE = Service("catalogue", {"1.0": ServiceVersion("1.0")})
FIRST = Change(put_services=(CATALOGUE,), put_routes=(Route("r", "/", "catalogue", "1.0"),))


def confirmed(plan_id: str, base_version: int, change: Change = FIRST) -> Confirmed:
    """Return a confirmation that has not expired."""
    return Confirmed(plan_id, base_version, change, 0, 1, "operator")


class LogFoldTest(unittest.TestCase):
    """Guards against lost updates, double effects and writes of a paused lease holder."""

    def setUp(self) -> None:
        self.fold = LogFold()

    def apply(self, body: Any, *, writer: str = "a/1", sequence: int | None = None) -> str:
        """Append ``body`` and return the reason why it had no effect, or an empty text."""
        offset = self.fold.next_offset
        number = offset + 1 if sequence is None else sequence
        result = self.fold.apply(offset, encode_record(Envelope(writer, number, 0, body)))
        self.assertEqual(result.accepted, not result.reason)
        return result.reason

    def test_second_of_two_racing_operators_is_refused(self) -> None:
        """Fails if a confirmation could overwrite one it did not know of."""
        self.assertEqual(self.apply(confirmed("p1", -1)), "")
        self.assertIn("version 0 is in force", self.apply(confirmed("p2", -1), writer="b/1"))
        self.assertEqual(self.fold.config.version, 0)
        self.assertFalse(self.fold.state.plans["p2"].accepted)

    def test_retried_append_takes_effect_once(self) -> None:
        """Fails if a retry after a lost answer counted as a second record."""
        self.apply(Claim(Duty.OUTCOMES, 1, "a", 1000), sequence=1)
        self.assertEqual(self.apply(Claim(Duty.OUTCOMES, 2, "a", 1000), sequence=1), "duplicate")
        self.assertEqual(self.fold.state.leases["outcomes"].term, 1)

    def test_confirming_twice_keeps_the_first_result(self) -> None:
        """Fails if a second confirmation of the same plan reported a refusal of the first."""
        self.apply(confirmed("p1", -1))
        self.assertIn("already in force", self.apply(confirmed("p1", -1), writer="b/1"))
        self.assertTrue(self.fold.state.plans["p1"].accepted)

    def test_first_claim_of_a_term_wins_and_old_terms_are_ignored(self) -> None:
        """Fails if a holder that was paused past its lease could still write."""
        self.assertEqual(self.apply(Claim(Duty.OUTCOMES, 1, "a", 1000)), "")
        self.assertIn("at term 1", self.apply(Claim(Duty.OUTCOMES, 1, "b", 1000), writer="b/1"))
        self.assertEqual(self.apply(Claim(Duty.OUTCOMES, 2, "b", 1000), writer="b/1"), "")
        late = MoveOutcome(1, "m", 0, MoveResult.FINISHED_IN_TIME, "", 0)
        self.assertEqual(self.apply(late), "lease term has passed")

    def test_undecodable_record_is_skipped_by_all(self) -> None:
        """Fails if one damaged record stopped the fold."""
        self.assertFalse(self.fold.apply(0, b"\xff\x00").accepted)
        self.assertEqual(self.fold.next_offset, 1)

    def test_snapshot_continues_like_the_original(self) -> None:
        """Fails if a node started from a snapshot differed from one that folded all records."""
        self.apply(confirmed("p1", -1))
        self.apply(Claim(Duty.OUTCOMES, 1, "a", 1000))
        copy = LogFold.from_snapshot(self.fold.to_snapshot())
        data = encode_record(Envelope("a/1", 2, 0, Claim(Duty.OUTCOMES, 2, "a", 1000)))
        self.assertEqual(copy.apply(2, data), self.fold.apply(2, data))
        self.assertEqual(copy.state, self.fold.state)
